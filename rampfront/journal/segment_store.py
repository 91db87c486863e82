"""The journal's files: segments in a folder, appended to, made durable in batches, compacted.

The store owns the files and the one thread that writes them. It never decides what may be sent (`write_ahead_rule`). A
write that fails is cut off again, so that the next record does not stand behind half of one. A segment is removed once
it is older than its retention; past the most bytes the oldest go first, and what is in doubt in them is written again
to the newest. Where that leaves no room, writing fails: the disk is full, by the journal's own limit.
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
    """Another process writes this journal."""


class JournalFullError(OSError):
    """What is in doubt takes all the bytes that the journal may have."""


def segment_paths(folder: Path) -> list[Path]:
    """The segments of a journal, oldest first."""
    return sorted(Path(folder).glob("*" + _SUFFIX))


class _Segment:
    """What is known of a segment: its bytes, and the numbers of the intents that it holds."""

    __slots__ = ("size_bytes", "intent_numbers")

    def __init__(self, size_bytes: int) -> None:
        """Of `size_bytes`, without intents."""
        self.size_bytes = size_bytes
        self.intent_numbers: set[int] = set()


class SegmentStore:
    """The files of one journal.

    Attributes:
        index: what the records say of all submissions.
        damage: damaged spans found at the start.
    """

    _current_path: Path
    _last_number: int

    def __init__(self, settings: JournalSettings, clock: Callable[[], int] = time.time_ns) -> None:
        """Opens the folder, or makes it; reads all segments and begins one.

        Args:
            settings: where and how.
            clock: Unix time in ns.

        Raises:
            JournalBusyError: another process writes there.
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
        self._fd: int | None = None  # of the current segment; None: the next write begins one
        self._recover()
        self._thread = ThreadPoolExecutor(1, "journal")

    @property
    def size_bytes(self) -> int:
        """What all segments take."""
        return sum(segment.size_bytes for segment in self._segments.values())

    @property
    def segment_count(self) -> int:
        """How many segments there are."""
        return len(self._segments)

    def start_append(self, encoded_records: Sequence[bytes], intent_numbers: Sequence[int]) -> Future[None]:
        """`append` on the store's thread."""
        return self._thread.submit(self.append, encoded_records, intent_numbers)

    def append(self, encoded_records: Sequence[bytes], intent_numbers: Sequence[int] = ()) -> None:
        """Writes records and makes them durable.

        Once the node runs, only the store's thread may call it, or whoever has stopped the thread.

        Args:
            encoded_records: their bytes.
            intent_numbers: of the intents among them.

        Raises:
            OSError: they cannot be written; nothing of them is left behind.
        """
        data = b"".join(encoded_records)
        if self._fd is None or self._outgrows_segment(len(data)):
            self._begin_segment()
            self._compact()
        if self.size_bytes + len(data) > self._settings.max_total_bytes:
            self._compact(len(data))
        self._write_durably(data, intent_numbers)

    def stop_thread(self) -> None:
        """Waits for the write under way; `append` may be called by any thread afterwards."""
        self._thread.shutdown()

    def close(self) -> None:
        """Ends the thread, closes the files and lets others write the journal."""
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
            raise JournalBusyError(f"{self._folder} is written by another process") from None
        return lock_fd

    def _recover(self) -> None:
        """Reads all segments, and begins one with the record of this start.

        A torn tail stays as it is: what follows goes to a segment of its own.
        """
        paths = segment_paths(self._folder)
        with _garbage_collection_paused():
            for path in paths:
                self._read_segment(path)
        self._last_number = int(paths[-1].stem) if paths else 0
        self._begin_segment()
        self.append([encode_record(Start(self._clock(), self._settings.node_name))])

    def _read_segment(self, path: Path) -> None:
        """Takes the records of a segment into the index, and its damage into the list."""
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
        """Begins a segment: an earlier process's last one is never written to again, whatever its end looks like."""
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
        """Makes a new segment's name durable: its data alone is lost without it."""
        folder_fd = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder_fd)
        finally:
            os.close(folder_fd)

    # ---- writing

    def _outgrows_segment(self, more_bytes: int) -> bool:
        """Whether the current segment, unless it is empty, would grow too large."""
        size_bytes = self._segments[self._current_path].size_bytes
        return size_bytes > 0 and size_bytes + more_bytes > self._settings.max_segment_bytes

    def _write_durably(self, data: bytes, intent_numbers: Iterable[int]) -> None:
        """Appends to the current segment. A write that fails is cut off again, and raises `OSError`."""
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
        """Removes what a failed write left.

        Where that fails too, the next write begins a segment: a reader finds its way past the torn one.
        """
        try:
            os.ftruncate(fd, size_bytes)
        except OSError:
            os.close(fd)
            self._fd = None

    def _compact(self, needed_bytes: int = 0) -> None:
        """Removes segments past their retention, and while more room is needed also younger ones.

        Raises:
            JournalFullError: there is no room for `needed_bytes`.
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
            raise JournalFullError("the journal's own bound is used up by txns in doubt")

    def _rewrite_in_doubt(self, path: Path, needed_bytes: int) -> bool:
        """Writes what is in doubt in a segment to the current one. Returns False if nothing would be gained."""
        segment = self._segments[path]
        in_doubt = self.index.in_doubt
        # `get`, as the event loop may take an intent out meanwhile: its outcome has become durable.
        found = [in_doubt.get(number) for number in sorted(segment.intent_numbers)]
        intents = [intent for intent in found if intent is not None]
        data = b"".join([encode_record(intent) for intent in intents])
        if len(data) + needed_bytes > segment.size_bytes:
            return False
        self._write_durably(data, [intent.number for intent in intents])
        return True


@contextmanager
def _garbage_collection_paused() -> Iterator[None]:
    """The collector would look through a million live records again and again: half of a start's time."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
