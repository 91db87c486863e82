"""Newcomers find the core through any one living process, whatever that process is and however old their seeds are.

Whole nodes on a fake clock: a core of four with disks, and seven nodes without. What callers saw (review case 4):
machines with empty disks that were ready and never became members, because no seed of theirs had a member of the core.
"""

import json

from rampfront.node import log_events
from rampfront.node.leadership import LOG_AFTER_NS
from rampfront.node.log_events import LogEvent
from rampfront.node.metrics_page import gauges
from rampfront.node.status_views import StatusViews
from rampfront.simulation.fleet import ApiCall, Machine
from rampfront.simulation.isolation import OK, IsolationRun

SEC = 10**9
NOWHERE = "10.99.9.9"
JOIN_WITHIN = 4 * SEC  # `CatchUp` of the smaller deployments: until a successor has to be a member


class NewcomerRun(IsolationRun):
    """A fleet in which machines of the core are replaced by empty ones with chosen seeds."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed, operators=0)
        self.quiet = True
        self.diskless = [machine for machine in self.fleet.machines if machine.disk is None]

    def replace(self, seeds: list[Machine], gone: Machine | None = None) -> Machine:
        """Removes a machine of the core for good, and starts an empty one a second later. It knows only `seeds`."""
        gone = gone or next(machine for machine in self.fleet.core if machine is not self.leader())
        successor = self.fleet.replace_machine(gone)
        successor.seeds = [machine.ip for machine in seeds]
        self.go(SEC)
        self.fleet.start(successor)
        return successor

    def members(self) -> set[str]:
        """Names of the members in the state that the leader has committed."""
        return set(self.leader().core_member.committed.members)

    def check_core(self, span: int = JOIN_WITHIN) -> None:
        """Checks that exactly the machines with a disk are members after `span`, and that an order is acknowledged."""
        self.go(span)
        assert self.members() == {machine.name for machine in self.fleet.core}
        reply = self.order("config", self.leader(), self.body())
        self.go(SEC)
        assert reply[0].status == OK

    def restart(self, machines: list[Machine], seeds: list[str], pause: int = 3 * SEC) -> None:
        """Restarts machines at once, behind a pause in which the leader forgets them. They know only `seeds`."""
        for machine in machines:
            self.fleet.stop(machine)
            machine.seeds = seeds
        self.go(pause)
        for machine in machines:
            self.fleet.start(machine)


def test_through_seeds_without_a_disk() -> None:
    """Review case 4: two machines are replaced, one behind the other, and all seeds are nodes without a disk."""
    run = NewcomerRun()
    for _ in range(2):
        run.replace(run.diskless[:3])
        run.check_core()


def test_through_a_newcomer_that_is_no_member_yet() -> None:
    """The only living seed of the second newcomer is the first one, whose disk is too slow to let it join."""
    run = NewcomerRun()
    first = run.replace(run.diskless[:1])
    first.disk.hangs = True
    second = run.fleet.add_machine(first)
    second.seeds = [NOWHERE, first.ip]
    run.fleet.start(second)
    run.go(JOIN_WITHIN)
    assert first.name not in run.members() and second.name in run.members()
    first.disk.hangs = False
    run.check_core()


def test_through_seeds_that_were_restarted_with_each_other_as_seeds() -> None:
    """The leader has forgotten them, and they know nobody else: it has to announce itself to the nodes it knew."""
    run = NewcomerRun()
    seeds = run.diskless[:3]
    run.restart(seeds, [machine.ip for machine in seeds])
    run.replace(seeds)
    run.check_core(2 * JOIN_WITHIN)
    assert all(machine.node_process.disseminator.leader == run.leader().ip for machine in seeds)


def test_a_process_whose_seeds_are_all_dead_is_found_by_the_core() -> None:
    """Without a disk, started anew at its address; the core knew it before."""
    run = NewcomerRun()
    run.restart(run.diskless[:1], [NOWHERE], pause=20 * SEC)
    run.go(10 * SEC)
    assert run.diskless[0].node_process.disseminator.ready


def test_a_member_that_was_away_while_all_others_were_replaced() -> None:
    """It asks the members that it knows and its seeds, and none of them has a member of the core (`query_if_lost`)."""
    run = NewcomerRun()
    away = next(machine for machine in run.fleet.core if machine is not run.leader())
    run.replace(run.diskless[:1], away)
    run.go(JOIN_WITHIN)
    for machine in [machine for machine in run.fleet.core if machine.replaces is None]:
        run.replace(run.diskless[:1], machine)
        run.go(JOIN_WITHIN)
    run.fleet.removed.remove(away)
    run.fleet.core.append(away)
    run.fleet.machines.append(away)
    away.seeds = [run.diskless[0].ip]
    run.fleet.start(away)
    run.check_core(2 * JOIN_WITHIN)


def test_through_a_removed_member_that_answers_with_an_old_list() -> None:
    """The seed was cut off from the core, which replaced it and all members that it knows. It reaches the newcomer."""
    run = NewcomerRun()
    fleet = run.fleet
    removed = next(machine for machine in fleet.core if machine is not run.leader())
    old = [machine for machine in fleet.core if machine is not removed]
    run.cut([removed], others=[machine for machine in fleet.machines if machine not in run.diskless[3:]])
    fleet.core.remove(removed)
    for gone in (removed, *old):
        newcomer = fleet.add_machine(gone) if gone is removed else run.replace(run.diskless[:1], gone)
        run.cut([removed], others=[newcomer])
        if gone is removed:
            newcomer.seeds = [run.diskless[0].ip]
            fleet.start(newcomer)
        run.go(JOIN_WITHIN)
    assert removed.name not in run.members()
    run.cut_since.clear()
    newcomer = run.replace([removed])
    run.check_core()


def test_newcomers_that_reach_only_each_other_found_no_core() -> None:
    """A hint is a place to ask, never a right to vote."""
    run = NewcomerRun()
    first = run.replace([])
    first.seeds = [NOWHERE]
    second = run.fleet.add_machine(first)
    second.seeds = [first.ip]
    run.fleet.start(second)
    run.cut([first, second])
    run.go(3 * JOIN_WITHIN)
    for machine in (first, second):
        assert machine.core_member.entry is None and not machine.core_member.is_leader


def test_a_core_below_its_target_and_a_newcomer_outside_it_are_shown_with_their_time() -> None:
    """Until this, a core that waited for a successor in vain looked like any other."""
    run = NewcomerRun()
    newcomer = run.replace([])
    newcomer.disk.hangs = True
    leader = run.leader()
    logged: list[LogEvent] = []
    for machine in (leader, newcomer):
        machine.node_process.context.log.record_limited = lambda event, party, **fields: logged.append(event)
    run.go(LOG_AFTER_NS + 2 * SEC)
    assert {log_events.CORE_BELOW_TARGET, log_events.OUTSIDE_CORE} <= set(logged)
    assert dict(gauges(leader.node_process))["core_below_target_seconds"] > 5
    assert dict(gauges(newcomer.node_process))["core_outside_seconds"] > 5
    assert dict(gauges(leader.node_process))["core_outside_seconds"] == 0
    views = [json.loads(StatusViews(machine.node_process).state(ApiCall({})).body) for machine in (leader, newcomer)]
    assert views[0]["Core"]["BelowTargetMs"] > 5000 and views[1]["OutsideCoreMs"] > 5000
    newcomer.disk.hangs = False
    run.check_core()
    assert dict(gauges(leader.node_process))["core_below_target_seconds"] == 0
    assert dict(gauges(newcomer.node_process))["core_outside_seconds"] == 0
