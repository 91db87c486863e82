"""Which content each configuration number was confirmed with: a bounded history beside the newest configuration.

A number stands for one content for ever. The history holds the newest `MAX_VERSIONS` numbers that were confirmed, both
those that were committed and those that were acknowledged as older ones, each with a digest of its content. Texts that
differ in nothing but spaces or the order of fields have the same content. The mechanism is our own.

Between members a history travels as the rows that the receiver lacks: 16 bytes for a new version, not all of them.
`order_application.py` asks and extends a history, `replication.py` sends it, `entry_receiver.py` reads it.
"""

import json
import struct
import zlib
from bisect import bisect_left
from collections.abc import Mapping
from hashlib import blake2b
from typing import NamedTuple

from .errors import RemoteProtocolError
from .identifiers import NO_POSITION, LogPosition

MAX_VERSIONS = 512
MAX_CONTENT_BYTES = 64 << 20  # of a body that is unpacked; guards memory
MAX_NUMBER = 1 << 53
ROW = struct.Struct(">Q8s")  # number, digest
DIGEST_BYTES = 8


def content_digest(body: bytes) -> bytes:
    """8 bytes that identify what a compressed configuration says; for its bytes, where it is no compressed JSON."""
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(body, MAX_CONTENT_BYTES)
        if not unpacker.eof:
            raise ValueError("cut, or too large")
        content = json.dumps(json.loads(text), sort_keys=True, separators=(",", ":")).encode()
    except (ValueError, RecursionError, zlib.error):
        content = body
    return blake2b(content, digest_size=DIGEST_BYTES).digest()


class VersionRow(NamedTuple):
    """A configuration number, and the digest of the content that was confirmed under it."""

    number: int
    digest: bytes


class VersionHistory(NamedTuple):
    """`rows`: sorted, each number once, at most `MAX_VERSIONS`."""

    rows: tuple[VersionRow, ...] = ()

    def digest_of(self, number: int) -> bytes | None:
        """The digest of the content that was confirmed under a number, or None if none is known."""
        at = bisect_left(self.rows, (number,))
        return self.rows[at].digest if at < len(self.rows) and self.rows[at].number == number else None

    def conflicts_with(self, number: int, digest: bytes) -> bool:
        """Whether another content was confirmed under this number."""
        return self.digest_of(number) not in (None, digest)

    def with_version(self, number: int, digest: bytes) -> "VersionHistory":
        """With one number more; the same history if the number is there, or older than all that a full one has."""
        at = bisect_left(self.rows, (number,))
        if at < len(self.rows) and self.rows[at].number == number:
            return self
        if at == 0 and len(self.rows) >= MAX_VERSIONS:
            return self
        rows = (*self.rows[:at], VersionRow(number, digest), *self.rows[at:])
        return VersionHistory(rows[-MAX_VERSIONS:])

    def encode(self) -> bytes:
        """The rows as bytes, for the record on disk."""
        return b"".join(ROW.pack(*row) for row in self.rows)

    def encoded_size(self) -> int:
        """Bytes that `encode` takes."""
        return ROW.size * len(self.rows)

    def checksum(self) -> bytes:
        """8 bytes that tell two histories apart."""
        return blake2b(self.encode(), digest_size=DIGEST_BYTES).digest()

    def delta_from(self, base: "VersionHistory", base_position: LogPosition) -> "VersionDelta":
        """What a member lacks that has `base`, the history of the entry at `base_position`; see `apply_delta`."""
        known = set(base.rows)
        new = VersionHistory(tuple(row for row in self.rows if row not in known))
        return VersionDelta(base_position, new.encode(), self.checksum())


class VersionDelta(NamedTuple):
    """The rows that are new since another history, and the checksum of what must come out."""

    base_position: LogPosition
    rows: bytes
    checksum: bytes

    def encode(self) -> list[object]:
        """As cbor2 carries it."""
        return [list(self.base_position), self.rows, self.checksum]


def decode_history(rows: object) -> VersionHistory:
    """The history of encoded rows. Raises RemoteProtocolError for what `VersionHistory.encode` does not make."""
    if not isinstance(rows, bytes) or len(rows) % ROW.size or len(rows) > MAX_VERSIONS * ROW.size:
        raise RemoteProtocolError("rows of versions")
    history = VersionHistory(tuple(map(VersionRow._make, ROW.iter_unpack(rows))))
    numbers = [row.number for row in history.rows]
    if any(not 0 < number < MAX_NUMBER for number in numbers) or sorted(set(numbers)) != numbers:
        raise RemoteProtocolError("numbers of versions")
    return history


def apply_delta(delta: object, bases: Mapping[LogPosition, VersionHistory]) -> VersionHistory | None:
    """What an encoded delta makes of the history that it rests on.

    Parameters:
        delta: as cbor2 carries it, unchecked.
        bases: the histories that this member has, by the positions of their entries.

    Returns None if the base is not among them, or if something else comes out than the sender has.
    Raises RemoteProtocolError for what `VersionDelta.encode` does not make.
    """
    match delta:
        case [[int() as term, int() as index], bytes() as rows, bytes() as checksum]:
            new, position = decode_history(rows), LogPosition(term, index)
        case _:
            raise RemoteProtocolError("versions")
    history = VersionHistory() if position == NO_POSITION else bases.get(position)
    if history is None:
        return None
    for number, digest in new.rows:
        history = history.with_version(number, digest)
    return history if history.checksum() == checksum else None
