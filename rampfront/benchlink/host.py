"""Hosts many nodes on one wire. They share nothing: each has its own ids, timers and decisions."""

import sys

import orjson

from .. import terms as t
from ..announced import Names, Odd, ns, read_terms, word
from ..choice import Node
from ..in_flight import InFlight
from .codec import ENDINGS, STATES, ms


class Malformed(Exception):
    """The wire itself cannot be followed any further."""


class Desk:
    """One instance: its node, and what is in flight."""

    def __init__(self, now, event):
        setup = event["Setup"]
        self.names = Names(setup)
        self.node = Node(read_terms(setup), event["Seed"], now)
        self.in_flight = InFlight()

    def tell(self, now, event):
        handler = HANDLERS.get(event["cmd"])
        if handler is None:
            raise Odd(f"unknown event {event['cmd']!r}")
        told = handler(self, event)
        return self.write(self.node.take(now, told)) if told is not None else []

    # ---- events

    def targets(self, event):
        mode = event["Mode"]
        if mode == "lost":
            return t.ServerList(False, True)
        whole, rows = mode != "incr", []
        for row in event.get("Rows", ()):
            state = word(STATES, row["Status"], "status")
            index = self.in_flight.list_server(row["Server"], state == t.REMOVED)
            if index is None:
                continue
            rows.append(
                t.ServerListRow(
                    index,
                    state,
                    self.names.zones.get(row.get("Locality"), -1),
                    row.get("Cohort", 0),
                    row.get("Nominal", 1.0),
                    ns(row.get("CameUp", 0)),
                )
            )
        if whole:
            self.in_flight.retain_servers(rows)
        return t.ServerList(whole, False, rows)

    def req(self, event):
        product = word(self.names.products, event["TierClass"], "product")
        plan = word(self.names.plans, event["Tier"], "plan")
        txn = self.in_flight.open(event["Req"])
        return t.Arrival(
            txn,
            product,
            plan,
            event["UserKey"],
            event.get("Weight", 1),
            ns(event["Remaining"]),
            max(1, event.get("SetSize", 1)),
        )

    def underway(self, event):
        return None  # a stream that has started ends with an outcome that is final

    def returned(self, event):
        how = word(ENDINGS, event["Ending"], "ending")
        txn = self.in_flight.transactions.find(event["Req"])
        server = self.in_flight.servers.find(event["Server"])
        attempt = event.get("Attempt", 0)
        if txn is None or server is None or not self.in_flight.is_in_flight(txn, attempt):
            return None  # late, repeated or unknown
        final = event.get("Terminal", False)
        self.in_flight.end_submission(txn, attempt, server, final)
        use = event.get("Usage")
        return t.Ended(
            txn,
            server,
            how,
            ns(event.get("Took", 0)),
            final,
            event.get("Charged", 0),
            attempt,
            (use - 1) / 100 if use else None,
        )

    def dropped(self, event):
        txn = self.in_flight.transactions.find(event["Req"])
        return t.Left(txn) if txn is not None and self.in_flight.finish(txn) else None

    def wake(self, event):
        return t.Due(event["Ref"])

    def sampled(self, event):
        how = word(ENDINGS, event["Ending"], "ending")
        server = self.in_flight.servers.find(event["Server"])
        if server is None or not self.in_flight.is_busy(server):
            return None
        self.in_flight.end_health_check(server)
        return t.Probed(server, how, ns(event.get("Took", 0)), event.get("Report") or {})

    def added(self, event):
        return t.Counted(
            event["Book"], event.get("Total", 0), word(ENDINGS, event["Ending"], "ending"), ns(event.get("Took", 0))
        )

    def peerdata(self, event):
        return None  # nodes say nothing to each other

    # ---- effects

    def write(self, effects):
        return [WRITERS[type(effect)](self, effect) for effect in effects]

    def submit(self, e):
        self.in_flight.add_submission(e.txn, e.server)
        return {
            "cmd": "Route",
            "Req": self.in_flight.transactions.key(e.txn),
            "Server": self.in_flight.servers.key(e.server),
            "AllowFor": ms(e.timeout),
        }

    def cancel(self, e):
        return {"cmd": "Retract", "Req": self.in_flight.transactions.key(e.txn), "Attempt": e.attempt}

    def decline(self, e):
        self.in_flight.finish(e.txn)
        return {"cmd": "Reject", "Req": self.in_flight.transactions.key(e.txn), "RetryIn": ms(e.retry_after)}

    def void(self, e):
        self.in_flight.finish(e.txn)
        return {"cmd": "Lose", "Req": self.in_flight.transactions.key(e.txn)}

    def remind(self, e):
        return {"cmd": "Remind", "Delay": ms(e.delay), "Ref": e.ref}

    def probe(self, e):
        self.in_flight.add_health_check(e.server)
        return {"cmd": "Poll", "Server": self.in_flight.servers.key(e.server)}

    def add(self, e):
        return {"cmd": "ChargeCounter", "Book": e.name, "Delta": e.amount, "Lifetime": ms(e.lifetime)}

    def subscribe(self, e):
        return {"cmd": "KeepInformed", "Active": True}

    def notice(self, e):
        return {"cmd": "Debug", "Msg": f"counter {e.change}, hears of {e.heard_nodes} nodes"}


