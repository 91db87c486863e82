"""Hosts many nodes on one connection. They share no state: each has its own ids, timers and decisions."""

import sys

import orjson

from .. import terms as t
from ..announced import InvalidSetupError, Names, look_up, read_terms, to_ns
from ..choice import Node
from ..in_flight import InFlight
from .codec import ENDINGS, STATES, to_ms


class MalformedInputError(Exception):
    """The input is not valid, so that no further message can be read."""


class Instance:
    """One instance: its node, and its table of what is in flight."""

    def __init__(self, now, event):
        """Creates the node of a NewInstance message."""
        setup = event["Setup"]
        self.names = Names(setup)
        self.node = Node(read_terms(setup), event["Seed"], now)
        self.in_flight = InFlight()

    def handle(self, now, event):
        """Gives a message to the node. Returns the replies."""
        handler = HANDLERS.get(event["cmd"])
        if handler is None:
            raise InvalidSetupError(f"unknown event {event['cmd']!r}")
        message = handler(self, event)
        return self.write(self.node.take(now, message)) if message is not None else []

    # ---- events

    def targets(self, event):
        """Reads the server list."""
        mode = event["Mode"]
        if mode == "lost":
            return t.ServerList(False, True)
        whole, rows = mode != "incr", []
        for row in event.get("Rows", ()):
            state = look_up(STATES, row["Status"], "status")
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
                    to_ns(row.get("CameUp", 0)),
                )
            )
        if whole:
            self.in_flight.retain_servers(rows)
        return t.ServerList(whole, False, rows)

    def req(self, event):
        """Reads a request."""
        product = look_up(self.names.products, event["TierClass"], "product")
        plan = look_up(self.names.plans, event["Tier"], "plan")
        txn = self.in_flight.open(event["Req"])
        return t.Arrival(
            txn,
            product,
            plan,
            event["UserKey"],
            event.get("Weight", 1),
            to_ns(event["Remaining"]),
            max(1, event.get("SetSize", 1)),
        )

    def underway(self, event):
        return None  # a stream that has started ends later, with a final outcome

    def returned(self, event):
        """Reads the end of a submission."""
        outcome = look_up(ENDINGS, event["Ending"], "ending")
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
            outcome,
            to_ns(event.get("Took", 0)),
            final,
            event.get("Charged", 0),
            attempt,
            (use - 1) / 100 if use else None,
        )

    def dropped(self, event):
        """Reads that the client of a request has gone."""
        txn = self.in_flight.transactions.find(event["Req"])
        return t.Left(txn) if txn is not None and self.in_flight.finish(txn) else None

    def wake(self, event):
        """Reads a reminder that is due."""
        return t.Due(event["Ref"])

    def sampled(self, event):
        """Reads the end of a probe."""
        outcome = look_up(ENDINGS, event["Ending"], "ending")
        server = self.in_flight.servers.find(event["Server"])
        if server is None or not self.in_flight.is_busy(server):
            return None
        self.in_flight.end_health_check(server)
        return t.Probed(server, outcome, to_ns(event.get("Took", 0)), event.get("Report") or {})

    def added(self, event):
        """Reads the end of a call to the counter."""
        return t.Counted(
            event["Book"],
            event.get("Total", 0),
            look_up(ENDINGS, event["Ending"], "ending"),
            to_ns(event.get("Took", 0)),
        )

    def peerdata(self, event):
        return None  # nodes do not exchange messages

    # ---- effects

    def write(self, effects):
        """Returns the effects as messages."""
        return [WRITERS[type(effect)](self, effect) for effect in effects]

    def submit(self, e):
        """Writes a submission."""
        self.in_flight.add_submission(e.txn, e.server)
        return {
            "cmd": "Route",
            "Req": self.in_flight.transactions.key(e.txn),
            "Server": self.in_flight.servers.key(e.server),
            "AllowFor": to_ms(e.timeout),
        }

    def cancel(self, e):
        """Writes the cancellation of a submission."""
        return {"cmd": "Retract", "Req": self.in_flight.transactions.key(e.txn), "Attempt": e.attempt}

    def decline(self, e):
        """Writes that a request has not run."""
        self.in_flight.finish(e.txn)
        return {"cmd": "Reject", "Req": self.in_flight.transactions.key(e.txn), "RetryIn": to_ms(e.retry_after)}

    def void(self, e):
        """Writes that a request may have run."""
        self.in_flight.finish(e.txn)
        return {"cmd": "Lose", "Req": self.in_flight.transactions.key(e.txn)}

    def remind(self, e):
        """Writes a reminder."""
        return {"cmd": "Remind", "Delay": to_ms(e.delay), "Ref": e.ref}

    def probe(self, e):
        """Writes a probe."""
        self.in_flight.add_health_check(e.server)
        return {"cmd": "Poll", "Server": self.in_flight.servers.key(e.server)}

    def add(self, e):
        """Writes a call to the counter."""
        return {"cmd": "ChargeCounter", "Book": e.name, "Delta": e.amount, "Lifetime": to_ms(e.lifetime)}

    def subscribe(self, e):
        """Writes the subscription to the server list."""
        return {"cmd": "KeepInformed", "Active": True}

    def notice(self, e):
        """Writes a change of the counter's state as a debug message."""
        return {"cmd": "Debug", "Msg": f"counter {e.change}, hears of {e.heard_nodes} nodes"}


