"""Measures the cost of a configuration for a node by its size, and a trial of transferring changes as rows.

Call: `python -m rampfront.lab.system.configuration_cost`. It measures by itself each step that a change takes on a node
at present: parsing, delta, quotas, ranks and storage. The trial takes the same change as rows: only these are checked,
and all others are shared with the former version. It reads a whole configuration in slices, between which a node could
serve requests. The trial is not part of a node.
"""

import gc
import json
import os
import tempfile
import time
import tracemalloc
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random

import click

from ...consensus.body_history import apply_delta, make_delta
from ...consensus.identifiers import MemberAddress
from ...consensus.record_store import RecordStore
from ...consensus.state import State
from ...proxy.priorities import PriorityRanks
from ...quota.limiter import Limiter
from ...settings import configuration_reader
from ...settings.configuration import Configuration
from ...settings.customer_reader import read_customers
from ...settings.errors import FieldError
from .sized_configuration import Size
from .sized_configuration import configuration as configuration_body

MS, MB = 1e3, 1 << 20
SIZES = (40, 8, 20), (270, 3200, 130), (1350, 16000, 130), (2700, 32000, 130)  # (routes, tenants, services)
REPEATS = 5
SHARDS = 256  # of a shared table
ROWS = 50  # in a slice
LOOKUPS = 1000  # requests whose route or tenant is looked up in one measurement
COLUMNS = "routes", "tenants", "step", "ms (least, most)", "peak MB", "held MB"


@dataclass(frozen=True)
class Cost:
    """The cost of one step: minimum and maximum processor time of REPEATS in ms; peak and retained memory in MB."""

    step: str
    least: float
    most: float
    peak: float
    held: float


def measure(step: str, action: Callable[[], object]) -> Cost:
    """Measures the processor time without memory tracing, and then the memory."""
    times = []
    for _ in range(REPEATS):
        gc.collect()
        started_s = time.process_time()
        result = action()
        times.append((time.process_time() - started_s) * MS)
        del result
    gc.collect()
    tracemalloc.start()
    result = action()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return Cost(step, min(times), max(times), peak / MB, held / MB)


# ---- the trial


class SharedTable:
    """A table of several versions, which share all shards except those of changed keys."""

    def __init__(self, shards: list[dict]) -> None:
        """`shards`: SHARDS tables; the hash of a key selects its table."""
        self.shards = shards

    @classmethod
    def of(cls, rows: dict) -> "SharedTable":
        """Returns a table with the rows of a dict."""
        table = cls([{} for _ in range(SHARDS)])
        table.fill(rows)
        return table

    def fill(self, rows: dict) -> None:
        """Adds rows in place, which is allowed only before the table is shared.

        The shards are small, so no resize of one causes a noticeable pause."""
        for key, value in rows.items():
            self.shards[hash(key) % SHARDS][key] = value

    def get(self, key: object) -> object:
        """Returns the value of a key, or None."""
        return self.shards[hash(key) % SHARDS].get(key)

    def changed(self, added: dict, removed: tuple = ()) -> "SharedTable":
        """Returns the version with the added and without the removed rows."""
        shards, copied = list(self.shards), set()
        for key in (*added, *removed):
            shard_index = hash(key) % SHARDS
            if shard_index not in copied:
                copied.add(shard_index)
                shards[shard_index] = dict(shards[shard_index])
        for key, value in added.items():
            shards[hash(key) % SHARDS][key] = value
        for key in removed:
            shards[hash(key) % SHARDS].pop(key, None)
        return SharedTable(shards)


@dataclass(frozen=True)
class SharedTenants:
    """Tenants by API key and by name."""

    by_key: SharedTable
    by_name: SharedTable


def read_change(held: SharedTenants, change: bytes) -> SharedTenants:
    """Returns the version of `held` with a change of tenant rows. Raises FieldError where reading the whole would."""
    by_key, by_name = read_customers(json.loads(change))
    removed = []
    for name, customer in by_name.items():
        former = held.by_name.get(name)
        removed += [key for key in (former.api_keys if former else ()) if key not in customer.api_keys]
    for key, customer in by_key.items():
        other = held.by_key.get(key)
        if other is not None and other.name != customer.name:
            raise FieldError("holds a key that is also another tenant's", "ApiKeys")
    return SharedTenants(held.by_key.changed(by_key, tuple(removed)), held.by_name.changed(by_name))


def slices(body: bytes) -> list[bytes]:
    """Returns a configuration's tenants in parts of ROWS rows, as a snapshot of entries would hold them."""
    rows = json.loads(body)["Customers"]
    return [json.dumps(rows[start : start + ROWS]).encode() for start in range(0, len(rows), ROWS)]


def read_slices(parts: list[bytes], into: SharedTenants) -> Iterator[None]:
    """Reads parts one after another into the tables of `into`, which are empty at first; yields after each part."""
    for part in parts:
        keys, names = read_customers(json.loads(part))
        into.by_key.fill(keys)
        into.by_name.fill(names)
        yield


