"""Bodies of recent entries by digest, and deltas between them, so that members receive only what changed.

A delta contains the digest of its base body; the entry contains the digest of the resulting body. A receiver that does
not have the base, or computes a different result, rejects the delta. The delta format is specific to this project: both
bodies are split at `{` (the configuration is JSON), and the new body is encoded as runs of chunks copied from the old
body and literal new chunks.

This module does no I/O and reads no clock. `replication.py` makes deltas, `entry_receiver.py` applies them;
`membership/deltas.py` uses `make_delta` and `apply_delta` directly.
"""

import zlib
from typing import NamedTuple, TypeAlias

import cbor2

from .errors import RemoteProtocolError
from .state import BODY_COLUMN, DIGEST_COLUMN, MAX_BODY_BYTES, State, digest

MAX_BODIES = 64
MAX_BYTES = 1 << 19  # total size of all bodies; the newest is always kept
MAX_UNPACKED_BYTES = 4 * MAX_BODY_BYTES  # uncompressed size of one body
SEPARATOR = b"{"

DeltaOperation: TypeAlias = bytes | list[int]  # a new chunk, or [first, count]: a run of old chunks to copy


class BodyDelta(NamedTuple):
    """The encoded delta that replaces an entry's body, and its approximate size on the wire in bytes."""

    encoded: list[object]
    size: int


def make_delta(old: bytes, new: bytes) -> list[DeltaOperation]:
    """Returns the operations that build `new` from chunks of `old`; both are split at `{`."""
    old_chunks = old.split(SEPARATOR)
    first_place = {chunk: place for place, chunk in reversed(list(enumerate(old_chunks)))}
    operations: list[DeltaOperation] = []
    run: list[int] = []  # the last operation, if it is a copy
    next_place = -1  # index of the old chunk that follows the run
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
    """Returns the body that results from applying a delta made by `make_delta`.

    Raises ValueError for a malformed delta, and for a result above `MAX_UNPACKED_BYTES`: a delta that copies the same
    chunks many times must not exhaust memory.
    """
    old_chunks = old.split(SEPARATOR)
    parts: list[bytes] = []
    size = 0
    for operation in operations:
        added = [operation] if isinstance(operation, bytes) else _copied_chunks(old_chunks, operation)
        parts += added
        size += sum(map(len, added)) + len(added)
        if size > MAX_UNPACKED_BYTES:
            raise ValueError("body built from a delta exceeds the size limit")
    return SEPARATOR.join(parts)


def _copied_chunks(old_chunks: list[bytes], operation: object) -> list[bytes]:
    """Returns the old chunks that an operation copies. Raises ValueError for a malformed or invalid range."""
    match operation:
        case [first, count] if type(first) is int and type(count) is int:
            if 0 <= first < first + count <= len(old_chunks):
                return old_chunks[first : first + count]
    raise ValueError("delta copies chunks that the base body does not have")


class BodyHistory:
    """Compressed bodies by digest, oldest first. Memory is bounded by `MAX_BODIES` and `MAX_BYTES`."""

    def __init__(self) -> None:
        """Creates an empty history."""
        self.by_digest: dict[bytes, bytes] = {}
        self._bytes = 0
        self._deltas: dict[bytes, BodyDelta | None] = {}  # cached deltas to the newest entry's body, by base digest
        self._delta_target: bytes | None = None  # digest of the body that the cached deltas produce

    def add(self, entry: State) -> None:
        """Stores the body of an entry as the newest one and evicts the oldest bodies above the limits."""
        body = self.by_digest.pop(entry.body_digest, None)
        if body is None:
            self._bytes += len(entry.body)
        self.by_digest[entry.body_digest] = entry.body
        while len(self.by_digest) > 1 and (len(self.by_digest) > MAX_BODIES or self._bytes > MAX_BYTES):
            self._bytes -= len(self.by_digest.pop(next(iter(self.by_digest))))

    def delta(self, base: bytes, entry: State) -> BodyDelta | None:
        """Returns the delta to an entry's body for a member that has the body with digest `base`.

        Returns None if that body is not in the history, or if the delta would not be smaller than the body itself.
        """
        if self._delta_target != entry.body_digest:
            self._deltas = {}
            self._delta_target = entry.body_digest
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
        """Returns an encoded entry with a delta in it replaced by the resulting body.

        Returns None if the delta's base is not in the history, or if the result does not match the entry's digest.
        Raises RemoteProtocolError for a malformed delta.
        """
        if len(row) <= DIGEST_COLUMN or type(row[BODY_COLUMN]) is not list:
            return row
        match row[BODY_COLUMN]:
            case [bytes() as base, list() as operations]:
                body = self._apply(base, operations)
            case _:
                raise RemoteProtocolError("malformed body delta")
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
            raise RemoteProtocolError("malformed body delta") from None