HANDLERS = {
    "Targets": Desk.targets,
    "Req": Desk.req,
    "UnderWay": Desk.underway,
    "Returned": Desk.returned,
    "Dropped": Desk.dropped,
    "Wake": Desk.wake,
    "Sampled": Desk.sampled,
    "Added": Desk.added,
    "PeerData": Desk.peerdata,
}
WRITERS = {
    t.Submit: Desk.submit,
    t.Cancel: Desk.cancel,
    t.Decline: Desk.decline,
    t.Void: Desk.void,
    t.Remind: Desk.remind,
    t.Probe: Desk.probe,
    t.AddToCount: Desk.add,
    t.Subscribe: Desk.subscribe,
    t.CounterNotice: Desk.notice,
}


class Host:
    def __init__(self, output):
        self.output, self.desks, self.now = output, {}, 0

    def serve(self, lines):
        replies = []
        for line in lines:
            if not line.strip():
                continue
            event = self.parse(line)
            cmd = event["cmd"]
            if cmd == "Tick":
                self.now = ns(event["Time"]) if "Time" in event else self.lacking(event, "Time")
            elif cmd == "YourTurn":
                replies.append({"cmd": "End"})
                lines = (orjson.dumps(reply, option=orjson.OPT_APPEND_NEWLINE) for reply in replies)
                self.output.write(b"".join(lines))
                self.output.flush()
                replies = []
            else:
                replies += self.one(event)

    @staticmethod
    def parse(line):
        try:
            event = orjson.loads(line)
        except orjson.JSONDecodeError as trouble:
            raise Malformed(f"not JSON ({trouble}): {line[:80]!r}") from None
        if not isinstance(event, dict) or not isinstance(event.get("cmd"), str):
            raise Malformed(f"no message name in {line[:80]!r}")
        return event

    @staticmethod
    def lacking(event, name):
        raise Malformed(f"{event['cmd']} without {name}")

    def one(self, event):
        where, cmd = event.get("I"), event["cmd"]
        if not isinstance(where, int):
            self.lacking(event, "I")
        try:
            if cmd == "NewInstance":
                self.desks[where] = Desk(self.now, event)
                replies = self.desks[where].write(self.desks[where].node.take(self.now, None))
            elif cmd == "CrashNow":
                self.desks.pop(where, None)
                return []
            elif where not in self.desks:
                return []  # for a life that has ended
            else:
                replies = self.desks[where].tell(self.now, event)
                self.desks[where].in_flight.release()
        except Odd as trouble:
            return self.fault(where, f"{cmd}: {trouble}")
        except KeyError as trouble:
            return self.fault(where, f"{cmd}: missing or unknown {trouble}")
        except Exception as trouble:  # the wire has a word for a failed decision: no traceback, no silence
            return self.fault(where, f"{cmd}: {type(trouble).__name__}: {trouble}")
        for reply in replies:
            reply["I"] = where
        return replies

    @staticmethod
    def fault(where, text):
        print(f"rampfront: instance {where}: {text}", file=sys.stderr)
        return [{"cmd": "Fault", "I": where, "Msg": text}]
