"""How the list of the core's members changes: who is taken in, who is exchanged, who is taken out. No I/O, no clock.

The method is joint consensus, one change at a time (D. Ongaro, J. Ousterhout, "In Search of an Understandable
Consensus Algorithm", section 6; learners and transfer of leadership: Ongaro's dissertation, chapters 3 and 4). The
leader proposes an entry with the new list in `members` and the old one in `base`. It is in force once a majority of
each list has it on disk, and only then does the next entry drop the base. `Leadership` calls `next_step` while nothing
else is under way and an entry of its own term is in force.

Invariants:

- A newcomer has no vote before its disk holds an entry of this leader's term. Until then it is a learner: it receives
  entries and acknowledges them, and is counted nowhere.
- A member is a name with an incarnation. A lost disk means another incarnation, which takes the place of the old one in
  one step. An incarnation that was taken out is never taken in again.
- A member is taken out only while the others number at least `floor`, so never without a newcomer that has taken its
  place before. It is one that says it is leaving, or one that has been silent while a majority answered for `SILENCE`.
- Whether it is gone or cut off need not be known: the change is agreed by majorities of both lists, what was
  acknowledged lies on a majority of the new one, and one that was cut off returns as another incarnation.

Times are ns of the leader's steady clock.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Protocol

from .state import MOST_NAMES, State

MS, SEC = 10**6, 10**9

SILENCE = 1500 * MS  # how long a majority must have answered without a member before that one may be taken out
LONG_SILENCE = 4 * SEC  # behind which one that is silent goes before one that is leaving: that one may come back
UNHEARD = 600 * MS  # about two rounds
LEARNER_LIFE = SEC  # a learner that nothing was heard of for so long is dropped; it knocks each 0.28 s
MOST_LEARNERS, MOST_RETIRED = 16, 4 * MOST_NAMES

MemberKey = tuple[str, int]  # name and incarnation
MemberList = dict[str, tuple[str, int]]  # name to (address, incarnation)

# What an operator is told of a member.
VOTER, LEARNER, SILENT, LEAVING, REPLACED = "voter", "learner", "silent", "leaving", "being replaced"


class Replica(Protocol):
    """What the leader knows of another member or learner."""

    ip: str
    have: tuple[int, int]
    heard_at: int
    leaving: bool


@dataclass(slots=True)
class Learner:
    """A newcomer that catches up. `first`: it stands for a machine of the first start of the whole system."""

    name: str
    incarnation: int
    first: bool
    replica: Replica

    @property
    def key(self) -> MemberKey:
        """Its name and incarnation."""
        return self.name, self.incarnation


@dataclass(frozen=True, slots=True)
class Step:
    """The next entry's list of members. `base` is the list before it, or None where nobody is taken in or out."""

    members: MemberList
    base: MemberList | None
    target: int


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """One line of what an operator is told: `state` is one of the words above."""

    name: str
    ip: str
    state: str


@dataclass(frozen=True, slots=True)
class CoreStrength:
    """What a leader knows of its core. `wanted`: how many members there should be; `full_for`: ns for which the core
    has been at full strength in this leader's term, or None if it is not."""

    wanted: int
    members: list[MemberStatus]
    full_for: int | None


def floor(state: State, survive: int) -> int:
    """How many members must be left: as many as at the first start, and a majority of them behind `survive` losses."""
    return max(state.target_size, 2 * survive + 1)


