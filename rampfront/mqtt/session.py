"""A client's session: which of its PUBLISHes are new, which are repeats, and the answers that wait for it. No I/O.

Inbound (QoS 1 and 2), by `INBOUND`: the state of a packet identifier and what is seen, to the next state and the
effect that `front.py` carries out. The final acknowledgement goes out with the txn's final answer, so a client that
has none may deliver again, and what is delivered again is known by identifier and digest:

- while its txn is open, or once it was answered, a repeat never runs again: the first one's answer tells;
- a repeat (DUP) of which this node knows nothing is `STRANGE`: another node may have run it, or this one before a
  restart. It is for the caller to say by product whether it may run.

Empties: `rows` of answered flows past `remember`, oldest first, and with the session; `waiting` and `unacked` by the
client's acknowledgements, bounded by `most_waiting` (the oldest goes, counted).
"""

from collections import OrderedDict, deque
from hashlib import blake2b

from .codec import OK, PACKET_ID_NOT_FOUND, matches

NONE, OPEN, HELD, DONE = "none", "open", "held", "done"  # HELD: PUBREC is out, PUBREL is awaited
FIRST, STRANGE, REPEAT, CLASH, RELEASE = "first", "strange", "repeat", "clash", "release"
GOOD1, GOOD2, BAD2 = "good at QoS 1", "good at QoS 2", "bad at QoS 2"
TAKE, DOUBT, WAIT, TELL, REFUSE, COMPLETE, UNKNOWN = "take", "doubt", "wait", "tell", "refuse", "complete", "unknown"

INBOUND = {
    (NONE, FIRST): (OPEN, TAKE),
    (NONE, STRANGE): (OPEN, DOUBT),
    (NONE, RELEASE): (NONE, UNKNOWN),
    (OPEN, REPEAT): (OPEN, WAIT),
    (OPEN, CLASH): (OPEN, REFUSE),
    (OPEN, RELEASE): (OPEN, UNKNOWN),
    (OPEN, GOOD1): (DONE, TELL),
    (OPEN, GOOD2): (HELD, TELL),
    (OPEN, BAD2): (DONE, TELL),
    (HELD, REPEAT): (HELD, TELL),
    (HELD, CLASH): (HELD, REFUSE),
    (HELD, RELEASE): (DONE, COMPLETE),
    (DONE, FIRST): (OPEN, TAKE),
    (DONE, STRANGE): (OPEN, DOUBT),
    (DONE, REPEAT): (DONE, TELL),
    (DONE, RELEASE): (DONE, COMPLETE),
}


class Row:
    """One packet identifier of the client's. `told`: reason code and properties of its acknowledgement."""

    __slots__ = ("state", "mark", "qos", "told")

    def __init__(self):
        self.state, self.mark, self.qos, self.told = NONE, None, 0, None


def digest(topic, payload, qos):
    return blake2b(
        payload, digest_size=12, key=blake2b(topic.encode(), digest_size=32).digest(), salt=bytes((qos,))
    ).digest()


class Session:
    """`key`: plan, account and client id, so that no account can take over another's session."""

    def __init__(self, key, remember=256, most_waiting=256):
        self.key, self.client_id, self.remember, self.most_waiting = key, key[2], remember, most_waiting
        self.open = {}  # what its PUBLISHes asked for that has no final answer yet; emptied by answers
        self.rows = OrderedDict()  # packet identifier to Row, in the order of their last use
        self.filters = {}  # what the client subscribed to, to QoS
        self.unacked = OrderedDict()  # answers out at QoS 1: packet identifier to (topic, payload, properties)
        self.waiting = deque()  # answers at QoS 1 that have no room yet, or no connection
        self.next_pid, self.dropped, self.window = 0, 0, 0
        self.link, self.expiry, self.since = None, 0, 0  # the connection, how long it outlives one, since when

    # ---- what the client publishes

    def step(self, packet_id, seen):
        row = self.rows.get(packet_id)
        if row is None:
            row = Row()
        state, effect = INBOUND[row.state, seen]
        row.state = state
        if state != NONE:
            self.rows[packet_id] = row
            self.rows.move_to_end(packet_id)
            self.forget()
        return row, effect

    def forget(self):
        """Guards memory: answered flows past `remember` go, the oldest first, also those whose PUBREL never came. A
        repeat of one that went is STRANGE."""
        while len(self.rows) > self.remember:
            packet_id = next((packet_id for packet_id, row in self.rows.items() if row.state != OPEN), None)
            if packet_id is None:
                return  # what is open is bounded by the window told to the client
            del self.rows[packet_id]

    def published(self, packet):
        """(row, effect) of a PUBLISH at QoS 1 or 2."""
        row, mark = self.rows.get(packet.packet_id), digest(packet.topic, packet.payload, packet.qos)
        if row is None or row.state == DONE and not (packet.dup and row.mark == mark):
            seen = STRANGE if packet.dup else FIRST
        else:
            seen = REPEAT if row.mark == mark else CLASH
        row, effect = self.step(packet.packet_id, seen)
        if effect in (TAKE, DOUBT):
            row.mark, row.qos, row.told = mark, packet.qos, None
        return row, effect

    def answered(self, packet_id, code, properties):
        """The final answer to an open one: (row, effect), or None where the identifier is no longer open."""
        row = self.rows.get(packet_id)
        if row is None or row.state != OPEN:
            return None
        row.told = code, properties
        return self.step(packet_id, GOOD1 if row.qos == 1 else GOOD2 if code < 0x80 else BAD2)

    def released(self, packet_id):
        """The code of the PUBCOMP for a PUBREL."""
        row, effect = self.step(packet_id, RELEASE)
        return OK if effect == COMPLETE else PACKET_ID_NOT_FOUND

    # ---- what it is told

    def wants(self, topic):
        """The QoS at which it subscribed to this topic, 0 or 1; None if it did not."""
        found = [qos for filter, qos in self.filters.items() if matches(filter, topic)]
        return min(1, max(found)) if found else None

    def put(self, topic, payload, properties):
        """An answer at QoS 1. Guards memory against a client that takes none: the oldest goes."""
        if len(self.waiting) >= self.most_waiting:
            self.waiting.popleft()
            self.dropped += 1
        self.waiting.append((topic, payload, properties))

    def due(self):
        """Answers that have room now: (packet identifier, topic, payload, properties)."""
        while self.waiting and len(self.unacked) < self.window:
            self.next_pid = self.next_pid % 65535 + 1
            if self.next_pid in self.unacked:
                continue
            self.unacked[self.next_pid] = answer = self.waiting.popleft()
            yield self.next_pid, *answer

    def acked(self, packet_id):
        return self.unacked.pop(packet_id, None) is not None
