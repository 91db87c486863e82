"""Orders at the leader: acceptance, batching into entries, and outcomes."""

import pytest
from core_fixtures import Core, done

from rampfront.consensus.events import OrderKind, Outcome
from rampfront.simulation.world import SEC


def test_the_same_revision_twice_and_old_ones_change_nothing():
    core = Core()
    core.configure(5), core.advance(SEC)
    index = core.leader.core_member.committed.index
    again, other, _ = core.configure(5), core.configure(5, body=b"another"), core.advance(SEC)
    assert done(again) and other.verdict == Outcome.CONFLICT and core.leader.core_member.committed.index == index
    old, _ = core.configure(3), core.advance(SEC)
    assert done(old) and old.state.revision == 5
    assert again.state.body == other.state.body == old.state.body == b"body of 5"


def test_pending_orders_share_one_entry_and_the_highest_revision_is_in_force():
    core = Core()
    index = core.leader.core_member.committed.index
    calls = [core.configure(rev) for rev in (2, 9, 4, 9)] + [core.place_order(core.leader, OrderKind.EVACUATE, "zone")]
    core.advance(SEC)
    assert all(map(done, calls)) and core.leader.core_member.committed.index == index + 2
    assert (
        core.leader.core_member.committed.body == b"body of 9"
        and core.leader.core_member.committed.evacuated_zones == {"zone"}
    )


def test_an_acknowledged_order_was_committed_though_another_one_reverses_it_at_once():
    core = Core()
    core.configure(1)
    calls = [core.place_order(core.leader, kind, "zone") for kind in (OrderKind.EVACUATE, OrderKind.RESTORE)]
    core.advance(SEC)  # `SafetyChecker.done` checks that the zone was evacuated at some time
    assert all(map(done, calls)) and not core.leader.core_member.committed.evacuated_zones


def test_only_the_leader_takes_orders():
    core = Core()
    call = core.configure(1, core.others(core.leader)[0])
    assert (call.verdict, call.leader_ip) == (Outcome.NOT_LEADER, core.leader.ip)


@pytest.mark.parametrize(
    "kind, body",
    [
        (OrderKind.CONFIGURE, (0, b"x")),
        (OrderKind.CONFIGURE, (1, bytes((16 << 20) + 1))),
        (OrderKind.EVACUATE, ""),
        (OrderKind.EVACUATE, "z" * 201),
        (OrderKind.RESTORE, ["z"]),
        (OrderKind.CONFIGURE, ("1", b"x")),
        (OrderKind.CONFIGURE, None),
        ("other", None),
    ],
)
def test_orders_that_no_member_would_accept_are_rejected(kind, body):
    core = Core()
    assert core.place_order(core.leader, kind, body).verdict == Outcome.REJECTED


def test_pending_orders_are_bounded():
    core = Core()
    for node in core.others(core.leader):
        node.disk.hangs = True
    calls = [core.configure(rev) for rev in range(1, 301)]
    assert [call.verdict for call in calls[:256]] == [None] * 256 and calls[-1].verdict == Outcome.REJECTED
    core.advance(3 * SEC)
    assert calls[0].verdict == Outcome.UNKNOWN  # sent to the other members
    assert calls[1].verdict == Outcome.REJECTED  # never sent
    for node in core.nodes:
        node.disk.hangs = False
    core.advance(SEC)
    assert core.leader.core_member.committed.revision == 1
