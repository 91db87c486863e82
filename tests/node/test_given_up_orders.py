"""An order that its caller has given up is not carried out, however late it arrives and at whichever node.

Guards against an order on a zone that was repeated elsewhere, read by its first node seconds later, and carried out as
a new one: it opened a zone that another operator had evacuated meanwhile, or left one evacuated for ever. Whole nodes
run on a fake clock, and callers have the connections that a kernel would have.
"""

import json
import struct
from collections import Counter
from types import SimpleNamespace

import pytest
from node_fixtures import CALLER, LEADER, NodeHarness
from test_second_operator import APPLIED, MS, SEC, Connection, System, UnansweredError, stays_evacuated

from rampfront.consensus.events import OrderKind, Outcome
from rampfront.membership.leadership import LeaderAnswer
from rampfront.membership.messages import Heartbeat, encode_heartbeat
from rampfront.membership.peers import MAX_EARLIER_ARRIVALS, Peer
from rampfront.membership.roster import RosterEntry
from rampfront.membership.versions import NO_VERSIONS
from rampfront.net.http_messages import UNKNOWN_TIMING, RequestTiming
from rampfront.net.memory_account import machine_account
from rampfront.node.control_calls import ControlCalls
from rampfront.node.order_messages import GIVEN_UP, LATE, OrderDeadline, OrderRequest
from rampfront.node.order_submitter import ANSWER_TIMEOUT_NS, MAX_GAP_NS

PATIENCE = SEC  # after which a caller without an answer turns to another node
FROZEN = 4800 * MS
ESTABLISHED, CLOSE_WAIT = 1, 8
CALM_NODE, FOLLOWER, WITHOUT_DISK = 1, 2, 4


