"""A bounded queue of messages on disk, in numbered segments that are read in order and removed once sent.

A record consists of a length, a CRC-32 and the message. A torn or damaged record ends its segment and is always
counted. The buffer never grows past its limit; the caller counts the messages that do not fit. There are no locks, so
only one thread at a time may use a buffer. Segments left by an earlier process are read first.
"""

import struct
import zlib
from collections.abc import Sequence
from io import FileIO
from pathlib import Path

RECORD_HEADER = struct.Struct("<II")  # length in bytes, CRC-32
_MAX_SEGMENT_BYTES = 4 << 20
_SUFFIX = ".spill"


class DiskBuffer:
    """The segments of one folder, which no other process may use."""

    def __init__(self, folder: Path, max_bytes: int) -> None:
        """Opens the folder, and creates it if needed.

        Args:
            folder: the folder of the segments.
            max_bytes: the maximum total size of the segments.

        Raises:
            OSError: the folder cannot be created or read.
        """
        self._folder = folder
        self._max_bytes = max_bytes
        self._folder.mkdir(parents=True, exist_ok=True)
        self._segments = sorted(self._folder.glob(f"*{_SUFFIX}"))  # oldest first
        self._size_bytes = self._total_segment_bytes()
        self._last_number = int(self._segments[-1].stem) if self._segments else 0
        self._file: FileIO | None = None  # the newest segment while it is open for appending
        self._file_bytes = 0
        self._damaged_records = 0

    @property
    def has_segments(self) -> bool:
        """Whether there are segments to read."""
        return bool(self._segments)

    @property
    def size_bytes(self) -> int:
        """The total size of the segments."""
        return self._size_bytes

    def take_damaged_records(self) -> int:
        """Returns and resets the number of damaged records found."""
        damaged = self._damaged_records
        self._damaged_records = 0
        return damaged

    def append(self, messages: Sequence[bytes]) -> int:
        """Writes as many messages as fit, in order.

        A message whose write fails with `OSError`, for example on a full disk, counts as not fitting. The torn record
        ends its segment, and the next call begins another.

        Returns:
            The number of messages written.
        """
        written = 0
        try:
            for message in messages:
                record = RECORD_HEADER.pack(len(message), zlib.crc32(message)) + message
                if self._size_bytes + len(record) > self._max_bytes:
                    break
                self._write(record)
                written += 1
        except OSError:
            self.close()
            self._size_bytes = self._total_segment_bytes()
        return written

    def close(self) -> None:
        """Closes the segment that is open for appending."""
        if self._file:
            self._file.close()
            self._file = None

    def read_oldest_segment(self) -> list[bytes]:
        """Returns the messages of the oldest segment up to its first damaged record; does not remove the segment."""
        if self._file and len(self._segments) == 1:
            self.close()  # later messages are appended to another segment
        data = self._segments[0].read_bytes()
        messages = []
        position = 0
        while position < len(data):
            message = _read_record(data, position)
            if message is None:
                self._damaged_records += 1
                break
            messages.append(message)
            position += RECORD_HEADER.size + len(message)
        return messages

    def drop_oldest_segment(self) -> None:
        """Removes the oldest segment, whose messages have been sent."""
        path = self._segments.pop(0)
        self._size_bytes -= path.stat().st_size
        path.unlink()

    def _total_segment_bytes(self) -> int:
        """Returns the total size of the segment files."""
        return sum(path.stat().st_size for path in self._segments)

    def _write(self, record: bytes) -> None:
        """Appends a record to the newest segment, or to a new one if that would grow too large."""
        file = self._file
        if file is None or self._file_bytes + len(record) > _MAX_SEGMENT_BYTES:
            file = self._begin_segment()
        if file.write(record) != len(record):
            raise OSError("short write to the disk buffer")
        self._file_bytes += len(record)
        self._size_bytes += len(record)

    def _begin_segment(self) -> FileIO:
        """Opens the next segment."""
        self.close()
        self._last_number += 1
        path = self._folder / f"{self._last_number:012d}{_SUFFIX}"
        self._file = FileIO(path, "ab")
        self._file_bytes = 0
        self._segments.append(path)
        return self._file


def _read_record(data: bytes, position: int) -> bytes | None:
    """Returns the message of the record at `position`; None if the record is torn or its checksum does not match."""
    start = position + RECORD_HEADER.size
    if len(data) < start:
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, position)
    message = data[start : start + length]
    if len(message) < length or zlib.crc32(message) != checksum:
        return None
    return message
