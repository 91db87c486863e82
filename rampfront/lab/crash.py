"""Kills an edge node at random times under load, and checks its journal against what the servers executed.

One emulator serves one node after the other, all with the same journal folder. In each run clients send once-only
transactions, the node is killed with SIGKILL at a random time, the journal is read, the node is started again, and
clients ask under the same IDs for the transactions that are in doubt. There is a disagreement if

- a transaction was executed without an intent in the journal,
- a transaction that is settled in the journal, or was reported as settled to a client, was not executed exactly once,
- a transaction that is not run in the journal was executed,
- a transaction was executed more than once, whatever its state is.
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


def crash_experiment(journal):
    """Returns the experiment: one node with this journal table, and three servers."""
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


async def send_transaction(address, txn_id):
    """Sends one transaction and returns its status; 0 if its connection ended first."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return LOST
    try:
        writer.write(
            f"POST /api?a=0&u=1&p=0&x={txn_id} HTTP/1.1\r\nX-Request-Id: {txn_id}\r\nX-Class: ledger-entry\r\n"
            f"X-Tier: open\r\nCookie: key={account_key('s-0')}\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n"
            "X-Call-Terms: units=1,spread=1,first=0\r\n\r\n".encode()
        )
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        return int(head[9:12])
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return LOST
    finally:
        writer.close()


def find_disagreements(journal, run_counts, client_statuses):
    """Compares the journal with what the servers executed (transaction ID to number of executions) and what clients
    were told (transaction ID to status), and returns a line for each disagreement."""
    by_txn = {}
    for entry in journal.entries.values():
        by_txn.setdefault(entry.intent.transaction_id, []).append(entry)
    found = [f"{txn_id} ran {times} times" for txn_id, times in run_counts.items() if times > 1]
    found += [f"{txn_id} ran without an intent" for txn_id in run_counts if txn_id not in by_txn]
    for txn_id, entries in by_txn.items():
        endings = [entry.outcome and entry.outcome.ending for entry in entries]
        if Ending.SUCCEEDED in endings and run_counts.get(txn_id) != 1:
            found.append(f"{txn_id} is settled in the journal and ran {run_counts.get(txn_id, 0)} times")
        if all(ending == Ending.NOT_RUN for ending in endings) and run_counts.get(txn_id):
            found.append(f"{txn_id} is not run in the journal and ran")
    found += [
        f"{txn_id} was settled for its client and ran {run_counts.get(txn_id, 0)} times"
        for txn_id, status in client_statuses.items()
        if status == SETTLED and run_counts.get(txn_id) != 1
    ]
    return found


class Harness:
    """The emulator and the node of a series of runs. `emulator`, `node` and `loop` may also be used directly."""

    def __init__(self, folder, seed, journal=None, clients=8):
        """`journal`: the node's journal table; `clients`: number of clients that send at the same time."""
        self.folder, self.rng, self.clients = Path(folder), Random(seed), clients
        self.folder.mkdir(parents=True, exist_ok=True)
        self.plan = crash_experiment(journal if journal is not None else {"batch_ms": 1.0})
        self.loop = uvloop.new_event_loop()
        self.emulator = self.loop.run_until_complete(
            Emulator(self.loop, self.plan, seed, open("/dev/null", "wb")).listen()
        )
        self.node = Node(self.plan, 0, self.emulator.addresses(), seed, self.folder)
        self.client_statuses, self.in_doubt_total, self.refused_total, self.sent_total = {}, 0, 0, 0
        self.in_doubt_ids = []  # transactions that the last run left in doubt

    async def run_client(self, run, number):
        """Sends transactions until one gets no response."""
        for k in range(10**6):
            txn_id = f"r{run}-{number}-{k}"
            self.sent_total += 1
            self.client_statuses[txn_id] = await send_transaction(self.node.listen, txn_id)
            if self.client_statuses[txn_id] == LOST:
                return

    async def run(self, run):
        """Runs the node until it is killed, and returns the disagreements."""
        await self.loop.run_in_executor(None, lambda: self.node.start().wait_until_ready())
        # These are sent again under their IDs; none of them may be executed now.
        again = [await send_transaction(self.node.listen, txn_id) for txn_id in self.in_doubt_ids[:20]]
        found = [
            f"{txn_id} was in doubt and answered {status}"
            for txn_id, status in zip(self.in_doubt_ids, again)
            if status != IN_DOUBT
        ]
        self.refused_total += again.count(IN_DOUBT)
        tasks = [self.loop.create_task(self.run_client(run, number)) for number in range(self.clients)]
        await asyncio.sleep(self.rng.uniform(0.0, 0.25))
        self.node.process.send_signal(signal.SIGKILL)
        await self.loop.run_in_executor(None, self.node.process.wait)
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.03)  # requests that were in flight have reached the servers and are counted
        journal = read_journal(self.folder / "journal-0")
        found += find_disagreements(journal, dict(self.emulator.executions.once_only_counts), self.client_statuses)
        found += [
            f"damage other than a torn tail: {row}" for row in journal.damage if not row.reason.startswith("torn")
        ]
        in_doubt_ids = [e.intent.transaction_id for e in journal.select(EntryFilter(in_doubt=True))]
        self.in_doubt_ids = [txn_id for txn_id in in_doubt_ids if txn_id.startswith(f"r{run}-")]
        self.in_doubt_total += len(self.in_doubt_ids)
        return found

    def play(self, runs, report_progress=lambda text: None):
        """Executes the runs and returns their counts and the disagreements."""
        found = []
        try:
            for run in range(runs):
                found += [f"run {run}: {disagreement}" for disagreement in self.loop.run_until_complete(self.run(run))]
                if (run + 1) % 50 == 0:
                    report_progress(
                        f"{run + 1} runs, {self.sent_total} txns, {self.in_doubt_total} in doubt, "
                        f"{len(found)} disagreements"
                    )
        finally:
            self.node.end()
            self.loop.close()
        return {
            "runs": runs,
            "txns": self.sent_total,
            "settled": list(self.client_statuses.values()).count(SETTLED),
            "in_doubt": self.in_doubt_total,
            "refused_again": self.refused_total,
            "disagreements": found,
        }


def save(result, path):
    """Writes the result as JSON."""
    Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(result)))
