"""Decoding of entries that a follower receives from its leader (Raft paper, sections 5.3 and 7).

There is no preceding entry to match, because each entry is the whole state. However, the body may be omitted or sent as
a delta, and the version history is sent as a delta. A follower accepts an entry only if it has the bases of these
deltas and the results match the digests in the entry. Otherwise it acknowledges the entry it already has, and the
leader then sends the entry in full.
"""

from .errors import RemoteProtocolError
from .messages import AppendEntry
from .persistent_state import PersistentState
from .state import State, decode_state
from .version_history import VersionHistory, apply_delta


def received_entry(persistent: PersistentState, message: AppendEntry) -> State | None:
    """Returns the validated entry, or None if this member lacks the body or the versions that it is based on.

    Raises RemoteProtocolError for a malformed entry, or for one from a term other than that of the message.
    """
    known = [entry for entry in (persistent.entry, persistent.durable.entry) if entry is not None]
    row = persistent.bodies.with_body(message.entry)
    state = decode_state(row, [entry.body for entry in known]) if row else None
    versions = _received_versions(known, message) if state is not None else None
    if state is None or versions is None:
        return None
    if state.term != message.term:
        raise RemoteProtocolError("entry has a different term than its message")
    return state.with_names(message.claims).with_versions(versions)


def _received_versions(known: list[State], message: AppendEntry) -> VersionHistory | None:
    """Returns the entry's version history; that of the newest local entry if an older leader sent none."""
    if message.versions is None:
        return known[0].versions if known else VersionHistory()
    return apply_delta(message.versions, {entry.position: entry.versions for entry in known})
