"""Orders at the leader of the core: each is executed once, and answered to the node that submitted it."""

import cbor2
from node_fixtures import BODY, CALLER, LEADER, OTHER, NodeHarness
from proxy_fixtures import MS

from rampfront.consensus.events import OrderKind, Outcome
from rampfront.node.order_table import MAX_ANSWERED, MAX_IN_FLIGHT, RETENTION_NS


def test_orders_of_two_nodes_with_one_number_are_told_apart():
    """Each node gets the answer to its own order, in whatever order they are executed."""
    node = NodeHarness(leads=True)
    node.receive_order(CALLER, 1, incarnation=5)
    node.receive_order(OTHER, 1, incarnation=5, body="b1")
    node.receive_order(OTHER, 1, incarnation=6, kind=OrderKind.READ, body=None)  # the same node after a restart
    assert [order.body for order in node.core.orders] == ["a1", "b1", None]
    for at in (1, 2, 0):
        node.core_answers(at)
    assert node.sent_replies() == [(OTHER, 5, 1, "done"), (OTHER, 6, 1, "done"), (CALLER, 5, 1, "done")]
    assert not node.table.in_flight


def test_a_repeated_order_is_executed_once():
    """A repeat while the order is in flight is ignored, and one after the answer gets the same answer. Otherwise an
    `empty.start` that is counted twice would keep a zone evacuated, and a late `empty.start` would undo the
    `empty.finish` that followed it."""
    node = NodeHarness(leads=True)
    for _ in range(3):
        node.receive_order(CALLER, 1, kind=OrderKind.EVACUATE)
    assert len(node.core.orders) == 1 and not node.sent_replies()
    node.core_answers()
    assert node.sent_replies() == [(CALLER, 5, 1, "done")]
    node.receive_order(CALLER, 1, kind=OrderKind.EVACUATE)
    node.core.is_leader = False  # also if another node leads now
    node.receive_order(CALLER, 1, kind=OrderKind.EVACUATE)
    assert node.sent_replies() == 2 * [(CALLER, 5, 1, "done")]
    assert len(node.core.orders) == 1 and node.counts["orders_repeated"] == 4
    node.core.is_leader = True
    node.receive_order(CALLER, 2, kind=OrderKind.EVACUATE)  # a new number is a new order
    assert len(node.core.orders) == 2


def test_an_order_that_was_not_taken_may_be_repeated():
    """After NOT_LEADER and REJECTED the order may be sent again to the same node, which may lead by then."""
    node = NodeHarness(leads=True)
    for at, outcome in enumerate((Outcome.NOT_LEADER, Outcome.REJECTED)):
        node.receive_order(CALLER, 1)
        node.core_answers(at, outcome)
    node.receive_order(CALLER, 1)
    assert len(node.core.orders) == 3
    node.core_answers(2, Outcome.UNKNOWN)  # it may take effect, so it must not be executed again
    node.receive_order(CALLER, 1)
    assert len(node.core.orders) == 3 and [row[3] for row in node.sent_replies()] == [
        "away",
        "refused",
        "doubt",
        "doubt",
    ]


def test_a_second_answer_of_the_core_is_sent_to_nobody():
    """A second answer must not be delivered to the node's own order with the same number."""
    node = NodeHarness(leads=True)
    node.receive_order(CALLER, 1)
    node.submit(body="b1")  # the node's own first order, which also has number 1
    node.core_answers(0)
    node.core_answers(0)
    assert not node.completed and node.sent_replies() == [(CALLER, 5, 1, "done")]
    node.core_answers(1)
    assert [outcome for outcome, _ in node.completed] == ["done"]


def test_a_full_table_answers_busy():
    """Without an answer the operator would wait a second. Once there is room, the order is accepted."""
    node = NodeHarness(leads=True)
    for number in range(1, MAX_IN_FLIGHT + 1):
        node.receive_order(CALLER, number)
    node.receive_order(OTHER, 1)
    assert node.sent_replies() == [(OTHER, 5, 1, "busy")] and node.counts["orders_busy"] == 1
    node.submit()
    assert node.completed == [("busy", None)]
    node.core_answers()
    node.receive_order(OTHER, 1)
    assert len(node.core.orders) == MAX_IN_FLIGHT + 1


def test_tables_of_orders_are_bounded_and_expire():
    """Orders without an answer expire, and answers are kept for a limited time and in a limited number."""
    node = NodeHarness(leads=True)
    node.receive_order(CALLER, 1)
    node.loop.wait(11000)
    assert not node.table.in_flight and node.counts["orders_abandoned"] == 1
    node.core_answers()  # the order has expired, so no reply is sent
    assert not node.sent_replies()
    for number in range(2, MAX_ANSWERED + 4):
        node.receive_order(CALLER, number)
        node.core_answers(number - 1)
    assert len(node.table.answered) == MAX_ANSWERED
    node.loop.wait(RETENTION_NS // MS + 200)
    assert not node.table.answered


def test_a_reply_leaves_out_the_body_that_the_order_brought():
    """The acknowledgement is small, but decodes to the whole state. The reply includes any other body."""
    for body in (BODY, b"another, below the one that holds"):
        leader, node = NodeHarness(leads=True), NodeHarness()
        node.submit(OrderKind.CONFIGURE, (1, body))
        ((_, order),) = node.wire.take("order")
        leader.receive(CALLER, order)
        leader.core_answers()
        ((_, reply),) = leader.wire.take("said")
        assert (BODY in cbor2.dumps(reply)) == (body != BODY)
        node.receive(LEADER, reply)
        node.receive(LEADER, reply)  # a repeated reply is dropped
        ((outcome, held),) = node.completed
        assert (outcome, held.body, held.index) == ("done", BODY, 5) and node.counts["replies_unsolicited"] == 1
