"""Numbers by which nodes compare what they hold, so that nothing goes backwards, however late, repeated or reordered.

The state goes by the index of the core's log. The roster and the endpoint list are numbered by the leader, with the
leader's term in the upper bits: whatever a later leader numbers is newer than all that an earlier one did.
"""

from typing import NamedTuple

VERSIONS_PER_TERM = 1 << 20


class ReplicaVersions(NamedTuple):
    """What a node holds; 0: nothing of that kind.

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
    """The lowest number that the leader of `term` gives; all numbers of earlier leaders are below it."""
    return term * VERSIONS_PER_TERM + 1
