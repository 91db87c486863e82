"""The word of the core and the roster: many lookouts on a fake network and clock; frames between nodes; the directory."""

import json
from types import SimpleNamespace

import pytest
from proxy_fixtures import EPOCH, MS, SEC, Nodes, heartbeat_frame, response_frame

from rampfront.membership.heartbeats import HEARTBEAT_INTERVAL_NS
from rampfront.membership.leadership import CoreStatus
from rampfront.membership.peers import PEER_TIMEOUT_NS
from rampfront.membership.roster import RosterEntry
from rampfront.membership.versions import VERSIONS_PER_TERM
from rampfront.node.directory_call import Directory


def ages(n, *but):
    return [
        (n.now - m.disseminator.confirmed_at_ns) / SEC
        for k, m in enumerate(n.mates.values(), 1)
        if k not in but and m.disseminator.confirmed_at_ns is not None
    ]


def test_everybody_gets_the_word():
    """Within a moment of the start, from nothing but the seeds; its age stays about a beat."""
    n = Nodes(12)
    n.lead(3)
    n.run(1500)
    assert len(ages(n)) == 12 and all(n[k].state_index == 1 and n[k].leader == "10.0.0.3" for k in range(1, 13))
    for _ in range(20):
        n.run(500)
        assert max(ages(n)) < 1.5
    assert all(len(n[k].roster) == 12 for k in range(1, 13))


def test_news_goes_out_at_once():
    """Not with the next hail, and once to each; a lost push is made up for by the next hail."""
    n = Nodes(8)
    n.lead(1)
    n.run(5000)
    n.silent.add("10.0.0.8")
    n[1].state_index, n[1].endpoints_version = 2, 1
    n[1].push_updates(n.now)
    n[1].push_updates(n.now)
    n.run(10)
    assert all((n[k].state_index, n[k].endpoints_version) == (2, 1) for k in range(1, 8))
    assert [len(m.took) for m in list(n.mates.values())[1:7]] == [3] * 6  # the first state, then these two
    n.silent.clear()
    n.run(1300)
    assert (n[8].state_index, n[8].endpoints_version) == (2, 1)


@pytest.mark.parametrize("seed", range(6))
def test_nothing_goes_back(seed):
    """Words that come late, out of order, twice or never: what is held only rises, and the age told of it is true: all that
    a majority stood behind by then is there. Though leaders change, and one does not know it."""
    n = Nodes(6, seed)
    n.shuffle = True
    n.lead(1)
    held = {}

    def check():
        for ip, mate in n.mates.items():
            look = mate.disseminator
            now = look.state_index, look.endpoints_version, look.roster_version
            assert all(new >= old for new, old in zip(now, held.get(ip, now)))
            if look.confirmed_at_ns is not None:
                # what was in force when the word was young is held: so nobody uses a key that was taken away before then
                assert look.confirmed_at_ns <= n.backed_at and look.state_index >= n.held_at(look.confirmed_at_ns)
            held[ip] = now

    for step in range(1, 40):
        n.backed = step % 5 > 1
        look = n[n.leader]
        look.state_index, look.endpoints_version = (
            look.state_index + 1,
            max(look.endpoints_version + 1, n.term * VERSIONS_PER_TERM + 1),
        )
        look.push_updates(n.now)
        n.run(1000, check)
        if step == 20:  # another leads, the old one has no majority any more and goes on telling what it knows
            n.lead(2, index=n[1].state_index + 1, term=2)
            n[2].endpoints_version = 2 * VERSIONS_PER_TERM
        if step == 30:
            n[1].set_leadership(CoreStatus(False, None, 2, None), n.now)
    n.shuffle, n.backed = False, True
    n.run(6000)
    assert all(
        n[k].state_index == n[2].state_index and n[k].roster_version == n[2].roster_version > 2 * VERSIONS_PER_TERM
        for k in range(1, 7)
    )


