"""Kills an edge node at random points under load, and checks its journal against what the boxes ran.

One emulator, one node after the other on one journal folder. Each run: clients send once-only txns, SIGKILL falls at a
random moment, the journal is read, the node starts again, clients ask for what is in doubt under the same ids. They
disagree where

- a txn ran that has no intent in the journal,
- one that the journal has as settled, or a client as settled, did not run exactly once,
- one that it has as not run did run,
- one ran more than once, whatever is said of it.
"""

import asyncio
import signal
from pathlib import Path
from random import Random

import msgspec
import uvloop

from ..journal.journal_reader import EntryFilter, read_journal
from ..journal.records import Ending
from .emulator import Emulator, account_key
from .nodes import Node
from .plan import Experiment, Latency, Load, Plan, Product, ServerGroup, Stream, Topology

SETTLED, IN_DOUBT, LOST = 200, 409, 0


def plan(journal):
    return Experiment(
        name="crash",
        duration_s=1.0,
        topology=Topology(
            nodes=1,
            journal=journal,
            boxes=[ServerGroup(count=3, slots=16, queue=64, latency=Latency(kind="exponential", mean_ms=4.0))],
        ),
        products=[Product(name="ledger-entry", effect="once_only", sla_ms=1000.0)],
        plans=[Plan(name="open")],
        load=Load(streams=[Stream(name="s", plan="open", rate=1.0)]),
    )


async def ask(address, mark):
    """The status of one txn, 0 where its connection ended first."""
    host, _, port = address.rpartition(":")
    try:
        reader_, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return LOST
    try:
        writer.write(
            f"POST /api?a=0&u=1&p=0&x={mark} HTTP/1.1\r\nX-Request-Id: {mark}\r\nX-Class: ledger-entry\r\n"
            f"X-Tier: open\r\nCookie: key={account_key('s-0')}\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n"
            "X-Call-Terms: units=1,spread=1,first=0\r\n\r\n".encode()
        )
        head = await asyncio.wait_for(reader_.readuntil(b"\r\n\r\n"), 5)
        return int(head[9:12])
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return LOST
    finally:
        writer.close()


def disagreements(found, ran, told):
    """What the journal `found`, the boxes `ran` (txn to times) and clients were `told` (txn to status) say apart."""
    by_txn = {}
    for entry in found.entries.values():
        by_txn.setdefault(entry.intent.transaction_id, []).append(entry)
    odd = [f"{txn} ran {times} times" for txn, times in ran.items() if times > 1]
    odd += [f"{txn} ran without an intent" for txn in ran if txn not in by_txn]
    for txn, entries in by_txn.items():
        words = [entry.outcome and entry.outcome.ending for entry in entries]
        if Ending.SUCCEEDED in words and ran.get(txn) != 1:
            odd.append(f"{txn} is settled in the journal and ran {ran.get(txn, 0)} times")
        if all(word == Ending.NOT_RUN for word in words) and ran.get(txn):
            odd.append(f"{txn} is not run in the journal and ran")
    odd += [
        f"{txn} was settled for its client and ran {ran.get(txn, 0)} times"
        for txn, status in told.items()
        if status == SETTLED and ran.get(txn) != 1
    ]
    return odd


class Harness:
    def __init__(self, folder, seed, journal=None, clients=8):
        self.folder, self.rng, self.clients = Path(folder), Random(seed), clients
        self.folder.mkdir(parents=True, exist_ok=True)
        self.plan = plan(journal if journal is not None else {"batch_ms": 1.0})
        self.loop = uvloop.new_event_loop()
        self.emulator = self.loop.run_until_complete(
            Emulator(self.loop, self.plan, seed, open("/dev/null", "wb")).listen()
        )
        self.node = Node(self.plan, 0, self.emulator.addresses(), seed, self.folder)
        self.told, self.doubts, self.refused, self.sent = {}, 0, 0, 0
        self.left = []  # what the last life left in doubt

    async def client(self, run, number):
        for k in range(10**6):
            mark = f"r{run}-{number}-{k}"
            self.sent += 1
            self.told[mark] = await ask(self.node.listen, mark)
            if self.told[mark] == LOST:
                return

    async def run(self, run):
        """One life of the node; returns what disagrees."""
        await self.loop.run_in_executor(None, lambda: self.node.start().wait_until_ready())
        # It is asked for again under its id: none of it may run now.
        again = [await ask(self.node.listen, mark) for mark in self.left[:20]]
        odd = [
            f"{mark} was in doubt and answered {status}" for mark, status in zip(self.left, again) if status != IN_DOUBT
        ]
        self.refused += again.count(IN_DOUBT)
        tasks = [self.loop.create_task(self.client(run, number)) for number in range(self.clients)]
        await asyncio.sleep(self.rng.uniform(0.0, 0.25))
        self.node.process.send_signal(signal.SIGKILL)
        await self.loop.run_in_executor(None, self.node.process.wait)
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.03)  # what had left by then has reached the boxes and runs
        found = read_journal(self.folder / "journal-0")
        odd += disagreements(found, dict(self.emulator.executions.once_only_counts), self.told)
        odd += [f"damage that is no torn tail: {row}" for row in found.damage if not row.reason.startswith("torn")]
        doubts = [e.intent.transaction_id for e in found.select(EntryFilter(in_doubt=True))]
        self.left = [mark for mark in doubts if mark.startswith(f"r{run}-")]
        self.doubts += len(self.left)
        return odd

    def play(self, runs, say=lambda text: None):
        """(runs, txns sent, left in doubt, refused again, disagreements)"""
        odd = []
        try:
            for run in range(runs):
                odd += [f"run {run}: {what}" for what in self.loop.run_until_complete(self.run(run))]
                if (run + 1) % 50 == 0:
                    say(f"{run + 1} runs, {self.sent} txns, {self.doubts} in doubt, {len(odd)} disagreements")
        finally:
            self.node.end()
            self.loop.close()
        return {
            "runs": runs,
            "txns": self.sent,
            "settled": list(self.told.values()).count(SETTLED),
            "in_doubt": self.doubts,
            "refused_again": self.refused,
            "disagreements": odd,
        }


def save(done, path):
    Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(done)))
