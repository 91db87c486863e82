"""Leadership transfer of a leader that is shutting down or was removed (Ongaro's dissertation, section 3.10).

The leader accepts no new orders, waits until its entry is committed, but no longer than `HANDOVER_NS`, and then names
the most up-to-date member in its `LeadershipEnded` message. That member starts an election at once, without a timeout,
and receives votes although the leader was live a moment ago. The other members wait a little longer before they start
an election.

No I/O, no clock. `Leader` calls this module.
"""

from collections.abc import Mapping

from .identifiers import MS, MemberKey, TimeNs
from .replica_progress import ReplicaProgress
from .state import State

HANDOVER_NS = 300 * MS  # how long a departing leader waits for its entry to be committed


class LeadershipTransfer:
    """State of one leader's transfer."""

    def __init__(self) -> None:
        """Creates a transfer that has not begun."""
        self._deadline: TimeNs | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the transfer has begun."""
        return self._deadline is not None

    def begin(self, now: TimeNs) -> None:
        """Begins the transfer."""
        self._deadline = now + HANDOVER_NS

    def is_due(self, is_committed: bool, now: TimeNs) -> bool:
        """Whether the leader is to step down now. `is_committed`: whether its newest entry is committed."""
        return self._deadline is not None and (is_committed or now >= self._deadline)


def most_up_to_date(entry: State, answering: Mapping[MemberKey, ReplicaProgress]) -> MemberKey | None:
    """Returns the successor: the responsive member with the newest entry on disk that is not shutting down itself."""
    staying = {
        key: replica
        for key, replica in answering.items()
        if not replica.is_shutting_down and _is_current_member(entry, key)
    }
    return max(
        staying,
        key=lambda key: (staying[key].match_position, staying[key].last_contact_at),
        default=None,
    )


def _is_current_member(entry: State, key: MemberKey) -> bool:
    """Whether the key is in the newest member list, disregarding the list before a change in progress."""
    address = entry.members.get(key.name)
    return address is not None and address.incarnation == key.incarnation