def longest_slice(parts: list[bytes]) -> Cost:
    """Returns the cost of a whole reading in slices: `least` is the time of all slices, `most` that of the longest."""
    longest_ms, total_ms = 0.0, 0.0
    for _ in range(REPEATS):
        gc.collect()
        gc.disable()
        tables = SharedTenants(SharedTable.of({}), SharedTable.of({}))
        reading, sum_ms = read_slices(parts, tables), 0.0
        while True:
            started_s = time.process_time()
            has_more = next(reading, False) is None
            slice_ms = (time.process_time() - started_s) * MS
            sum_ms, longest_ms = sum_ms + slice_ms, max(longest_ms, slice_ms)
            if not has_more:
                break
        gc.enable()
        total_ms = min(total_ms, sum_ms) if total_ms else sum_ms
    return Cost(f"TRIAL: tenants in slices of {ROWS} (all slices, longest slice)", total_ms, longest_ms, 0.0, 0.0)


# ---- the measurements


def current_steps(body: bytes, following: bytes) -> Iterator[Cost]:
    """Measures the steps of a change as a node takes them at present."""
    compressed, compressed_following = zlib.compress(body), zlib.compress(following)
    parsed = configuration_reader.read(body).unwrap()
    customers = parsed.customers_by_name
    yield measure("member: compress the body of an order", lambda: zlib.compress(body))
    yield measure("read: json.loads alone", lambda: json.loads(body))
    yield measure("read: `configuration_reader.read`", lambda: configuration_reader.read(body).unwrap())
    yield measure(
        "leader: `make_delta`", lambda: make_delta(zlib.decompress(compressed), zlib.decompress(compressed_following))
    )
    delta = make_delta(body, following)
    yield measure("node: `apply_delta`", lambda: zlib.compress(apply_delta(zlib.decompress(compressed), delta)))
    limiter = Limiter("n", Random(1))
    limiter.set_quotas(customers, 0)
    yield measure("node: `limiter.set_quotas`", lambda: limiter.set_quotas(customers, 0))
    yield measure("node: `PriorityRanks`", lambda: PriorityRanks(parsed))
    matches = [(host, prefix + b"x/1") for host, book in parsed.hosts.items() for prefix in book.routes]
    requests, keys = (matches * LOOKUPS)[:LOOKUPS], (list(parsed.customers_by_key) * LOOKUPS)[:LOOKUPS]
    yield measure(f"{LOOKUPS} requests: routes looked up", lambda: [parsed.route(*request) for request in requests])
    yield measure(f"{LOOKUPS} requests: tenants looked up", lambda: [parsed.customer(key) for key in keys])
    entry = State(1, 1, 1, compressed, members={"n": MemberAddress("127.0.0.1", 1)})
    with tempfile.TemporaryDirectory() as folder:
        store = RecordStore(folder)
        yield measure("member: `RecordStore.save` (processor time only)", lambda: store.save(entry.body))
        yield Cost(f"member: on disk, KB: {folder_bytes(folder) // 1000}", 0, 0, 0, 0)


def folder_bytes(folder: str) -> int:
    """Returns the bytes of all files in a folder."""
    return sum(entry.stat().st_size for entry in os.scandir(folder))


def read_uncollected(body: bytes) -> Configuration:
    """Reads a whole configuration with the garbage collector off, which would scan each new row several times."""
    gc.disable()
    try:
        return configuration_reader.read(body).unwrap()
    finally:
        gc.enable()


def trial(body: bytes) -> Iterator[Cost]:
    """Measures the change of one tenant's key as a row, and other ways to read a whole configuration."""
    yield measure("TRIAL: `configuration_reader.read`, garbage collector off", lambda: read_uncollected(body))
    parsed = configuration_reader.read(body).unwrap()
    held = SharedTenants(SharedTable.of(parsed.customers_by_key), SharedTable.of(parsed.customers_by_name))
    row = dict(json.loads(body)["Customers"][0])
    row["ApiKeys"] = ["a-key-that-is-new"]
    change = json.dumps([row]).encode()
    changed = read_change(held, change)
    old_key = parsed.customers_by_name[row["Name"]].api_keys[0]
    if changed.by_key.get(b"a-key-that-is-new") is None or changed.by_key.get(old_key) is not None:
        raise AssertionError("the change of the tenant's key was not applied")
    yield measure("TRIAL: one tenant's row, the others shared", lambda: read_change(held, change))
    plain = (parsed.customers_by_key, parsed.customers_by_name)
    yield measure("TRIAL: the same with copies of plain tables", lambda: [dict(rows) for rows in plain])
    yield measure("TRIAL: first split of a table into shards", lambda: SharedTable.of(parsed.customers_by_key))
    yield longest_slice(slices(body))


@click.command()
@click.option("--sizes", default=",".join("x".join(map(str, size)) for size in SIZES), show_default=True)
def main(sizes: str) -> None:
    """Measure each size (ROUTESxTENANTSxSERVICES) and print a table."""
    click.echo("| " + " | ".join(COLUMNS) + " |\n" + "| " + " | ".join(["---"] * len(COLUMNS)) + " |")
    for size in sizes.split(","):
        routes, tenants, services = map(int, size.split("x"))
        size = Size(routes=routes, tenants=tenants, services=services)
        body, following = configuration_body(size, 1), configuration_body(size, 2)
        click.echo(
            f"| {routes} | {tenants} | body {len(body) / 1e6:.2f} MB, compressed "
            f"{len(zlib.compress(body)) / 1e6:.2f} MB | | | |"
        )
        for cost in (*current_steps(body, following), *trial(body)):
            click.echo(
                f"| {routes} | {tenants} | {cost.step} | {cost.least:.2f}, {cost.most:.2f} | {cost.peak:.1f} | "
                f"{cost.held:.1f} |"
            )


if __name__ == "__main__":
    main()