def test_the_words_age_stops_with_the_majority():
    """A leader that lost its majority answers on; nobody takes that for a young word, by whatever way it comes."""
    n = Nodes(6)
    n.lead(1)
    n.run(3000)
    n.leader, lost = None, n.now
    for mate in n.mates.values():
        assert mate.disseminator.confirmed_at_ns <= lost
    n.run(8000)
    assert all(mate.disseminator.confirmed_at_ns <= lost for mate in n.mates.values())


def test_relay_through_a_peer():
    """Cut off from the leader alone: the word and news come through others, a little later."""
    n = Nodes(8)
    n.lead(1)
    n.run(3000)
    n.cuts.add(("10.0.0.1", "10.0.0.8"))
    ages = []
    for step in range(2, 8):
        n.run(2500, lambda: ages.append((n.now - n[8].confirmed_at_ns) / SEC))
        n[1].state_index = step
        n[1].push_updates(n.now)
    n.run(2500)
    assert n[8].state_index == 7 and max(ages) < 2.5
    n.silent.add("10.0.0.8")  # cut off from all: nothing keeps its word young
    at = n[8].confirmed_at_ns
    n.run(5000)
    assert n[8].confirmed_at_ns == at
    n.silent.clear()
    n.cuts.clear()
    n.run(500)  # back: asks at once, not at the next beat
    assert n.now - n[8].confirmed_at_ns < SEC


def test_an_answer_counts_from_the_question():
    """Late answers are as old as their question; what nobody asked for gives no age, nor does a question from the future."""
    n = Nodes(3)
    look = n[2]
    word = {"k": "word", "l": "10.0.0.1", "e": 1, "t": EPOCH + SEC, "a": 200 * MS}
    n[1].state_index, n[1].leadership.confirmed_at_ns = 4, EPOCH
    answer = []
    n.mates["10.0.0.1"].send = lambda ip, message: answer.append(message)
    n[1].on_heartbeat("10.0.0.2", heartbeat_frame(look, EPOCH + SEC) | {"b": look.incarnation ^ 1}, EPOCH + SEC)
    answer[0].pop("S")
    look.on_state_response("10.0.0.1", answer[0], EPOCH + 9 * SEC)
    assert answer[0]["a"] == SEC and look.confirmed_at_ns is None  # an answer to the life before, which held more
    look.on_state_response("10.0.0.1", word, EPOCH + 9 * SEC)
    assert look.confirmed_at_ns == EPOCH + 800 * MS
    look.on_state_response("10.0.0.1", word | {"t": 0, "a": 0}, EPOCH + 9 * SEC)
    look.on_state_response("10.0.0.1", word | {"t": EPOCH + 10 * SEC}, EPOCH + 9 * SEC)
    look.on_state_response("10.0.0.1", word | {"a": 900 * MS}, EPOCH + 9 * SEC)
    assert look.confirmed_at_ns == EPOCH + 800 * MS
    assert "a" not in response_frame(look, n.now, 0, 0, 0, 0)  # without a state there is nothing that could be young


def test_an_old_leader_that_numbers_on():
    """Deposed and not aware of it, it gives its roster and its list numbers above those that the new one found. What the new one
    says holds everywhere all the same."""
    n = Nodes(6)
    n.lead(1)
    n.run(3000)
    n.lead(2, term=2)
    n[2].roster_replica.version, n[2].roster_replica.entries = n[1].roster_version, n[1].roster
    n[2].endpoints_version = VERSIONS_PER_TERM + 7
    n.run(10)
    n[1].roster_replica.version, n[1].roster_replica.entries = n[1].roster_version + 1, n[1].roster[:3]
    n[1].endpoints_version = VERSIONS_PER_TERM + 8
    for k in (1, 5):
        n[k].roster_replica.version, n[k].roster_replica.entries = n[1].roster_version, n[1].roster
        n[k].endpoints_version = VERSIONS_PER_TERM + 8
    n[1].set_leadership(CoreStatus(False, None, 1, None), n.now)
    n.run(3000)
    assert all(n[k].roster == n[2].roster and len(n[k].roster) == 6 for k in range(1, 7))
    assert n[2].must_renumber_endpoints  # the station numbers its next list anew


