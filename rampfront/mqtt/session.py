"""A client's session: detects repeated PUBLISHes, and keeps the answers that wait for the client. No I/O.

Inbound PUBLISHes at QoS 1 and 2 follow the table `INBOUND`: the state of a packet identifier and an event determine
the next state and the effect that `front.py` carries out. The final acknowledgement is sent with the transaction's
final answer, so a client without an acknowledgement may deliver the PUBLISH again. A repeated delivery is recognised by
packet identifier and digest:

- While its transaction is open, and after it was answered, a repeat is never executed again: it gets the answer of the
  first delivery.
- A repeat (DUP) that this node does not know is an `UNKNOWN_REDELIVERY`: another node may have executed it, or this one
  before a restart. The caller decides by product whether it may be executed.

What bounds the memory: answered flows beyond `max_flows` are removed, the oldest first, and all flows with the session;
`waiting` and `unacknowledged` shrink with the client's acknowledgements and are bounded by `max_waiting` (the oldest
answer is dropped and counted).
"""

from collections import OrderedDict, deque
from hashlib import blake2b

from .codec import OK, PACKET_ID_NOT_FOUND, matches

# States of a packet identifier.
NONE, OPEN, AWAITING_PUBREL, COMPLETED = "none", "open", "held", "done"  # AWAITING_PUBREL: PUBREC was sent
# Events: packets of the client, then the transaction's final answer.
NEW_PUBLISH, UNKNOWN_REDELIVERY, REPEAT, ID_CONFLICT, PUBREL_RECEIVED = "first", "strange", "repeat", "clash", "release"
ANSWERED_QOS1, ACCEPTED_QOS2, REJECTED_QOS2 = "good at QoS 1", "good at QoS 2", "bad at QoS 2"
# Effects.
EXECUTE, CHECK_REDELIVERY, AWAIT_ANSWER, ACKNOWLEDGE, REJECT, COMPLETE, REPORT_UNKNOWN_ID = (
    "take",
    "doubt",
    "wait",
    "tell",
    "refuse",
    "complete",
    "unknown",
)

INBOUND = {
    (NONE, NEW_PUBLISH): (OPEN, EXECUTE),
    (NONE, UNKNOWN_REDELIVERY): (OPEN, CHECK_REDELIVERY),
    (NONE, PUBREL_RECEIVED): (NONE, REPORT_UNKNOWN_ID),
    (OPEN, REPEAT): (OPEN, AWAIT_ANSWER),
    (OPEN, ID_CONFLICT): (OPEN, REJECT),
    (OPEN, PUBREL_RECEIVED): (OPEN, REPORT_UNKNOWN_ID),
    (OPEN, ANSWERED_QOS1): (COMPLETED, ACKNOWLEDGE),
    (OPEN, ACCEPTED_QOS2): (AWAITING_PUBREL, ACKNOWLEDGE),
    (OPEN, REJECTED_QOS2): (COMPLETED, ACKNOWLEDGE),
    (AWAITING_PUBREL, REPEAT): (AWAITING_PUBREL, ACKNOWLEDGE),
    (AWAITING_PUBREL, ID_CONFLICT): (AWAITING_PUBREL, REJECT),
    (AWAITING_PUBREL, PUBREL_RECEIVED): (COMPLETED, COMPLETE),
    (COMPLETED, NEW_PUBLISH): (OPEN, EXECUTE),
    (COMPLETED, UNKNOWN_REDELIVERY): (OPEN, CHECK_REDELIVERY),
    (COMPLETED, REPEAT): (COMPLETED, ACKNOWLEDGE),
    (COMPLETED, PUBREL_RECEIVED): (COMPLETED, COMPLETE),
}


class InboundFlow:
    """The delivery state of one packet identifier of the client.

    `acknowledgement`: reason code and properties of the acknowledgement.
    """

    __slots__ = ("state", "digest", "qos", "acknowledgement")

    def __init__(self):
        """Starts without a PUBLISH."""
        self.state, self.digest, self.qos, self.acknowledgement = NONE, None, 0, None


def message_digest(topic, payload, qos):
    """A digest by which repeated deliveries of the same message are recognised."""
    return blake2b(
        payload, digest_size=12, key=blake2b(topic.encode(), digest_size=32).digest(), salt=bytes((qos,))
    ).digest()


