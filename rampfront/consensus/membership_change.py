"""How the list of the core's members changes: who is added, exchanged or removed. No I/O, no clock.

The method is joint consensus, one change at a time (D. Ongaro, J. Ousterhout, "In Search of an Understandable
Consensus Algorithm", section 6; learners: Ongaro's dissertation, section 4.2.1). The leader proposes an entry with the
new list in `members` and the old one in `previous_members`. It is committed once a majority of each list has it on
disk, and only then does the next entry drop the old list. `Leader` calls `next_step` while nothing else is under way
and an entry of its own term is committed.

Invariants:

- A newcomer has no vote before its disk has an entry of this leader's term. Until then it is a learner: it receives
  entries and acknowledges them, and is counted nowhere.
- A member is a name with an incarnation. A lost disk means another incarnation, which takes the place of the old one in
  one step. An incarnation that was removed is never added again.
- A member is removed only while the others number at least `wanted_size`, so never without a newcomer that has taken
  its place before, or takes it in the same step, as in a core of odd size. It is one that is shutting down, or one that
  has been silent while a majority answered for `SILENCE_NS`.
- Whether it is gone or cut off need not be known: the change is agreed by majorities of both lists, what was
  acknowledged lies on a majority of the new one, and one that was cut off returns as another incarnation.

Times are ns of the leader's steady clock.
"""

from collections.abc import Mapping
from typing import NamedTuple

from .identifiers import MS, SEC, DurationNs, Incarnation, MemberAddress, MemberKey, MemberList, TimeNs
from .replica_progress import ReplicaProgress
from .state import MAX_NAMES, State

SILENCE_NS = 1500 * MS  # a majority must have answered for so long without a member before it may be removed
LONG_SILENCE_NS = 4 * SEC  # after which a silent one is removed before one that shuts down, which may come back
UNANSWERED_NS = 600 * MS  # about two rounds
LEARNER_TIMEOUT_NS = SEC  # a learner that is silent for so long is dropped; it asks to join each 0.28 s
LEAST_EXCHANGED = 3  # members of a core of odd size; a single member has nobody to agree with
MAX_LEARNERS = 16
MAX_RETIRED = 4 * MAX_NAMES
MAX_MEMBERS = MAX_NAMES // 2


class Learner(NamedTuple):
    """A newcomer that catches up. `counts_towards_size`: it is a machine of the whole system's first start."""

    name: str
    incarnation: Incarnation
    counts_towards_size: bool
    replica: ReplicaProgress

    @property
    def key(self) -> MemberKey:
        """Its name and incarnation."""
        return MemberKey(self.name, self.incarnation)

    @property
    def address(self) -> MemberAddress:
        """As a list of members has it."""
        return MemberAddress(self.replica.ip, self.incarnation)


class Step(NamedTuple):
    """The next entry's members. `previous_members`: the list before it; None where nobody is added or removed."""

    members: MemberList
    previous_members: MemberList | None
    target_size: int


class RemovalCandidate(NamedTuple):
    """A member that may be removed. The greatest one goes first, so the order of the fields counts."""

    is_long_silent: bool
    is_shutting_down: bool
    silence: DurationNs
    name: str


class MembershipView(NamedTuple):
    """What a leader knows of its members at one moment.

    `state`: its newest entry. `replicas`: the other members. `confirmed_at`: when the newest round was sent that a
    majority answered. `first_committed_at`: when the first entry of this term was committed.
    """

    state: State
    replicas: Mapping[MemberKey, ReplicaProgress]
    confirmed_at: TimeNs
    first_committed_at: TimeNs

    def misses_answers(self) -> bool:
        """Whether some member has not answered the last rounds."""
        return any(self._is_unanswered(replica) for replica in self.replicas.values())

    def answers_and_stays(self, key: MemberKey) -> bool:
        """Whether a member answers, and is not about to end."""
        replica = self.replicas.get(key)
        return replica is not None and not self._is_unanswered(replica) and not replica.is_shutting_down

    def _is_unanswered(self, replica: ReplicaProgress) -> bool:
        return self.confirmed_at - replica.last_contact_at > UNANSWERED_NS


def wanted_size(state: State, survive: int) -> int:
    """How many members must be left: as many as at the first start, and a majority of them after `survive` losses."""
    return max(state.target_size, 2 * survive + 1)


