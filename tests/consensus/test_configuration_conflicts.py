"""A revision denotes one content only, when configurations race or are repeated late or at another member."""

import pytest
from core_fixtures import Core, compressed_configuration, done, run_until

from rampfront.consensus import version_history as v
from rampfront.consensus.events import Outcome
from rampfront.simulation.world import MS, SEC


@pytest.mark.parametrize("gap", [0, 1, 5, 20, 60, 400])
def test_of_two_contents_under_one_revision_one_is_confirmed(gap: int) -> None:
    core = Core()
    one = core.configure(5, body=b"one")
    core.advance(gap * MS)
    two = core.configure(5, body=b"two")
    core.advance(SEC)
    assert (one.verdict, two.verdict) == (Outcome.DONE, Outcome.CONFLICT)
    assert two.state.revision == 5 and two.state.body == b"one"


def test_within_one_batch_the_first_of_two_contents_is_confirmed() -> None:
    core = Core()
    core.configure(1)  # the following orders wait for this entry and then share the next one
    index = core.leader.core_member.entry.index
    calls = [
        core.configure(5, body=b"one"),
        core.configure(5, body=b"two"),
        core.configure(7),
        core.configure(5, body=b"one"),
    ]
    calls += [core.configure(7, body=b"other"), core.configure(6, body=b"x"), core.configure(6, body=b"y")]
    core.advance(SEC)
    assert [call.verdict for call in calls] == [
        Outcome.DONE,
        Outcome.CONFLICT,
        Outcome.DONE,
        Outcome.DONE,
        Outcome.CONFLICT,
        Outcome.DONE,
        Outcome.CONFLICT,
    ]
    assert core.leader.core_member.committed.index == index + 1 and core.leader.core_member.committed.revision == 7


def test_an_older_revision_is_confirmed_once_and_changes_nothing() -> None:
    core = Core()
    core.configure(10), core.advance(SEC)
    old, _ = core.configure(7, body=b"old"), core.advance(SEC)
    again, other, _ = core.configure(7, body=b"old"), core.configure(7, body=b"new"), core.advance(SEC)
    assert (old.verdict, again.verdict, other.verdict) == (Outcome.DONE, Outcome.DONE, Outcome.CONFLICT)
    assert core.leader.core_member.committed.revision == 10 and core.leader.core_member.committed.body == b"body of 10"


def test_a_conflict_is_answered_only_once_it_cannot_be_undone() -> None:
    """A partitioned leader must not report a conflict with an entry that is never committed.

    The content that it would reject may still be committed by the new leader.
    """
    core = Core()
    lost = core.leader
    core.cut_links([lost], core.others(lost))
    one, two = core.configure(5, lost, b"one"), core.configure(5, lost, b"two")
    core.advance(3 * SEC)
    assert one.verdict == Outcome.UNKNOWN and two.verdict in (Outcome.NOT_LEADER, Outcome.UNKNOWN)
    taken, _ = core.configure(5, body=b"two"), core.advance(SEC)
    assert taken.verdict == Outcome.DONE
    core.heal_links(), core.advance(3 * SEC)
    late, _ = core.configure(5, body=b"one"), core.advance(SEC)
    assert late.verdict == Outcome.CONFLICT and late.state.body == b"two"


def test_a_deposed_leader_confirms_no_conflict() -> None:
    core = Core()
    core.configure(5), core.advance(SEC)
    lost = core.leader
    core.cut_links([lost], core.others(lost))
    other = core.configure(5, lost, b"other")
    core.advance(500 * MS)
    assert other.verdict is None  # no majority has confirmed it
    core.advance(2 * SEC)
    assert other.verdict in (Outcome.NOT_LEADER, Outcome.UNKNOWN)


def test_a_repeat_at_the_next_leader_is_acknowledged_also_behind_a_higher_revision() -> None:
    core = Core()
    first = core.configure(5)
    run_until(core, lambda: done(first))
    core.stop(core.leader, power=True)
    core.advance(3 * SEC)
    core.configure(9), core.advance(SEC)
    again, other, _ = core.configure(5), core.configure(5, body=b"other"), core.advance(SEC)
    assert done(again) and again.state.revision == 9 and other.verdict == Outcome.CONFLICT


def test_an_order_of_unknown_outcome_is_repeated_at_the_next_leader_while_the_first_copy_is_in_flight() -> None:
    core = Core(4)
    lost = core.leader
    successor = core.others(lost)[0]
    core.cut_links([lost], [node for node in core.others(lost) if node is not successor])
    first = core.configure(5, lost)
    run_until(core, lambda: successor.core_member.roles.persistent.durable.entry.revision == 5)  # on two of four disks
    core.stop(lost)
    core.heal_links()
    assert first.verdict is None
    run_until(core, lambda: len(core.leaders) == 1 and core.leader.core_member.entry.revision == 5)
    again, other = core.configure(5), core.configure(5, body=b"other")
    core.advance(2 * SEC)
    assert done(again) and other.verdict == Outcome.CONFLICT
    assert core.leader.core_member.committed.body == b"body of 5"


def test_what_was_confirmed_outlives_the_loss_of_power_of_all() -> None:
    core = Core()
    core.configure(9), core.configure(7, body=b"old"), core.advance(SEC)
    for node in core.nodes:
        core.stop(node, power=True)
    for node in core.nodes:
        core.start(node, False)
    core.advance(3 * SEC)
    other, newest, again = (
        core.configure(7, body=b"new"),
        core.configure(9, body=b"new"),
        core.configure(7, body=b"old"),
    )
    core.advance(SEC)
    assert [call.verdict for call in (other, newest, again)] == [Outcome.CONFLICT, Outcome.CONFLICT, Outcome.DONE]


@pytest.mark.parametrize("way", [{"indent": 1}, {"sort_keys": True}, {"separators": (",", ":")}])
def test_the_same_content_in_another_text_is_no_conflict(way: dict) -> None:
    core = Core()
    first, _ = core.configure(5, body=compressed_configuration(5)), core.advance(SEC)
    again, other, _ = (
        core.configure(5, body=compressed_configuration(5, **way)),
        core.configure(5, body=compressed_configuration(5, "mail")),
        core.advance(SEC),
    )
    assert done(first) and done(again) and other.verdict == Outcome.CONFLICT
    assert again.state.body == compressed_configuration(5)  # the bytes as first sent


def test_a_burst_of_revisions_stays_known_down_to_the_bound() -> None:
    core = Core()
    newest = v.MAX_VERSIONS + 20
    for number in range(1, newest + 1):
        core.configure(number)
        core.advance(40 * MS)
    core.advance(SEC)
    history = core.leader.core_member.committed.versions
    assert [number for number, _ in history.rows] == list(range(21, newest + 1))
    known, other, below, below_too = (
        core.configure(21),
        core.configure(21, body=b"x"),
        core.configure(20, body=b"x"),
        core.configure(20, body=b"y"),
    )
    core.advance(SEC)
    # Numbers below the bound are no longer known: orders with them are acknowledged and change nothing.
    assert [call.verdict for call in (known, other, below, below_too)] == [
        Outcome.DONE,
        Outcome.CONFLICT,
        Outcome.DONE,
        Outcome.DONE,
    ]
    assert {node.core_member.committed.versions.checksum() for node in core.nodes} == {history.checksum()}
