"""The form of a member's record on disk: what it must not forget (Raft paper, figure 2, "persistent state").

A record is a list of columns, as cbor2 carries it. Older records lack the last ones. `PersistentState` encodes a
record with every change, and decodes one at a start.
"""

from typing import NamedTuple

import cbor2

from .errors import RecordError, RemoteProtocolError
from .identifiers import Incarnation, LogPosition, MemberKey, Term
from .state import State, decode_state
from .version_history import VersionHistory, decode_history

FORM = 1
MAX_NODE_IPS = 1024
MAX_OWNER_LETTERS = 80  # of a foreign record, in an error's text


class Record(NamedTuple):
    """What a member stores.

    `vote`: who it voted for in `term`. `committed_position`: of the newest entry known to be committed, or None.
    `member_ips`: where to ask, if it is no member by `entry`. `owner`: whose record it is. `node_ips`: of all nodes
    that this one knew lately, members or not.
    """

    incarnation: Incarnation
    term: Term
    vote: MemberKey | None
    committed_position: LogPosition | None
    entry: State | None
    member_ips: list[str]
    owner: str
    node_ips: list[str] = []


def encode_record(record: Record) -> bytes:
    """The bytes for the disk."""
    entry = record.entry
    columns = [
        FORM,
        record.incarnation,
        record.term,
        list(record.vote) if record.vote else None,
        list(record.committed_position) if record.committed_position else None,
        entry.encode() if entry else None,
        record.member_ips,
        entry.versions.encode() if entry else b"",
        record.owner,
    ]
    claims = entry.encode_claims() if entry else None
    if claims is not None or record.node_ips:
        columns.append(claims)
    if record.node_ips:
        columns.append(record.node_ips)
    return cbor2.dumps(columns)


def decode_record(data: bytes, owner: str) -> Record:
    """The record that the member `owner` stored.

    Raises RecordError for what is none, or is another member's: one memory for two members would be two votes.
    """
    try:
        columns = cbor2.loads(data)
    except (cbor2.CBORDecodeError, EOFError, TypeError, ValueError):
        raise RecordError("record that does not read") from None
    match columns:
        case [form, incarnation, term, vote, committed, row, member_ips, *optional]:
            defaults: list[object] = [None, owner, None, []]  # the last columns, which an older record lacks
            last_columns = [*optional, *defaults[len(optional) :]]
        case _:
            raise RecordError("record that does not read")
    if form != FORM:
        raise RecordError("record of another form")
    stored_owner = last_columns[1]
    if stored_owner != owner:
        raise RecordError(f"record of {str(stored_owner)[:MAX_OWNER_LETTERS]}")
    return Record(
        incarnation,
        term,
        MemberKey(*vote) if vote else None,
        LogPosition(*committed) if committed else None,
        _decode_entry(row, last_columns[0], last_columns[2]),
        member_ips,
        owner,
        _decode_node_ips(last_columns[3]),
    )


def _decode_node_ips(ips: object) -> list[str]:
    """The checked addresses. Raises RecordError."""
    if type(ips) is not list or len(ips) > MAX_NODE_IPS or any(type(ip) is not str for ip in ips):
        raise RecordError("addresses of nodes")
    return ips


def _decode_entry(row: object, versions: object, claims: object) -> State | None:
    """The stored entry. `versions`: its encoded history; None in an older record. `claims`: those on evacuated zones;
    None if there are none. Raises RecordError."""
    if not row:
        return None
    try:
        entry = decode_state(row)
        entry = None if entry is None else entry.with_claims(claims)
        history = VersionHistory() if versions is None else decode_history(versions)
    except RemoteProtocolError as error:
        raise RecordError(str(error)) from error
    return None if entry is None else entry.with_versions(history)
