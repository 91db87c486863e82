"""Bodies of the last entries by digest, and deltas between them, so that members are sent what changed.

A delta names the digest of the body that it rests on; the entry carries the digest of the body which must come out. A
receiver that lacks the first, or comes out elsewhere, takes nothing. The form is our own: both bodies are cut at `{`
(the configuration is JSON), and the new one is described as runs of the old one's chunks with new chunks between them.

No I/O, no clock. `replication.py` makes deltas, `entry_receiver.py` applies them; `membership/deltas.py` uses
`make_delta` and `apply_delta` by themselves.
"""

import zlib
from typing import NamedTuple, TypeAlias

import cbor2

from .errors import RemoteProtocolError
from .state import BODY_COLUMN, DIGEST_COLUMN, MAX_BODY_BYTES, State, digest

MAX_BODIES = 64
MAX_BYTES = 1 << 19  # of all bodies together; the newest is always kept
MAX_UNPACKED_BYTES = 4 * MAX_BODY_BYTES  # of one body
SEPARATOR = b"{"

DeltaOperation: TypeAlias = bytes | list[int]  # a new chunk, or [first, count] of the old chunks


class BodyDelta(NamedTuple):
    """What replaces an entry's body, and about how many bytes that takes on the wire."""

    encoded: list[object]
    size: int


def make_delta(old: bytes, new: bytes) -> list[DeltaOperation]:
    """How `new` is made of chunks of `old`, both cut at `{`."""
    old_chunks = old.split(SEPARATOR)
    first_place = {chunk: place for place, chunk in reversed(list(enumerate(old_chunks)))}
    operations: list[DeltaOperation] = []
    run: list[int] = []  # the operation that copies, if the last one does
    next_place = -1  # the old chunk after the run
    for chunk in new.split(SEPARATOR):
        if run and next_place < len(old_chunks) and old_chunks[next_place] == chunk:
            run[1] += 1
            next_place += 1
        elif (place := first_place.get(chunk)) is not None:
            run = [place, 1]
            operations.append(run)
            next_place = place + 1
        else:
            run = []
            operations.append(chunk)
    return operations


def apply_delta(old: bytes, operations: list[object]) -> bytes:
    """The body that a delta of `make_delta` describes.

    Raises ValueError for what `make_delta` does not make; guards memory against chunks that are named over and over.
    """
    old_chunks = old.split(SEPARATOR)
    parts: list[bytes] = []
    size = 0
    for operation in operations:
        added = [operation] if isinstance(operation, bytes) else _copied_chunks(old_chunks, operation)
        parts += added
        size += sum(map(len, added)) + len(added)
        if size > MAX_UNPACKED_BYTES:
            raise ValueError("a body that grows too large")
    return SEPARATOR.join(parts)


def _copied_chunks(old_chunks: list[bytes], operation: object) -> list[bytes]:
    """The old chunks that an operation copies. Raises ValueError for chunks that are not there."""
    match operation:
        case [first, count] if type(first) is int and type(count) is int:
            if 0 <= first < first + count <= len(old_chunks):
                return old_chunks[first : first + count]
    raise ValueError("chunks that are not there")


class BodyHistory:
    """Compressed bodies by digest, oldest first. Memory is bounded by `MAX_BODIES` and `MAX_BYTES`."""

    def __init__(self) -> None:
        """An empty history."""
        self.by_digest: dict[bytes, bytes] = {}
        self._bytes = 0
        self._deltas: dict[bytes, BodyDelta | None] = {}  # to the newest entry's body, by the digest of their base
        self._deltas_lead_to: bytes | None = None  # that body's digest

    def add(self, entry: State) -> None:
        """Remembers the body of an entry as the newest one."""
        body = self.by_digest.pop(entry.body_digest, None)
        if body is None:
            self._bytes += len(entry.body)
        self.by_digest[entry.body_digest] = entry.body
        while len(self.by_digest) > 1 and (len(self.by_digest) > MAX_BODIES or self._bytes > MAX_BYTES):
            self._bytes -= len(self.by_digest.pop(next(iter(self.by_digest))))

    def delta(self, base: bytes, entry: State) -> BodyDelta | None:
        """What replaces an entry's body for a member that has the body of digest `base`.

        None where that body is not known here, or where the body itself is no longer than the delta.
        """
        if self._deltas_lead_to != entry.body_digest:
            self._deltas = {}
            self._deltas_lead_to = entry.body_digest
        if base not in self._deltas:
            self._deltas[base] = self._make_delta(base, entry)
        return self._deltas[base]

    def _make_delta(self, base: bytes, entry: State) -> BodyDelta | None:
        old = self.by_digest.get(base)
        if not old or not entry.body:
            return None
        try:
            encoded: list[object] = [base, make_delta(zlib.decompress(old), zlib.decompress(entry.body))]
        except zlib.error:
            return None
        size = len(zlib.compress(cbor2.dumps(encoded)))
        return BodyDelta(encoded, size) if size < len(entry.body) else None

    def with_body(self, row: list[object]) -> list[object] | None:
        """An encoded entry with its body in place of a delta.

        Returns None if the delta rests on a body that is not known here, or comes out as another body.
        Raises RemoteProtocolError for what is no delta.
        """
        if len(row) <= DIGEST_COLUMN or type(row[BODY_COLUMN]) is not list:
            return row
        match row[BODY_COLUMN]:
            case [bytes() as base, list() as operations]:
                body = self._apply(base, operations)
            case _:
                raise RemoteProtocolError("delta")
        if body is None or digest(body) != row[DIGEST_COLUMN]:
            return None
        return [*row[:BODY_COLUMN], body, *row[DIGEST_COLUMN:]]

    def _apply(self, base: bytes, operations: list[object]) -> bytes | None:
        old = self.by_digest.get(base)
        if not old:
            return None
        try:
            return zlib.compress(apply_delta(zlib.decompress(old), operations))
        except (TypeError, ValueError, zlib.error):
            raise RemoteProtocolError("delta") from None