@pytest.mark.parametrize(
    "odd",
    (
        {"a": -1},
        {"a": "1"},
        {"t": -5},
        {"t": None},
        {"t": True},
        {"l": 7},
        {"e": -1},
        {"e": 1 << 70},
        {"e": None},
        {"l": "x" * 300},
        {"O": [10**9, "x"]},
        {"O": [10**9, [["a", "b", "c", "d"]]]},
        {"O": [10**9, [[1] * 5]]},
        {"O": ["9", []]},
        {"O": 5},
    ),
)
def test_odd_words_change_nothing(odd):
    n = Nodes(3)
    n.lead(1)
    n.run(2000)
    look = n[2]
    before = look.state_index, look.roster_version, look.roster, look.confirmed_at_ns, look.leader
    with pytest.raises((ValueError, TypeError)):
        look.on_state_response("10.0.0.9", {"k": "word", "l": "10.0.0.9", "e": 1, "t": n.now, "a": 0} | odd, n.now)
    assert (look.state_index, look.roster_version, look.roster, look.leader) == before[:3] + (before[4],)


def test_odd_hails_are_no_peers():
    n = Nodes(3)
    n.lead(1)
    n.run(2000)
    hail = heartbeat_frame(n[2], n.now)
    for odd in ({"n": 5}, {"z": None}, {"f": "x" * 300}, {"i": "1"}, {"s": -1}, {"o": 1.5}, {"t": "now"}):
        with pytest.raises(ValueError):
            n[1].on_heartbeat("10.0.0.99", hail | odd, n.now)
    assert "10.0.0.99" not in n[1].peer_table.by_ip


def test_nobody_to_ask():
    """One that knows nobody asks nobody, and goes on."""
    n = Nodes(1)
    n.leader = None
    n[1].set_seeds(["10.0.0.1"])
    n.run(1000)
    n[1].set_seeds([])
    n.run(1000)
    assert not n.number and n[1].confirmed_at_ns is None


def names(look, ready=True):
    return [entry.name for entry in look.roster if entry.ready or not ready]


