"""Messages between members: their content, and the rejection of invalid ones."""

import os

import pytest
from core_fixtures import Core

from rampfront.consensus import version_history as v
from rampfront.consensus.errors import RemoteProtocolError
from rampfront.consensus.events import OrderKind
from rampfront.consensus.frame_decoder import decode
from rampfront.consensus.state import BODY_COLUMN
from rampfront.consensus.wire_names import APPEND_ENTRY, ENTRY, KIND, VERSIONS
from rampfront.simulation.world import MS, SEC


def test_a_body_is_sent_only_to_members_that_lack_it():
    core = Core()
    sent = []
    send = core.send
    core.send = lambda node, ip, message: (sent.append(message), send(node, ip, message))
    body = os.urandom(50_000)
    core.configure(1, body=body), core.advance(SEC)
    assert sum(message[KIND] == APPEND_ENTRY and message[ENTRY][BODY_COLUMN] is not None for message in sent) == 3
    del sent[:]
    core.place_order(core.leader, OrderKind.EVACUATE, "zone"), core.advance(SEC)
    core.stop(core.leader)
    core.advance(4 * SEC)
    assert (
        core.leader.core_member.committed.evacuated_zones == {"zone"} and core.leader.core_member.committed.body == body
    )
    assert all(message[ENTRY][BODY_COLUMN] is None for message in sent if message[KIND] == APPEND_ENTRY)


@pytest.mark.parametrize(
    "message",
    [
        None,
        [],
        {},
        {"k": 1},
        {"k": "rob"},
        {"k": "knock", "n": "", "i": 1, "x": 0},
        {"k": "knock", "n": "a", "i": -1, "x": 0},
        {"k": "knock", "n": "a" * 201, "i": 1, "x": 0},
        {"k": "nay", "t": True},
        {"k": "nay", "t": 1 << 60},
        {"k": "at", "t": 1, "l": "", "m": ["a"] * 129, "x": 0, "o": 0},
        {"k": "run", "n": "a", "i": 1, "j": 1, "t": 1, "e": [1]},
        {"k": "run", "n": "a", "i": 1, "j": 1, "t": 1, "e": [1, "2"]},
        {"k": "full", "n": "a", "i": 1, "j": 1, "t": 1, "s": 1, "c": 1, "x": {}},
    ],
)
def test_invalid_messages_are_refused(message):
    with pytest.raises(RemoteProtocolError):
        decode(message)


@pytest.mark.parametrize("field, odd", [("f", -1), ("f", "1"), ("z", None), ("h", [1]), ("j", True), ("i", "5")])
def test_invalid_optional_fields_are_refused(field: str, odd: object) -> None:
    with pytest.raises(RemoteProtocolError):
        decode({"k": "nay", "t": 1, field: odd})


def test_small_entries_do_not_grow_with_the_history() -> None:
    core = Core()
    sent = []
    send = core.send
    core.send = lambda node, ip, message: (sent.append(message), send(node, ip, message))
    for number in range(1, 200):
        core.configure(number), core.advance(50 * MS)
    core.advance(SEC)
    del sent[:]
    core.configure(200), core.place_order(core.leader, OrderKind.EVACUATE, "zone"), core.advance(SEC)
    entries = [message for message in sent if message[KIND] == APPEND_ENTRY]
    assert entries and all(len(message[VERSIONS][1]) <= v.ROW.size for message in entries)
    core.stop(core.leader)
    del sent[:]
    core.advance(4 * SEC)  # a leader's first entry is small as well
    entries = [message for message in sent if message[KIND] == APPEND_ENTRY]
    assert entries and all(not message[VERSIONS][1] for message in entries)
    assert core.leader.core_member.committed.versions.rows[0][0] == 1
