"""Bodies of the last entries by digest, and differences between them, so that members are sent what changed.

A difference names the digest of the body that it rests on; the entry carries that of the body which must come out. A
receiver that lacks the first, or comes out elsewhere, takes nothing. No I/O, no clock.
"""

import zlib

import cbor2

from .errors import RemoteProtocolError
from .state import MOST_BODY, State, digest

DEPTH, BYTES = 64, 1 << 19  # bodies kept, and bytes of them, at most; the newest always
MOST_UNPACKED = 4 * MOST_BODY  # bytes of a body once it is unpacked
BODY = 3  # place of the body in a plain entry
MARK = 4  # and of its digest


def pieces(old: bytes, new: bytes) -> list:
    """How `new` is made of pieces of `old`, both split at `{`: texts, and [first, how many] of the old pieces."""
    olds, ops = old.split(b"{"), []
    at = {piece: place for place, piece in reversed(list(enumerate(olds)))}
    follows = -1  # the old piece behind the last one
    for piece in new.split(b"{"):
        if 0 <= follows < len(olds) and olds[follows] == piece:
            ops[-1][1] += 1
        elif (place := at.get(piece)) is not None:
            ops.append([place, 1])
            follows = place
        else:
            ops.append(piece)
            follows = -2
        follows += 1
    return ops


def patched(old: bytes, ops: list) -> bytes:
    """Raises ValueError for what `pieces` does not make. Guards memory against pieces that are named over and over."""
    olds, parts, size = old.split(b"{"), [], 0
    for op in ops:
        if type(op) is bytes:
            parts.append(op)
        else:
            first, count = op
            if type(first) is not int or type(count) is not int or not 0 <= first < first + count <= len(olds):
                raise ValueError("pieces that are not there")
            parts += olds[first : first + count]
        size += len(parts[-1]) + 1 if type(op) is bytes else sum(map(len, olds[first : first + count])) + count
        if size > MOST_UNPACKED:
            raise ValueError("a body that grows too large")
    return b"{".join(parts)


class BodyHistory:
    """Compressed bodies by digest, oldest first. Memory is bounded by DEPTH and BYTES."""

    def __init__(self) -> None:
        """Holds nothing yet."""
        self.kept, self.size = {}, 0
        self.made = {}  # differences to the newest entry's body, by the digest of what they rest on
        self.made_for = None  # that body's digest

    def keep(self, entry: State) -> None:
        """Remembers the body of an entry as the newest one."""
        body = self.kept.pop(entry.body_digest, None)
        if body is None:
            self.size += len(entry.body)
        self.kept[entry.body_digest] = entry.body
        while len(self.kept) > 1 and (len(self.kept) > DEPTH or self.size > BYTES):
            self.size -= len(self.kept.pop(next(iter(self.kept))))

    def difference(self, base: bytes, entry: State) -> tuple[list, int] | None:
        """What stands in place of the body for a member that holds the body of digest `base`, and about how many bytes
        it takes; None where that body is not known here, or the whole is no longer."""
        if self.made_for != entry.body_digest:
            self.made, self.made_for = {}, entry.body_digest
        if base not in self.made:
            self.made[base] = self.make(base, entry)
        return self.made[base]

    def make(self, base: bytes, entry: State) -> tuple[list, int] | None:
        """The difference, made anew."""
        old = self.kept.get(base)
        if not old or not entry.body:
            return None
        try:
            plain = [base, pieces(zlib.decompress(old), zlib.decompress(entry.body))]
        except zlib.error:
            return None
        size = len(zlib.compress(cbor2.dumps(plain)))
        return (plain, size) if size < len(entry.body) else None

    def filled(self, row: list) -> list | None:
        """A plain entry with its body in place of a difference; None if that rests on what is not held here or comes
        out as another body. Raises RemoteProtocolError for what is no difference."""
        if len(row) <= MARK or type(row[BODY]) is not list:
            return row
        try:
            base, ops = row[BODY]
        except ValueError:
            raise RemoteProtocolError("difference") from None
        if type(base) is not bytes or type(ops) is not list:
            raise RemoteProtocolError("difference")
        old = self.kept.get(base)
        if not old:
            return None
        try:
            body = zlib.compress(patched(zlib.decompress(old), ops))
        except (TypeError, ValueError, zlib.error):
            raise RemoteProtocolError("difference") from None
        if digest(body) != row[MARK]:
            return None
        return [*row[:BODY], body, *row[MARK:]]
