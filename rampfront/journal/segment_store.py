"""The files of the journal: append-only segments in a folder, made durable in batches and compacted.

The store owns the files and the one thread that writes them. It does not decide what may be sent; `write_ahead_rule`
does. A failed write is truncated, so that the next record does not follow a torn one. A segment is removed once its
retention period has passed. If the journal would exceed its maximum size, the oldest segments are removed first, after
their intents in doubt have been rewritten to the newest segment. If that does not free enough space, writing fails as
on a full disk.
"""

import fcntl
import gc
import os
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path

from .intent_index import IntentIndex
from .journal_settings import JournalSettings
from .record_scanner import SegmentDamage, scan_records
from .records import Intent, Start, encode_record

_NS_PER_S = 1e9
_SUFFIX = ".journal"
_FILE_MODE = 0o640


class JournalBusyError(OSError):
    """Another process has locked this journal."""


class JournalFullError(OSError):
    """Intents in doubt use up the maximum size of the journal."""


def segment_paths(folder: Path) -> list[Path]:
    """Returns the segment files of a journal, oldest first."""
    return sorted(Path(folder).glob("*" + _SUFFIX))


class _Segment:
    """The size of a segment, and the numbers of the intents in it."""

    __slots__ = ("size_bytes", "intent_numbers")

    def __init__(self, size_bytes: int) -> None:
        """Creates a segment of `size_bytes` without intents."""
        self.size_bytes = size_bytes
        self.intent_numbers: set[int] = set()


