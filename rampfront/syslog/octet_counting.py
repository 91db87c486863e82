"""Octet counting: how syslog messages follow each other on TCP (RFC 6587, section 3.4.1). No I/O.

A frame is MSG-LEN SP SYSLOG-MSG, MSG-LEN in decimal digits. Framing by newlines is not used: a message may hold them.
"""

_MAX_LENGTH_DIGITS = 8
_EXCERPT_BYTES = 16  # of a malformed stream that an error shows


class FramingError(ValueError):
    """The stream has no octet count where one is due, or one out of bounds."""


def encode_frame(message: bytes) -> bytes:
    """The message behind its length."""
    return b"%d %s" % (len(message), message)


def frame_message(frame: bytes) -> bytes:
    """The message of a complete frame that `encode_frame` made."""
    return frame.partition(b" ")[2]


class FrameDecoder:
    """Cuts a stream into messages."""

    def __init__(self, max_message_bytes: int = 64 << 10) -> None:
        """A message longer than `max_message_bytes` is refused."""
        self._max_message_bytes = max_message_bytes
        self._unread = b""

    @property
    def has_incomplete_frame(self) -> bool:
        """Whether the stream breaks off within a frame if it ends here."""
        return bool(self._unread)

    def feed(self, data: bytes) -> list[bytes]:
        """Takes the next bytes of the stream.

        Returns:
            The messages that are complete now; the beginning of another waits for the next call.

        Raises:
            FramingError: the stream is malformed, and cannot be read on.
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
        """Where the message of the frame at `position` stands; None if the frame is not complete."""
        space = self._unread.find(b" ", position, position + _MAX_LENGTH_DIGITS)
        digits = self._unread[position : space if space >= 0 else position + _MAX_LENGTH_DIGITS]
        if (digits and not digits.isdigit()) or digits.startswith(b"0"):
            raise FramingError(f"no octet count: {self._unread[position : position + _EXCERPT_BYTES]!r}")
        if space < 0:
            if len(digits) >= _MAX_LENGTH_DIGITS:
                raise FramingError("an octet count too long")
            return None
        length = int(digits) if digits else 0
        if not 0 < length <= self._max_message_bytes:
            raise FramingError(f"a message of {length} octets")
        start = space + 1
        if len(self._unread) < start + length:
            return None
        return range(start, start + length)
