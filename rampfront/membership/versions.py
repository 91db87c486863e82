"""Version numbers of replicated data. They only increase on a node, however late, repeated or reordered frames are.

The state's version is its index in the core's log. The leader numbers the roster and the endpoint list, with its term
in the upper bits, so that any number of a later leader is above all numbers of earlier ones.
"""

from typing import NamedTuple

VERSIONS_PER_TERM = 1 << 20


class ReplicaVersions(NamedTuple):
    """The versions that a node holds; 0: none of that kind.

    Attributes:
        state_index: index of the core's state in its log.
        endpoints_version: number of the endpoint list.
        roster_version: number of the roster.
    """

    state_index: int
    endpoints_version: int
    roster_version: int


NO_VERSIONS = ReplicaVersions(0, 0, 0)


def first_version(term: int) -> int:
    """The lowest number that the leader of `term` assigns; all numbers of earlier leaders are below it."""
    return term * VERSIONS_PER_TERM + 1
