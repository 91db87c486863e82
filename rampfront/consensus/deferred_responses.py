"""Responses that must not leave before what they rest on is on disk (Raft paper, figure 2: "updated on stable storage
before responding to RPCs").

Each response is kept with the version of `PersistentState` that it rests on, and sent once that version is durable.
There is one for each receiver and kind, so their number is bounded; a newer one takes the place of an older.

Called by `Member`, which owns it.
"""

from .context import MemberContext
from .identifiers import NO_POSITION
from .messages import AppendAcknowledged, VoteGranted
from .persistent_state import DurableVersion, PersistentState
from .state import MAX_NAMES

MAX_DEFERRED = 4 * MAX_NAMES


class DeferredResponses:
    """Votes and acknowledgements that wait for the disk."""

    def __init__(self, context: MemberContext, persistent: PersistentState) -> None:
        """Nothing waits yet."""
        self._context = context
        self._persistent = persistent
        # By receiver and kind: the version that it rests on, and the response.
        self._waiting: dict[tuple[str, type], tuple[int, VoteGranted | AppendAcknowledged]] = {}

    def send_when_durable(self, ip: str, response: VoteGranted | AppendAcknowledged) -> None:
        """Sends it as soon as all that this member knows now is on disk."""
        version = self._persistent.version
        if version <= self._persistent.durable.version:
            self.send(ip, response)
            return
        key = ip, type(response)
        if len(self._waiting) < MAX_DEFERRED or key in self._waiting:
            self._waiting[key] = version, response

    def send(self, ip: str, response: VoteGranted | AppendAcknowledged) -> None:
        """Sends it now; an acknowledgement names the entry that is on disk."""
        if isinstance(response, AppendAcknowledged):
            entry = self._persistent.durable.entry
            response = AppendAcknowledged(
                response.sender,
                response.receiver_incarnation,
                response.term,
                response.round,
                entry.position if entry else NO_POSITION,
                entry.body_digest if entry else b"",
                self._context.is_shutting_down,
            )
        self._context.send(ip, response)

    def release(self, durable: DurableVersion) -> None:
        """Sends what rests on the version that has become durable."""
        for key, (version, response) in list(self._waiting.items()):
            ip, kind = key
            if version <= durable.version:
                del self._waiting[key]
                self.send(ip, response)
            elif kind is AppendAcknowledged and durable.term >= response.term:
                # Guards against a storm on a slow disk: each new entry would push back the acknowledgement of all those
                # stored. It names the entry that is on disk, so it is true of this one, and is sent again of the next.
                self.send(ip, response)

    def clear(self) -> None:
        """Forgets all: the incarnation that owed them is gone."""
        self._waiting.clear()