class ImpatientCaller(Connection):
    """A caller who turns away after a second without an answer, and closes the connection or leaves it open."""

    def __init__(self, system: System, node: int, name: str, closes: bool, held_up: int = 0) -> None:
        """`held_up`: for which the network holds up the order on the connection, in ns."""
        self.arrives_at, self.has_ended = system.fleet.now + MS, False
        self.connected_at = self.arrives_at - held_up
        request = f"POST /api/rpc?call={name}&of=a1 HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n".encode()
        super().__init__(system, system.fleet.machines[node], request, None)
        if closes:
            system.fleet.at(system.fleet.now + PATIENCE, self.give_up)

    def give_up(self) -> None:
        """End the stream; the kernel of a node that stands still has the end of it, too."""
        self.has_ended = True
        self.system.call_later(0, self.machine, self.end)

    def receive(self, data: bytes) -> None:
        """Deliver bytes to a caller who has turned away: to nobody, or to a socket that nobody reads."""
        if self.has_ended:
            self.reset()

    def get_extra_info(self, name: str) -> object:
        """Return the socket."""
        return self if name == "socket" else super().get_extra_info(name)

    def fileno(self) -> int:
        """Return an invalid descriptor: all written bytes count as acknowledged."""
        return -1

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Return the kernel's `tcp_info`."""
        sent_age, received_age = ((self.system.fleet.now - at) // MS for at in (self.connected_at, self.arrives_at))
        state = CLOSE_WAIT if self.has_ended else ESTABLISHED
        return struct.pack("=B43xI4xI12xI28xI", state, sent_age, received_age, 2000, 0)[:size]


def node_number(system: System, which: object) -> int:
    """The number of a node; "leader": of the one that leads."""
    if which == "leader":
        return next(number for number, machine in enumerate(system.fleet.core) if machine.core_member.is_leader)
    return which


def acknowledged(system: System, not_at: int, name: str) -> None:
    """An operator's order, sent to one node after the other but one until it is acknowledged."""
    nodes = [number for number in (CALM_NODE, 0, 3) if number != not_at]
    for attempt in range(20):
        try:
            system.answered(nodes[attempt % len(nodes)], name)
        except UnansweredError:
            system.wait(200 * MS)
        else:
            return
    raise UnansweredError(name)


def freeze_with_order(system: System, node: int, name: str, closes: bool) -> int:
    """Freeze a node and send it an order, which its caller repeats elsewhere. Returns until when the node is frozen."""
    machine = system.fleet.machines[node]
    system.fleet.freeze(machine)
    ImpatientCaller(system, node, name, closes)
    thaws_at = system.fleet.now + FROZEN
    system.fleet.at(thaws_at, system.fleet.thaw, machine, machine.life)
    system.wait(PATIENCE + 200 * MS)
    acknowledged(system, node, name)
    system.wait(SEC)
    return thaws_at


@pytest.fixture
def system() -> System:
    system = System()
    system.fleet.rule_checker.on_fault_began = system.fleet.rule_checker.on_fault_ended = lambda *_: None
    return system


@pytest.mark.parametrize("closes", [True, False], ids=["closes", "leaves it open"])
@pytest.mark.parametrize("which", [WITHOUT_DISK, FOLLOWER, "leader"])
def test_a_given_up_return_opens_no_zone_that_was_evacuated_meanwhile(
    system: System, which: object, closes: bool
) -> None:
    node = node_number(system, which)
    acknowledged(system, node, "empty.start")
    system.wait(8 * SEC)
    thaws_at = freeze_with_order(system, node, "empty.finish", closes)
    acknowledged(system, node, "empty.start")
    system.wait(thaws_at + SEC - system.fleet.now)
    assert stays_evacuated(system, 20 * SEC) is None
    acknowledged(system, node, "empty.finish")
    system.wait(APPLIED)
    assert not any(system.evacuated_at())


@pytest.mark.parametrize("closes", [True, False], ids=["closes", "leaves it open"])
@pytest.mark.parametrize("which", [WITHOUT_DISK, FOLLOWER, "leader"])
@pytest.mark.parametrize("returned", ["before", "behind"])
def test_a_given_up_evacuation_leaves_no_zone_evacuated_for_ever(
    system: System, which: object, closes: bool, returned: str
) -> None:
    """The operator takes the zone back before or after the node reads the order that was given up."""
    node = node_number(system, which)
    thaws_at = freeze_with_order(system, node, "empty.start", closes)
    if returned == "before":
        acknowledged(system, node, "empty.finish")
    system.wait(thaws_at + SEC - system.fleet.now)
    if returned == "behind":
        system.wait(8 * SEC)
        acknowledged(system, node, "empty.finish")
    system.wait(10 * SEC)
    assert not any(system.evacuated_at())


@pytest.mark.parametrize("name", ["empty.finish", "empty.start"])
def test_an_order_that_the_network_held_up_changes_nothing(system: System, name: str) -> None:
    """A partition heals 20 s after the order was given up: its bytes arrive, and the end of the stream behind them."""
    acknowledged(system, WITHOUT_DISK, "empty.start")
    system.wait(8 * SEC)
    acknowledged(system, WITHOUT_DISK, "empty.finish")
    system.wait(12 * SEC)
    is_evacuated = name == "empty.finish"
    if is_evacuated:
        acknowledged(system, WITHOUT_DISK, "empty.start")
    system.wait(8 * SEC)
    caller = ImpatientCaller(system, WITHOUT_DISK, name, closes=False)
    system.fleet.at(system.fleet.now + 5 * MS, caller.give_up)
    system.wait(10 * SEC)
    assert system.evacuated_at() == [is_evacuated] * len(system.fleet.machines)


@pytest.mark.parametrize("name", ["empty.finish", "empty.start"])
def test_an_order_that_the_network_held_up_changes_nothing_while_its_connection_stays_open(
    system: System, name: str
) -> None:
    """The caller has repeated the order elsewhere, and the end of its stream never comes."""
    acknowledged(system, WITHOUT_DISK, "empty.start")
    if name == "empty.finish":
        system.wait(8 * SEC)
        acknowledged(system, WITHOUT_DISK, "empty.finish")
        system.wait(12 * SEC)
        acknowledged(system, WITHOUT_DISK, "empty.start")
    system.wait(2 * SEC)
    ImpatientCaller(system, WITHOUT_DISK, name, closes=False, held_up=4 * SEC)
    system.wait(8 * SEC)
    assert all(system.evacuated_at())
    acknowledged(system, WITHOUT_DISK, "empty.finish")
    system.wait(20 * SEC)
    assert not any(system.evacuated_at())


@pytest.mark.parametrize("new_leader", [False, True], ids=["same leader", "another leader"])
@pytest.mark.parametrize("which", [WITHOUT_DISK, FOLLOWER, "leader"])
@pytest.mark.parametrize("name", ["empty.finish", "empty.start"])
def test_an_attempt_that_a_relay_delivers_late_changes_nothing(
    system: System, name: str, which: object, new_leader: bool
) -> None:
    """It comes on a connection of its own that stays open, at a node that cannot tell it from a new order."""
    acknowledged(system, WITHOUT_DISK, "empty.start")
    if name == "empty.finish":
        system.wait(8 * SEC)
        acknowledged(system, WITHOUT_DISK, "empty.finish")
        system.wait(SEC)
        acknowledged(system, WITHOUT_DISK, "empty.start")
    system.wait(2 * SEC)
    if new_leader:
        leader = system.fleet.machines[node_number(system, "leader")]
        system.fleet.freeze(leader)
        system.fleet.at(system.fleet.now + FROZEN, system.fleet.thaw, leader, leader.life)
        system.wait(FROZEN + SEC)
        assert leader is not system.fleet.machines[node_number(system, "leader")]
    system.call(node_number(system, which), name)
    system.wait(8 * SEC)
    assert all(system.evacuated_at())
    acknowledged(system, WITHOUT_DISK, "empty.finish")
    system.wait(APPLIED)
    assert not any(system.evacuated_at())


def test_an_answer_to_an_operator_closes_the_connection(system: System) -> None:
    """Guards against orders that every node rejects, as the age of an order on an idle connection is not known."""
    connection = system.call(WITHOUT_DISK, "state.read")
    system.wait(100 * MS)
    assert connection.closed and b"\r\nConnection: close\r\n" in connection.received


class WaitingCaller:
    """A caller as the order's submitter sees it."""

    def __init__(self, age: int = 0, waits: bool = True, **timing: int) -> None:
        self.waits, self.known = waits, RequestTiming(age, **{"round_trip_ns": 60 * MS, **timing})

    def is_awaited(self) -> bool:
        return self.waits

    def timing(self) -> RequestTiming:
        return self.known


def submit(node: NodeHarness, caller: WaitingCaller) -> None:
    node.orders.submit(OrderKind.RESTORE, "a1", lambda *ended: node.completed.append(ended), 7, caller)


def answer_heartbeat(node: NodeHarness, delay: int) -> int:
    """Let the leader answer a heartbeat of the node `delay` ns after it was sent. Returns when it was sent."""
    sent_at = node.process.context.clock()
    node.loop.wait(delay // MS)
    received_at = node.process.context.clock()
    node.process.disseminator.leadership.last_answer = LeaderAnswer(LEADER, sent_at, received_at)
    return sent_at


@pytest.mark.parametrize(
    "caller",
    [
        WaitingCaller(ANSWER_TIMEOUT_NS),  # it lay unread for longer than callers wait
        WaitingCaller(waits=False),
        WaitingCaller(age=MAX_GAP_NS + 1, gap_ns=MAX_GAP_NS + 1),  # the network may have held it up
        WaitingCaller(is_bounded=False),
    ],
)
def test_an_order_whose_caller_may_have_given_up_is_not_sent(caller: WaitingCaller) -> None:
    node = NodeHarness()
    answer_heartbeat(node, 0)
    submit(node, caller)
    assert not node.wire.take("order") and not node.orders.open and len(node.completed) == 1
    assert node.counts["orders_given_up"] == 1


def test_an_order_of_a_distant_caller_is_sent_in_the_time_that_it_waits() -> None:
    node = NodeHarness()
    answer_heartbeat(node, 0)
    submit(node, WaitingCaller(age=600 * MS, round_trip_ns=600 * MS))
    node.loop.wait(150)
    assert len(node.wire.take("order")) == 1
    node.receive_reply(LEADER, 1, Outcome.DONE)
    assert node.completed[0][0] == Outcome.DONE


class RejectedCall:
    """A call whose order is not carried out; records the answer."""

    query, idempotency_key, closes_connection = {"of": "a1"}, b"", False

    def timing(self) -> RequestTiming:
        return UNKNOWN_TIMING

    def respond(self, status: int, body: bytes, headers: object) -> bool:
        self.status, self.reason = status, json.loads(body)["Message"]
        return True


def test_a_caller_whose_order_may_be_late_is_told_to_repeat_it_on_a_new_connection() -> None:
    """An order that the core did not answer stays open."""
    orders = SimpleNamespace(
        next_identity=lambda: 7, clock=lambda: 0, submit=lambda *about, **_: about[2](outcome, None)
    )
    control = ControlCalls(orders, {"a1"}, machine_account(int, 200, Counter()))
    closed = {}
    for outcome in (GIVEN_UP, None):
        call = RejectedCall()
        control.start_evacuation(call)
        assert call.status == 503
        closed[outcome] = call.closes_connection, "new connection" in call.reason
    assert closed == {GIVEN_UP: (True, True), None: (False, False)}


@pytest.mark.parametrize("gives_up_ms, sent", [(70, 0), (150, 1)])
def test_an_order_is_sent_only_until_its_caller_gives_up(gives_up_ms: int, sent: int) -> None:
    """Nor is it sent if the end of the stream comes a round trip behind bytes that the network held up."""
    node = NodeHarness()
    answer_heartbeat(node, 0)
    caller = WaitingCaller()
    submit(node, caller)
    node.loop.wait(gives_up_ms)
    caller.waits = False
    node.loop.wait(900)
    assert len(node.wire.take("order")) == sent and node.completed == [(None, None)]


def test_the_deadline_of_an_order_counts_from_a_heartbeat_that_the_leader_has_answered() -> None:
    node = NodeHarness()
    submit(node, WaitingCaller())
    node.loop.wait(150)
    assert not node.wire.take("order")  # nothing is known of the leader's clock yet
    sent_at = answer_heartbeat(node, 40 * MS)
    node.loop.wait(200)
    ((_, frame),) = node.wire.take("order")
    assert OrderRequest.decode(frame).deadline == OrderDeadline(sent_at, ANSWER_TIMEOUT_NS - 190 * MS)


@pytest.mark.parametrize("late, is_late", [(0, False), (1, True), (500 * MS, True)])
def test_the_leader_carries_out_no_order_behind_its_deadline(late: int, is_late: bool) -> None:
    """A request was delayed on its way; an order of a node whose heartbeat is not known counts as late as well."""
    leader = NodeHarness(leads=True)
    leader.core.quorum_confirmed_at = leader.process.context.clock()
    leader.process.tick()
    heartbeat = Heartbeat(NO_VERSIONS, 77, 3, "n7", "a1", "", True)
    leader.receive(CALLER, encode_heartbeat(heartbeat))
    leader.loop.wait(500)
    deadline = OrderDeadline(77, 500 * MS - late)
    for number, sent_at in ((1, 77), (2, 78)):
        request = OrderRequest(5, number, OrderKind.RESTORE, "a1", 7, deadline._replace(heartbeat_sent_at=sent_at))
        leader.receive(CALLER, request.encode())
    outcomes = [(number, outcome) for _, _, number, outcome in leader.sent_replies()]
    assert outcomes == [(1, LATE), (2, LATE)][not is_late :]
    assert len(leader.core.orders) == (not is_late)


def test_the_leader_knows_the_heartbeats_whose_answers_may_be_lost() -> None:
    peer = Peer(RosterEntry("n7", CALLER, "a1", "", True), NO_VERSIONS, 0)
    for number in range(1, 9):
        peer.record(Heartbeat(NO_VERSIONS, number, 3), 100 + number)
    known = [peer.arrival_of(number) for number in range(9)]
    assert known == [None] * (8 - MAX_EARLIER_ARRIVALS) + [
        100 + number for number in range(8 - MAX_EARLIER_ARRIVALS, 9)
    ]


def test_a_late_order_is_sent_again_while_its_caller_waits() -> None:
    node = NodeHarness()
    answer_heartbeat(node, 0)
    submit(node, WaitingCaller())
    node.loop.wait(150)
    node.receive_reply(LEADER, 1, LATE)
    node.loop.wait(250)
    assert len(node.wire.take("order")) == 2 and not node.completed
    node.receive_reply(LEADER, 1, Outcome.DONE)
    assert node.completed[0][0] == Outcome.DONE