def test_the_roster_drops_the_silent():
    """Not at the first lost hail, but soon; and takes them in again."""
    n = Nodes(6)
    n.lead(1)
    for k in range(1, 7):
        n[k].ready = True
    n.run(3000)
    assert names(n[4]) == ["n1", "n2", "n3", "n4", "n5", "n6"]
    n.silent.add("10.0.0.5")
    n.run((PEER_TIMEOUT_NS - 6 * HEARTBEAT_INTERVAL_NS // 5) // MS)
    assert "n5" in names(n[4])
    n.run(2 * HEARTBEAT_INTERVAL_NS // MS)
    assert "n5" not in names(n[4], ready=False) and len(n[1].peer_table.by_ip) <= 6
    n.silent.clear()
    n.run(1500)
    assert "n5" in names(n[4])


def test_who_leaves_is_out_at_once():
    """A node that says that it is not ready is out of everybody's roster in two hops; a late hail does not bring it back."""
    n = Nodes(6)
    n.lead(1)
    for k in range(1, 7):
        n[k].ready = True
    n.run(3000)
    late = heartbeat_frame(n[5], n.now)
    n.run(10)
    n[5].set_ready(False)  # as the station does
    n.run(30)
    assert all("n5" not in names(n[k]) for k in (1, 2, 3, 4, 6))
    n[1].on_heartbeat("10.0.0.5", late, n.now)
    n.run(30)
    assert "n5" not in names(n[2])


def test_an_old_leader_is_not_followed():
    """Whoever still names it, itself included, in whatever order that comes; while a newer one is asked at once."""
    n = Nodes(5)
    n.lead(1)
    n.run(3000)
    look, old = n[3], response_frame(n[1], n.now, 1, 1, 1 << 40, n.now)
    n.silent.add("10.0.0.1")
    n.lead(2, term=2)
    n.run(50)
    assert look.leader == "10.0.0.2" and n.now - look.confirmed_at_ns < 100 * MS
    n[1].set_leadership(
        CoreStatus(False, None, 1, None), n.now
    )  # it learns that it leads no more, not yet who does, and asks nobody who says 'you'
    n[1].on_state_response(
        "10.0.0.4", response_frame(n[4], n.now, 1, 1, 1 << 40, n.now) | {"l": "10.0.0.1", "e": 1}, n.now
    )
    assert n[1].leader is None
    for later in (0, 2 * SEC):  # the second time it is deaf
        look.on_state_response("10.0.0.1", old, n.now + later)
        look.on_state_response("10.0.0.4", old, n.now + later)
        assert look.leader == "10.0.0.2"


def test_a_new_leader_keeps_the_roster():
    """It has heard nobody yet: the old roster stands until nodes are silent too long; then the dead are dropped."""
    n = Nodes(6)
    n.lead(1)
    for k in range(1, 7):
        n[k].ready = True
    n.run(3000)
    n.silent |= {"10.0.0.1", "10.0.0.6"}
    n[1].leadership.is_leader, sent = False, n.keep()
    n.lead(2, term=2)
    n.run(100)
    assert set(names(n[2])) == {"n1", "n2", "n3", "n4", "n5", "n6"}
    assert all(n[k].leader == "10.0.0.2" for k in range(2, 6))  # it told them
    assert not any("S" in message or "V" in message for _, _, _, _, message in sent)
    seen = []
    n.run(PEER_TIMEOUT_NS // MS, lambda: seen.append(set(names(n[2]))))
    assert all({"n2", "n3", "n4", "n5"} <= now for now in seen)
    assert names(n[3]) == ["n2", "n3", "n4", "n5"] and n[3].roster_version > 2 * VERSIONS_PER_TERM


# ---- the directory


def test_directory():
    """Ready fronts of the client's zone while there are some, with a few others for the loss of the zone; then of its region,
    then any; never one that is not ready."""
    zones = {"a1": "a", "a2": "a", "b1": "b"}
    rows = [
        RosterEntry(f"{zone}-{k}", f"10.0.{at}.{k}", zone, f"{zone}-{k}", ready)
        for at, zone in enumerate(zones)
        for k, ready in enumerate((True, True, False))
    ]
    disseminator = SimpleNamespace(roster=rows)
    settings = SimpleNamespace(zones=zones, guarantees=SimpleNamespace(ttl_max=5 * SEC))
    directory = Directory(disseminator, settings, Nodes(1).draw)

    spread = []

    def ask(zone, region="a"):
        answer = directory.lookup(SimpleNamespace(query={"Name": "h", "Zone": zone, "Region": region}))
        names = json.loads(answer.body).get("Addresses", ())
        assert len(names) <= 64
        spread[:] = [name[:2] == zone for name in names]
        return answer.status, set(names)

    assert ask("a1") == (200, {"a1-0", "a1-1", "a2-0", "a2-1"})
    assert sum(spread) > 0.9 * len(spread)
    assert ask("b1", "b") == (200, {"b1-0", "b1-1"})
    disseminator.roster = [row for row in rows if row.name != "a1-0"]
    assert ask("a1") == (200, {"a1-1", "a2-0", "a2-1"})
    disseminator.roster = [row for row in rows if row.zone == "b1"]
    assert ask("a1") == (200, {"b1-0", "b1-1"})
    assert ask("unknown", "unknown") == (200, {"b1-0", "b1-1"})
    disseminator.roster = [row for row in rows if not row.ready]
    assert ask("a1")[0] == 503
