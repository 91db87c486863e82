"""Basic types used throughout the package: terms, log positions, members and times."""

from typing import NamedTuple, TypeAlias

MS = 10**6  # ns
SEC = 10**9  # ns

TimeNs: TypeAlias = int  # a time on one process's monotonic clock; not comparable between processes
DurationNs: TypeAlias = int
Term: TypeAlias = int  # Raft's term: at most one leader is elected in each (Raft paper, section 5.1)
LogIndex: TypeAlias = int
Incarnation: TypeAlias = int  # drawn when a member's disk is empty, so a lost disk results in a new incarnation
RoundNumber: TypeAlias = int  # number of a leader's heartbeat round; restarts in each term


class MemberKey(NamedTuple):
    """Identity of a voter: a name and an incarnation.

    A member that lost its disk no longer knows its earlier votes, so it continues under a different key.
    """

    name: str
    incarnation: Incarnation


class MemberAddress(NamedTuple):
    """IP address and incarnation of a member."""

    ip: str
    incarnation: Incarnation


MemberList: TypeAlias = dict[str, MemberAddress]  # by name


class LogPosition(NamedTuple):
    """Position of an entry in the log. Entries are ordered by term, then by index (Raft paper, section 5.4.1)."""

    term: Term
    entry_index: LogIndex  # a field named `index` would shadow `tuple.index`


NO_POSITION = LogPosition(0, 0)  # before the first entry
