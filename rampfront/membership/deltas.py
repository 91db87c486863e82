"""Differences between versions of replicated data, so that a node is sent only what it lacks. No I/O, no clock.

A difference names the version that it is based on and carries a digest of what must result. A node that holds another
version, or arrives at another digest, applies nothing of it and asks again (`DeltaMismatchError`). So what a node holds
is always a complete version that a leader made, and versions are exchanged atomically.

`DeltaHistory` does this for sorted rows (the roster, the endpoint list), `StateHistory` for the state of the core,
whose largest part is the body of the operators' configuration.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b
from typing import Any, Generic, NamedTuple, TypeVar

from ..consensus.body_history import apply_delta, make_delta
from ..consensus.state import State, decode_state, digest

Packed = Any  # a value as cbor2 gives it, of any type
Row = TypeVar("Row", bound=tuple[Any, ...])

MAX_VERSIONS = 8  # of rows, that a difference may be based on
# Of states, and of their bodies: a burst of changes makes ten states a second, and a node behind a slow link lags by
# some.
MAX_STATES = 64
MAX_STATE_BYTES = 1 << 19
DIGEST_BYTES = 8
# Positions in an encoded state (`consensus.state.State.encode`).
_STATE_INDEX = 0
_STATE_BODY = 3
_STATE_BODY_DIGEST = 4


class DeltaMismatchError(Exception):
    """A difference that cannot be applied to what is held.

    Attributes:
        corrupt: its result had another digest than announced: only a full transfer helps. Otherwise it is based on
            another version than the one held.
    """

    def __init__(self, corrupt: bool = False) -> None:
        """`corrupt`: see above."""
        super().__init__(corrupt)
        self.corrupt = corrupt


class Delta(NamedTuple):
    """A difference between two versions of a list of rows.

    Attributes:
        changed: rows that are new or differ.
        base: number of the version that it is based on.
        digest: `digest_rows` of the result.
        removed: keys of the rows that are gone.
    """

    changed: Sequence[Any]
    base: int
    digest: bytes
    removed: Sequence[str]


def digest_rows(rows: Iterable[tuple[Any, ...]], width: int) -> bytes:
    """A digest of the first `width` fields of each row, from which fields with times by the own clock are left out."""
    return blake2b(repr([tuple(row[:width]) for row in rows]).encode(), digest_size=DIGEST_BYTES).digest()


class DeltaHistory(Generic[Row]):
    """The last versions of a sorted list of rows. Rows that versions share are kept once."""

    def __init__(self, key: Callable[[Row], str], digest_width: int) -> None:
        """`key` gives what identifies a row; `digest_width` is how many of its fields the digest covers."""
        self._key = key
        self._digest_width = digest_width
        self._versions: dict[int, tuple[Row, ...]] = {}  # newest last
        self._deltas: dict[int, Delta | None] = {}  # to the newest version, by base

    def add(self, version: int, rows: tuple[Row, ...]) -> None:
        """Remembers `rows` as the newest version."""
        self._versions[version] = rows
        self._deltas.clear()
        while len(self._versions) > MAX_VERSIONS:
            del self._versions[next(iter(self._versions))]

    def can_diff_from(self, version: int) -> bool:
        """Whether a node that holds `version` can be sent less than all rows."""
        return version in self._versions

    def delta_since(self, base: int) -> Delta | None:
        """The difference from version `base` to the newest; None where all rows are shorter or `base` is not known."""
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
        """The rows that `delta` makes of those held under `current_version`.

        Raises:
            DeltaMismatchError: it is based on another version, or results in other rows than its sender holds.
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
    """The last states of the core.

    A node that holds one of them is sent no body where the body is still the same, else the difference between bodies.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._states: dict[int, State] = {}  # by index, newest last
        self._body_deltas: dict[bytes, list[Packed]] = {}  # to the newest body, as sent, by digest of the base

    @property
    def newest(self) -> State | None:
        """The newest state; None: there is none yet."""
        return next(reversed(self._states.values()), None)

    def add(self, state: State) -> None:
        """Remembers `state` as the newest one."""
        self._states[state.index] = state
        self._body_deltas.clear()
        while len(self._states) > MAX_STATES or len(self._states) > 1 and self._body_bytes() > MAX_STATE_BYTES:
            del self._states[next(iter(self._states))]

    def _body_bytes(self) -> int:
        """Bytes of the bodies; equal ones count once."""
        return sum({state.body_digest: len(state.body) for state in self._states.values()}.values())

    def can_diff_from(self, index: int) -> bool:
        """Whether a node that holds the state of `index` can be sent less than the complete state."""
        old = self._states.get(index)
        return old is not None and bool(old.body)

    def encode_since(self, index: int) -> Packed:
        """The newest state as cbor2 carries it, for a node that holds the state of `index`."""
        new = next(reversed(self._states.values()))
        old = self._states.get(index)
        if old is None or not old.body or not new.body:
            return new.encode()
        encoded = new.encode(include_body=False)
        if old.body_digest != new.body_digest:
            encoded[_STATE_BODY] = self._body_delta(old, new)
        return encoded

    def _body_delta(self, old: State, new: State) -> list[Packed]:
        """What stands in place of the new body: the digest of the old one, and the pieces that differ."""
        delta = self._body_deltas.get(old.body_digest)
        if delta is None:
            delta = [old.body_digest, make_delta(zlib.decompress(old.body), zlib.decompress(new.body))]
            self._body_deltas[old.body_digest] = delta
        return delta

    def decode_since(self, encoded: Packed, current_index: int) -> State | None:
        """The state that another node's `encode_since` made; None: it is not newer than the one of `current_index`.

        Raises:
            DeltaMismatchError: its body is a difference that cannot be applied to the newest state here.
            RemoteProtocolError: it is no state.
        """
        return self.decode(encoded) if encoded[_STATE_INDEX] > current_index else None

    def decode(self, encoded: Packed) -> State:
        """As `decode_since`, whatever its index."""
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
            raise DeltaMismatchError(corrupt=True)  # also where another compressor made the operator's body smaller
        return body
