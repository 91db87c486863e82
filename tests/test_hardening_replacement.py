"""Machines of the core replaced, leaving, and lost behind a repair: real members, disks and links on a fake clock."""

from statistics import median

import pytest
from test_consensus import Core, done

from rampfront.consensus import events
from rampfront.consensus.codec import decode
from rampfront.consensus.core_strength import MemberCondition
from rampfront.consensus.errors import RemoteProtocolError
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.consensus.identifiers import MemberAddress, MemberKey
from rampfront.consensus.membership_change import UNANSWERED_NS, MembershipChange
from rampfront.consensus.replica_progress import ReplicaProgress
from rampfront.consensus.state import State, decode_state
from rampfront.simulation.world import MS, SEC, Node

CATCH_UP = 4 * SEC  # from the start of a successor, as the smaller deployments have it
SIZES = [(4, 1), (6, 2), (8, 2)]  # members with a disk, and how many may be lost at once


class Site(Core):
    """A core whose machines are replaced by others, at other addresses and under other names."""

    def newcomer(self, ip: str | None = None) -> Node:
        """An empty machine that was not there before; not started yet. Its seeds are machines that run."""
        self.seeds = [node.ip for node in self.running()][:3]
        node = Node(len(self.nodes) + 1, MS)
        node.ip = ip or node.ip
        self.nodes.append(node)
        self.by_ip[node.ip] = node
        return node

    def lose(self, node: Node) -> None:
        """Gone for good, with its disk."""
        self.stop(node, power=True)

    def replace(self, node: Node, pause: int = SEC) -> Node:
        """Gone for good; another one starts behind a pause."""
        self.lose(node)
        self.go(pause)
        new = self.newcomer()
        self.start(new)
        return new

    def running(self) -> list[Node]:
        """Machines that are there."""
        return [node for node in self.nodes if node.up]

    def strong(self) -> bool:
        """Whether the members are exactly those that run, all at full strength as the leader says."""
        leaders = self.leaders
        if len(leaders) != 1 or leaders[0].core_member.leadership.strength_monitor.full_since is None:
            return False
        return self.members() == {node.name: node.core_member.incarnation for node in self.running()}

    def until_strong(self, most: int = 20 * SEC) -> int:
        """ns until the core is at full strength."""
        began = self.now
        while not self.strong():
            self.go(10 * MS)
            assert self.now - began < most, (self.members(), [node.name for node in self.running()])
        return self.now - began

    def members(self) -> dict[str, int]:
        """Name to incarnation, as the leader has it in force."""
        return {name: inc for name, (_, inc) in self.leader.core_member.committed.members.items()}

    def strike(self, lost: int, rev: int) -> None:
        """A configuration is acknowledged; so many of those that hold it lose their disks, all others their power. All
        come back, and it must be read back and followed by another."""
        call = self.config(rev)
        while not done(call):
            self.go(MS)
        running = self.running()
        holders = sorted(
            running, key=lambda node: -node.core_member.committed.index if node.core_member.committed else 0
        )
        for node in holders[:lost]:
            self.wipe(node)
        for node in holders[lost:]:
            self.stop(node, power=True)
        self.go(900 * MS)
        for node in running:
            self.start(node)
        self.go(4 * SEC)
        read = self.ask(self.leader, OrderKind.READ)
        self.go(SEC)
        assert done(read) and read.state.revision == rev
        self.change(rev + 1)

    def change(self, rev: int) -> None:
        """A configuration must be acknowledged within a second."""
        call = self.config(rev)
        self.go(SEC)
        assert done(call)

    def recovers(self, survive: int) -> None:
        """Full strength must be back in time, and then bear the full loss."""
        assert self.until_strong() < CATCH_UP
        self.strike(survive, 2)


def site(members: int, survive: int, seed: int = 1, newcomers: int = 0) -> Site:
    """A core at full strength that holds configuration 1, with newcomers that have been taken in beside the others."""
    core = Site(members, survive, seed)
    assert core.leader.core_member.committed.target_size == members
    for _ in range(newcomers):
        core.start(core.newcomer())
    core.change(1)
    assert core.strong() and len(core.members()) == members + newcomers
    return core


