"""The small types that all of the package speaks in: terms, log positions, members, points in time."""

from typing import NamedTuple, TypeAlias

MS = 10**6  # ns
SEC = 10**9  # ns

TimeNs: TypeAlias = int  # a point on one process's steady clock; two processes' clocks have nothing in common
DurationNs: TypeAlias = int
Term: TypeAlias = int  # Raft's term: at most one leader is elected in each (Raft paper, section 5.1)
LogIndex: TypeAlias = int
Incarnation: TypeAlias = int  # drawn when a member's disk is empty, so a lost disk makes another incarnation
RoundNumber: TypeAlias = int  # of a leader's heartbeat rounds, counted anew in each term


class MemberKey(NamedTuple):
    """Who votes: a name with an incarnation. One that lost its disk has promised nothing, so it is another key."""

    name: str
    incarnation: Incarnation


class MemberAddress(NamedTuple):
    """Where a member is reached, and which incarnation of its name is meant."""

    ip: str
    incarnation: Incarnation


MemberList: TypeAlias = dict[str, MemberAddress]  # by name


class LogPosition(NamedTuple):
    """Where an entry stands in the log. Entries are ordered by term, then by index (Raft paper, section 5.4.1)."""

    term: Term
    entry_index: LogIndex  # `index` would hide the method of tuples


NO_POSITION = LogPosition(0, 0)  # before the first entry
