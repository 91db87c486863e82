"""Differences between versions: bodies, rows, and what a node does with one that does not fit."""

import random
import zlib
from dataclasses import replace
from operator import itemgetter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant
from hypothesis.stateful import rule as step
from proxy_fixtures import SEC, Nodes, heartbeat_frame, orders, response_frame, rule

from rampfront.consensus.body_history import apply_delta, make_delta
from rampfront.consensus.state import State, digest
from rampfront.membership import endpoint_codec
from rampfront.membership.deltas import DeltaHistory, DeltaMismatchError, StateHistory
from rampfront.membership.endpoint_list import Endpoint, EndpointList
from rampfront.membership.leadership import CoreStatus
from rampfront.membership.transfer_budget import MAX_FULL_TRANSFERS
from rampfront.membership.versions import VERSIONS_PER_TERM
from rampfront.simulation.fleet_growth import Sea


def entry(index, raw, **more):
    body = zlib.compress(raw)
    return State(index, 1, index, body, members={"x": ("10.0.0.1", 1)}, body_digest=digest(body), **more)


def holds(*states):
    made = StateHistory()
    for state in states:
        made.add(state)
    return made


PARTS = st.lists(st.sampled_from((b"", b"a", b"bb", b"c{", b"{", b"d")))


@given(PARTS, PARTS)
def test_pieces_make_the_text(old, new):
    old, new = b"{".join(old), b"{".join(new)
    assert apply_delta(old, make_delta(old, new)) == new


def test_a_body_comes_out_byte_for_byte():
    """Of one weight that changed little goes; of an evacuation no body at all."""
    rules = [rule(f"/{random.Random(k).getrandbits(60)}/") for k in range(100)]
    one = entry(5, orders(5, rules=rules))
    two = entry(6, orders(6, rules=rules[:50] + [rule("/new/")] + rules[51:]))
    three = replace(two, index=7, evacuated_zones=frozenset({"a1"}))
    told = holds(one, two).encode_since(5)
    assert len(str(told[3])) < 600 < len(two.body)
    held = holds(one)
    held.add(held.decode(told))
    assert held.newest.body == two.body and held.newest.revision == 6
    told = holds(one, two, three).encode_since(6)
    assert told[3] is None and held.decode(told).evacuated_zones == {"a1"}
    assert (
        holds(one, two, three).encode_since(5)[3] and holds(two, three).encode_since(5)[3] == two.body
    )  # unknown there: whole


def test_a_body_that_does_not_fit():
    one, two, other = entry(5, orders(5)), entry(6, orders(6)), entry(5, b'{"k":"another"}')
    told = holds(one, two).encode_since(5)
    for held in (holds(), holds(other)):
        with pytest.raises(DeltaMismatchError) as gap:
            held.decode(told)
        assert not gap.value.corrupt
    told[4] = digest(b"other")
    with pytest.raises(DeltaMismatchError) as gap:
        holds(one).decode(told)
    assert gap.value.corrupt
    for odd in ([[0, 99]], [[-1, 1]], [["0", 1]], [[0, 0]], [5], [[True, 1]]):
        with pytest.raises((ValueError, TypeError)):
            apply_delta(b"a{b", odd)
    with pytest.raises(ValueError):
        apply_delta(b"a" * (1 << 20) + b"{b", [[0, 1]] * 100)


def server(k, port=80, cold=0):
    return Endpoint(f"i-{k}", "one", "10.0.0.1", port, "a1", 4, "ready", cold)


