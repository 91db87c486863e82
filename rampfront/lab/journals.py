"""Measures the journal alone, on this machine's disk: appends a second by batch interval, and the reading time at
start."""

import shutil
import sqlite3
import time
from pathlib import Path

import numpy as np
import uvloop

from ..edge.log import Log
from ..journal.durable_intent_journal import DurableIntentJournal
from ..journal.journal_settings import JournalSettings
from ..journal.records import Ending, Intent, Outcome, encode_record
from ..journal.segment_store import SegmentStore
from ..net.clock import Clock
from ..net.timers import TimerQueue

MS, SEC = 10**6, 10**9


class Exchange:
    """What the journal reads of a transaction."""

    id, product, account = b"6b0f6a4e-6c0b-4d3a-9f57-3f2d8a0b9c11", 0, "00000000b4d65521"


def appends(folder, batch_ms, waiting=64, seconds=3.0):
    """Measures a closed loop of `waiting` transactions: each is recorded, made durable and ended, and the next one
    begins. Returns the number of intents made durable a second and their waiting times in ms."""
    shutil.rmtree(folder, ignore_errors=True)
    loop, clock, waits_ms = uvloop.new_event_loop(), Clock(), []
    log = Log("lab", 10**10, open("/dev/null", "wb"))
    settings = JournalSettings(Path(folder), "lab", batch_delay_ns=round(batch_ms * MS))
    journal = DurableIntentJournal(loop, TimerQueue(loop, clock), log, settings, ["ledger-entry"])
    end = clock() + round(seconds * SEC)

    def record_intent():
        journal.record_intent(Exchange, 0, "box-1", clock())

    def on_durable(number, since):
        now = clock()
        waits_ms.append((now - since) / MS)
        journal.record_outcome(number, 0)
        record_intent() if now < end else loop.stop()

    journal.send, journal.refuse = on_durable, lambda since: loop.stop()
    for _ in range(waiting):
        record_intent()
    loop.run_forever()
    writes = log.counts["journal_writes"]
    journal.close()
    loop.close()
    p50, p99 = np.percentile(waits_ms, (50, 99))
    return {
        "batch_ms": batch_ms,
        "waiting": waiting,
        "appends_per_s": round(len(waits_ms) / seconds),
        "records_per_write": round(log.counts["journal_records"] / max(1, writes), 1),
        "p50_ms": round(float(p50), 2),
        "p99_ms": round(float(p99), 2),
    }


def batches(folder, size, seconds=2.0):
    """Measures how many batches of `size` intents a second are made durable one after the other, with the journal's
    segments and with SQLite in WAL mode with synchronous=FULL."""
    shutil.rmtree(folder, ignore_errors=True)
    store = SegmentStore(JournalSettings(Path(folder) / "own", "lab"))
    database = sqlite3.connect(Path(folder) / "journal.db", isolation_level=None)
    database.execute("PRAGMA journal_mode=WAL")
    database.execute("PRAGMA synchronous=FULL")
    database.execute(
        "CREATE TABLE intent (number INTEGER PRIMARY KEY, at INTEGER, txn TEXT, product TEXT, account TEXT, "
        "box TEXT, attempt INTEGER, ended INTEGER, how INTEGER)"
    )
    rows = [(k, k, Exchange.id.decode(), "ledger-entry", Exchange.account, "box-1", 0) for k in range(size)]

    def own(k):
        store.append([encode_record(Intent(k * size + row[0], *row[1:])) for row in rows])

    def sqlite(k):
        database.execute("BEGIN")
        database.executemany(
            "INSERT INTO intent VALUES (?, ?, ?, ?, ?, ?, ?, NULL, NULL)",
            [(k * size + row[0], *row[1:]) for row in rows],
        )
        database.execute("COMMIT")

    result = {"batch": size}
    for append in (own, sqlite):
        started_at, k = time.perf_counter(), 0
        while time.perf_counter() - started_at < seconds:
            append(k)
            k += 1
        result[append.__name__ + "_per_s"] = round(k / (time.perf_counter() - started_at))
    store.close()
    database.close()
    return result


def start_time(folder, count, in_doubt=100):
    """Measures the seconds that a start takes to read a journal of `count` records. `in_doubt`: number of intents
    without an outcome."""
    shutil.rmtree(folder, ignore_errors=True)
    settings = JournalSettings(Path(folder), "lab", max_total_bytes=1 << 40)
    store = SegmentStore(settings)
    for first in range(0, count, 2000):
        packed = []
        for number in range(first // 2, min(count, first + 2000) // 2):
            packed.append(
                encode_record(
                    Intent(number, number, Exchange.id.decode(), "ledger-entry", Exchange.account, "box-1", 0)
                )
            )
            if number >= in_doubt:
                packed.append(encode_record(Outcome(number, number + MS, Ending.SUCCEEDED)))
        store.append(packed)
    store.close()
    size, started_at = sum(path.stat().st_size for path in Path(folder).iterdir()), time.perf_counter()
    reopened = SegmentStore(settings)
    duration_s = time.perf_counter() - started_at
    assert len(reopened.index.in_doubt) == min(in_doubt, count // 2)
    reopened.close()
    return {"records": count, "mb": round(size / 1e6, 1), "start_s": round(duration_s, 3)}
