"""Membership changes of the core: selects which member to add, replace or remove next. No I/O, no clock.

The method is joint consensus, one change at a time (D. Ongaro, J. Ousterhout, "In Search of an Understandable
Consensus Algorithm", section 6; learners: Ongaro's dissertation, section 4.2.1). The leader proposes an entry with the
new list in `members` and the old one in `previous_members`. It is committed once a majority of each list has it on
disk, and only then does the next entry drop the old list. `Leader` calls `next_step` while no other change is in
progress and an entry of its own term is committed.

Invariants:

- A joining node has no vote until its disk has an entry of this leader's term. Until then it is a learner: it receives
  and acknowledges entries, but is not counted in any majority.
- A member is identified by a name and an incarnation. After a lost disk, the new incarnation replaces the old one in a
  single step. An incarnation that was removed is never added again.
- A member is removed only if at least `wanted_size` others remain, so its replacement must have been added before, or
  is added in the same step, as in a core of odd size. Only a member that is shutting down, or that has been silent for
  `SILENCE_NS` while a majority answered, is removed.
- It does not matter whether a silent member is down or partitioned: majorities of both lists agree to the change,
  everything acknowledged is on a majority of the new list, and a partitioned member returns as a new incarnation.

Times are ns of the leader's monotonic clock.
"""

from collections.abc import Mapping
from typing import NamedTuple

from .identifiers import MS, SEC, DurationNs, Incarnation, MemberAddress, MemberKey, MemberList, TimeNs
from .replica_progress import ReplicaProgress
from .state import MAX_NAMES, State

SILENCE_NS = 1500 * MS  # a member may be removed after a majority has answered for this long without it
LONG_SILENCE_NS = 4 * SEC  # a member silent for this long is removed before one that shuts down, which may come back
UNRESPONSIVE_NS = 600 * MS  # about two heartbeat rounds
LEARNER_TIMEOUT_NS = SEC  # a learner silent for this long is dropped; joining nodes send a request every 0.28 s
MIN_REPLACEMENT_SIZE = 3  # smallest core of odd size that replaces members in one step; a single member cannot
MAX_LEARNERS = 16
MAX_RETIRED = 4 * MAX_NAMES
MAX_MEMBERS = MAX_NAMES // 2


class Learner(NamedTuple):
    """A joining node that is catching up. `is_initial_member`: it takes part in the initial start of the system."""

    name: str
    incarnation: Incarnation
    is_initial_member: bool
    replica: ReplicaProgress

    @property
    def key(self) -> MemberKey:
        """Name and incarnation of the learner."""
        return MemberKey(self.name, self.incarnation)

    @property
    def address(self) -> MemberAddress:
        """Its entry for a member list."""
        return MemberAddress(self.replica.ip, self.incarnation)


class Step(NamedTuple):
    """The member lists of the next entry. `previous_members`: the list before; None if nobody is added or removed."""

    members: MemberList
    previous_members: MemberList | None
    target_size: int


class RemovalCandidate(NamedTuple):
    """A member that may be removed. The candidate that compares greatest is preferred, so the field order matters."""

    is_long_silent: bool
    is_shutting_down: bool
    silence: DurationNs
    name: str


class MembershipView(NamedTuple):
    """A snapshot of what a leader knows about its members.

    `state`: the newest entry. `replicas`: the other members. `confirmed_at`: send time of the newest round that a
    majority answered. `first_committed_at`: when the first entry of this term was committed.
    """

    state: State
    replicas: Mapping[MemberKey, ReplicaProgress]
    confirmed_at: TimeNs
    first_committed_at: TimeNs

    def has_unresponsive_member(self) -> bool:
        """Whether any member has not answered the last rounds."""
        return any(self._is_unresponsive(replica) for replica in self.replicas.values())

    def answers_and_stays(self, key: MemberKey) -> bool:
        """Whether a member is responsive and is not shutting down."""
        replica = self.replicas.get(key)
        return replica is not None and not self._is_unresponsive(replica) and not replica.is_shutting_down

    def _is_unresponsive(self, replica: ReplicaProgress) -> bool:
        return self.confirmed_at - replica.last_contact_at > UNRESPONSIVE_NS


def wanted_size(state: State, survive: int) -> int:
    """Returns the number of members to keep: the initial number, and enough for a majority after `survive` losses."""
    return max(state.target_size, 2 * survive + 1)