def test_lists_in_differences():
    """By ids; a time is told as what is left of it, and is not in the mark; late, repeated and foreign ones change nothing."""

    def of(*numbers):
        wake = endpoint_codec.endpoint_history()
        for number in numbers:
            wake.add(number, lists[number].endpoints)
        return wake

    rows = [server(k) for k in range(10, 30)]
    lists = {
        1: EndpointList(1, tuple(rows)),
        2: EndpointList(2, tuple(rows[:5] + rows[6:])),
        3: EndpointList(3, tuple(rows[:3] + [server(13, 99, 7 * SEC)] + rows[4:5] + rows[6:])),
    }
    told = endpoint_codec.encode_since(lists[3], 2 * SEC, of(1, 2, 3), 1)
    assert len(told[3]) == 1 and told[6] == ["i-15"]
    got = endpoint_codec.decode_since(told, 102 * SEC, of(1), 1)
    assert [row[:7] for row in got.endpoints] == [row[:7] for row in lists[3].endpoints]
    assert got.endpoints[3].warming_until_ns == 107 * SEC
    assert endpoint_codec.decode_since(told, 0, of(1, 2, 3), 3) is None
    with pytest.raises(DeltaMismatchError) as gap:
        endpoint_codec.decode_since(told, 0, of(1, 2), 2)
    assert not gap.value.corrupt
    with pytest.raises(DeltaMismatchError) as gap:
        endpoint_codec.decode_since([*told[:5], b"another", told[6]], 0, of(1), 1)
    assert gap.value.corrupt
    assert len(endpoint_codec.encode_since(lists[3], 0, of(2, 3), 1)) == 4  # of what is not known any more: whole


def test_a_state_that_was_not_taken_brings_no_age():
    """Else the word would vouch for the state before, with a key that was taken away; and it asks again at once."""
    n = Nodes(3)
    n.lead(1)
    n.run(3000)
    look, mate, at = n[3], n.mates["10.0.0.3"], n[3].confirmed_at_ns

    def astray(plain, now):
        raise DeltaMismatchError(corrupt=True)

    mate.on_state = astray
    word = response_frame(n[1], n.now, 0, 1 << 40, 1 << 60, n.now)
    look.on_state_response("10.0.0.1", word, n.now)
    assert look.confirmed_at_ns == at and look.schedule.is_due(0) and heartbeat_frame(look, n.now)["i"] == 0
    del mate.on_state
    look.on_state_response("10.0.0.1", word, n.now)
    assert look.confirmed_at_ns == n.now and heartbeat_frame(look, n.now)["i"] == look.state_index


@pytest.mark.parametrize("seed", range(3))
def test_rosters_in_differences(seed):
    """Most that go out are differences, one that was lost is made up for, a new leader with numbers of its own goes on from
    the roster that all hold; and everybody ends with the leader's."""
    n = Nodes(12, seed)
    n.lead(1)
    n.run(4000)
    sent = n.keep()
    for step in range(1, 8):
        n[5].set_ready(bool(step % 2))
        n.silent = {"10.0.0.9"} if step == 3 else set()
        n.run(500)
    n[1].leadership.is_leader = False
    n.lead(2, term=2)
    n[1].set_leadership(CoreStatus(False, "10.0.0.2", 2, None), n.now)
    n[7].ready = True
    n.run(4000)
    rosters = [message["O"] for _, _, _, _, message in sent if "O" in message]
    assert sum(len(told) == 5 for told in rosters) > 0.9 * len(rosters) > 30
    assert all(
        n[k].roster == n[2].roster and n[k].roster_version == n[2].roster_version > 2 * VERSIONS_PER_TERM
        for k in range(1, 13)
    )


def test_a_fleet_with_loss_ends_alike():
    """The very frames: bodies, lists and rosters through changes in quick order, with a tenth of all datagrams lost."""
    sea = Sea(24, 3, loss=0.1)
    sea.run(300)
    sea.listed(sea.rows)
    assert sea.until(sea.known(), 6000)[1]
    for act in (Sea.weight, Sea.one_server, Sea.routes, Sea.fifth, Sea.zone, Sea.one_server, Sea.weight):
        act(sea)
        sea.run(70)
    sea.run(2500)
    lead = sea.lead
    for ship in sea.ships.values():
        assert ship.state.body == lead.state.body and ship.state.evacuated_zones == lead.state.evacuated_zones
        assert ship.servers.endpoints == lead.servers.endpoints and ship.look.roster == lead.look.roster
        assert ship.clock() - ship.look.confirmed_at_ns < 2 * SEC


