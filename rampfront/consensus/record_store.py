"""A member's record on disk, in `dbm.dumb`, so that a loss of power at any moment leaves the newest synced one.

`dbm.dumb` syncs nothing and rewrites its index by rename, so one database alone can be found empty. Two are used in
turn: a save goes into the one that does not have the newest good record, which stays untouched meanwhile. Each value
has a generation and a checksum over both; files and then the folder are synced before `save` returns. A database
that is missing, torn or out of step (a new index over old data, or the other way round) fails its checksum or does
not open, and the other one counts. Needs about twice the record's size. What the standard library cannot do for us
is left out: `sync` of `dbm.dumb` is a rename, no sync.

The only module of the package that does I/O. `node/` calls it on a thread of its own.
"""

import dbm.dumb
import os
import struct
from contextlib import ExitStack, suppress
from hashlib import blake2b
from typing import NamedTuple

KEY = b"record"  # followed by a nonce
HEADER = struct.Struct("<Q16s")  # generation, checksum
DATABASES = ("record-a", "record-b")
CHECKSUM_BYTES = 16
NONCE_BYTES = 4
DATA_SUFFIX = ".dat"
INDEX_SUFFIX = ".dir"
SUFFIXES = (INDEX_SUFFIX, ".bak", DATA_SUFFIX)


class Files:
    """File operations that `dbm.dumb` lacks or keeps quiet about; tests put a disk in its place that tears writes."""

    def nonce(self) -> bytes:
        """Letters that no other save draws."""
        return os.urandom(NONCE_BYTES).hex().encode()

    def remove(self, path: str) -> None:
        """Raises FileNotFoundError, or another OSError."""
        os.remove(path)

    def sync(self, path: str) -> None:
        """Returns once a file's content is on stable storage. Raises OSError."""
        _sync(path, os.O_RDWR)

    def sync_folder(self, path: str) -> None:
        """Returns once a folder's list of files is on stable storage. Raises OSError."""
        _sync(path, os.O_RDONLY | os.O_DIRECTORY)


def _sync(path: str, flags: int) -> None:
    handle = os.open(path, flags)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class _StoredRecord(NamedTuple):
    generation: int
    record: bytes


class RecordStore:
    """`load` once, then `save` as often as wanted, from one thread at a time. Both block."""

    def __init__(self, folder: str, files: Files | None = None) -> None:
        """`folder`: must be there. `files`: what stands in for the disk in tests."""
        self.folder = folder
        self.files = files or Files()
        self.generation = 0  # of the newest good record
        self.slot = 1  # which database has it

    def load(self) -> bytes | None:
        """The newest good record, or None if none was ever saved whole.

        Raises OSError if the disk cannot be read: that is not the same as a disk that holds nothing.
        """
        newest = None
        for slot, name in enumerate(DATABASES):
            found = self._read(name)
            if found is not None and found.generation > self.generation:
                self.generation = found.generation
                self.slot = slot
                newest = found.record
        if newest is not None:
            # Guards against a save cut short by a kill: its files read well, and a loss of power takes them yet.
            self._sync(self.slot)
        return newest

    def save(self, record: bytes) -> None:
        """Returns once the record is on stable storage. Raises OSError; the record may or may not be there then."""
        slot = 1 - self.slot
        generation = self.generation + 1
        path = os.path.join(self.folder, DATABASES[slot])
        for suffix in SUFFIXES:
            # Guards against a torn index that `dbm.dumb` fails to remove, says nothing of, and then reads.
            with suppress(FileNotFoundError):
                self.files.remove(path + suffix)
        self._write(path, generation, record)
        self._sync(slot)
        self.generation = generation
        self.slot = slot

    def _write(self, path: str, generation: int, record: bytes) -> None:
        """Makes the database anew."""
        with dbm.dumb.open(path, "n") as database:
            try:
                nonce = self.files.nonce()
                checksum = _checksum(generation, record, nonce)
                database[KEY + nonce] = HEADER.pack(generation, checksum) + record
                database.close()
            finally:
                # Guards against a database that failed and writes its index once more when it is closed or collected,
                # which may be after the next save into the same files.
                vars(database)["_index"] = None

    def _read(self, name: str) -> _StoredRecord | None:
        """What a database has, or None if there is none or it is torn. Raises OSError if the disk cannot be read."""
        with ExitStack() as stack:
            try:
                database = stack.enter_context(dbm.dumb.open(os.path.join(self.folder, name), "r"))
            except FileNotFoundError:
                return None
            except OSError:
                raise
            except Exception:  # a torn index is no Python any more, in one of many ways
                return None
            try:
                key, value = next(iter(database.items()))
            except OSError:
                raise
            except Exception:
                return None
        return _checked(key, value)

    def _sync(self, slot: int) -> None:
        for suffix in (DATA_SUFFIX, INDEX_SUFFIX):
            self.files.sync(os.path.join(self.folder, DATABASES[slot] + suffix))
        self.files.sync_folder(self.folder)


def _checked(key: str | bytes, value: bytes) -> _StoredRecord | None:
    """The record of a database's one row, or None if the row was not saved whole."""
    if not isinstance(key, bytes) or not key.startswith(KEY) or len(value) < HEADER.size:
        return None
    generation, checksum = HEADER.unpack_from(value)
    record = value[HEADER.size :]
    is_complete = checksum == _checksum(generation, record, key[len(KEY) :])
    return _StoredRecord(generation, record) if is_complete else None


def _checksum(generation: int, record: bytes, nonce: bytes) -> bytes:
    """Guards against a new index over the data of an older save that failed, of the same generation: it would bring
    back what was taken to be gone. The index alone has the nonce; an older record has none."""
    salt = struct.pack("<Q", generation)
    return blake2b(record, digest_size=CHECKSUM_BYTES, salt=salt, person=nonce).digest()
