"""Bootstrap of a core: which member creates it, and when it starts to accept orders."""

from core_fixtures import Core, done

from rampfront.consensus.events import Outcome
from rampfront.simulation.world import SEC


def test_only_the_first_seed_founds_and_the_others_join_one_by_one():
    core = Core(start=False)
    for node in core.nodes[1:]:
        core.start(node, True)
    core.advance(5 * SEC)
    assert not core.leaders and all(node.core_member.committed is None for node in core.nodes[1:])
    core.start(core.nodes[0], True)
    core.advance(2 * SEC)
    assert sorted(core.leader.core_member.committed.members) == [node.name for node in core.nodes]
    sizes = [len(members) for _, (*_, members) in sorted(core.safety_checker.states.items())]
    assert all(abs(one - two) <= 1 for one, two in zip(sizes, sizes[1:], strict=False))


def test_no_order_is_acknowledged_before_the_core_can_bear_a_loss():
    core = Core(start=False)
    for node in core.nodes[:2]:
        core.start(node, True)
    core.advance(2 * SEC)
    call = core.configure(1)
    core.advance(SEC)
    assert call.verdict is None
    core.start(core.nodes[2], True)
    core.advance(SEC)
    assert done(call) and len(call.state.members) == 3


def test_a_small_deployment_takes_orders_after_a_while():
    core = Core(members=2, survive=1, start=False)
    for node in core.nodes:
        core.start(node, True)
    core.advance(SEC)
    early, _ = core.configure(1), core.advance(3 * SEC)
    late, _ = core.configure(2), core.advance(2 * SEC)
    assert early.verdict == Outcome.REJECTED and done(late) and late.state.revision == 2