class Session:
    """The state of one client, which may outlive its connection.

    `key`: plan, account and client id, so that no account can take over a session of another.
    """

    def __init__(self, key, max_flows=256, max_waiting=256):
        """`max_flows`: bound of `inbound_flows`; `max_waiting`: bound of `waiting`."""
        self.key, self.client_id, self.max_flows, self.max_waiting = key, key[2], max_flows, max_waiting
        self.open_transactions = {}  # transactions of its PUBLISHes, until their final answer
        self.inbound_flows = OrderedDict()  # packet identifier to InboundFlow, in the order of their last use
        self.subscriptions = {}  # topic filter to QoS
        self.unacknowledged = OrderedDict()  # answers sent at QoS 1: packet identifier to (topic, payload, properties)
        self.waiting = deque()  # answers at QoS 1 that exceed `receive_maximum` or have no connection
        self.last_packet_id, self.dropped_answers, self.receive_maximum = 0, 0, 0
        # `expiry_ns`: how long the session outlives its connection.
        self.connection, self.expiry_ns, self.disconnected_at_ns = None, 0, 0

    # ---- PUBLISHes of the client

    def transition(self, packet_id, event):
        """Applies an event to a packet identifier, as `INBOUND` defines it: returns (flow, effect)."""
        flow = self.inbound_flows.get(packet_id)
        if flow is None:
            flow = InboundFlow()
        state, effect = INBOUND[flow.state, event]
        flow.state = state
        if state != NONE:
            self.inbound_flows[packet_id] = flow
            self.inbound_flows.move_to_end(packet_id)
            self.evict_flows()
        return flow, effect

    def evict_flows(self):
        """Bounds the memory: removes answered flows beyond `max_flows`, the oldest first, even without their PUBREL.

        A repeat of a removed flow is an UNKNOWN_REDELIVERY.
        """
        while len(self.inbound_flows) > self.max_flows:
            packet_id = next((packet_id for packet_id, flow in self.inbound_flows.items() if flow.state != OPEN), None)
            if packet_id is None:
                return  # open flows are bounded by the receive maximum that the client was told
            del self.inbound_flows[packet_id]

    def receive_publish(self, packet):
        """Returns (flow, effect) for a PUBLISH at QoS 1 or 2."""
        flow, digest = (
            self.inbound_flows.get(packet.packet_id),
            message_digest(packet.topic, packet.payload, packet.qos),
        )
        if flow is None or flow.state == COMPLETED and not (packet.dup and flow.digest == digest):
            event = UNKNOWN_REDELIVERY if packet.dup else NEW_PUBLISH
        else:
            event = REPEAT if flow.digest == digest else ID_CONFLICT
        flow, effect = self.transition(packet.packet_id, event)
        if effect in (EXECUTE, CHECK_REDELIVERY):
            flow.digest, flow.qos, flow.acknowledgement = digest, packet.qos, None
        return flow, effect

    def complete_publish(self, packet_id, code, properties):
        """Records the final answer of an open PUBLISH.

        Returns (flow, effect), or None if the packet identifier is no longer open.
        """
        flow = self.inbound_flows.get(packet_id)
        if flow is None or flow.state != OPEN:
            return None
        flow.acknowledgement = code, properties
        return self.transition(
            packet_id, ANSWERED_QOS1 if flow.qos == 1 else ACCEPTED_QOS2 if code < 0x80 else REJECTED_QOS2
        )

    def receive_pubrel(self, packet_id):
        """Returns the reason code of the PUBCOMP for a PUBREL."""
        flow, effect = self.transition(packet_id, PUBREL_RECEIVED)
        return OK if effect == COMPLETE else PACKET_ID_NOT_FOUND

    # ---- answers to the client

    def subscribed_qos(self, topic):
        """The QoS at which the client subscribed to this topic, 0 or 1; None if it did not."""
        found = [qos for filter, qos in self.subscriptions.items() if matches(filter, topic)]
        return min(1, max(found)) if found else None

    def enqueue_answer(self, topic, payload, properties):
        """Queues an answer at QoS 1. Drops the oldest one if the client takes none, to bound the memory."""
        if len(self.waiting) >= self.max_waiting:
            self.waiting.popleft()
            self.dropped_answers += 1
        self.waiting.append((topic, payload, properties))

    def next_answers(self):
        """Yields the answers that may be sent now: (packet identifier, topic, payload, properties)."""
        while self.waiting and len(self.unacknowledged) < self.receive_maximum:
            self.last_packet_id = self.last_packet_id % 65535 + 1
            if self.last_packet_id in self.unacknowledged:
                continue
            self.unacknowledged[self.last_packet_id] = answer = self.waiting.popleft()
            yield self.last_packet_id, *answer

    def receive_puback(self, packet_id):
        """Removes an answer that the client acknowledged. Returns whether there was one."""
        return self.unacknowledged.pop(packet_id, None) is not None
