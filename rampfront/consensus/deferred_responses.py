"""Responses that must not be sent before the state they depend on is on disk (Raft paper, figure 2: "updated on stable
storage before responding to RPCs").

Each response is held together with the version of `PersistentState` that it depends on, and sent once that version is
durable. At most one response is held for each receiver and kind, and a newer one replaces an older one, so their number
is bounded.

`Roles` owns the queue; `Member` and `MessageHandler` call it.
"""

from .context import MemberContext
from .identifiers import NO_POSITION
from .messages import AppendAcknowledged, VoteGranted
from .persistent_state import DurableVersion, PersistentState
from .state import MAX_NAMES

MAX_DEFERRED = 4 * MAX_NAMES


class DeferredResponses:
    """Votes and acknowledgements that wait for a disk write."""

    def __init__(self, context: MemberContext, persistent: PersistentState) -> None:
        """Creates an empty queue."""
        self._context = context
        self._persistent = persistent
        # Keyed by receiver and kind; the value is the required version and the response.
        self._waiting: dict[tuple[str, type], tuple[int, VoteGranted | AppendAcknowledged]] = {}

    def send_when_durable(self, ip: str, response: VoteGranted | AppendAcknowledged) -> None:
        """Sends a response as soon as the current persistent state is on disk."""
        version = self._persistent.version
        if version <= self._persistent.durable.version:
            self.send(ip, response)
            return
        key = ip, type(response)
        if len(self._waiting) < MAX_DEFERRED or key in self._waiting:
            self._waiting[key] = version, response

    def send(self, ip: str, response: VoteGranted | AppendAcknowledged) -> None:
        """Sends a response immediately; an acknowledgement is filled in with the entry that is on disk."""
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
        """Sends the responses that depend on the version that has become durable."""
        for key, (version, response) in list(self._waiting.items()):
            ip, kind = key
            if version <= durable.version:
                del self._waiting[key]
                self.send(ip, response)
            elif kind is AppendAcknowledged and durable.term >= response.term:
                # With frequent changes on a slow disk, each new entry would postpone the acknowledgement of all entries
                # already stored. The acknowledgement names the entry that is on disk, so it is correct to send it now
                # for this entry and again for the next one.
                self.send(ip, response)

    def clear(self) -> None:
        """Drops all responses, because the incarnation that owed them has been replaced."""
        self._waiting.clear()