def test_a_start_in_step_is_no_herd():
    """Nobody is given everything twice while it is under way; the leader gives so many a tick; who waits hails less."""
    n = Nodes(60)
    n.lead(1)
    sent = n.keep()
    given = []
    for _ in range(40):
        n.run(100)
        given.append(sum("S" in m and sender == "10.0.0.1" for _, _, sender, _, m in sent))
    assert (
        max(b - a for a, b in zip(given, given[1:])) <= 11 * MAX_FULL_TRANSFERS
    )  # ten looks at the time in 100 ms here
    assert all(n[k].state_index == 1 for k in range(1, 61)) and given[-1] < 2 * 60
    n = Nodes(3)
    n.leader, sent = None, n.keep()
    n.run(10000)
    assert sum(m["k"] == "hail" and sender == "10.0.0.3" for _, _, sender, _, m in sent) < 80
    late = [row for row in sent if row[0] > n.now - 3 * SEC]
    assert {to for _, _, sender, to, _ in late if sender == "10.0.0.3"} == {
        "10.0.0.1",
        "10.0.0.2",
    }  # neither is given up


def test_a_list_is_not_held_up_by_a_state_under_way():
    """What is under way is not given again, but what came since is; and what was lost, a little later."""
    n = Nodes(3)
    n.lead(1)
    n[1].set_leadership(CoreStatus(True, "10.0.0.1", 1, n.now), n.now)
    hail, sent = heartbeat_frame(n[2], n.now), n.keep()
    n[1].on_heartbeat("10.0.0.2", hail, n.now)
    n[1].on_heartbeat("10.0.0.2", hail, n.now)
    assert [set("SV") & set(message) for *_, message in sent] == [{"S"}]
    n[1].endpoints_version = 7
    n[1].on_heartbeat("10.0.0.2", hail | {"i": 1}, n.now)
    assert "V" in sent[-1][4] and "S" not in sent[-1][4]
    n[1].on_heartbeat("10.0.0.2", hail, n.now)
    assert len(sent) == 2
    n.now += SEC
    n[1].tick(n.now)
    n[1].on_heartbeat("10.0.0.2", hail, n.now)
    assert {"S", "V"} <= set(sent[-1][4])


class Swap(RuleBasedStateMachine):
    """A leader's rows as they change, and a node that is told of them late, twice, out of order or not at all, by differences
    against whatever it held: what it holds is always a whole that some leader made, under that number, and never an older one."""

    @initialize()
    def begin(self):
        self.number, self.rows, self.leader, self.told = 1, (("a", 1),), DeltaHistory(itemgetter(0), 2), []
        self.made = {}
        self.put()
        self.held, self.wake = (0, ()), DeltaHistory(itemgetter(0), 2)

    def put(self):
        self.leader.add(self.number, self.rows)
        self.made.setdefault(self.number, set()).add(self.rows)

    def changes(self, name, value, by):
        rows = {row[0]: row for row in self.rows}
        rows.pop(name, None) if value == 0 else rows.update({name: (name, value)})
        self.number, self.rows = self.number + by, tuple(sorted(rows.values()))
        self.put()

    @step(name=st.sampled_from("abc"), value=st.integers(0, 2), by=st.integers(1, 2))
    def changes_a_row(self, name, value, by):
        self.changes(name, value, by)

    @step(number=st.sampled_from((0, 0, 1, 2, 9)))
    def another_leads(self, number):
        """It numbers from where it stood, may use a number that the other one used, and knows no older versions."""
        self.number, self.leader = max(1, self.number - number), DeltaHistory(itemgetter(0), 2)
        self.rows = (("y", 0), ("z", number))
        self.put()
        self.changes("a", 1, 1)

    @step(back=st.integers(0, 1), now=st.booleans())
    def tells(self, back, now):
        held = max(0, self.held[0] - back)
        since = self.leader.delta_since(held)
        self.told.append((self.number, held, since) if since else (self.number, None, self.rows))
        self.hear(0) if now else None

    @step(which=st.integers(0, 5))
    def hears(self, which):
        self.hear(which) if self.told else None

    def hear(self, which):
        number, base, told = self.told[-1 - which % len(self.told)]
        if number <= self.held[0]:
            return
        try:
            whole = told if base is None else self.wake.apply(self.held[0], told)
        except DeltaMismatchError:
            return
        self.held = number, whole
        self.wake.add(number, whole)

    @step()
    def starts_again(self):
        self.held, self.wake = (0, ()), DeltaHistory(itemgetter(0), 2)

    @invariant()
    def it_holds_a_whole_that_was_made(self):
        number, whole = self.held
        assert not number or whole in self.made[number]


Swap.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True)
TestSwap = Swap.TestCase
