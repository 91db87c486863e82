"""The format of a member's record on disk, which holds its persistent state (Raft paper, figure 2).

A record is a CBOR list of columns. Older records lack the last ones, or have a further one that is not used any more.
`PersistentState` encodes a record after every change and decodes one at startup.
"""

from typing import NamedTuple

import cbor2

from .errors import RecordError, RemoteProtocolError
from .evacuations import encode_names
from .identifiers import Incarnation, LogPosition, MemberKey, Term
from .state import State, decode_state
from .version_history import VersionHistory, decode_history

FORMAT_VERSION = 1
MAX_NODE_IPS = 1024
MAX_OWNER_CHARS = 80  # length limit for the owner of another member's record in an error message


class Record(NamedTuple):
    """The data that a member stores.

    `vote`: the candidate it voted for in `term`. `committed_position`: position of the newest entry known to be
    committed, or None. `member_ips`: addresses of members, if it is not a member according to `entry`. `owner`: name of
    the member that stored the record. `node_ips`: addresses of all recently known nodes, members or not.
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
    """Encodes a record for the disk."""
    entry = record.entry
    columns = [
        FORMAT_VERSION,
        record.incarnation,
        record.term,
        list(record.vote) if record.vote else None,
        list(record.committed_position) if record.committed_position else None,
        entry.encode() if entry else None,
        record.member_ips,
        entry.versions.encode() if entry else b"",
        record.owner,
    ]
    names = encode_names(entry.evacuations) if entry else None
    if names is not None or record.node_ips:
        columns.append(names)
    if record.node_ips:
        columns.append(record.node_ips)
    return cbor2.dumps(columns)


def decode_record(data: bytes, owner: str) -> Record:
    """Decodes the record that the member `owner` stored.

    Raises RecordError for a malformed record, and for one of another member: if two members used one record, both could
    vote with it.
    """
    try:
        columns = cbor2.loads(data)
    except (cbor2.CBORDecodeError, EOFError, TypeError, ValueError):
        raise RecordError("record cannot be decoded") from None
    match columns:
        case [format_version, incarnation, term, vote, committed, row, member_ips, *optional]:
            defaults: list[object] = [None, owner, None, []]  # values for the columns that older records lack
            last_columns = [*optional, *defaults[len(optional) :]]
        case _:
            raise RecordError("record cannot be decoded")
    if format_version != FORMAT_VERSION:
        raise RecordError("record has an unknown format version")
    stored_owner = last_columns[1]
    if stored_owner != owner:
        raise RecordError(f"record belongs to member {str(stored_owner)[:MAX_OWNER_CHARS]}")
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
    """Validates node addresses. Raises RecordError."""
    if type(ips) is not list or len(ips) > MAX_NODE_IPS or any(type(ip) is not str for ip in ips):
        raise RecordError("record has invalid node addresses")
    return ips


def _decode_entry(row: object, versions: object, names: object) -> State | None:
    """Decodes the stored entry. Raises RecordError.

    `versions`: its encoded version history; None in an older record. `names`: its encoded named holds on evacuated
    zones; None if there are none.
    """
    if not row:
        return None
    try:
        entry = decode_state(row)
        entry = None if entry is None else entry.with_names(names)
        history = VersionHistory() if versions is None else decode_history(versions)
    except RemoteProtocolError as error:
        raise RecordError(str(error)) from error
    return None if entry is None else entry.with_versions(history)