class SegmentStore:
    """The files of one journal.

    Attributes:
        index: the state of all submissions, as recorded.
        damage: damaged spans found when the journal was opened.
    """

    _current_path: Path
    _last_number: int

    def __init__(self, settings: JournalSettings, clock: Callable[[], int] = time.time_ns) -> None:
        """Opens the folder, creating it if needed, reads all segments and begins a new one.

        Args:
            settings: the folder and the limits.
            clock: returns Unix time in ns.

        Raises:
            JournalBusyError: another process has locked the journal.
            OSError: the folder cannot be read or written.
        """
        self.index = IntentIndex()
        self.damage: list[SegmentDamage] = []
        self._settings = settings
        self._clock = clock
        self._folder = settings.folder
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock_fd = self._lock()
        self._segments: dict[Path, _Segment] = {}
        self._fd: int | None = None  # of the current segment; if None, the next write begins one
        self._recover()
        self._thread = ThreadPoolExecutor(1, "journal")

    @property
    def size_bytes(self) -> int:
        """The total size of all segments."""
        return sum(segment.size_bytes for segment in self._segments.values())

    @property
    def segment_count(self) -> int:
        """The number of segments."""
        return len(self._segments)

    def start_append(self, encoded_records: Sequence[bytes], intent_numbers: Sequence[int]) -> Future[None]:
        """Runs `append` on the store's thread."""
        return self._thread.submit(self.append, encoded_records, intent_numbers)

    def append(self, encoded_records: Sequence[bytes], intent_numbers: Sequence[int] = ()) -> None:
        """Writes records and makes them durable.

        While the store's thread runs, only that thread may call this method.

        Args:
            encoded_records: the records.
            intent_numbers: the numbers of the intents among them.

        Raises:
            OSError: the records cannot be written; none of them is left in the files.
        """
        data = b"".join(encoded_records)
        if self._fd is None or self._outgrows_segment(len(data)):
            self._begin_segment()
            self._compact()
        if self.size_bytes + len(data) > self._settings.max_total_bytes:
            self._compact(len(data))
        self._write_durably(data, intent_numbers)

    def stop_thread(self) -> None:
        """Waits for the write in progress and ends the thread; any thread may call `append` afterwards."""
        self._thread.shutdown()

    def close(self) -> None:
        """Ends the thread, closes the files and unlocks the journal."""
        self._thread.shutdown()
        if self._fd is not None:
            os.close(self._fd)
        os.close(self._lock_fd)

    # ---- start

    def _lock(self) -> int:
        """Locks the folder against other processes. Returns the lock's descriptor."""
        lock_fd = os.open(self._folder / "lock", os.O_CREAT | os.O_RDWR, _FILE_MODE)
        try:
            fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock_fd)
            raise JournalBusyError(f"{self._folder} is locked by another process") from None
        return lock_fd

    def _recover(self) -> None:
        """Reads all segments, and begins a new one with a `Start` record.

        A torn tail is left as it is, since new records are written to the new segment.
        """
        paths = segment_paths(self._folder)
        with _garbage_collection_paused():
            for path in paths:
                self._read_segment(path)
        self._last_number = int(paths[-1].stem) if paths else 0
        self._begin_segment()
        self.append([encode_record(Start(self._clock(), self._settings.node_name))])

    def _read_segment(self, path: Path) -> None:
        """Adds the records of a segment to the index, and its damage to `damage`."""
        data = path.read_bytes()
        found = scan_records(data)
        self.damage += found.damage_in(path.name)
        segment = _Segment(len(data))
        for record in found.records:
            self.index.add(record)
            if isinstance(record, Intent):
                segment.intent_numbers.add(record.number)
        self._segments[path] = segment

    def _begin_segment(self) -> None:
        """Begins a segment. The last segment of an earlier process is never appended to, as it may be torn."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None
        self._last_number += 1
        path = self._folder / f"{self._last_number:012d}{_SUFFIX}"
        self._fd = os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY | os.O_APPEND, _FILE_MODE)
        self._current_path = path
        self._segments[path] = _Segment(0)
        self._sync_folder()

    def _sync_folder(self) -> None:
        """Makes a new segment's directory entry durable; without it, its data could not be found after a crash."""
        folder_fd = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder_fd)
        finally:
            os.close(folder_fd)

    # ---- writing

    def _outgrows_segment(self, more_bytes: int) -> bool:
        """Whether the current segment is not empty and would exceed its maximum size."""
        size_bytes = self._segments[self._current_path].size_bytes
        return size_bytes > 0 and size_bytes + more_bytes > self._settings.max_segment_bytes

    def _write_durably(self, data: bytes, intent_numbers: Iterable[int]) -> None:
        """Appends to the current segment and syncs it. If that fails, truncates the segment and raises `OSError`."""
        fd = self._fd
        assert fd is not None, "a segment is begun before it is written to"
        segment = self._segments[self._current_path]
        try:
            unwritten = memoryview(data)
            while unwritten:
                unwritten = unwritten[os.write(fd, unwritten) :]
            os.fdatasync(fd)
        except OSError:
            self._truncate(fd, segment.size_bytes)
            raise
        segment.size_bytes += len(data)
        segment.intent_numbers.update(intent_numbers)

    def _truncate(self, fd: int, size_bytes: int) -> None:
        """Removes the partial data of a failed write.

        If that fails too, the next write begins a new segment; a reader skips the torn record.
        """
        try:
            os.ftruncate(fd, size_bytes)
        except OSError:
            os.close(fd)
            self._fd = None

    def _compact(self, needed_bytes: int = 0) -> None:
        """Removes segments past their retention period, and further ones, oldest first, while space is needed.

        Raises:
            JournalFullError: there is no space for `needed_bytes`.
        """
        max_total_bytes = self._settings.max_total_bytes
        now_s = self._clock() / _NS_PER_S
        for path in sorted(self._segments):
            lacks_room = self.size_bytes + needed_bytes > max_total_bytes
            if path == self._current_path:
                continue
            if not lacks_room and now_s - path.stat().st_mtime < self._settings.retention_s:
                continue
            if lacks_room and not self._rewrite_in_doubt(path, needed_bytes):
                break
            path.unlink()
            del self._segments[path]
        if self.size_bytes + needed_bytes > max_total_bytes:
            raise JournalFullError("the journal's size bound is used up by transactions in doubt")

    def _rewrite_in_doubt(self, path: Path, needed_bytes: int) -> bool:
        """Rewrites a segment's intents in doubt to the current segment. Returns False if that would free too little."""
        segment = self._segments[path]
        in_doubt = self.index.in_doubt
        # Uses `get`, because the event loop may remove an intent meanwhile, when its outcome has become durable.
        found = [in_doubt.get(number) for number in sorted(segment.intent_numbers)]
        intents = [intent for intent in found if intent is not None]
        data = b"".join([encode_record(intent) for intent in intents])
        if len(data) + needed_bytes > segment.size_bytes:
            return False
        self._write_durably(data, [intent.number for intent in intents])
        return True


@contextmanager
def _garbage_collection_paused() -> Iterator[None]:
    """Pauses garbage collection, as scanning a million live records repeatedly takes half of the start-up time."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
