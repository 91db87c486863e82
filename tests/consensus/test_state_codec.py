"""Encoding and decoding of states and records, and the rejection of invalid ones."""

from random import Random

import cbor2
import pytest
from catch_up_fixtures import BusyCore
from core_fixtures import Core, compressed_configuration
from replacement_fixtures import running_core

from rampfront.consensus import version_history as v
from rampfront.consensus.context import MemberSettings
from rampfront.consensus.entry_receiver import received_entry
from rampfront.consensus.errors import RecordError, RemoteProtocolError
from rampfront.consensus.identifiers import MemberKey
from rampfront.consensus.member import Member
from rampfront.consensus.messages import AppendEntry
from rampfront.consensus.persistent_state import PersistentState
from rampfront.consensus.state import State, decode_state, digest
from rampfront.simulation.world import SEC


def test_an_invalid_state_is_refused():
    good = State(3, 2, members={"a": ("10.0.0.1", 5)}).next_entry(body=b"x").encode()
    assert decode_state(good).encode() == good
    for at, bad in ((0, -1), (1, "2"), (3, b"y"), (3, "x"), (5, [1]), (6, []), (6, [["a", "b"]]), (7, [[1, 2, 3]])):
        with pytest.raises(RemoteProtocolError):
            decode_state([*good[:at], bad, *good[at + 1 :]])
    assert (
        decode_state(State(3, 2, members={"a": ("10.0.0.1", 5)}).next_entry(body=b"x").encode(include_body=False))
        is None
    )


@pytest.mark.parametrize("odd", [[["other"]], [["hall"] * 600], ["hall"], [None]])
def test_invalid_evacuations_in_a_state_are_refused(odd):
    plain = State(
        1, 1, evacuated_zones=frozenset({"hall"}), members={"m1": ("10.0.0.1", 1)}, body_digest=digest(b"")
    ).encode()
    with pytest.raises(RemoteProtocolError):
        decode_state(plain + odd)


def test_the_target_size_is_encoded_and_checked() -> None:
    state = State(3, 2, members={"a": ("10.0.0.1", 5)}, target_size=4).next_entry(body=b"x")
    assert decode_state(state.encode()).target_size == 4
    assert decode_state(State(3, 2, members={"a": ("10.0.0.1", 5)}).next_entry(body=b"x").encode()).target_size == 0
    plain = state.encode()
    for odd in (-1, "4", None, True):
        with pytest.raises(RemoteProtocolError):
            decode_state([*plain[:-1], odd])


def test_a_core_with_older_records_learns_its_target_size() -> None:
    core = running_core(4, 1)
    for node in core.nodes:
        core.stop(node)
        node.disk.record = None if node.disk.record is None else without_target_size(node.disk.record)
    for node in core.nodes:
        core.start(node)
    core.advance(3 * SEC)
    assert core.leader.core_member.committed.target_size == 4


def without_target_size(record: bytes) -> bytes:
    """Returns a record in the older format without the target size."""
    import cbor2

    rows = cbor2.loads(record)
    rows[5] = rows[5][:8]
    return cbor2.dumps(rows)


@pytest.mark.parametrize("width", [8, 9])
def test_older_records_are_read_and_know_their_own_revision(width: int) -> None:
    core = Core(1)
    core.configure(5, body=compressed_configuration(5)), core.advance(SEC)
    (node,) = core.nodes
    record = cbor2.loads(node.core_member.roles.persistent.encode())
    record[5] = [*record[5][:8], []][:width]
    member = node.core_member
    found = PersistentState(member.roles.context, cbor2.dumps(record[:7])).entry
    assert found.revision == 5 and found.body == compressed_configuration(5)
    assert found.versions.rows == ((5, v.content_digest(compressed_configuration(5))),)


def test_an_entry_of_an_older_leader_loses_no_history() -> None:
    core = Core()
    core.configure(5), core.advance(SEC)
    member = core.others(core.leader)[0].core_member
    state = member.entry.next_entry(revision=9, body=b"nine")
    message = AppendEntry(MemberKey("x", 1), member.incarnation, state.term, 1, 0, state.encode())
    received = received_entry(member.roles.persistent, message)
    assert [number for number, _ in received.versions.rows] == [5, 9]


def test_the_record_of_another_member_is_refused():
    """Another member's record must be neither loaded nor overwritten; one without an owner is from an older version."""
    core = BusyCore(50)
    node, other = core.follower(4), core.follower(3)
    record = other.disk.record
    core.stop(node)
    node.disk.record = record
    with pytest.raises(RecordError, match=other.name):
        core.start(node)
    assert node.disk.record == record
    rows = cbor2.loads(record)[:8]
    settings = MemberSettings(other.name, other.ip, core.seeds, survive=1)
    member = Member(settings, cbor2.dumps(rows), Random(1), 0)
    assert member.entry.position == other.core_member.entry.position


@pytest.mark.parametrize("cut", (0, 1, 3, -1))
def test_a_torn_record_is_refused(cut):
    """A malformed record with a valid checksum is an error, not a lost disk; the member does not start."""
    core = BusyCore(50)
    node = core.follower()
    core.stop(node)
    node.disk.record = node.disk.record[:cut]
    with pytest.raises(RecordError):
        core.start(node)