class MembershipChange:
    """The learners of one leader and its choice of the next membership change, in one term."""

    def __init__(self, own: MemberKey, term: int, survive: int) -> None:
        """`own`: the leader's key; `survive`: number of machines that may be lost at the same time."""
        self._own = own
        self._term = term
        self._survive = survive
        self.learners: dict[str, Learner] = {}  # by name; at most MAX_LEARNERS, silent ones are dropped
        self._retired: set[Incarnation] = set()  # incarnations removed by this leader; at most MAX_RETIRED

    # Learners.

    def learner(self, key: MemberKey) -> Learner | None:
        """Returns the learner with this key, or None."""
        found = self.learners.get(key.name)
        return found if found is not None and found.key == key else None

    def replicas(self) -> dict[MemberKey, ReplicaProgress]:
        """Returns the replication progress of each learner by key."""
        return {learner.key: learner.replica for learner in self.learners.values()}

    def admits(self, key: MemberKey) -> bool:
        """Whether a node that asks to join may become a learner."""
        has_room = key.name in self.learners or len(self.learners) < MAX_LEARNERS
        return has_room and key.name != self._own.name and not self.is_retired(key.incarnation)

    def is_retired(self, incarnation: Incarnation) -> bool:
        """Whether this leader has removed the incarnation."""
        return incarnation in self._retired

    def add_learner(self, key: MemberKey, ip: str, is_initial_member: bool) -> Learner:
        """Returns the learner with this key, adding it if necessary; it replaces one with another incarnation."""
        learner = self.learner(key)
        if learner is None:
            learner = Learner(key.name, key.incarnation, is_initial_member, ReplicaProgress(ip))
            self.learners[key.name] = learner
        return learner

    def expire(self, now: TimeNs) -> None:
        """Drops learners that have been silent for `LEARNER_TIMEOUT_NS`."""
        for name, learner in list(self.learners.items()):
            if now - learner.replica.last_contact_at > LEARNER_TIMEOUT_NS:
                del self.learners[name]

    def _is_caught_up(self, learner: Learner) -> bool:
        """Whether its disk has an entry of this leader's term, which includes everything acknowledged before it."""
        return learner.replica.match_position.term == self._term

    # Changes.

    def next_step(self, view: MembershipView) -> Step | None:
        """Returns the next change towards the wanted member list, or None.

        The state of `view` must be committed in this term.
        """
        return self.removal(view) or self._admission(view)

    def _admission(self, view: MembershipView) -> Step | None:
        """Returns the step that adds one caught-up learner, replacing its own former incarnation if there is one."""
        state, members = view.state, view.state.members
        # While the list is larger than wanted and some members do not answer, adding another one could raise the
        # majority above the number of responsive members. The learner waits until the silent member is removed or
        # answers again.
        wanted = wanted_size(state, self._survive)
        is_oversized = len(members) > wanted and view.has_unresponsive_member()
        # With an odd wanted size, adding a member before removing the one that is down or leaving would raise the
        # majority. The learner therefore replaces that member in one step, and stays a learner until it is known which
        # member that is.
        is_odd = len(members) == wanted and wanted % 2 == 1 and wanted >= MIN_REPLACEMENT_SIZE
        for learner in list(self.learners.values()):
            former = members.get(learner.name)
            with_learner = {**members, learner.name: learner.address}
            if former == learner.address:
                del self.learners[learner.name]
            elif former is not None and former.incarnation == learner.incarnation:
                return Step(with_learner, None, state.target_size)  # only its address has changed
            elif self._is_caught_up(learner):
                if former is not None:
                    self._retire(former.incarnation)
                    return Step(with_learner, members, state.target_size)
                if is_odd and not learner.is_initial_member:
                    return self._replacement(view, learner)
                if len(members) < MAX_MEMBERS and not is_oversized:
                    return Step(with_learner, members, state.target_size + learner.is_initial_member)
        return None

    def _replacement(self, view: MembershipView, learner: Learner) -> Step | None:
        """Returns the step that replaces a silent or departing member by a learner; None if there is no such member."""
        candidates = self._candidates(view, newcomers=1)
        if not candidates:
            return None
        remaining = self._without_preferred(view, candidates)
        return Step({**remaining, learner.name: learner.address}, view.state.members, view.state.target_size)

    def _without_preferred(self, view: MembershipView, candidates: list[RemovalCandidate]) -> dict[str, MemberAddress]:
        """Returns the members without the preferred candidate, and retires that candidate's incarnation."""
        members = view.state.members
        gone = max(candidates).name
        self._retire(members[gone].incarnation)
        return {name: address for name, address in members.items() if name != gone}

    def removal(self, view: MembershipView) -> Step | None:
        """Returns the step that removes one member, or None if too few would remain or there is no candidate.

        In order of preference: a member silent for `LONG_SILENCE_NS`, one that is shutting down, any other silent one.
        """
        members = view.state.members
        if len(members) <= wanted_size(view.state, self._survive):
            return None
        candidates = self._candidates(view)
        if not candidates:
            return None
        return Step(self._without_preferred(view, candidates), members, view.state.target_size)

    def _candidates(self, view: MembershipView, newcomers: int = 0) -> list[RemovalCandidate]:
        """Returns the members that may be removed: silent ones, and ones that shut down and are not needed.

        `newcomers`: number of members that the same step adds.
        """
        candidates: list[RemovalCandidate] = []
        for name, (_, incarnation) in view.state.members.items():
            replica = view.replicas.get(MemberKey(name, incarnation))
            if replica is None:
                continue
            silence = view.confirmed_at - max(replica.last_contact_at, view.first_committed_at)
            may_leave = replica.is_shutting_down and self._tolerates_loss(view, name, newcomers)
            if may_leave or silence >= SILENCE_NS:
                candidates.append(RemovalCandidate(silence >= LONG_SILENCE_NS, may_leave, silence, name))
        return candidates

    def _tolerates_loss(self, view: MembershipView, excluded: str, newcomers: int) -> bool:
        """Whether the core can lose `survive` machines at once after removing `excluded`, a member that still answers.

        The responsive members that are not shutting down must then still be a majority of the new list. `newcomers`:
        number of members that the same step adds to that list.
        """
        members = view.state.members
        staying = newcomers
        for name, (_, incarnation) in members.items():
            answers = view.answers_and_stays(MemberKey(name, incarnation))
            staying += name != excluded and (answers or name == self._own.name)
        return 2 * (staying - self._survive) > len(members) - 1 + newcomers

    def _retire(self, incarnation: Incarnation) -> None:
        """Remembers a removed incarnation, so that a delayed join request cannot bring it back."""
        if len(self._retired) < MAX_RETIRED:
            self._retired.add(incarnation)
