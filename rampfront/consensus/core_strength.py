"""The leader's report on the core for operators: condition of each member, and time spent at full strength.

The core is at full strength while it has the wanted number of members, all of them respond, none is shutting down, and
no membership change is in progress. Operators wait for full strength between two planned outages. `Leader` calls this
module; `node/` publishes the result.
"""

from enum import StrEnum
from typing import NamedTuple

from .identifiers import DurationNs, MemberKey, TimeNs
from .membership_change import MembershipChange, wanted_size
from .replica_progress import ReplicaProgress
from .replication import Replication
from .state import State


class MemberCondition(StrEnum):
    """The condition of a member as shown to operators. The control API exposes the values."""

    VOTER = "voter"
    LEARNER = "learner"
    SILENT = "silent"
    LEAVING = "leaving"
    REPLACED = "being replaced"


class MemberStatus(NamedTuple):
    """Status of one member or learner."""

    name: str
    ip: str
    condition: MemberCondition


class CoreStrength(NamedTuple):
    """Membership status of the core.

    `wanted`: the target number of members. `full_for`: how long in ns the core has been at full strength in this
    leader's term, or None if it is not at full strength. `below_target_for`: how long in ns fewer members than wanted
    have responded in this term, or None if enough do.
    """

    wanted: int
    members: list[MemberStatus]
    full_for: DurationNs | None
    below_target_for: DurationNs | None


class StrengthMonitor:
    """Tracks since when the core has been at full strength, during one leader's term."""

    def __init__(self, membership: MembershipChange, replication: Replication, survive: int) -> None:
        """Starts as not at full strength. `survive`: number of machines that may be lost at the same time."""
        self._membership = membership
        self._replication = replication
        self._survive = survive
        self.full_since: TimeNs | None = None
        self.below_target_since: TimeNs | None = None

    def watch(self, entry: State, is_committed: bool, now: TimeNs) -> None:
        """Updates the status at each tick. `entry`: the newest entry; `is_committed`: whether it is committed."""
        replicas = self._replication.replicas.values()
        is_staying = not any(self._replication.is_silent(each) or each.is_shutting_down for each in replicas)
        is_changing = entry.previous_members is not None or bool(self._membership.learners)
        wanted = wanted_size(entry, self._survive)
        has_enough = len(entry.members) >= wanted
        if not is_committed or not is_staying or is_changing or not has_enough:
            self.full_since = None
        elif self.full_since is None:
            self.full_since = now
        if len(entry.members) - len(self._replication.silent_keys()) >= wanted:
            self.below_target_since = None
        elif self.below_target_since is None:
            self.below_target_since = now

    def strength(self, entry: State, now: TimeNs) -> CoreStrength:
        """Returns the status at time `now`."""
        full_for, below_target_for = _elapsed(self.full_since, now), _elapsed(self.below_target_since, now)
        wanted = wanted_size(entry, self._survive)
        return CoreStrength(wanted, self._member_statuses(entry), full_for, below_target_for)

    def _member_statuses(self, entry: State) -> list[MemberStatus]:
        """Returns the status of all members, then of all learners, each sorted by name."""
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
        """Returns the condition of one member. `is_surplus`: there are more members than wanted, so one may leave."""
        learner = self._membership.learners.get(key.name)
        if learner is not None and learner.incarnation != key.incarnation:
            return MemberCondition.REPLACED
        if replica is not None and replica.is_shutting_down:
            return MemberCondition.REPLACED if is_surplus else MemberCondition.LEAVING
        if is_silent:
            return MemberCondition.REPLACED if is_surplus else MemberCondition.SILENT
        return MemberCondition.VOTER


def _elapsed(since: TimeNs | None, now: TimeNs) -> DurationNs | None:
    """Returns the time since `since`; None if that is None."""
    return None if since is None else max(0, now - since)
