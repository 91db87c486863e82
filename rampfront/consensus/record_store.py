"""Crash-safe storage of a member's record in `dbm.dumb`: after a power loss, the newest synced record is still
readable.

`dbm.dumb` never calls fsync (its `sync` method only rewrites the index by rename), so a single database can be found
empty after a power loss. Two databases are therefore written alternately: a save goes to the one that does not hold the
newest valid record, and the other one stays untouched. Each value has a generation, and a checksum over the generation
and the record; the files and then the directory are synced before `save` returns. A database that is missing, torn or
inconsistent (a new index with old data, or the reverse) does not open or fails its checksum, and the other one is used.
Disk usage is about twice the record's size.

This is the only module of the package that does I/O. `node/` calls it on a dedicated thread.
"""

import dbm.dumb
import os
import struct
from contextlib import ExitStack, suppress
from hashlib import blake2b
from typing import NamedTuple

KEY = b"record"  # followed by a nonce
HEADER = struct.Struct("<Q16s")  # generation, checksum
DATABASE_NAMES = ("record-a", "record-b")
CHECKSUM_BYTES = 16
NONCE_BYTES = 4
DATA_SUFFIX = ".dat"
INDEX_SUFFIX = ".dir"
SUFFIXES = (INDEX_SUFFIX, ".bak", DATA_SUFFIX)


class Files:
    """File operations that `dbm.dumb` lacks, or whose errors it ignores. Tests substitute a disk that tears writes."""

    def nonce(self) -> bytes:
        """Returns a random nonce that is unique to one save, in hex digits."""
        return os.urandom(NONCE_BYTES).hex().encode()

    def remove(self, path: str) -> None:
        """Removes a file. Raises FileNotFoundError, or another OSError."""
        os.remove(path)

    def sync(self, path: str) -> None:
        """Returns once a file's content is on stable storage. Raises OSError."""
        _sync(path, os.O_RDWR)

    def sync_folder(self, path: str) -> None:
        """Returns once a directory's entries are on stable storage. Raises OSError."""
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
    """Stores the record of one member. Call `load` once, then `save`, from one thread at a time; both block."""

    def __init__(self, folder: str, files: Files | None = None) -> None:
        """`folder`: an existing directory. `files`: replacement for the disk in tests."""
        self.folder = folder
        self.files = files or Files()
        self.generation = 0  # generation of the newest valid record
        self.slot = 1  # index of the database that holds it

    def load(self) -> bytes | None:
        """Returns the newest valid record, or None if none was ever saved completely.

        Raises OSError if the disk cannot be read, which must not be mistaken for an empty disk.
        """
        newest = None
        for slot, name in enumerate(DATABASE_NAMES):
            found = self._read(name)
            if found is not None and found.generation > self.generation:
                self.generation = found.generation
                self.slot = slot
                newest = found.record
        if newest is not None:
            # If the process was killed during a save, its files may be readable but not synced, and a later power loss
            # would remove them.
            self._sync(self.slot)
        return newest

    def save(self, record: bytes) -> None:
        """Returns once the record is on stable storage. Raises OSError; the record may or may not be stored then."""
        slot = 1 - self.slot
        generation = self.generation + 1
        path = os.path.join(self.folder, DATABASE_NAMES[slot])
        for suffix in SUFFIXES:
            # `dbm.dumb` ignores a failure to remove an old index; it would then read the torn index.
            with suppress(FileNotFoundError):
                self.files.remove(path + suffix)
        self._write(path, generation, record)
        self._sync(slot)
        self.generation = generation
        self.slot = slot

    def _write(self, path: str, generation: int, record: bytes) -> None:
        """Creates the database with the record as its only row."""
        with dbm.dumb.open(path, "n") as database:
            try:
                nonce = self.files.nonce()
                checksum = _checksum(generation, record, nonce)
                database[KEY + nonce] = HEADER.pack(generation, checksum) + record
                database.close()
            finally:
                # Without an index, a database whose write failed does not write the index again when it is closed or
                # garbage-collected, which may happen after the next save to the same files.
                vars(database)["_index"] = None

    def _read(self, name: str) -> _StoredRecord | None:
        """Returns the record in a database, or None if it is missing or torn. Raises OSError if reading fails."""
        with ExitStack() as stack:
            try:
                database = stack.enter_context(dbm.dumb.open(os.path.join(self.folder, name), "r"))
            except FileNotFoundError:
                return None
            except OSError:
                raise
            except Exception:  # a torn index is not valid Python, and parsing it may raise various exceptions
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
            self.files.sync(os.path.join(self.folder, DATABASE_NAMES[slot] + suffix))
        self.files.sync_folder(self.folder)


def _checked(key: str | bytes, value: bytes) -> _StoredRecord | None:
    """Returns the record in a database's only row, or None if the row was not saved completely."""
    if not isinstance(key, bytes) or not key.startswith(KEY) or len(value) < HEADER.size:
        return None
    generation, checksum = HEADER.unpack_from(value)
    record = value[HEADER.size :]
    is_complete = checksum == _checksum(generation, record, key[len(KEY) :])
    return _StoredRecord(generation, record) if is_complete else None


def _checksum(generation: int, record: bytes, nonce: bytes) -> bytes:
    """Returns the checksum over generation, record and nonce.

    The nonce is stored only in the index. It detects a new index with the data of an earlier failed save of the same
    generation, which would otherwise restore a record that was reported as not stored. Older records have no nonce.
    """
    salt = struct.pack("<Q", generation)
    return blake2b(record, digest_size=CHECKSUM_BYTES, salt=salt, person=nonce).digest()