# A machine that is gone for good.


@pytest.mark.parametrize("members, survive", SIZES)
@pytest.mark.parametrize("leads", [False, True])
def test_full_strength_is_back_well_within_the_time_to_catch_up(members: int, survive: int, leads: bool) -> None:
    core = site(members, survive)
    core.replace(core.leader if leads else core.others(core.leader)[0])
    assert core.until_strong() < CATCH_UP - SEC // 2
    assert len(core.members()) == members
    core.strike(survive, 2)


@pytest.mark.parametrize("members, survive", SIZES)
def test_every_machine_may_be_replaced_one_after_the_other(members: int, survive: int) -> None:
    core = site(members, survive)
    for turn, node in enumerate(list(core.nodes)):
        core.replace(node)
        core.go(CATCH_UP)
        assert core.strong()
        core.strike(survive, 10 * turn + 2)
        core.go(CATCH_UP)
    assert not core.members().keys() & {f"front-{number}" for number in range(1, members + 1)}


@pytest.mark.parametrize("members", [6, 8])
def test_two_are_replaced_at_once(members: int) -> None:
    core = site(members, 2)
    gone = [core.leader, core.others(core.leader)[0]]
    for node in gone:
        core.lose(node)
    core.go(SEC)
    for _ in gone:
        core.start(core.newcomer())
    core.recovers(2)


def test_the_founder_is_lost_early() -> None:
    core = Site(4, 1, start=False)
    for node in core.nodes:
        core.start(node, True)
    while not core.leaders or len(core.members()) < 4:
        core.go(10 * MS)
    core.replace(core.nodes[0])
    assert core.until_strong() < CATCH_UP and core.leader.core_member.committed.target_size == 4
    core.strike(1, 2)


def test_a_successor_at_the_address_of_the_machine_that_went() -> None:
    core = site(4, 1)
    gone = core.others(core.leader)[0]
    core.lose(gone)
    core.go(SEC)
    core.start(core.newcomer(gone.ip))
    core.recovers(1)


def test_without_a_successor_nobody_is_taken_out() -> None:
    core = site(4, 1)
    before = core.members()
    away = core.others(core.leader)[0]
    core.cut([away], core.others(away))
    core.go(20 * SEC)
    assert core.members() == before
    core.heal()
    core.go(SEC)
    assert core.members() == before and core.strong()


def test_a_successor_that_comes_late_takes_the_place_at_once() -> None:
    core = site(4, 1)
    core.lose(core.others(core.leader)[0])
    core.go(30 * SEC)
    core.start(core.newcomer())
    assert core.until_strong() < SEC
    core.strike(1, 2)


# Learners.


def test_a_newcomer_has_no_vote_before_its_disk_holds_what_the_leader_has() -> None:
    core = site(4, 1)
    new = core.newcomer()
    core.start(new)
    while not core.leader.core_member.leadership.membership.learners:
        core.go(MS)
    new.disk.hangs = True
    core.go(5 * SEC)
    assert new.name not in core.members() and core.leader.core_member.entry.previous_members is None
    report = {row.name: row.condition for row in core.leader.core_member.leadership.member_statuses()}
    assert report.pop(new.name) == MemberCondition.LEARNER and set(report.values()) == {MemberCondition.VOTER}
    new.disk.hangs = False
    core.go(SEC)
    assert new.name in core.members() and new.core_member.entry.revision == 1


def test_newcomers_with_empty_disks_are_no_part_of_a_majority() -> None:
    """Four of which one goes: three newcomers whose disks take nothing may not outvote what is left."""
    core = site(4, 1)
    core.lose(core.others(core.leader)[0])
    for _ in range(3):
        new = core.newcomer()
        core.start(new)
        new.disk.full = True
    core.go(2 * SEC)
    assert len(core.members()) == 4
    core.change(2)


def test_a_learner_keeps_up_with_changes_and_is_taken_in_among_them() -> None:
    core = site(4, 1)
    core.lose(core.others(core.leader)[0])
    new = core.newcomer()
    core.start(new)
    calls = []
    for rev in range(2, 42):
        calls.append(core.config(rev))
        core.go(50 * MS)
    assert all(map(done, calls)) and new.name in core.members()


