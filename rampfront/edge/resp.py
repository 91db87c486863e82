"""The subset of RESP2, the counter's protocol, that the edge node needs: encodes commands, parses replies. No I/O.

Source: the RESP protocol specification of Redis, version 2. A command is an array of bulk strings; the counter resets
connections that use the inline form. A reply is a bulk string whose length has up to three digits, a simple string, an
error or an integer; anything else is a protocol error of the counter.
"""

from math import isfinite
from typing import NamedTuple

BULK_STRING = b"$"
SIMPLE_STRING = b"+"
ERROR = b"-"
INTEGER = b":"

_LINE_END = b"\r\n"
_LINE_REPLIES = (SIMPLE_STRING, ERROR, INTEGER)
_REPLY_KINDS = (BULK_STRING, *_LINE_REPLIES)
_MAX_LENGTH_DIGITS = 3
_MAX_PARTIAL_REPLY_BYTES = 1100
_MAX_TOTAL = 1e15


class RemoteProtocolError(Exception):
    """The counter sent data that is not a valid reply."""


class Reply(NamedTuple):
    """One reply. `kind` is its first byte, `text` its content."""

    kind: bytes
    text: bytes


def encode_command(*parts: bytes) -> bytes:
    """Encodes a command as an array of bulk strings. `parts`: its name and its arguments."""
    return b"*%d\r\n" % len(parts) + b"".join([b"$%d\r\n%s\r\n" % (len(part), part) for part in parts])


def parse_total(text: bytes) -> float | None:
    """Parses the total of a count. Returns None if the text is not one.

    Other forms that Python's float accepts (`nan`, `inf`, `1_0`) are rejected, and so are totals that no count can
    reach.
    """
    if b"_" in text:
        return None
    try:
        total = float(text)
    except ValueError:
        return None
    return total if isfinite(total) and abs(total) <= _MAX_TOTAL else None


class ReplyReader:
    """Splits the data received on one connection into replies."""

    __slots__ = ("_buffer", "_position")

    def __init__(self) -> None:
        """Creates a reader with an empty buffer."""
        self._buffer = b""
        self._position = 0  # the buffer is consumed up to here

    @property
    def has_partial_reply(self) -> bool:
        """Whether a reply has arrived only in part. Valid after `next_reply` has returned None."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> None:
        """Adds received data. `next_reply` must have returned None since the last call."""
        self._buffer = self._buffer + data if self._buffer else data

    def next_reply(self) -> Reply | None:
        """Returns the next complete reply, or None if there is none yet.

        Raises:
            RemoteProtocolError: the data is not the beginning of a valid reply.
        """
        buffer = self._buffer
        start = self._position
        line_end = buffer.find(_LINE_END, start)
        if line_end < 0:
            self._keep_partial_reply()
            return None
        kind = buffer[start : start + 1]
        text = buffer[start + 1 : line_end]
        reply_end = line_end + len(_LINE_END)
        if kind == BULK_STRING and text.isdigit() and len(text) <= _MAX_LENGTH_DIGITS:
            text_start = reply_end
            text_end = text_start + int(text)
            reply_end = text_end + len(_LINE_END)
            if len(buffer) < reply_end:
                self._keep_partial_reply()
                return None
            if buffer[text_end:reply_end] != _LINE_END:
                raise RemoteProtocolError("bulk string is longer than its declared length")
            text = buffer[text_start:text_end]
        elif kind not in _LINE_REPLIES:
            raise RemoteProtocolError("invalid start of a reply")
        self._position = reply_end
        return Reply(kind, text)

    def _keep_partial_reply(self) -> None:
        """Keeps the data of an incomplete reply. Raises RemoteProtocolError if it cannot become a valid reply."""
        rest = self._buffer[self._position :]
        self._buffer = rest
        self._position = 0
        if len(rest) > _MAX_PARTIAL_REPLY_BYTES or (rest and rest[:1] not in _REPLY_KINDS):
            raise RemoteProtocolError("partial reply is invalid or too long")