HANDLERS = {
    "Targets": Instance.targets,
    "Req": Instance.req,
    "UnderWay": Instance.underway,
    "Returned": Instance.returned,
    "Dropped": Instance.dropped,
    "Wake": Instance.wake,
    "Sampled": Instance.sampled,
    "Added": Instance.added,
    "PeerData": Instance.peerdata,
}
WRITERS = {
    t.Submit: Instance.submit,
    t.Cancel: Instance.cancel,
    t.Decline: Instance.decline,
    t.Void: Instance.void,
    t.Remind: Instance.remind,
    t.Probe: Instance.probe,
    t.AddToCount: Instance.add,
    t.Subscribe: Instance.subscribe,
    t.CounterNotice: Instance.notice,
}


class Host:
    """Reads messages, gives them to their instances and writes their replies."""

    def __init__(self, output):
        """Starts without instances. `output`: where replies are written."""
        self.output, self.instances, self.now = output, {}, 0

    def serve(self, lines):
        """Handles messages until the input ends. Replies are written when the simulator gives the turn."""
        replies = []
        for line in lines:
            if not line.strip():
                continue
            event = self.parse(line)
            cmd = event["cmd"]
            if cmd == "Tick":
                self.now = to_ns(event["Time"]) if "Time" in event else self.fail_missing(event, "Time")
            elif cmd == "YourTurn":
                replies.append({"cmd": "End"})
                lines = (orjson.dumps(reply, option=orjson.OPT_APPEND_NEWLINE) for reply in replies)
                self.output.write(b"".join(lines))
                self.output.flush()
                replies = []
            else:
                replies += self.handle_event(event)

    @staticmethod
    def parse(line):
        """Returns the message of a line. Raises MalformedInputError."""
        try:
            event = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise MalformedInputError(f"not JSON ({error}): {line[:80]!r}") from None
        if not isinstance(event, dict) or not isinstance(event.get("cmd"), str):
            raise MalformedInputError(f"no message name in {line[:80]!r}")
        return event

    @staticmethod
    def fail_missing(event, name):
        """Raises MalformedInputError for a message that lacks a field."""
        raise MalformedInputError(f"{event['cmd']} without {name}")

    def handle_event(self, event):
        """Returns the replies of an instance to a message, or a Fault."""
        instance_id, cmd = event.get("I"), event["cmd"]
        if not isinstance(instance_id, int):
            self.fail_missing(event, "I")
        try:
            if cmd == "NewInstance":
                self.instances[instance_id] = Instance(self.now, event)
                replies = self.instances[instance_id].write(self.instances[instance_id].node.take(self.now, None))
            elif cmd == "CrashNow":
                self.instances.pop(instance_id, None)
                return []
            elif instance_id not in self.instances:
                return []  # the instance has ended
            else:
                replies = self.instances[instance_id].handle(self.now, event)
                self.instances[instance_id].in_flight.release()
        except InvalidSetupError as error:
            return self.fault(instance_id, f"{cmd}: {error}")
        except KeyError as error:
            return self.fault(instance_id, f"{cmd}: missing or unknown {error}")
        except Exception as error:  # a failed decision is reported as a Fault, without a traceback
            return self.fault(instance_id, f"{cmd}: {type(error).__name__}: {error}")
        for reply in replies:
            reply["I"] = instance_id
        return replies

    @staticmethod
    def fault(instance_id, text):
        """Returns a Fault as the only reply, and prints it."""
        print(f"rampfront: instance {instance_id}: {text}", file=sys.stderr)
        return [{"cmd": "Fault", "I": instance_id, "Msg": text}]
