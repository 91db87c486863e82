"""Octet counting, the framing of syslog messages on TCP (RFC 6587, section 3.4.1). No I/O.

A frame is MSG-LEN SP SYSLOG-MSG, with MSG-LEN in decimal digits. Newline framing is not used, as messages may contain
newlines.
"""

_MAX_LENGTH_DIGITS = 8
_EXCERPT_BYTES = 16  # of a malformed stream quoted in an error


class FramingError(ValueError):
    """The stream has no octet count where one is expected, or one that is out of range."""


def encode_frame(message: bytes) -> bytes:
    """Prefixes a message with its length."""
    return b"%d %s" % (len(message), message)


def frame_message(frame: bytes) -> bytes:
    """Returns the message of a complete frame made by `encode_frame`."""
    return frame.partition(b" ")[2]


class FrameDecoder:
    """Splits a stream into messages."""

    def __init__(self, max_message_bytes: int = 64 << 10) -> None:
        """Creates a decoder that rejects messages longer than `max_message_bytes`."""
        self._max_message_bytes = max_message_bytes
        self._unread = b""

    @property
    def has_incomplete_frame(self) -> bool:
        """Whether the stream would be truncated if it ended here."""
        return bool(self._unread)

    def feed(self, data: bytes) -> list[bytes]:
        """Reads the next bytes of the stream.

        Returns:
            The messages completed by `data`; an incomplete frame is kept for the next call.

        Raises:
            FramingError: the stream is malformed and cannot be read further.
        """
        self._unread += data
        messages = []
        position = 0
        while (found := self._find_message(position)) is not None:
            messages.append(self._unread[found.start : found.stop])
            position = found.stop
        self._unread = self._unread[position:]
        return messages

    def _find_message(self, position: int) -> range | None:
        """Returns the range of the message of the frame at `position`; None if the frame is incomplete."""
        space = self._unread.find(b" ", position, position + _MAX_LENGTH_DIGITS)
        digits = self._unread[position : space if space >= 0 else position + _MAX_LENGTH_DIGITS]
        if (digits and not digits.isdigit()) or digits.startswith(b"0"):
            raise FramingError(f"invalid octet count: {self._unread[position : position + _EXCERPT_BYTES]!r}")
        if space < 0:
            if len(digits) >= _MAX_LENGTH_DIGITS:
                raise FramingError("octet count too long")
            return None
        length = int(digits) if digits else 0
        if not 0 < length <= self._max_message_bytes:
            raise FramingError(f"message length out of range: {length} octets")
        start = space + 1
        if len(self._unread) < start + length:
            return None
        return range(start, start + length)
