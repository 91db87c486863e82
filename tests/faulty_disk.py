"""An in-memory disk that simulates a power loss: each write that was not synced is kept, lost or torn."""

import dbm.dumb
import errno
import io
import os
from contextlib import contextmanager
from random import Random
from unittest import mock

SECTOR = 512


class PowerLoss(Exception):
    pass


class Inode:
    def __init__(self):
        self.data, self.durable, self.pending = bytearray(), b"", []

    def apply(self, data, offset, chunk):
        if offset is None:
            del data[:]
            return
        if len(data) < offset:
            data.extend(bytes(offset - len(data)))
        data[offset : offset + len(chunk)] = chunk

    def write(self, offset, chunk):
        self.pending.append((offset, chunk))
        self.apply(self.data, offset, chunk)

    def lose_power(self, random):
        data = bytearray(self.durable)
        for offset, chunk in self.pending:
            outcome = random.randrange(3)
            if outcome == 0 or offset is None and outcome == 1:
                self.apply(data, offset, chunk)
            elif outcome == 1:  # torn
                for start in range(0, len(chunk), SECTOR):
                    if random.random() < 0.5:
                        self.apply(data, offset + start, chunk[start : start + SECTOR])
        self.data, self.durable, self.pending = bytearray(data), bytes(data), []


class File:
    def __init__(self, faulty_disk, inode, mode):
        self.faulty_disk, self.inode, self.text = faulty_disk, inode, "b" not in mode
        self.offset = len(inode.data) if "a" in mode else 0

    def __enter__(self):
        return self

    def __exit__(self, *args):
        pass

    def close(self):
        pass

    def __iter__(self):
        return iter(io.StringIO(bytes(self.inode.data).decode("Latin-1")))

    def seek(self, offset, whence=0):
        self.offset = offset if whence == 0 else len(self.inode.data) + offset

    def tell(self):
        return self.offset

    def read(self, size):
        return bytes(self.inode.data[self.offset : self.offset + size])

    def write(self, chunk):
        chunk = chunk.encode("Latin-1") if self.text else bytes(chunk)
        if not chunk:
            return
        try:
            self.faulty_disk.count_operation()
        except OSError:
            self.inode.write(self.offset, chunk[: len(chunk) // 2])
            raise
        self.inode.write(self.offset, chunk)
        self.offset += len(chunk)


class FaultyDisk:
    """A simulated disk that can fail. `steps_left`: modifying operations until `error` is raised; None: never."""

    def __init__(self):
        # Inodes by name, and by name the inodes that it was bound to since the directory was last synced.
        self.names, self.unsynced_bindings = {}, {}
        self.steps_left, self.error, self.steps = None, None, 0
        self.nonces = 0

    def count_operation(self):
        self.steps += 1
        if self.steps_left is not None:
            if self.steps_left <= 0:
                raise self.error
            self.steps_left -= 1

    def fail_after(self, steps, error):
        self.steps_left, self.error = steps, error

    def fill_after(self, steps):
        self.fail_after(steps, OSError(errno.ENOSPC, "full"))

    def bind(self, name, inode):
        self.unsynced_bindings.setdefault(name, [self.names.get(name)]).append(inode)
        if inode is None:
            del self.names[name]
        else:
            self.names[name] = inode

    def lose_power(self, seed):
        random = Random(seed)
        for name, bindings in self.unsynced_bindings.items():
            inode = random.choice(bindings)
            if inode is None:
                self.names.pop(name, None)
            else:
                self.names[name] = inode
        self.unsynced_bindings = {}
        for inode in dict.fromkeys(self.names.values()):
            inode.lose_power(random)
        self.steps_left = None

    def bytes(self):
        return sum(len(inode.data) for inode in self.names.values())

    # Operations called by `dbm.dumb` and `RecordStore`.

    def open(self, path, mode="r", encoding=None):
        name = os.fsencode(path)
        inode = self.names.get(name)
        if inode is None:
            if mode[0] == "r":
                raise FileNotFoundError(errno.ENOENT, name)
            self.count_operation()
            inode = Inode()
            self.bind(name, inode)
        elif mode[0] == "w":
            self.count_operation()
            inode.write(None, b"")
        return File(self, inode, mode)

    def remove(self, path):
        name = os.fsencode(path)
        if name not in self.names:
            raise FileNotFoundError(errno.ENOENT, name)
        self.count_operation()
        self.bind(name, None)

    unlink = remove

    def rename(self, path, other):
        name, other = os.fsencode(path), os.fsencode(other)
        if name not in self.names:
            raise FileNotFoundError(errno.ENOENT, name)
        self.count_operation()
        inode = self.names[name]
        self.bind(name, None)
        self.bind(other, inode)

    def sync(self, path):
        self.count_operation()
        name = os.fsencode(path)
        inode = self.names[name]
        inode.durable, inode.pending = bytes(inode.data), []
        # Syncing a new file also makes its name durable.
        self.unsynced_bindings.pop(name, None) if None in self.unsynced_bindings.get(name, ()) else None

    def sync_folder(self, path):
        self.count_operation()
        self.unsynced_bindings = {}

    def nonce(self):
        self.nonces += 1
        return b"%08x" % self.nonces

    def chmod(self, path, mode):
        pass

    fsencode = staticmethod(os.fsencode)
    umask = staticmethod(lambda mask: 0o022)

    @contextmanager
    def mounted(self):
        with (
            mock.patch.multiple(dbm.dumb, _io=self, _os=self),
            mock.patch.multiple(dbm.dumb._Database, _io=self, _os=self),
        ):
            yield
