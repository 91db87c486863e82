"""What a leader reports to operators of its core: the condition of each member, and for how long all has been well.

The core is at full strength while it has as many members as are wanted, all of them answer and stay, and no change of
members is under way. Operators wait for that between two planned losses. Called by `Leader`; `node/` shows the result.
"""

from enum import StrEnum
from typing import NamedTuple

from .identifiers import DurationNs, MemberKey, TimeNs
from .membership_change import MembershipChange, wanted_size
from .replica_progress import ReplicaProgress
from .replication import Replication
from .state import State


class MemberCondition(StrEnum):
    """The condition of a member, as operators see it. The values go out over the control address."""

    VOTER = "voter"
    LEARNER = "learner"
    SILENT = "silent"
    LEAVING = "leaving"
    REPLACED = "being replaced"


class MemberStatus(NamedTuple):
    """One member or learner."""

    name: str
    ip: str
    condition: MemberCondition


class CoreStrength(NamedTuple):
    """`wanted`: how many members there should be. `full_for`: ns for which the core has been at full strength in this
    leader's term, or None if it is not."""

    wanted: int
    members: list[MemberStatus]
    full_for: DurationNs | None


class StrengthMonitor:
    """Watches the strength of the core during one leader's term."""

    def __init__(self, membership: MembershipChange, replication: Replication, survive: int) -> None:
        """Not at full strength, as far as is known. `survive`: how many machines may be lost at once."""
        self._membership = membership
        self._replication = replication
        self._survive = survive
        self.full_since: TimeNs | None = None

    def watch(self, entry: State, is_committed: bool, now: TimeNs) -> None:
        """To be called with each tick. `entry`: the newest one; `is_committed`: whether it is."""
        replicas = self._replication.replicas.values()
        is_staying = not any(self._replication.is_silent(each) or each.is_shutting_down for each in replicas)
        is_changing = entry.previous_members is not None or bool(self._membership.learners)
        has_enough = len(entry.members) >= wanted_size(entry, self._survive)
        if not is_committed or not is_staying or is_changing or not has_enough:
            self.full_since = None
        elif self.full_since is None:
            self.full_since = now

    def strength(self, entry: State, now: TimeNs) -> CoreStrength:
        """The strength at this moment."""
        full_for = None if self.full_since is None else max(0, now - self.full_since)
        return CoreStrength(wanted_size(entry, self._survive), self._member_statuses(entry), full_for)

    def _member_statuses(self, entry: State) -> list[MemberStatus]:
        """Each member and then each learner, by name."""
        replicas, silent = self._replication.replicas, self._replication.silent_keys()
        is_surplus = len(entry.members) > wanted_size(entry, self._survive)
        statuses = []
        for name, (ip, incarnation) in sorted(entry.members.items()):
            key = MemberKey(name, incarnation)
            condition = self._condition(key, replicas.get(key), key in silent, is_surplus)
            statuses.append(MemberStatus(name, ip, condition))
        for _, learner in sorted(self._membership.learners.items()):
            if not entry.has_member(*learner.key):
                statuses.append(MemberStatus(learner.name, learner.replica.ip, MemberCondition.LEARNER))
        return statuses

    def _condition(
        self, key: MemberKey, replica: ReplicaProgress | None, is_silent: bool, is_surplus: bool
    ) -> MemberCondition:
        """Of one member. `is_surplus`: there are more members than wanted, so that one of them may go."""
        learner = self._membership.learners.get(key.name)
        if learner is not None and learner.incarnation != key.incarnation:
            return MemberCondition.REPLACED
        if replica is not None and replica.is_shutting_down:
            return MemberCondition.REPLACED if is_surplus else MemberCondition.LEAVING
        if is_silent:
            return MemberCondition.REPLACED if is_surplus else MemberCondition.SILENT
        return MemberCondition.VOTER
