"""Deltas between versions of replicated data, so that a node is sent only what it lacks. No I/O, no clock.

A delta names the version that it is based on and carries a digest of the result. A node that holds another version, or
computes another digest, applies no part of the delta and requests the data again (`DeltaMismatchError`). A replica is
therefore always a complete version that a leader made, and is replaced atomically.

`DeltaHistory` makes deltas of sorted rows (the roster, the endpoint list), `StateHistory` of the state of the core,
whose largest part is the body of the operators' configuration.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b
from typing import Any, Generic, NamedTuple, TypeVar

from ..consensus.body_history import apply_delta, make_delta
from ..consensus.state import State, decode_state, digest

Packed = Any  # any value that cbor2 can encode
Row = TypeVar("Row", bound=tuple[Any, ...])

MAX_VERSIONS = 8  # versions of rows that a delta may be based on
# Limits of the retained states and of their bodies. A burst of changes makes ten states a second, and a node behind a
# slow link lags by several of them.
MAX_STATES = 64
MAX_STATE_BYTES = 1 << 19
DIGEST_BYTES = 8
# Positions in an encoded state (`consensus.state.State.encode`).
_STATE_INDEX = 0
_STATE_BODY = 3
_STATE_BODY_DIGEST = 4


class DeltaMismatchError(Exception):
    """A delta that cannot be applied to the local replica.

    Attributes:
        corrupt: the result's digest differs from the announced one, so only a full transfer helps. If False, the delta
            is based on a version other than the local one.
    """

    def __init__(self, corrupt: bool = False) -> None:
        """See the class for `corrupt`."""
        super().__init__(corrupt)
        self.corrupt = corrupt


class Delta(NamedTuple):
    """A delta between two versions of a list of rows.

    Attributes:
        changed: rows that are new or differ.
        base: number of the version that the delta is based on.
        digest: `digest_rows` of the result.
        removed: keys of the removed rows.
    """

    changed: Sequence[Any]
    base: int
    digest: bytes
    removed: Sequence[str]


def digest_rows(rows: Iterable[tuple[Any, ...]], width: int) -> bytes:
    """Returns a digest of the first `width` fields of each row; fields with local clock times must follow these."""
    return blake2b(repr([tuple(row[:width]) for row in rows]).encode(), digest_size=DIGEST_BYTES).digest()


class DeltaHistory(Generic[Row]):
    """The latest versions of a sorted list of rows. Rows that versions share are stored once."""

    def __init__(self, key: Callable[[Row], str], digest_width: int) -> None:
        """`key` returns the key of a row; `digest_width` is the number of its fields that the digest covers."""
        self._key = key
        self._digest_width = digest_width
        self._versions: dict[int, tuple[Row, ...]] = {}  # newest last
        self._deltas: dict[int, Delta | None] = {}  # deltas to the newest version, by base

    def add(self, version: int, rows: tuple[Row, ...]) -> None:
        """Adds `rows` as the newest version, and drops the oldest version beyond MAX_VERSIONS."""
        self._versions[version] = rows
        self._deltas.clear()
        while len(self._versions) > MAX_VERSIONS:
            del self._versions[next(iter(self._versions))]

    def can_diff_from(self, version: int) -> bool:
        """Whether a node that holds `version` can be sent a delta."""
        return version in self._versions

    def delta_since(self, base: int) -> Delta | None:
        """Returns the delta from version `base` to the newest; None if all rows are shorter or `base` is not known."""
        if base not in self._versions:
            return None
        if base not in self._deltas:
            self._deltas[base] = self._make_delta(base)
        return self._deltas[base]

    def _make_delta(self, base: int) -> Delta | None:
        key = self._key
        new = next(reversed(self._versions.values()))
        old = self._versions[base]
        old_rows = set(old)
        new_keys = {key(row) for row in new}
        removed = [key(row) for row in old if key(row) not in new_keys]
        changed = [row for row in new if row not in old_rows]
        if len(changed) + len(removed) // 2 >= len(new):
            return None
        return Delta(changed, base, digest_rows(new, self._digest_width), removed)

    def apply(self, current_version: int, delta: Delta) -> tuple[Row, ...]:
        """Returns the rows that result from applying `delta` to those of `current_version`.

        Raises:
            DeltaMismatchError: the delta is based on another version, or its result differs from the sender's rows.
        """
        if delta.base != current_version or current_version not in self._versions:
            raise DeltaMismatchError
        rows_by_key = {self._key(row): row for row in self._versions[current_version]}
        for key in delta.removed:
            rows_by_key.pop(key, None)
        rows_by_key.update((self._key(row), row) for row in delta.changed)
        rows = tuple(sorted(rows_by_key.values()))
        if digest_rows(rows, self._digest_width) != delta.digest:
            raise DeltaMismatchError(corrupt=True)
        return rows


class StateHistory:
    """The latest states of the core.

    A node that holds one of them is sent no body if the body is unchanged, and otherwise a delta between the bodies.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._states: dict[int, State] = {}  # by index, newest last
        self._body_deltas: dict[bytes, list[Packed]] = {}  # deltas to the newest body, as sent, by digest of the base

    @property
    def newest(self) -> State | None:
        """The newest state; None if there is none yet."""
        return next(reversed(self._states.values()), None)

    def add(self, state: State) -> None:
        """Adds `state` as the newest one, and drops the oldest states beyond the limits."""
        self._states[state.index] = state
        self._body_deltas.clear()
        while len(self._states) > MAX_STATES or len(self._states) > 1 and self._body_bytes() > MAX_STATE_BYTES:
            del self._states[next(iter(self._states))]

    def _body_bytes(self) -> int:
        """Total size of the bodies; equal bodies count once."""
        return sum({state.body_digest: len(state.body) for state in self._states.values()}.values())

    def can_diff_from(self, index: int) -> bool:
        """Whether a node that holds the state of `index` can be sent less than the complete state."""
        old = self._states.get(index)
        return old is not None and bool(old.body)

    def encode_since(self, index: int) -> Packed:
        """Encodes the newest state for cbor2, for a node that holds the state of `index`."""
        new = next(reversed(self._states.values()))
        old = self._states.get(index)
        if old is None or not old.body or not new.body:
            return new.encode()
        encoded = new.encode(include_body=False)
        if old.body_digest != new.body_digest:
            encoded[_STATE_BODY] = self._body_delta(old, new)
        return encoded

    def _body_delta(self, old: State, new: State) -> list[Packed]:
        """Encodes the delta that replaces the new body: the old digest, and the operations that rebuild it."""
        delta = self._body_deltas.get(old.body_digest)
        if delta is None:
            delta = [old.body_digest, make_delta(zlib.decompress(old.body), zlib.decompress(new.body))]
            self._body_deltas[old.body_digest] = delta
        return delta

    def decode_since(self, encoded: Packed, current_index: int) -> State | None:
        """Decodes what another node's `encode_since` made; returns None if it is not newer than `current_index`.

        Raises:
            DeltaMismatchError: its body is a delta that cannot be applied to the newest local state.
            RemoteProtocolError: it is not a valid state.
        """
        return self.decode(encoded) if encoded[_STATE_INDEX] > current_index else None

    def decode(self, encoded: Packed) -> State:
        """Decodes a state like `decode_since`, whatever its index."""
        newest = self.newest
        body = encoded[_STATE_BODY]
        if type(body) is list:
            body = self._apply_body_delta(body, encoded[_STATE_BODY_DIGEST])
            encoded = [*encoded[:_STATE_BODY], body, *encoded[_STATE_BODY + 1 :]]
        state = decode_state(encoded, (newest.body,) if newest else ())
        if state is None:
            raise DeltaMismatchError
        return state

    def _apply_body_delta(self, delta: list[Packed], wanted_digest: bytes) -> bytes:
        base_digest, operations = delta
        newest = self.newest
        if newest is None or newest.body_digest != base_digest:
            raise DeltaMismatchError
        body = zlib.compress(apply_delta(zlib.decompress(newest.body), operations))
        if digest(body) != wanted_digest:
            # This also happens if another compressor made the operator's body smaller.
            raise DeltaMismatchError(corrupt=True)
        return body
