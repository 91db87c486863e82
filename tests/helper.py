"""Plays inputs to one node and prints what it decides, a line each. KEEP=1 writes the traces anew."""

import heapq
import os
from pathlib import Path

from rampfront import terms as t
from rampfront.choice import Node

MS = 10 ** 6
RATE = t.Plan(2.0, 10.0, 0, 0.0, 0.0, 0.0, 0.5)  # bursts of 10 units
CAP = t.Plan(0.0, 0.0, 2, 0.0, 0.0, 0.0, 0.5)
CEILING = t.Plan(10.0, 20.0, 0, 20.0, 40.0, 0.0, 0.5)
INQUIRY = t.Product(t.INQUIRY, t.ALL, 1000 * MS, 0, 0.0)
CELL = t.Product(t.REFERENCED, t.CELL, 1000 * MS, 3000 * MS, 0.0)
ONCE = t.Product(t.ONCE_ONLY, t.ALL, 1000 * MS, 0, 0.0)


class Play:
    def __init__(self, servers=1, nodes=2, plans=(RATE, CAP, CEILING),
                 products=(INQUIRY, CELL, ONCE), seed=7, **other):
        terms = dict(products=list(products), plans=list(plans), nodes=nodes, max_submissions=3,
                     may_probe=False, may_cancel=True, has_counter=True, counter_wait=50 * MS,
                     largest=1.0, subscribes=False,
                     longest_advice=1000 * MS, tick=2 * MS, cold_share=0.2, warm_within=10000 * MS,
                     fall_multiple=2.0, tip_after=1000 * MS)
        self.ms, self.lines, self.due, self.adds = 10000, [], [], []
        self.node = Node(t.Terms(**{**terms, **other}), seed, self.ms * MS)
        self.note(self.node.begin(self.ms * MS))
        if servers:
            self.list(*range(servers))

    def list(self, *ids, state=t.UP, born=0, whole=True, cell=0):
        self.tell(t.ServerList(whole, False, [t.Listed(k, state, 0, cell, 1.0, born * MS) for k in ids]))

    def note(self, effects):
        for e in effects:
            if isinstance(e, t.Remind):
                heapq.heappush(self.due, (self.ms + e.delay / MS, e.ref))
                continue
            if isinstance(e, t.Add):
                self.adds.append(e)
            said = {t.Submit: lambda: f"txn {e.txn} to {e.server} for {e.allow // MS} ms",
                    t.Decline: lambda: f"txn {e.txn} declined, back in {e.back_in // MS} ms",
                    t.Void: lambda: f"txn {e.txn} voided", t.Cancel: lambda: f"txn {e.txn} called off",
                    t.Add: lambda: f"adds {e.amount:g}", t.Probe: lambda: f"probes {e.server}",
                    t.Subscribe: lambda: "subscribes"}[type(e)]()
            self.lines.append(f"{self.ms - 10000:6.0f} ms  {said}")

    def say(self, text):
        self.lines.append(f"           -- {text}")

    def tell(self, told):
        self.note(self.node.take(round(self.ms * 1000) * 1000, told))

    def wait(self, ms):
        until = self.ms + ms
        while self.due and self.due[0][0] <= until:
            self.ms, ref = heapq.heappop(self.due)
            self.tell(t.Due(ref))
        self.ms = until

    def arrive(self, txn, product=0, plan=0, account="a", units=1, expiry=5000, nodes=2):
        self.tell(t.Arrival(txn, product, plan, account, units, expiry * MS, nodes))

    def end(self, txn, how=t.DONE, server=0, took=100, true=0, final=None):
        self.tell(t.Ended(txn, server, how, took * MS, how == t.DONE if final is None else final, true))

    def count(self, total=0, how=t.DONE):
        self.tell(t.Counted(self.adds.pop(0).name, total, how, 2 * MS))

    def sent_to(self):
        return int([line for line in self.lines if " to " in line][-1].split(" to ")[1].split()[0])

    def serve(self, txns, **arrival):
        for txn in txns:
            self.arrive(txn, **arrival)
            if self.node.txns.get(txn):
                self.end(txn)

    def check(self, name):
        path = Path(__file__).parent / "traces" / f"{name}.txt"
        text = "\n".join(self.lines) + "\n"
        if os.environ.get("KEEP"):
            path.write_text(text)
        assert text == path.read_text()
