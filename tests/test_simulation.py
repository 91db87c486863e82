"""The schedules of the simulation: which faults they inject, and that faults planted in the serving code are found."""

from collections import Counter
from collections.abc import Callable

import pytest
from core_fixtures import Core, done

from rampfront.consensus import events
from rampfront.consensus.election import Role
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.consensus.leader import Leader
from rampfront.consensus.order_queue import OrderQueue
from rampfront.consensus.version_history import VersionHistory
from rampfront.consensus.wire_names import KIND, VOTE_GRANTED
from rampfront.node.lease import Lease
from rampfront.simulation.checks import InvariantError
from rampfront.simulation.linearizability import Kind, Verdict
from rampfront.simulation.plan import Planner, Row
from rampfront.simulation.schedule import Run
from rampfront.simulation.system_run import SystemRun
from rampfront.simulation.world import MS, SEC, Node


def play_seeds(seeds: range, members: int, choose: Callable[[Run], bool] = lambda run: True) -> Counter:
    """Counts of what happened in all chosen schedules, and of the verdicts in their histories."""
    counts: Counter = Counter()
    for seed in seeds:
        run = Run(seed, members)
        if choose(run):
            counts.update(run.play())
            counts.update(operation.verdict for operation in run.world.history.operations())
    return counts


def test_schedules_replace_machines_and_lose_answers() -> None:
    counts = play_seeds(range(1001, 1015), 4)
    hit = {"replace", "replace_planned", "leave", "races", "answers lost", "wipe", "kill_all"}
    assert hit <= counts.keys() and {*Verdict} <= counts.keys()


@pytest.mark.parametrize("members, seeds", [(4, range(2, 30)), (6, range(2, 14)), (8, range(2, 8))])
def test_losses_within_survive_as_close_as_they_may_come(members: int, seeds: range) -> None:
    counts = play_seeds(seeds, members, lambda run: run.targeted)
    assert counts["wipe_and_stop_all"] and counts["aimed_ms_most"]


def test_a_long_cut_and_hundreds_of_changes() -> None:
    counts = play_seeds(range(1, 60), 4, lambda run: run.with_long_cut)
    assert counts["cut_long"]
    run = Run(7)
    run.storm(run.world.nodes[3], 300)
    run.play()
    changes = [each for each in run.world.history.operations() if each.kind is Kind.CONFIGURE]
    assert len({each.number for each in changes if each.took_effect}) > 100


# Faults planted in the core.


def test_a_read_without_a_round_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader that does not know that it was replaced answers a read from its own state."""
    submit = Leader.submit

    def answer_reads_at_once(leader: Leader, order: events.Order) -> None:
        if order.kind == OrderKind.READ and leader.persistent.committed is not None:
            leader.context.emit(events.OrderEnded(order.ref, Outcome.DONE, leader.persistent.committed))
        else:
            submit(leader, order)

    monkeypatch.setattr(Leader, "submit", answer_reads_at_once)
    monkeypatch.setattr(Leader, "is_expired", lambda *_: False)
    core = Core()
    old = core.leader
    core.configure(1), core.advance(SEC)
    core.cut_links([old], core.others(old))
    core.advance(3 * SEC)
    (new,) = [node for node in core.leaders if node is not old]
    newer, _ = core.configure(2, new), core.advance(SEC)
    assert done(newer)
    with pytest.raises(InvariantError, match="was acknowledged before"):
        core.place_order(old, OrderKind.READ)


def test_two_bodies_confirmed_under_one_number_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each body is treated as the one that was confirmed for its number."""
    monkeypatch.setattr(VersionHistory, "conflicts_with", lambda history, number, digest: False)
    with pytest.raises(InvariantError, match="another body|two bodies|LINEARIZABILITY"):
        play_seeds(range(1, 20), 4)


def late_vote(seed: int) -> bool:
    """A vote that was sent before its voter lost the disk arrives once the voter's next incarnation is a member.

    The previous and the new membership of three then have disjoint majorities. Returns whether this occurred."""
    core = Core(members=3, survive=1, seed=seed)
    core.configure(1), core.advance(SEC)
    old, send = core.leader, core.send
    late: list[tuple[Node, Node, dict]] = []
    core.cut_links([old], core.others(old))

    def held(node: Node, ip: str, message: dict) -> None:
        late.append((node, core.by_ip[ip], message)) if message[KIND] == VOTE_GRANTED else send(node, ip, message)

    core.send = held
    while not late and old.core_member.is_leader:
        core.advance(MS)
    if not late:
        return False
    voter, candidate, vote = late[0]
    core.wipe(voter)
    core.heal_links()
    core.cut_links([candidate], [old, voter])
    core.start(voter)
    order = None
    while (
        old.core_member.is_leader
        and candidate.core_member.roles.election.role is Role.CANDIDATE
        and not (order and done(order))
    ):
        core.advance(MS)
        if order is None and old.core_member.committed.members[voter.name][1] == voter.incarnation:
            order = core.configure(9, old)
    core.deliver(candidate, events.MessageReceived(voter.ip, vote))
    core.advance(50 * MS)
    core.heal_links()
    core.send = send
    core.advance(6 * SEC)  # `SafetyChecker.record_committed_state` finds two states committed at one index
    assert order is None or not done(order) or core.leader.core_member.committed.revision == 9
    return True


def test_a_vote_of_a_lost_incarnation_makes_no_second_majority() -> None:
    assert sum(late_vote(seed) for seed in range(1, 16)) > 10


# Faults planted in complete nodes.


def play_plot(kind: str, seed: int) -> None:
    rows: list[Row] = getattr(Planner(seed, 11, 4, 8000), f"plot_{kind}")(6500)
    SystemRun(seed, length=9000, plan=sorted(rows, key=lambda row: row[0])).play()


def test_orders_in_doubt_are_not_acknowledged(monkeypatch: pytest.MonkeyPatch) -> None:
    play_plot("doubt", 1)
    end = OrderQueue.end

    def certain(queue: OrderQueue, order: object, outcome: Outcome) -> None:
        end(queue, order, Outcome.DONE if outcome == Outcome.UNKNOWN else outcome)

    monkeypatch.setattr(OrderQueue, "end", certain)
    with pytest.raises(InvariantError, match="acknowledged"):
        for seed in range(1, 4):
            play_plot("doubt", seed)


def test_a_lease_holds_no_longer_than_it_may(monkeypatch: pytest.MonkeyPatch) -> None:
    play_plot("lease", 1)
    init = Lease.__init__

    def longer(lease: Lease, *arguments: object) -> None:
        init(lease, *arguments)
        lease.duration += SEC

    monkeypatch.setattr(Lease, "__init__", longer)
    with pytest.raises(InvariantError, match="behind its revocation"):
        for seed in range(1, 13):
            play_plot("lease", seed)
