"""Collects the parts of a body without an object for each part, and returns the body without a copy."""

import io


class BodyBuffer:
    """The body of one message while it is received."""

    __slots__ = ("_first", "_buffer")

    def __init__(self) -> None:
        """Starts empty."""
        self._first = b""  # the only part so far; most bodies come in one
        self._buffer: io.BytesIO | None = None

    def __len__(self) -> int:
        """The bytes received so far."""
        return len(self._first) if self._buffer is None else self._buffer.tell()

    def append(self, part: bytes) -> None:
        """Appends a part."""
        if self._buffer is None:
            if not self._first:
                self._first = part
                return
            self._buffer = io.BytesIO()
            self._buffer.write(self._first)
            self._first = b""
        self._buffer.write(part)

    def take(self) -> bytes:
        """Returns the body and empties the buffer. `BytesIO` hands out its own bytes if they are not written again."""
        body = self._first if self._buffer is None else self._buffer.getvalue()
        self.clear()
        return body

    def clear(self) -> None:
        """Drops what was received."""
        self._first = b""
        self._buffer = None
