"""A bounded queue on disk: messages appended to numbered segments, read back in order, a segment dropped once sent.

A record is length, CRC-32 and bytes. A torn or damaged record ends its segment, and is counted: never silently. The
buffer never grows past its limit; what does not fit is the caller's to count. There are no locks: one thread at a time
may use it. Segments that an earlier process left are read first.
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
    """The segments of one folder, of which no other process may use any."""

    def __init__(self, folder: Path, max_bytes: int) -> None:
        """Opens the folder, or makes it.

        Args:
            folder: where the segments are.
            max_bytes: the most that they take together.

        Raises:
            OSError: the folder cannot be made or read.
        """
        self._folder = folder
        self._max_bytes = max_bytes
        self._folder.mkdir(parents=True, exist_ok=True)
        self._segments = sorted(self._folder.glob(f"*{_SUFFIX}"))  # oldest first
        self._size_bytes = self._measure()
        self._last_number = int(self._segments[-1].stem) if self._segments else 0
        self._file: FileIO | None = None  # the newest segment while it is appended to
        self._file_bytes = 0
        self._damaged_records = 0

    @property
    def has_segments(self) -> bool:
        """Whether anything is to be read."""
        return bool(self._segments)

    @property
    def size_bytes(self) -> int:
        """What the segments take."""
        return self._size_bytes

    def take_damaged_records(self) -> int:
        """Damaged records found since this was called last."""
        damaged = self._damaged_records
        self._damaged_records = 0
        return damaged

    def append(self, messages: Sequence[bytes]) -> int:
        """Writes as many messages as fit, in order.

        An `OSError` (a full disk, say) counts as not fitting: what was torn ends its segment, and the next call begins
        another.

        Returns:
            How many were written.
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
            self._size_bytes = self._measure()
        return written

    def close(self) -> None:
        """Ends the segment that is appended to."""
        if self._file:
            self._file.close()
            self._file = None

    def read_oldest_segment(self) -> list[bytes]:
        """The messages of the oldest segment, up to the first damaged one; it stays until `drop_oldest_segment`."""
        if self._file and len(self._segments) == 1:
            self.close()  # what comes now goes into another
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
        """Removes the oldest segment: it has been sent."""
        path = self._segments.pop(0)
        self._size_bytes -= path.stat().st_size
        path.unlink()

    def _measure(self) -> int:
        """What the segments take, by the file system."""
        return sum(path.stat().st_size for path in self._segments)

    def _write(self, record: bytes) -> None:
        """Appends a record to the newest segment, or to a new one if it would grow too large."""
        file = self._file
        if file is None or self._file_bytes + len(record) > _MAX_SEGMENT_BYTES:
            file = self._begin_segment()
        if file.write(record) != len(record):
            raise OSError("a short write")
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
    """The message of the record at `position`; None if the record is torn or its checksum is wrong."""
    start = position + RECORD_HEADER.size
    if len(data) < start:
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, position)
    message = data[start : start + length]
    if len(message) < length or zlib.crc32(message) != checksum:
        return None
    return message
