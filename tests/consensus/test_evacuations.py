"""A zone is a register: a restoration takes back every evacuation without a name, however often it was acknowledged.

Guards against zones that stay evacuated although an order to restore them got a 200 (review case 6): each acknowledged
evacuation was a hold of its own, so one lost answer left a hold that nobody had.
"""

import cbor2
import pytest
from core_fixtures import Core, run_until
from hypothesis import given, settings
from hypothesis import strategies as st
from zone_fixtures import END_HOLD, EVACUATE, EXPLICIT, FOUR, ONE, RESTORE, THREE, TWO, ZONE, Scene

from rampfront.consensus import evacuations as e
from rampfront.consensus.errors import RemoteProtocolError
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.consensus.late_orders import ZoneOrder
from rampfront.consensus.record import decode_record, encode_record
from rampfront.consensus.state import State
from rampfront.consensus.zone_order_application import applied, outcome
from rampfront.simulation.world import MS

A, B, C = EXPLICIT + 1, EXPLICIT + 2, EXPLICIT + 3
CHANGES = ["none", "leader", "power"]


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("gap_ms", [0, 200, 1300, 5900, 20000])
def test_one_restoration_opens_a_zone_whose_evacuation_was_acknowledged_several_times(gap_ms: int, change: str) -> None:
    scene = Scene()
    for attempt in range(3):  # the answers to the first two were lost
        scene.evacuate(ONE + 10 * attempt)
        scene.wait(gap_ms)
    scene.disturb(change)
    assert scene.restore() == Outcome.DONE
    assert not scene.is_evacuated and not scene.leader.core_member.committed.evacuations


def test_several_rounds_on_one_zone_leave_nothing() -> None:
    scene = Scene()
    for turn in range(4):
        for attempt in range(1 + turn % 3):
            scene.evacuate(100 * turn + attempt + 1)
        assert scene.is_evacuated
        for attempt in range(1 + (turn + 1) % 3):
            scene.restore(100 * turn + attempt + 50)
        assert not scene.is_evacuated


def test_a_restoration_ends_the_evacuation_of_any_operator_without_a_name() -> None:
    """PROTOCOL.md: `empty.finish` "takes this back"; EVAC binds "before the zone is taken back", by whomever."""
    scene = Scene()
    scene.evacuate(ONE)
    scene.wait(30000)
    scene.evacuate(TWO)
    scene.wait(30000)
    assert scene.restore(THREE) == Outcome.DONE and not scene.is_evacuated
    assert scene.restore(FOUR) == Outcome.DONE  # the second operator's: the zone is open


def test_an_evacuation_of_unknown_outcome_that_is_repeated_at_the_next_leader_is_one() -> None:
    """The node that took the order is killed behind its lost answer."""
    scene = Scene()
    lost = scene.leader
    successor = scene.others(lost)[0]
    scene.cut_links([lost], [node for node in scene.others(lost) if node is not successor])
    first = scene.place_order(lost, EVACUATE, ZONE)
    run_until(scene, lambda: ZONE in successor.core_member.roles.persistent.durable.entry.evacuated_zones)
    scene.stop(lost)
    scene.heal_links()
    assert first.verdict is None
    run_until(scene, lambda: len(scene.leaders) == 1 and ZONE in scene.leader.core_member.entry.evacuated_zones)
    scene.evacuate()
    scene.restore()
    assert not scene.is_evacuated


@pytest.mark.parametrize("change", CHANGES)
def test_a_named_hold_ends_by_its_key_or_its_name_alone(change: str) -> None:
    scene = Scene()
    for identity in (A, B, ONE):
        scene.evacuate(identity)
    scene.disturb(change)
    assert scene.evacuation == e.Evacuation(3, (A, B))
    for _ in range(2):  # a repeat gets the same answer
        assert scene.restore(TWO) == Outcome.CONFLICT and scene.evacuation == e.Evacuation(2, (A, B))
    assert scene.restore(A) == Outcome.CONFLICT and scene.evacuation.named == (B,)
    assert scene.stays_evacuated()
    for _ in range(2):
        assert scene.submit(END_HOLD, B) == Outcome.DONE and not scene.is_evacuated