class MembershipChange:
    """The learners and the next change of one leader, in one term."""

    def __init__(self, own: MemberKey, term: int, survive: int) -> None:
        """`own`: the leader's key; `survive`: how many machines may be lost at once."""
        self.own, self.term, self.survive = own, term, survive
        self.learners: dict[str, Learner] = {}  # by name; bounded, silent ones are dropped
        self.retired: set[int] = set()  # incarnations taken out by this leader; bounded

    # Learners.

    def learner(self, key: MemberKey) -> Learner | None:
        """The learner that bears this key."""
        found = self.learners.get(key[0])
        return found if found is not None and found.key == key else None

    def replicas(self) -> dict[MemberKey, Replica]:
        """What is known of each learner, by its key."""
        return {learner.key: learner.replica for learner in self.learners.values()}

    def admits(self, name: str, incarnation: int) -> bool:
        """Whether one that knocks may become a learner."""
        known = name in self.learners or len(self.learners) < MOST_LEARNERS
        return known and name != self.own[0] and incarnation not in self.retired

    def enrol(self, learner: Learner) -> None:
        """Takes in a learner; one of the same name but another incarnation is forgotten."""
        self.learners[learner.name] = learner

    def expire(self, now: int) -> None:
        """Drops learners that fell silent."""
        for name, learner in list(self.learners.items()):
            if now - learner.replica.heard_at > LEARNER_LIFE:
                del self.learners[name]

    def caught_up(self, learner: Learner) -> bool:
        """Whether its disk holds an entry of this leader's term, which contains all that was acknowledged before it."""
        return learner.replica.have[0] == self.term

    # Changes.

    def next_step(
        self, state: State, replicas: Mapping[MemberKey, Replica], confirmed_at: int, settled_at: int
    ) -> Step | None:
        """The next change towards the list that is wanted, or None. Only called while `state` is in force, an entry of
        this term. `confirmed_at`: when the newest round was sent that a majority answered; `settled_at`: when the first
        entry of this term came into force."""
        removal = self.removal(state, replicas, confirmed_at, settled_at)
        return removal or self.admission(state, replicas, confirmed_at)

    def admission(self, state: State, replicas: Mapping[MemberKey, Replica], confirmed_at: int) -> Step | None:
        """Takes in one learner that has caught up, in place of its own former incarnation if there is one."""
        members = state.members
        # Guards a majority that is met barely: while one too many is in the list and some do not answer, another
        # newcomer would raise what a majority takes. It waits until the silent one is out, or heard again.
        crowded = len(members) > floor(state, self.survive)
        crowded = crowded and any(confirmed_at - replica.heard_at > UNHEARD for replica in replicas.values())
        for learner in list(self.learners.values()):
            old = members.get(learner.name)
            place = learner.replica.ip, learner.incarnation
            if old == place:
                del self.learners[learner.name]
            elif old is not None and old[1] == learner.incarnation:
                return Step({**members, learner.name: place}, None, state.target_size)
            elif self.caught_up(learner):
                if old is not None:
                    self.retire(old[1])
                    return Step({**members, learner.name: place}, members, state.target_size)
                if len(members) < MOST_NAMES // 2 and not crowded:
                    return Step({**members, learner.name: place}, members, state.target_size + learner.first)
        return None

    def removal(
        self, state: State, replicas: Mapping[MemberKey, Replica], confirmed_at: int, settled_at: int
    ) -> Step | None:
        """Takes out one member, if enough are left: one silent for long, one that is leaving, or else a silent one."""
        members = state.members
        if len(members) <= floor(state, self.survive):
            return None
        candidates = []
        for name, (_, incarnation) in members.items():
            replica = replicas.get((name, incarnation))
            if replica is None:
                continue
            silence = confirmed_at - max(replica.heard_at, settled_at)
            leaves = replica.leaving and self.bears(members, name, replicas, confirmed_at)
            if leaves or silence >= SILENCE:
                candidates.append((silence >= LONG_SILENCE, leaves, silence, name))
        if not candidates:
            return None
        *_, gone = max(candidates)
        self.retire(members[gone][1])
        return Step({name: place for name, place in members.items() if name != gone}, members, state.target_size)

    def bears(
        self, members: MemberList, without: str, replicas: Mapping[MemberKey, Replica], confirmed_at: int
    ) -> bool:
        """Whether those that answer and stay are a majority of the list without one member, which still answers, and
        would be one if `survive` of them were lost at once."""
        staying = 0
        for name, (_, incarnation) in members.items():
            replica = replicas.get((name, incarnation))
            answers = replica is not None and confirmed_at - replica.heard_at <= UNHEARD and not replica.leaving
            staying += name != without and (answers or name == self.own[0])
        return 2 * (staying - self.survive) > len(members) - 1

    def retire(self, incarnation: int) -> None:
        """Guards against a late knock that would bring back an incarnation which was taken out."""
        if len(self.retired) < MOST_RETIRED:
            self.retired.add(incarnation)

    # What an operator is told.

    def report(
        self, state: State, replicas: Mapping[MemberKey, Replica], silent: Collection[MemberKey]
    ) -> list[MemberStatus]:
        """A `MemberStatus` for each member and learner, members first. `silent`: those who do not answer."""
        surplus = len(state.members) > floor(state, self.survive)
        rows = []
        for name, (ip, incarnation) in sorted(state.members.items()):
            replica = replicas.get((name, incarnation))
            word = VOTER
            if name in self.learners and self.learners[name].incarnation != incarnation:
                word = REPLACED
            elif replica is not None and replica.leaving:
                word = REPLACED if surplus else LEAVING
            elif (name, incarnation) in silent:
                word = REPLACED if surplus else SILENT
            rows.append(MemberStatus(name, ip, word))
        learners = [
            self.learners[name] for name in sorted(self.learners) if not state.has_member(*self.learners[name].key)
        ]
        return rows + [MemberStatus(learner.name, learner.replica.ip, LEARNER) for learner in learners]
