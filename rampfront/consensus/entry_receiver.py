"""How a follower reads the entry that its leader sends (Raft paper, sections 5.3 and 7).

There are no earlier entries to match, as each entry is the whole state; yet its body may be left out or come as a
delta, and so do its versions. A follower takes an entry only if it has what these rest on and comes out at the digests
that the entry names. If not, it acknowledges what it has, and the leader sends the whole.
"""

from .errors import RemoteProtocolError
from .messages import AppendEntry
from .persistent_state import PersistentState
from .state import State, decode_state
from .version_history import VersionHistory, apply_delta


def received_entry(persistent: PersistentState, message: AppendEntry) -> State | None:
    """The checked entry, or None if it rests on a body or versions that this member does not have.

    Raises RemoteProtocolError for an entry that no leader would send, or one of another term than the leader's.
    """
    known = [entry for entry in (persistent.entry, persistent.durable.entry) if entry is not None]
    row = persistent.bodies.with_body(message.entry)
    state = decode_state(row, [entry.body for entry in known]) if row else None
    versions = _received_versions(known, message) if state is not None else None
    if state is None or versions is None:
        return None
    if state.term != message.term:
        raise RemoteProtocolError("an entry of another term")
    return state.with_claims(message.claims).with_versions(versions)


def _received_versions(known: list[State], message: AppendEntry) -> VersionHistory | None:
    """The entry's history; that of the newest entry here, if the leader is an older one that keeps none."""
    if message.versions is None:
        return known[0].versions if known else VersionHistory()
    return apply_delta(message.versions, {entry.position: entry.versions for entry in known})