def test_a_repeated_named_evacuation_is_one_hold() -> None:
    scene = Scene()
    for _ in range(3):
        scene.evacuate(A)
    assert scene.evacuation == e.Evacuation(1, (A,)) and not scene.evacuation.is_set
    assert scene.restore(A) == Outcome.DONE and not scene.is_evacuated


def test_a_restoration_with_a_key_of_its_own_opens_a_zone_that_nobody_named() -> None:
    """A client that gives each request another key: the key identifies the request."""
    scene = Scene()
    scene.evacuate(ONE)
    assert scene.restore(A) == Outcome.DONE and not scene.is_evacuated


def test_an_evacuation_that_cannot_have_a_hold_is_rejected() -> None:
    """Guards against a 200 that no hold in the replicated state stands for."""
    scene = Scene()
    for number in range(e.MAX_NAMED):
        scene.evacuate(EXPLICIT + 1 + number)
    assert scene.attempt(EVACUATE, EXPLICIT + 100) == Outcome.REJECTED
    assert scene.evacuate(ONE) == Outcome.DONE and scene.evacuate(EXPLICIT + 1) == Outcome.DONE
    scene.submit(END_HOLD, EXPLICIT + 1)
    assert scene.evacuate(EXPLICIT + 100) == Outcome.DONE


ORDERS = st.lists(
    st.tuples(st.sampled_from([EVACUATE, RESTORE, END_HOLD]), st.sampled_from([ONE, TWO, A, B, C])), max_size=30
)


@settings(max_examples=300, deadline=None)
@given(ORDERS)
def test_any_history_leaves_what_a_register_and_a_set_of_names_would(history: list[tuple[OrderKind, int]]) -> None:
    state = State(1, 1)
    is_set, names = False, set()
    for kind, identity in history:
        if kind is END_HOLD and not e.is_explicit(identity):
            continue
        order = ZoneOrder(kind, ZONE, identity)
        result, state = outcome(state, order), applied(state, order)
        if kind is not EVACUATE:
            names.discard(identity)
            is_set = is_set and kind is END_HOLD
        elif e.is_explicit(identity):
            names.add(identity)
        else:
            is_set = True
        assert (ZONE in state.evacuated_zones) == bool(is_set or names)
        assert (state.evacuation_of(ZONE).is_set, set(state.evacuation_of(ZONE).named)) == (is_set, names)
        assert result == (Outcome.CONFLICT if kind is RESTORE and names else Outcome.DONE)
        assert applied(state, order) is state  # a repeat changes nothing
        assert decoded(state).evacuations == state.evacuations


def decoded(state: State) -> State:
    """The evacuations as another member reads them."""
    rows = cbor2.loads(cbor2.dumps(e.encode_evacuations(state.evacuations)))
    names = cbor2.loads(cbor2.dumps(e.encode_names(state.evacuations)))
    table = e.decode_evacuations(rows, state.evacuated_zones)
    return State(state.index, 1, evacuated_zones=state.evacuated_zones, evacuations=table).with_names(names)


# States that an older version wrote: a claim for each acknowledged order, with or without a name.

OLDER_STATES = {
    "one operator": ([], [[ZONE, ONE, 1, True]]),
    "answers lost or not known": ([[ZONE, 3, False, False]], [[ZONE, ONE, 0, True, TWO, 2, True, THREE, 1, True]]),
    "one restored, one not counted": ([[ZONE, 1, False, True]], [[ZONE, ONE, 0, False, TWO, 0, True]]),
    "a possible repeat": ([[ZONE, 0, True, True]], None),
    "by names of zones": ([ZONE, ZONE], None),
    "without claims": ([], None),
}


@pytest.mark.parametrize("older", OLDER_STATES)
def test_one_restoration_opens_a_zone_that_an_older_version_held_for_several(older: str) -> None:
    rows, claims = OLDER_STATES[older]
    zones = frozenset((ZONE,))
    state = State(7, 2, evacuated_zones=zones, evacuations=e.decode_evacuations(rows, zones)).with_names(claims)
    assert state.evacuation_of(ZONE).is_set
    order = ZoneOrder(RESTORE, ZONE, FOUR)
    assert outcome(state, order) == Outcome.DONE and ZONE not in applied(state, order).evacuated_zones


