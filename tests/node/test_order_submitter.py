"""Orders at the node where an operator submits them: sent to the leader, answered once and in time."""

from node_fixtures import LEADER, OTHER, NodeHarness, receive_update

from rampfront.consensus.evacuations import IDENTITY_LIMIT
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.node.order_messages import BUSY
from rampfront.node.order_submitter import MAX_OPEN


def test_an_order_is_resent_until_the_leader_answers(node_process):
    """An order is resent until there is a reply, and sent to the next leader at once. It is answered once, and always
    within the time that operators wait."""
    loop, wire, outcomes = node_process.context.loop, node_process.context.wire, []

    def sent():
        return [(ip, m["r"]) for ip, m in wire.sent if m["k"] == "order"]

    def receive_reply(ip, number, outcome, state=None):
        node_process.frame_dispatcher.dispatch(
            ip, {"k": "said", "l": node_process.orders.incarnation, "r": number, "v": outcome, "S": state}
        )

    receive_update(node_process, 5)
    node_process.orders.submit("empty", "a1", lambda *outcome: outcomes.append(outcome))
    ((first, number),) = sent()
    assert first == LEADER
    receive_reply(LEADER, number, "away")
    loop.wait(10)
    node_process.frame_dispatcher.dispatch(
        "10.1.0.8", {"k": "word", "l": "10.1.0.8", "e": 2, "t": node_process.context.clock(), "a": 0}
    )
    loop.wait(250)
    assert sent()[1:] == [("10.1.0.8", number)]
    receive_reply("10.1.0.8", number, "done", node_process.replicated_state.state.encode())
    receive_reply("10.1.0.8", number, "done", node_process.replicated_state.state.encode())
    assert len(outcomes) == 1 and outcomes[0][0] == "done" and outcomes[0][1].index == 5
    assert node_process.context.counts["replies_unsolicited"] == 1
    node_process.orders.submit("empty", "a1", lambda *outcome: outcomes.append(outcome))
    loop.wait(1000)
    assert outcomes[1] == (None, None) and 3 <= len(sent()) - 2 <= 4 and not node_process.orders.open
    for _ in range(300):  # the number of open orders is bounded
        node_process.orders.submit("empty", "a1", lambda *outcome: outcomes.append(outcome))
    assert len(node_process.orders.open) == 256 and outcomes[2:] == 44 * [("busy", None)]


def test_only_a_node_that_was_asked_can_answer():
    """A reply is accepted only for an open order of this incarnation, and from a node that the order was sent to."""
    node = NodeHarness()
    node.submit()
    ((ip, sent),) = node.wire.take("order")
    assert (ip, sent["r"], sent["l"]) == (LEADER, 1, node.orders.incarnation)
    node.receive_reply(OTHER, 1)
    node.receive_reply(LEADER, 1, incarnation=node.orders.incarnation ^ 1)
    node.receive_reply(LEADER, 2)
    assert not node.completed and node.counts["replies_unsolicited"] == 3
    node.receive_reply(LEADER, 1)
    node.receive_reply(LEADER, 1)
    assert [outcome for outcome, _ in node.completed] == ["done"] and node.counts["replies_unsolicited"] == 4


def test_a_late_refusal_of_the_former_leader_does_not_count():
    """After the order was sent to another leader, only that one may refuse it. A DONE of the former one is accepted."""
    for outcome in (Outcome.REJECTED, Outcome.UNKNOWN, "busy", Outcome.NOT_LEADER):
        node = NodeHarness()
        node.submit()
        node.process.disseminator.leadership.leader = OTHER
        node.loop.wait(350)
        assert [ip for ip, _ in node.wire.take("order")] == [LEADER, OTHER]
        node.receive_reply(LEADER, 1, outcome)
        assert not node.completed and node.counts["replies_unsolicited"] == 1
        node.receive_reply(LEADER, 1)
        assert [outcome for outcome, _ in node.completed] == ["done"]


def test_an_answer_older_than_the_state_held_does_not_count():
    """A node whose state is older than this node's at the submission can no longer be the leader."""
    node = NodeHarness()
    node.process.disseminator.state_index = 7
    node.submit(OrderKind.READ, None)
    node.receive_reply(LEADER, 1, index=6)
    assert not node.completed
    node.process.disseminator.state_index = 9  # a state that arrived after the submission may be newer than the answer
    node.receive_reply(LEADER, 1, index=7)
    assert node.completed[0][1].index == 7


def test_each_start_draws_an_incarnation_of_its_own():
    incarnations = {NodeHarness(seed=seed).orders.incarnation for seed in range(5)}
    assert len(incarnations) == 5


def test_no_two_orders_have_one_identity_even_if_one_was_turned_away(node_process):
    """A late report on an order that never reached the core must not apply to another order."""
    orders, outcomes = node_process.orders, []
    for _ in range(MAX_OPEN):
        orders.submit("read", None, lambda *outcome: None)
    turned_away = orders.next_identity()
    orders.submit("empty", "a1", lambda *outcome: outcomes.append(outcome), turned_away)
    assert outcomes == [(BUSY, None)]
    identities = {turned_away, *(orders.next_identity() for _ in range(1000))}
    assert len(identities) == 1001 and all(0 < each < IDENTITY_LIMIT for each in identities)
