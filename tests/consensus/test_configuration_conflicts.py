"""One revision stands for one content: configurations that race, or come again late or elsewhere."""

import pytest
from core_fixtures import Core, done, packed, until

from rampfront.consensus import version_history as v
from rampfront.consensus.events import Outcome
from rampfront.simulation.world import MS, SEC


@pytest.mark.parametrize("gap", [0, 1, 5, 20, 60, 400])
def test_of_two_contents_under_one_revision_one_is_confirmed(gap: int) -> None:
    core = Core()
    one = core.config(5, body=b"one")
    core.go(gap * MS)
    two = core.config(5, body=b"two")
    core.go(SEC)
    assert (one.verdict, two.verdict) == (Outcome.DONE, Outcome.CONFLICT)
    assert two.state.revision == 5 and two.state.body == b"one"


def test_within_one_batch_the_first_of_two_contents_is_confirmed() -> None:
    core = Core()
    core.config(1)  # the others wait for its entry, and go into one behind it
    index = core.leader.core_member.entry.index
    calls = [core.config(5, body=b"one"), core.config(5, body=b"two"), core.config(7), core.config(5, body=b"one")]
    calls += [core.config(7, body=b"other"), core.config(6, body=b"x"), core.config(6, body=b"y")]
    core.go(SEC)
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
    core.config(10), core.go(SEC)
    old, _ = core.config(7, body=b"old"), core.go(SEC)
    again, other, _ = core.config(7, body=b"old"), core.config(7, body=b"new"), core.go(SEC)
    assert (old.verdict, again.verdict, other.verdict) == (Outcome.DONE, Outcome.DONE, Outcome.CONFLICT)
    assert core.leader.core_member.committed.revision == 10 and core.leader.core_member.committed.body == b"body of 10"


def test_a_conflict_is_answered_only_once_it_cannot_be_undone() -> None:
    """A leader that is cut off unawares holds a content that never comes into force; the other one may come into force
    yet, and was refused then."""
    core = Core()
    lost = core.leader
    core.cut([lost], core.others(lost))
    one, two = core.config(5, lost, b"one"), core.config(5, lost, b"two")
    core.go(3 * SEC)
    assert one.verdict == Outcome.UNKNOWN and two.verdict in (Outcome.NOT_LEADER, Outcome.UNKNOWN)
    taken, _ = core.config(5, body=b"two"), core.go(SEC)
    assert taken.verdict == Outcome.DONE
    core.heal(), core.go(3 * SEC)
    late, _ = core.config(5, body=b"one"), core.go(SEC)
    assert late.verdict == Outcome.CONFLICT and late.state.body == b"two"


def test_a_deposed_leader_confirms_no_conflict() -> None:
    core = Core()
    core.config(5), core.go(SEC)
    lost = core.leader
    core.cut([lost], core.others(lost))
    other = core.config(5, lost, b"other")
    core.go(500 * MS)
    assert other.verdict is None  # no majority bears it out
    core.go(2 * SEC)
    assert other.verdict in (Outcome.NOT_LEADER, Outcome.UNKNOWN)


def test_a_repeat_at_the_next_leader_is_acknowledged_also_behind_a_higher_revision() -> None:
    core = Core()
    first = core.config(5)
    until(core, lambda: done(first))
    core.stop(core.leader, power=True)
    core.go(3 * SEC)
    core.config(9), core.go(SEC)
    again, other, _ = core.config(5), core.config(5, body=b"other"), core.go(SEC)
    assert done(again) and again.state.revision == 9 and other.verdict == Outcome.CONFLICT


def test_an_order_of_unknown_outcome_is_repeated_at_the_next_leader_while_the_first_copy_is_in_flight() -> None:
    core = Core(4)
    lost = core.leader
    heir = core.others(lost)[0]
    core.cut([lost], [node for node in core.others(lost) if node is not heir])
    first = core.config(5, lost)
    until(core, lambda: heir.core_member.roles.persistent.durable.entry.revision == 5)  # on two disks of four
    core.stop(lost)
    core.heal()
    assert first.verdict is None
    until(core, lambda: len(core.leaders) == 1 and core.leader.core_member.entry.revision == 5)
    again, other = core.config(5), core.config(5, body=b"other")
    core.go(2 * SEC)
    assert done(again) and other.verdict == Outcome.CONFLICT
    assert core.leader.core_member.committed.body == b"body of 5"


def test_what_was_confirmed_outlives_the_loss_of_power_of_all() -> None:
    core = Core()
    core.config(9), core.config(7, body=b"old"), core.go(SEC)
    for node in core.nodes:
        core.stop(node, power=True)
    for node in core.nodes:
        core.start(node, False)
    core.go(3 * SEC)
    other, newest, again = core.config(7, body=b"new"), core.config(9, body=b"new"), core.config(7, body=b"old")
    core.go(SEC)
    assert [call.verdict for call in (other, newest, again)] == [Outcome.CONFLICT, Outcome.CONFLICT, Outcome.DONE]


@pytest.mark.parametrize("way", [{"indent": 1}, {"sort_keys": True}, {"separators": (",", ":")}])
def test_the_same_content_in_another_text_is_no_conflict(way: dict) -> None:
    core = Core()
    first, _ = core.config(5, body=packed(5)), core.go(SEC)
    again, other, _ = core.config(5, body=packed(5, **way)), core.config(5, body=packed(5, "mail")), core.go(SEC)
    assert done(first) and done(again) and other.verdict == Outcome.CONFLICT
    assert again.state.body == packed(5)  # byte for byte as it was sent first


def test_a_burst_of_revisions_stays_known_down_to_the_bound() -> None:
    core = Core()
    newest = v.MAX_VERSIONS + 20
    for number in range(1, newest + 1):
        core.config(number)
        core.go(40 * MS)
    core.go(SEC)
    history = core.leader.core_member.committed.versions
    assert [number for number, _ in history.rows] == list(range(21, newest + 1))
    known, other, below, below_too = (
        core.config(21),
        core.config(21, body=b"x"),
        core.config(20, body=b"x"),
        core.config(20, body=b"y"),
    )
    core.go(SEC)
    # Below the bound nothing can be told apart: acknowledged as the protocol says, and it changes nothing.
    assert [call.verdict for call in (known, other, below, below_too)] == [
        Outcome.DONE,
        Outcome.CONFLICT,
        Outcome.DONE,
        Outcome.DONE,
    ]
    assert {node.core_member.committed.versions.checksum() for node in core.nodes} == {history.checksum()}