def test_a_named_claim_of_an_older_version_is_a_named_hold() -> None:
    zones = frozenset((ZONE,))
    table = e.decode_evacuations([[ZONE, 3, False, False]], zones)
    claims = [[ZONE, ONE, 0, True, A, 0, True, TWO, 1, True]]
    state = State(7, 2, evacuated_zones=zones, evacuations=table).with_names(claims)
    after = applied(state, ZoneOrder(RESTORE, ZONE, FOUR))
    assert after.evacuation_of(ZONE) == e.Evacuation(1, (A,))
    assert ZONE not in applied(after, ZoneOrder(RESTORE, ZONE, A)).evacuated_zones


def test_a_record_of_an_older_version_is_read_and_its_zone_opens_by_one_restoration() -> None:
    """An upgrade, or a loss of power before one: the record has claims, and a column of restorations behind it."""
    scene = Scene()
    scene.evacuate(ONE)
    node = scene.others(scene.leader)[0]
    persistent = node.core_member.roles.persistent
    columns = cbor2.loads(persistent.encode())
    columns[5] = [*columns[5][:8], [[ZONE, 2, False, False]], *columns[5][9:]]
    columns[9:] = [[[ZONE, ONE, 0, True, TWO, 1, True]], ["10.0.0.9"], [[ZONE, 7, 0, 12]]]
    record = decode_record(cbor2.dumps(columns), node.name)
    assert record.entry.evacuation_of(ZONE).is_set and record.node_ips == ["10.0.0.9"]
    assert decode_record(encode_record(record), node.name).entry.evacuations == record.entry.evacuations
    assert ZONE not in applied(record.entry, ZoneOrder(RESTORE, ZONE, FOUR)).evacuated_zones


@pytest.mark.parametrize(
    "malformed",
    [
        None,
        [None],
        ["attic"],
        [ZONE] * 600,
        [["attic", 1, True, False]],
        [[ZONE, 1, True]],
        [[ZONE, -1, True, True]],
        [[ZONE, e.MAX_CLAIMS + 1, True, True]],
        [[ZONE, 0, True, False]],
        [[ZONE, 1, 1, False]],
        [[ZONE, "1", True, False]],
    ],
)
def test_malformed_evacuations_are_rejected(malformed: object) -> None:
    with pytest.raises(RemoteProtocolError):
        e.decode_evacuations(malformed, frozenset((ZONE,)))


@pytest.mark.parametrize(
    "malformed",
    [
        {},
        [[ZONE]],
        [["attic", A, 0, True]],
        [[ZONE, A, 0]],
        [[ZONE, 0, 0, True]],
        [[ZONE, -1, 0, True]],
        [[ZONE, e.IDENTITY_LIMIT, 0, True]],
        [[ZONE, True, 0, True]],
        [[ZONE, A, 3, True]],
        [[ZONE, A, 0, 1]],
        [[7, A, 0, True]],
        [[ZONE, *[A, 0, True] * (e.MAX_CLAIMS + 1)]],
        [[ZONE, A, 0, True]] * (e.MAX_ZONES + 1),
    ],
)
def test_malformed_names_are_rejected(malformed: object) -> None:
    with pytest.raises(RemoteProtocolError):
        e.with_names(frozenset((ZONE,)), {}, malformed)


def test_orders_of_both_kinds_on_one_zone_never_share_an_entry() -> None:
    """Else the earlier one would be acknowledged although its result was never committed."""
    core = Core()
    calls = [core.place_order(core.leader, kind, ZONE) for kind in (EVACUATE, RESTORE, EVACUATE)]
    core.advance(500 * MS)
    assert [call.verdict for call in calls] == [Outcome.DONE] * 3
    assert [ZONE in call.state.evacuated_zones for call in calls] == [True, False, True]
