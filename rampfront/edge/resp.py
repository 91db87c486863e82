"""RESP2, the protocol of the counter, as far as the edge node needs it: commands are encoded, replies read. No I/O.

Source: the RESP protocol specification of Redis, version 2. A command is an array of bulk strings; the counter resets
connections that use the inline form. Replies are bulk strings of up to three digits of length, simple strings, errors
and integers; whatever else comes is an error of the counter.
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
    """The counter sent what is no reply."""


class Reply(NamedTuple):
    """One reply. `kind` is its first byte, `text` what it holds."""

    kind: bytes
    text: bytes


def encode_command(*parts: bytes) -> bytes:
    """A command as an array of bulk strings. `parts`: its name and its arguments."""
    return b"*%d\r\n" % len(parts) + b"".join([b"$%d\r\n%s\r\n" % (len(part), part) for part in parts])


def parse_total(text: bytes) -> float | None:
    """The total of a count; None if the text is none.

    What Python reads beside plain decimals (`nan`, `inf`, `1_0`) is no total, nor is what no count can reach.
    """
    if b"_" in text:
        return None
    try:
        total = float(text)
    except ValueError:
        return None
    return total if isfinite(total) and abs(total) <= _MAX_TOTAL else None


class ReplyReader:
    """Cuts what comes on one connection into replies."""

    __slots__ = ("_buffer", "_position")

    def __init__(self) -> None:
        """Has read nothing."""
        self._buffer = b""
        self._position = 0  # what stands before it in the buffer was read

    @property
    def has_partial_reply(self) -> bool:
        """Whether a reply has begun and is not complete. It is up to date once `next_reply` has returned None."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> None:
        """Takes what came. `next_reply` must have returned None since the last call."""
        self._buffer = self._buffer + data if self._buffer else data

    def next_reply(self) -> Reply | None:
        """The next complete reply; None if there is none yet.

        Raises:
            RemoteProtocolError: what came is no reply, and cannot become one.
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
                raise RemoteProtocolError("a bulk string is longer than its length")
            text = buffer[text_start:text_end]
        elif kind not in _LINE_REPLIES:
            raise RemoteProtocolError("no reply begins so")
        self._position = reply_end
        return Reply(kind, text)

    def _keep_partial_reply(self) -> None:
        """Keeps what is not complete. Raises RemoteProtocolError where it cannot become a reply."""
        rest = self._buffer[self._position :]
        self._buffer = rest
        self._position = 0
        if len(rest) > _MAX_PARTIAL_REPLY_BYTES or (rest and rest[:1] not in _REPLY_KINDS):
            raise RemoteProtocolError("what has begun is no reply")