@pytest.mark.parametrize("members, survive", SIZES)
def test_a_lost_disk_is_exchanged_in_one_step(members: int, survive: int) -> None:
    core = site(members, survive)
    lost = core.others(core.leader)[0]
    index = core.leader.core_member.committed.index
    core.wipe(lost)
    core.go(SEC // 2)
    core.start(lost)
    assert core.until_strong() < SEC
    sizes = {len(seen[-1]) for at, seen in core.ledger.states.items() if at >= index}
    assert sizes == {members}


# Leaving in order.


@pytest.mark.parametrize("members, survive", SIZES)
@pytest.mark.parametrize("leads", [False, True])
def test_a_planned_replacement_is_through_while_the_old_one_still_answers(
    members: int, survive: int, leads: bool
) -> None:
    core = site(members, survive, newcomers=1)
    assert len(core.members()) == members + 1
    old = core.leader if leads else core.others(core.leader)[0]
    core.tell(old, events.Shutdown())
    core.go(SEC)
    assert old.name not in core.members() and old.up
    core.lose(old)
    core.go(SEC)
    assert core.strong()
    core.strike(survive, 2)


def test_two_leave_at_the_same_time_behind_two_newcomers() -> None:
    core = site(4, 1, newcomers=2)
    leaving = [core.leader, core.others(core.leader)[0]]
    for node in leaving:
        core.tell(node, events.Shutdown())
    core.go(1500 * MS)
    assert not core.members().keys() & {node.name for node in leaving}
    for node in leaving:
        core.lose(node)
    core.go(CATCH_UP)
    core.strike(1, 2)


def test_one_that_leaves_while_others_are_silent_is_needed_until_they_are_out() -> None:
    core = site(4, 1, newcomers=1)
    leaving, first, second, _ = core.others(core.leader)
    core.lose(first)
    core.lose(second)
    core.go(SEC)
    core.tell(leaving, events.Shutdown())
    core.go(3 * SEC)
    assert leaving.name in core.members()
    core.change(2)


def test_one_that_leaves_stays_while_one_more_loss_would_end_the_majority() -> None:
    """Found by schedules (100161 of 4 members, 200198 of 6): the one that leaves comes back with its disk, the silent
    one does not, and a newcomer lost its disk right behind."""
    now = 10 * SEC
    members = {name: MemberAddress(f"10.0.0.{at}", at) for at, name in enumerate("abcde", 1)}
    change = MembershipChange(MemberKey("a", 1), term=3, survive=1)
    replicas = {
        MemberKey(name, place.incarnation): ReplicaProgress(place.ip) for name, place in members.items() if name != "a"
    }
    for replica in replicas.values():
        replica.last_contact_at = now
    replicas["e", 5].is_shutting_down = True
    state = State(7, 3, members=members, target_size=4)
    replicas["d", 4].last_contact_at = now - UNANSWERED_NS - 1
    assert change.removal(state, replicas, now, 0) is None
    replicas["d", 4].last_contact_at = now
    step = change.removal(state, replicas, now, 0)
    assert step is not None and step.members.keys() == set("abcd")


def test_a_second_newcomer_waits_until_a_silent_member_is_out() -> None:
    """Two gone and one more newcomer would make six, of which four are a majority: the newcomer would be needed."""
    core = site(4, 1, newcomers=1)
    for node in core.others(core.leader)[:2]:
        core.lose(node)
    core.go(SEC)
    new = core.newcomer()
    core.start(new)
    while len(core.leader.core_member.entry.members) == 5:
        core.go(5 * MS)
    assert len(core.leader.core_member.entry.members) == 4
    core.lose(new)
    core.go(SEC)
    core.change(2)


@pytest.mark.parametrize("pause", [0, 5, 15, 30, 60, 120, 400])
def test_one_that_is_killed_while_it_leaves(pause: int) -> None:
    core = site(4, 1, newcomers=1)
    old = core.leader
    core.tell(old, events.Shutdown())
    core.go(pause * MS)
    core.lose(old)
    core.recovers(1)


def test_one_that_leaves_in_a_cut() -> None:
    core = site(4, 1, newcomers=1)
    old = core.leader
    core.cut([old], core.others(old))
    core.tell(old, events.Shutdown())
    core.go(SEC)
    core.lose(old)
    core.heal()
    core.recovers(1)


@pytest.mark.parametrize("members, survive", SIZES)
def test_all_restarted_one_by_one_stay_who_they_are(members: int, survive: int) -> None:
    core = site(members, survive)
    before = core.members()
    for node in core.nodes:
        core.tell(node, events.Shutdown())
        core.go(3 * SEC)
        core.stop(node)
        core.go(SEC)
        core.start(node)
        core.go(SEC)
        assert len(core.leaders) == 1
    core.go(SEC)
    assert core.members() == before and core.strong()


@pytest.mark.parametrize("seed", range(1, 11))
def test_a_leader_that_leaves_is_followed_without_a_timeout(seed: int) -> None:
    core = site(4, 1, seed)
    old = core.leader
    core.tell(old, events.Shutdown())
    began = core.now
    while not any(node is not old and node.core_member.quorum_confirmed_at for node in core.leaders):
        core.go(5 * MS)
    assert core.now - began < 200 * MS  # five messages of up to 21 ms each, and stores; a drawn wait is 20 to 300 ms
    assert core.leader.core_member.committed.revision == 1


def test_only_the_named_successor_is_voted_for_while_a_leader_is_heard() -> None:
    core = site(4, 1)
    voter = core.others(core.leader)[0]
    entry, term = voter.core_member.entry, voter.core_member.term
    run = {"k": "run", "n": "x", "i": 5, "j": voter.core_member.incarnation, "t": term + 1, "e": tuple(entry.position)}
    voter.core_member.take(core.now + voter.offset, events.MessageReceived("10.0.0.9", run))
    assert voter.core_member.term == term
    voter.core_member.take(core.now + voter.offset, events.MessageReceived("10.0.0.9", {**run, "h": 1}))
    assert voter.core_member.term == term + 1 and voter.core_member.persistent.vote == ("x", 5)


def test_a_leader_that_leaves_ends_what_it_began() -> None:
    core = site(4, 1)
    old = core.leader
    call = core.config(2)
    core.tell(old, events.Shutdown())
    late = core.config(3, old)
    assert late.verdict == Outcome.NOT_LEADER
    core.go(SEC)
    assert done(call) and core.leader.core_member.committed.revision == 2


def test_the_most_caught_up_member_follows_a_leader_that_leaves() -> None:
    core = site(4, 1)
    old = core.leader
    behind, *rest = core.others(old)
    behind.disk.hangs = True
    call = core.config(2)
    core.go(200 * MS)
    assert done(call)
    core.tell(old, events.Shutdown())
    core.go(200 * MS)
    assert core.leader in rest


# Taken out, though it was merely cut off.


def cut_off_and_taken_out(core: Site) -> tuple[Node, int]:
    """A newcomer stands ready for a planned replacement as another member than the one that is to go is cut off."""
    away = core.others(core.leader)[0]
    before = away.core_member.incarnation
    core.start(core.newcomer())
    core.go(SEC)
    core.cut([away], core.others(away))
    core.go(3 * SEC)
    assert away.name not in core.members()
    return away, before


@pytest.mark.parametrize("members, survive", SIZES)
def test_one_taken_out_while_it_was_cut_off_is_back_as_another_soon(members: int, survive: int) -> None:
    core = site(members, survive)
    away, before = cut_off_and_taken_out(core)
    core.go(12 * SEC)
    core.heal()
    assert core.until_strong() < 2500 * MS
    assert core.members()[away.name] == away.core_member.incarnation != before
    core.strike(survive, 2)


@pytest.mark.parametrize("members, survive", SIZES)
def test_a_newcomer_taken_out_before_it_heard_that_it_was_in_is_back_as_another(members: int, survive: int) -> None:
    """Found by a schedule (600361 of 6): it knocked for ever under the incarnation that had been taken out."""
    core = site(members, survive)
    new = core.newcomer()
    core.start(new)
    while new.name not in core.leader.core_member.entry.members:
        core.go(MS)
    core.cut([new], core.others(new))
    core.go(4 * SEC)
    assert new.name not in core.members() and not new.core_member.persistent.is_member()
    core.heal()
    assert core.until_strong() < 2500 * MS
    core.strike(survive, 2)


def test_one_that_was_away_while_all_others_were_replaced_is_led_back_by_the_seeds() -> None:
    core = site(4, 1)
    away = core.others(core.leader)[0]
    before = away.core_member.incarnation
    core.stop(away)
    for node in core.others(away):
        core.start(core.newcomer())
        core.go(CATCH_UP)
        core.tell(node, events.Shutdown())
        core.go(SEC)
        core.lose(node)
        core.go(CATCH_UP)
    core.seeds = ["10.9.9.9", core.others(core.leader)[-1].ip]
    core.start(away)
    assert core.until_strong() < CATCH_UP
    assert core.members()[away.name] not in (before, 0)


def test_one_that_is_elected_while_it_is_taken_out_gives_way_and_comes_back() -> None:
    core = site(4, 1, newcomers=1)
    old, out = core.leader, core.others(core.leader)[0]
    before = out.core_member.incarnation
    core.tell(out, events.Shutdown())
    while (
        out.name in out.core_member.entry.members
        or out.core_member.persistent.durable.entry is not out.core_member.entry
    ):
        core.go(MS)
    for node in (old, out):
        core.stop(node)
    core.start(out)
    out.core_member.election.stand()
    core.tell(out, events.Tick())
    core.go(3 * SEC)
    core.start(old)
    assert out.life in {life for _, (name, life) in core.ledger.leaders.items() if name == out.name}
    assert core.until_strong() < CATCH_UP and core.members()[out.name] != before


def test_a_word_that_it_is_no_member_counts_only_for_the_incarnation_it_names() -> None:
    core = site(4, 1)
    away = core.others(core.leader)[0]
    core.cut([away], core.others(away))
    core.go(2 * SEC)
    incarnation, term = away.core_member.incarnation, away.core_member.term
    word = {"k": "at", "t": term, "l": core.leader.ip, "m": [], "x": 1, "o": 1}
    core.tell(away, events.MessageReceived(core.leader.ip, {**word, "j": incarnation + 1}))
    assert away.core_member.incarnation == incarnation


def test_a_leader_tells_nobody_that_it_is_out_before_that_is_agreed() -> None:
    core = site(4, 1, newcomers=1)
    leader, away = core.leader, core.others(core.leader)[0]
    incarnation = away.core_member.incarnation
    core.cut([away], core.others(away))
    for node in core.others(leader, away):
        node.disk.hangs = True
    core.go(3 * SEC)
    assert away.name not in leader.core_member.entry.members and away.name in core.members()
    ask = {"k": "seek", "n": away.name, "i": incarnation}
    sent = leader.core_member.take(core.now + leader.offset, events.MessageReceived(away.ip, ask))
    assert [each.message["o"] for each in sent if type(each) is events.SendMessage and each.ip == away.ip] == [0]


def test_a_machine_that_lost_its_disk_and_is_told_of_a_first_start_counts_once() -> None:
    core = site(4, 1)
    lost = core.others(core.leader, core.nodes[0])[0]
    core.wipe(lost)
    core.start(lost, True)
    core.go(2 * SEC)
    assert core.strong() and core.leader.core_member.committed.target_size == 4


# Several troubles at once.


def test_a_replacement_while_another_member_is_cut_off() -> None:
    core = site(6, 2)
    away = core.others(core.leader)[-1]
    core.cut([away], core.others(away))
    core.go(SEC)
    gone = core.leader
    core.lose(gone)
    core.go(SEC)
    new = core.newcomer()
    core.cut([away], [new])
    core.start(new)
    core.go(CATCH_UP)
    core.change(2)
    core.heal()
    assert core.until_strong() < CATCH_UP
    core.strike(2, 3)


def test_a_newcomer_that_dies_again_is_replaced_too() -> None:
    core = site(4, 1)
    core.lose(core.others(core.leader)[0])
    core.go(SEC)
    first = core.newcomer()
    core.start(first)
    core.go(300 * MS)
    core.lose(first)
    core.go(SEC)
    core.start(core.newcomer())
    core.recovers(1)


def test_a_leader_lost_in_the_middle_of_a_change_of_members() -> None:
    for pause in range(0, 300, 12):
        core = site(6, 2)
        gone = core.others(core.leader)[0]
        core.lose(gone)
        core.go(SEC)
        core.start(core.newcomer())
        core.go(pause * MS)
        core.lose(core.leader)
        core.go(SEC)
        core.start(core.newcomer())
        assert core.until_strong() < CATCH_UP + SEC
        core.strike(2, 2)


# What operators are told.


def test_the_leader_tells_the_state_of_each_member_and_since_when_all_is_well() -> None:
    core = site(4, 1)
    report = core.leader.core_member.leadership.member_statuses
    assert {row.condition for row in report()} == {MemberCondition.VOTER} and core.strong()
    gone = core.others(core.leader)[0]
    core.lose(gone)
    core.go(2 * SEC)
    assert {row.name: row.condition for row in report()}[gone.name] == MemberCondition.SILENT
    assert core.leader.core_member.leadership.strength_monitor.full_since is None
    core.start(core.newcomer())
    seen = set()
    while not core.strong():
        core.go(5 * MS)
        seen |= {row.condition for row in report() if row.name == gone.name}
    assert MemberCondition.REPLACED in seen
    since = core.leader.core_member.leadership.strength_monitor.full_since
    core.go(SEC)
    assert core.leader.core_member.leadership.strength_monitor.full_since == since


def test_the_wanted_size_is_kept_on_disk_and_on_the_wire() -> None:
    state = State(3, 2, members={"a": ("10.0.0.1", 5)}, target_size=4).next_entry(body=b"x")
    assert decode_state(state.encode()).target_size == 4
    assert decode_state(State(3, 2, members={"a": ("10.0.0.1", 5)}).next_entry(body=b"x").encode()).target_size == 0
    plain = state.encode()
    for odd in (-1, "4", None, True):
        with pytest.raises(RemoteProtocolError):
            decode_state([*plain[:-1], odd])


@pytest.mark.parametrize("field, odd", [("f", -1), ("f", "1"), ("z", None), ("h", [1]), ("j", True), ("i", "5")])
def test_odd_fields_that_may_be_left_out_stop_at_the_door(field: str, odd: object) -> None:
    with pytest.raises(RemoteProtocolError):
        decode({"k": "nay", "t": 1, field: odd})


def test_a_core_from_before_learns_its_wanted_size() -> None:
    core = site(4, 1)
    for node in core.nodes:
        core.stop(node)
        node.disk.record = None if node.disk.record is None else without_target(node.disk.record)
    for node in core.nodes:
        core.start(node)
    core.go(3 * SEC)
    assert core.leader.core_member.committed.target_size == 4


def without_target(record: bytes) -> bytes:
    """A record as it was before the wanted size stood in it."""
    import cbor2

    rows = cbor2.loads(record)
    rows[5] = rows[5][:8]
    return cbor2.dumps(rows)


def test_times_until_full_strength() -> None:
    """Median and worst of twenty seeds, from the start of the successor."""
    for planned in (False, True):
        times = []
        for seed in range(1, 21):
            core = site(4, 1, seed)
            old = core.leader if seed % 2 else core.others(core.leader)[0]
            if planned:
                core.start(core.newcomer())
                began = core.now
                core.go(SEC)
                core.tell(old, events.Shutdown())
                while old.name in (core.members() if len(core.leaders) == 1 else {old.name}):
                    core.go(10 * MS)
            else:
                core.replace(old)
                began = core.now
                core.until_strong()
            times.append(core.now - began)
        print("planned" if planned else "plain", median(times) / SEC, max(times) / SEC)
        assert max(times) < CATCH_UP - SEC // 2
