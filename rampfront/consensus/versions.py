"""Which content each version number was confirmed with: a bounded history beside the newest configuration.

A number stands for one content for ever. The history holds the newest `MOST_VERSIONS` numbers that were confirmed,
those that came into force and those that were acknowledged as older ones, each with a digest of its content. Texts that
differ in nothing but spaces or the order of fields have the same content.

Between members a history travels as the rows that the receiver lacks: 16 bytes for a new version, not the whole.
"""

import json
import struct
import zlib
from bisect import bisect_left
from dataclasses import dataclass
from hashlib import blake2b

from .errors import RemoteProtocolError

MOST_VERSIONS = 512
MOST_CONTENT = 64 << 20  # bytes of a body that is unpacked; guards memory
ROW = struct.Struct(">Q8s")  # number, digest
NOTHING = 0, 0  # the stamp that stands for a history without rows


def content_digest(body: bytes) -> bytes:
    """8 bytes of what a compressed configuration says; of the bytes themselves, where they are no compressed JSON."""
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(body, MOST_CONTENT)
        if not unpacker.eof:
            raise ValueError("cut, or too large")
        content = json.dumps(json.loads(text), sort_keys=True, separators=(",", ":")).encode()
    except (ValueError, RecursionError, zlib.error):
        content = body
    return blake2b(content, digest_size=8).digest()


@dataclass(frozen=True, slots=True, eq=False)
class VersionHistory:
    """`rows`: (number, digest), sorted, each number once, at most `MOST_VERSIONS`."""

    rows: tuple[tuple[int, bytes], ...] = ()

    def digest_of(self, number: int) -> bytes | None:
        """The digest of the content that was confirmed under a number, or None if none is known."""
        at = bisect_left(self.rows, (number,))
        return self.rows[at][1] if at < len(self.rows) and self.rows[at][0] == number else None

    def denies(self, number: int, digest: bytes) -> bool:
        """Whether another content was confirmed under this number."""
        return self.digest_of(number) not in (None, digest)

    def with_version(self, number: int, digest: bytes) -> "VersionHistory":
        """With one number more; the same history if the number is there, or older than all that a full one holds."""
        at = bisect_left(self.rows, (number,))
        if at < len(self.rows) and self.rows[at][0] == number:
            return self
        if at == 0 and len(self.rows) >= MOST_VERSIONS:
            return self
        rows = (*self.rows[:at], (number, digest), *self.rows[at:])
        return VersionHistory(rows[-MOST_VERSIONS:])

    def packed(self) -> bytes:
        """The rows as bytes, for the record on disk."""
        return b"".join(ROW.pack(*row) for row in self.rows)

    def mark(self) -> bytes:
        """8 bytes that tell two histories apart."""
        return blake2b(self.packed(), digest_size=8).digest()

    def difference(self, base: "VersionHistory", stamp: tuple[int, int]) -> list:
        """As cbor2 carries it to who holds `base`, the history of the entry with that stamp; see `joined`."""
        held = set(base.rows)
        new = VersionHistory(tuple(row for row in self.rows if row not in held))
        return [list(stamp), new.packed(), self.mark()]


def versions_size(difference: list) -> int:
    """Bytes of the rows of a difference."""
    return len(difference[1])


def unpacked(rows: bytes) -> VersionHistory:
    """The history of `packed` rows. Raises RemoteProtocolError."""
    if not isinstance(rows, bytes) or len(rows) % ROW.size or len(rows) > MOST_VERSIONS * ROW.size:
        raise RemoteProtocolError("rows of versions")
    history = VersionHistory(tuple(ROW.iter_unpack(rows)))
    numbers = [number for number, _ in history.rows]
    if any(not 0 < number < 1 << 53 for number in numbers) or sorted(set(numbers)) != numbers:
        raise RemoteProtocolError("numbers of versions")
    return history


def joined(difference: object, bases: dict[tuple[int, int], VersionHistory]) -> VersionHistory | None:
    """What a difference makes of the history that it rests on, of those held by the stamps of their entries.

    None if that one is not held, or something else comes out. Raises RemoteProtocolError for what is no difference."""
    match difference:
        case [[int() as term, int() as index], bytes() as rows, bytes() as mark]:
            new, stamp = unpacked(rows), (term, index)
        case _:
            raise RemoteProtocolError("versions")
    history = VersionHistory() if stamp == NOTHING else bases.get(stamp)
    if history is None:
        return None
    for number, digest in new.rows:
        history = history.with_version(number, digest)
    return history if history.mark() == mark else None
