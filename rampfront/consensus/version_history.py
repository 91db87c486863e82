"""Bounded history of the content that each configuration number was confirmed with.

A configuration number always denotes the same content. The history holds the newest `MAX_VERSIONS` confirmed numbers,
including those that were acknowledged although a newer configuration was in force, each with a digest of its content.
Texts that differ only in whitespace or in the order of fields have the same content. The mechanism is specific to this
project.

Members send each other only the rows that the receiver lacks, 16 bytes for each new version. `order_application.py`
queries and extends a history, `replication.py` sends it, `entry_receiver.py` decodes it.
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
MAX_CONTENT_BYTES = 64 << 20  # size limit of an uncompressed body, to bound memory use
MAX_NUMBER = 1 << 53
ROW = struct.Struct(">Q8s")  # number, digest
DIGEST_BYTES = 8


def content_digest(body: bytes) -> bytes:
    """Returns an 8-byte digest of the JSON content of a compressed configuration.

    If the body is not compressed JSON, the digest is that of its bytes.
    """
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(body, MAX_CONTENT_BYTES)
        if not unpacker.eof:
            raise ValueError("compressed body is truncated, or too large")
        content = json.dumps(json.loads(text), sort_keys=True, separators=(",", ":")).encode()
    except (ValueError, RecursionError, zlib.error):
        content = body
    return blake2b(content, digest_size=DIGEST_BYTES).digest()


class VersionRow(NamedTuple):
    """A configuration number and the digest of the content that was confirmed under it."""

    number: int
    digest: bytes


class VersionHistory(NamedTuple):
    """The confirmed configuration numbers. `rows`: sorted by number, without duplicates, at most `MAX_VERSIONS`."""

    rows: tuple[VersionRow, ...] = ()

    def digest_of(self, number: int) -> bytes | None:
        """Returns the digest of the content that was confirmed under a number, or None if none is known."""
        at = bisect_left(self.rows, (number,))
        return self.rows[at].digest if at < len(self.rows) and self.rows[at].number == number else None

    def conflicts_with(self, number: int, digest: bytes) -> bool:
        """Whether different content was confirmed under this number."""
        return self.digest_of(number) not in (None, digest)

    def with_version(self, number: int, digest: bytes) -> "VersionHistory":
        """Returns the history with a number added.

        Returns the same history if it has the number already, or is full and the number is older than all in it.
        """
        at = bisect_left(self.rows, (number,))
        if at < len(self.rows) and self.rows[at].number == number:
            return self
        if at == 0 and len(self.rows) >= MAX_VERSIONS:
            return self
        rows = (*self.rows[:at], VersionRow(number, digest), *self.rows[at:])
        return VersionHistory(rows[-MAX_VERSIONS:])

    def encode(self) -> bytes:
        """Encodes the rows for the record on disk."""
        return b"".join(ROW.pack(*row) for row in self.rows)

    def encoded_size(self) -> int:
        """Returns the length of the result of `encode` in bytes."""
        return ROW.size * len(self.rows)

    def checksum(self) -> bytes:
        """Returns an 8-byte checksum of the history."""
        return blake2b(self.encode(), digest_size=DIGEST_BYTES).digest()

    def delta_from(self, base: "VersionHistory", base_position: LogPosition) -> "VersionDelta":
        """Returns the rows that are not in `base`, the history of the entry at `base_position`; see `apply_delta`."""
        known = set(base.rows)
        new = VersionHistory(tuple(row for row in self.rows if row not in known))
        return VersionDelta(base_position, new.encode(), self.checksum())


class VersionDelta(NamedTuple):
    """The rows added since a base history, and the checksum of the resulting history."""

    base_position: LogPosition
    rows: bytes
    checksum: bytes

    def encode(self) -> list[object]:
        """Encodes the delta for CBOR."""
        return [list(self.base_position), self.rows, self.checksum]


def decode_history(rows: object) -> VersionHistory:
    """Decodes and validates a history. Raises RemoteProtocolError for malformed rows."""
    if not isinstance(rows, bytes) or len(rows) % ROW.size or len(rows) > MAX_VERSIONS * ROW.size:
        raise RemoteProtocolError("version rows have an invalid type or length")
    history = VersionHistory(tuple(map(VersionRow._make, ROW.iter_unpack(rows))))
    numbers = [row.number for row in history.rows]
    if any(not 0 < number < MAX_NUMBER for number in numbers) or sorted(set(numbers)) != numbers:
        raise RemoteProtocolError("version numbers are out of range or not in ascending order")
    return history


def apply_delta(delta: object, bases: Mapping[LogPosition, VersionHistory]) -> VersionHistory | None:
    """Applies an encoded delta to its base history.

    Parameters:
        delta: the encoded delta, not validated.
        bases: the histories that this member has, by the positions of their entries.

    Returns None if the base is not among them, or if the result does not match the delta's checksum.
    Raises RemoteProtocolError for a malformed delta.
    """
    match delta:
        case [[int() as term, int() as index], bytes() as rows, bytes() as checksum]:
            new, position = decode_history(rows), LogPosition(term, index)
        case _:
            raise RemoteProtocolError("malformed version delta")
    history = VersionHistory() if position == NO_POSITION else bases.get(position)
    if history is None:
        return None
    for number, digest in new.rows:
        history = history.with_version(number, digest)
    return history if history.checksum() == checksum else None
