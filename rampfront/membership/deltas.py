"""What changed since a number that another node holds, so that only that is told. No I/O, no clock.

A difference names what it rests on and a mark of what must come out. Whoever holds something else, or comes out
elsewhere, takes nothing of it and asks again; so what is held is always a whole that the leader made, and swapped whole.
"""

import zlib
from hashlib import blake2b

from ..consensus.body_history import patched, pieces
from ..consensus.state import decode_state, digest

DEPTH = 8  # versions that a difference may rest on
STATES, BYTES = (
    64,
    1 << 19,
)  # states, and bytes of their bodies; a storm makes ten a second, and a slow link lags by some


class DeltaMismatchError(Exception):
    """A difference that rests on what is not held; `astray`: it came out wrong, and only the whole helps."""

    def __init__(self, corrupt=False):
        super().__init__(corrupt)
        self.corrupt = corrupt


def mark(rows, width):
    """Of the first `width` fields of each row: the last of a server's is a time by the own clock."""
    return blake2b(repr([tuple(row[:width]) for row in rows]).encode(), digest_size=8).digest()


class DeltaHistory:
    """The last versions of a sorted list of rows, each a tuple that its place `key` names. Memory is `DEPTH` tuples."""

    def __init__(self, key, width):
        self.key, self.width = key, width
        self.kept, self.made = {}, {}  # by number, newest last; differences of the newest by what they rest on

    def add(self, number, rows):
        self.kept[number] = rows
        self.made.clear()
        while len(self.kept) > DEPTH:
            del self.kept[next(iter(self.kept))]

    def can_diff_from(self, number):
        """Whether less than the whole goes to who holds the rows of that number."""
        return number in self.kept

    def difference_from(self, base):
        """(mark, names of rows gone, rows added or changed) or None, where the whole is shorter or nothing is known."""
        if base not in self.kept:
            return None
        if base not in self.made:
            new, old = next(reversed(self.kept.values())), self.kept[base]
            was, now = set(old), {row[self.key] for row in new}
            gone = [row[self.key] for row in old if row[self.key] not in now]
            rows = [row for row in new if row not in was]
            self.made[base] = (mark(new, self.width), gone, rows) if len(rows) + len(gone) // 2 < len(new) else None
        return self.made[base]

    def apply(self, number, base, told, gone, rows):
        """The whole that a difference makes of what is held under `number`. Raises DeltaMismatchError."""
        if base != number or number not in self.kept:
            raise DeltaMismatchError
        held = {row[self.key]: row for row in self.kept[number]}
        for name in gone:
            held.pop(name, None)
        held.update((row[self.key], row) for row in rows)
        whole = tuple(sorted(held.values()))
        if mark(whole, self.width) != told:
            raise DeltaMismatchError(corrupt=True)
        return whole


class StateHistory:
    """The core's last states: of one whose body differs, the pieces that are new; of one with the same body, none."""

    def __init__(self):
        self.kept, self.made = {}, {}  # by index, newest last; bodies as told, by the mark of what they rest on

    @property
    def newest(self):
        return next(reversed(self.kept.values()), None)

    def add(self, state):
        self.kept[state.index] = state
        self.made.clear()
        while len(self.kept) > STATES or len(self.kept) > 1 and self.size() > BYTES:
            del self.kept[next(iter(self.kept))]

    def size(self):
        """Bytes of the bodies; those alike are one."""
        return sum({state.body_digest: len(state.body) for state in self.kept.values()}.values())

    def can_diff_from(self, index):
        """Whether less than the whole goes to who holds the state of that index."""
        old = self.kept.get(index)
        return old is not None and bool(old.body)

    def encode(self, since):
        """Plain values for who holds the state of index `since`."""
        new, old = self.newest, self.kept.get(since)
        if old is None or not old.body or not new.body:
            return new.encode()
        plain = new.encode(include_body=False)
        if old.body_digest != new.body_digest:
            if old.body_digest not in self.made:
                self.made[old.body_digest] = [
                    old.body_digest,
                    pieces(zlib.decompress(old.body), zlib.decompress(new.body)),
                ]
            plain[3] = self.made[old.body_digest]
        return plain

    def decode(self, plain):
        """The checked State. Raises DeltaMismatchError, and Odd for what is none."""
        held, body = self.newest, plain[3]
        if type(body) is list:
            base, told = body
            if held is None or held.body_digest != base:
                raise DeltaMismatchError
            body = zlib.compress(patched(zlib.decompress(held.body), told))
            if digest(body) != plain[4]:
                raise DeltaMismatchError(corrupt=True)  # also where another compressor made the operator's body smaller
            plain = [*plain[:3], body, *plain[4:]]
        state = decode_state(plain, (held.body,) if held else ())
        if state is None:
            raise DeltaMismatchError
        return state