class MembershipChange:
    """The learners and the next change of one leader, in one term."""

    def __init__(self, own: MemberKey, term: int, survive: int) -> None:
        """`own`: the leader's key; `survive`: how many machines may be lost at once."""
        self._own = own
        self._term = term
        self._survive = survive
        self.learners: dict[str, Learner] = {}  # by name; bounded, silent ones are dropped
        self._retired: set[Incarnation] = set()  # removed by this leader; bounded

    # Learners.

    def learner(self, key: MemberKey) -> Learner | None:
        """The learner with this key."""
        found = self.learners.get(key.name)
        return found if found is not None and found.key == key else None

    def replicas(self) -> dict[MemberKey, ReplicaProgress]:
        """What is known of each learner, by its key."""
        return {learner.key: learner.replica for learner in self.learners.values()}

    def admits(self, key: MemberKey) -> bool:
        """Whether one that asks to join may become a learner."""
        has_room = key.name in self.learners or len(self.learners) < MAX_LEARNERS
        return has_room and key.name != self._own.name and not self.is_retired(key.incarnation)

    def is_retired(self, incarnation: Incarnation) -> bool:
        """Whether this leader has taken it out."""
        return incarnation in self._retired

    def enrol(self, key: MemberKey, ip: str, counts_towards_size: bool) -> Learner:
        """The learner of this key, enrolled if it is none yet; one of the same name but another key is forgotten."""
        learner = self.learner(key)
        if learner is None:
            learner = Learner(key.name, key.incarnation, counts_towards_size, ReplicaProgress(ip))
            self.learners[key.name] = learner
        return learner

    def expire(self, now: TimeNs) -> None:
        """Drops learners that fell silent."""
        for name, learner in list(self.learners.items()):
            if now - learner.replica.last_contact_at > LEARNER_TIMEOUT_NS:
                del self.learners[name]

    def _is_caught_up(self, learner: Learner) -> bool:
        """Whether its disk has an entry of this leader's term, which contains all that was acknowledged before it."""
        return learner.replica.match_position.term == self._term

    # Changes.

    def next_step(self, view: MembershipView) -> Step | None:
        """The next change towards the list that is wanted, or None. The state of `view` is committed, in this term."""
        return self.removal(view) or self._admission(view)

    def _admission(self, view: MembershipView) -> Step | None:
        """Adds one learner that has caught up, in place of its own former incarnation if there is one."""
        state, members = view.state, view.state.members
        # Guards a majority that is met barely: while one too many is in the list and some do not answer, another
        # newcomer would raise what a majority takes. It waits until the silent one is removed, or answers again.
        wanted = wanted_size(state, self._survive)
        is_crowded = len(members) > wanted and view.misses_answers()
        # Where the wanted size is odd, a newcomer beside a member that is gone, or about to go, would raise what a
        # majority takes. So it takes that one's place in one step, and stays a learner until it is known which it is.
        is_odd = len(members) == wanted and wanted % 2 == 1 and wanted >= LEAST_EXCHANGED
        for learner in list(self.learners.values()):
            former = members.get(learner.name)
            with_learner = {**members, learner.name: learner.address}
            if former == learner.address:
                del self.learners[learner.name]
            elif former is not None and former.incarnation == learner.incarnation:
                return Step(with_learner, None, state.target_size)  # it has moved to another address
            elif self._is_caught_up(learner):
                if former is not None:
                    self._retire(former.incarnation)
                    return Step(with_learner, members, state.target_size)
                if is_odd and not learner.counts_towards_size:
                    return self._exchange(view, learner)
                if len(members) < MAX_MEMBERS and not is_crowded:
                    return Step(with_learner, members, state.target_size + learner.counts_towards_size)
        return None

    def _exchange(self, view: MembershipView, learner: Learner) -> Step | None:
        """Adds a learner in the place of a member that is silent or shuts down; None while there is none."""
        candidates = self._candidates(view, newcomers=1)
        if not candidates:
            return None
        remaining = self._without_first(view, candidates)
        return Step({**remaining, learner.name: learner.address}, view.state.members, view.state.target_size)

    def _without_first(self, view: MembershipView, candidates: list[RemovalCandidate]) -> dict[str, MemberAddress]:
        """The members but the candidate that goes first, which may never come back as it was."""
        members = view.state.members
        gone = max(candidates).name
        self._retire(members[gone].incarnation)
        return {name: address for name, address in members.items() if name != gone}

    def removal(self, view: MembershipView) -> Step | None:
        """Removes one member, if enough are left: one silent for long, one that shuts down, or else a silent one."""
        members = view.state.members
        if len(members) <= wanted_size(view.state, self._survive):
            return None
        candidates = self._candidates(view)
        if not candidates:
            return None
        return Step(self._without_first(view, candidates), members, view.state.target_size)

    def _candidates(self, view: MembershipView, newcomers: int = 0) -> list[RemovalCandidate]:
        """The members that may be removed: those that are silent, and those that shut down and are not needed.

        `newcomers`: that come in with the same step.
        """
        candidates: list[RemovalCandidate] = []
        for name, (_, incarnation) in view.state.members.items():
            replica = view.replicas.get(MemberKey(name, incarnation))
            if replica is None:
                continue
            silence = view.confirmed_at - max(replica.last_contact_at, view.first_committed_at)
            may_leave = replica.is_shutting_down and self._bears_loss(view, name, newcomers)
            if may_leave or silence >= SILENCE_NS:
                candidates.append(RemovalCandidate(silence >= LONG_SILENCE_NS, may_leave, silence, name))
        return candidates

    def _bears_loss(self, view: MembershipView, without: str, newcomers: int) -> bool:
        """Whether those that answer and stay are a majority of the list without one member, which still answers, and
        would be one if `survive` of them were lost at once. `newcomers`: beside them, in that list."""
        members = view.state.members
        staying = newcomers
        for name, (_, incarnation) in members.items():
            answers = view.answers_and_stays(MemberKey(name, incarnation))
            staying += name != without and (answers or name == self._own.name)
        return 2 * (staying - self._survive) > len(members) - 1 + newcomers

    def _retire(self, incarnation: Incarnation) -> None:
        """Guards against a late request to join that would bring back an incarnation which was removed."""
        if len(self._retired) < MAX_RETIRED:
            self._retired.add(incarnation)
