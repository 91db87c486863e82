"""The messages of orders: encoding, decoding, and the rejection of malformed messages."""

import cbor2
import pytest
from node_fixtures import CALLER, LEADER, NodeHarness, committed_state

from rampfront.consensus.events import OrderKind, Outcome
from rampfront.node.order_messages import (
    INCARNATION_BITS,
    MalformedMessageError,
    OrderDeadline,
    OrderReply,
    OrderRequest,
)

ORDER = {"k": "order", "l": 5, "r": 1, "o": "empty", "b": "a1"}
REPLY = {"k": "said", "l": 5, "r": 1, "v": "away"}


@pytest.mark.parametrize(
    "change",
    [
        {"l": -1},
        {"l": 1 << INCARNATION_BITS},
        {"l": True},
        {"r": 0},
        {"r": "1"},
        {"r": 1 << 53},
        {"o": "rm"},
        {"o": ["empty"]},
        {"b": ""},
        {"b": "z" * 201},
        {"b": None},
        {"o": "config"},
        {"o": "config", "b": [0, b""]},
        {"o": "config", "b": [1, "text"]},
        {"o": "config", "b": [1, b"", 3]},
        {"o": "read"},
    ],
)
def test_a_malformed_order_reaches_no_core(change):
    """A malformed order is rejected by the decoder, and gets no reply."""
    node = NodeHarness(leads=True)
    with pytest.raises(MalformedMessageError):
        node.receive(CALLER, ORDER | change)
    assert not node.core.orders and not node.wire.take("said")


@pytest.mark.parametrize("change", [{"l": None}, {"r": None}, {"v": "yes"}, {"v": ["done"]}, {"v": "done"}, {"S": 5}])
def test_a_malformed_reply_ends_no_order(change):
    node = NodeHarness()
    node.submit()
    with pytest.raises(ValueError):
        node.receive(LEADER, REPLY | {"l": node.orders.incarnation} | change)
    assert not node.completed


def test_order_messages_decode_to_what_was_encoded():
    for request in (
        OrderRequest(5, 1, OrderKind.EVACUATE, "a1"),
        OrderRequest(0, 9, OrderKind.CONFIGURE, (3, b"x")),
        OrderRequest(5, 2, OrderKind.READ, None),
    ):
        assert OrderRequest.decode(request.encode()) == request
    assert OrderReply.decode(OrderReply(5, 1, Outcome.UNKNOWN).encode()) == OrderReply(5, 1, Outcome.UNKNOWN)
    assert OrderReply.decode(OrderReply(5, 1, Outcome.DONE, committed_state(7)).encode()).state.index == 7


def test_a_follower_answers_away_and_rejects_malformed_orders(node_process):
    """A node that does not lead replies so at once and does not record the order. It rejects malformed orders."""
    order = {"k": "order", "l": 5, "r": 77, "o": "empty", "b": "a1"}
    node_process.frame_dispatcher.dispatch("10.1.0.7", order)
    assert (
        node_process.context.wire.sent[-1] == ("10.1.0.7", {"k": "said", "l": 5, "r": 77, "v": "away"})
        and not node_process.order_executor.table.in_flight
    )
    for invalid in ({"o": "rm"}, {"r": "7"}, {"l": None}, {"b": 5}, {"o": "config"}, {"o": "read"}):
        with pytest.raises(ValueError):
            node_process.frame_dispatcher.dispatch("10.1.0.7", order | invalid)


@pytest.mark.parametrize("report", [["got", "hall", 77], ["lost", "hall", 77], None, "odd"])
def test_a_report_of_an_older_node_is_a_read(report):
    """It told what became of an answer, which decides nothing any more; its node sends it until it is accepted."""
    frame = OrderRequest(1, 2, OrderKind.READ, None).encode() | {"w": report}
    assert OrderRequest.decode(cbor2.loads(cbor2.dumps(frame))) == OrderRequest(1, 2, OrderKind.READ, None)


@pytest.mark.parametrize("odd", [-1, "7", 1 << 53, None, True])
def test_an_order_whose_identity_is_not_valid_is_refused(odd):
    frame = OrderRequest(1, 2, OrderKind.EVACUATE, "hall", 7).encode()
    assert OrderRequest.decode(frame).identity == 7
    with pytest.raises(MalformedMessageError):
        OrderRequest.decode(frame | {"i": odd})


@pytest.mark.parametrize("odd", [None, 5, [], [1], [1, 2, 3], [-1, 2], [1, True], ["1", 2], [1, 1 << 62]])
def test_an_order_whose_deadline_is_not_valid_is_refused(odd):
    frame = OrderRequest(1, 2, OrderKind.EVACUATE, "hall", 7, OrderDeadline(3, 4)).encode()
    assert OrderRequest.decode(cbor2.loads(cbor2.dumps(frame))).deadline == OrderDeadline(3, 4)
    with pytest.raises(MalformedMessageError):
        OrderRequest.decode(frame | {"d": odd})


def test_an_order_that_is_to_be_repeated_is_a_refused_one_to_nodes_of_older_versions():
    reply = OrderReply(5, 1, Outcome.NEEDS_REPEAT)
    frame = cbor2.loads(cbor2.dumps(reply.encode()))
    assert OrderReply.decode(frame) == reply
    assert frame["v"] == "refused" and OrderReply.decode({**frame, "n": 0}).outcome == Outcome.REJECTED
