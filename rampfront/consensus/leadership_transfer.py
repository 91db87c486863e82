"""How a leader that is about to end hands over (leadership transfer, Ongaro's dissertation, section 3.10).

It takes no new orders, waits until what it proposed is committed, but no longer than `HANDOVER_NS`, and then names the
most caught-up member in its `LeadershipEnded`. That one stands for election at once, without a time-out, and gets
votes although the leader was live a moment ago. The other members wait a little longer before they stand.

No I/O, no clock. Called by `Leader`.
"""

from collections.abc import Mapping

from .identifiers import MS, MemberKey, TimeNs
from .replica_progress import ReplicaProgress
from .state import State

HANDOVER_NS = 300 * MS


class LeadershipTransfer:
    """The handover of one leader, once it has begun."""

    def __init__(self) -> None:
        """Not begun."""
        self._deadline: TimeNs | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the leader is about to end."""
        return self._deadline is not None

    def begin(self, now: TimeNs) -> None:
        """The leader is about to end."""
        self._deadline = now + HANDOVER_NS

    def is_due(self, is_committed: bool, now: TimeNs) -> bool:
        """Whether the leader gives up now. `is_committed`: all that it proposed is committed."""
        return self._deadline is not None and (is_committed or now >= self._deadline)


def most_caught_up(entry: State, answering: Mapping[MemberKey, ReplicaProgress]) -> MemberKey | None:
    """The successor: of the members that answer and stay, the one whose disk has the newest entry."""
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
    """By the newest list alone, not by the one before a change."""
    address = entry.members.get(key.name)
    return address is not None and address.incarnation == key.incarnation
