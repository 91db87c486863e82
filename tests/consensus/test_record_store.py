"""The record on disk: a loss of power at any moment leaves the newest synced one."""

import copy
from contextlib import suppress

import pytest
from faulty_disk import FaultyDisk, PowerLoss
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from rampfront.consensus.record_store import Files, RecordStore


def record(size, fill):
    return bytes([fill]) * size


class Disks(RuleBasedStateMachine):
    """Saves, kills, losses of power at any write or sync, and a disk that fills up: what `load` returns was saved
    last, or may have been. What was loaded once stays."""

    @initialize()
    def begin(self):
        self.faulty_disk, self.may, self.fill = FaultyDisk(), {None}, 0
        self.open()

    def open(self):
        with self.faulty_disk.mounted():
            self.book = RecordStore("/data", self.faulty_disk)
            found = self.book.load()
        assert found in self.may
        self.may = {found}

    def save(self, size):
        self.fill = (self.fill + 1) % 256
        held = record(size, self.fill)
        self.may = self.may | {held}
        with self.faulty_disk.mounted():
            self.book.save(held)
        self.may = {held}
        self.faulty_disk.steps_left = None

    @rule(size=st.integers(0, 3000))
    def saves(self, size):
        self.save(size)
        most = max(len(held or b"") for held in self.may)
        assert self.faulty_disk.bytes() <= 2 * max(most, 3000) + 2000

    @rule(size=st.integers(0, 3000), steps=st.integers(0, 18), seed=st.integers(0, 1 << 30))
    def loses_power(self, size, steps, seed):
        self.faulty_disk.fail(steps, PowerLoss())
        with suppress(PowerLoss):
            self.save(size)
        self.faulty_disk.after_loss(seed)
        self.open()

    @rule(size=st.integers(0, 3000), steps=st.integers(0, 18))
    def is_killed(self, size, steps):
        self.faulty_disk.fail(steps, PowerLoss())
        with suppress(PowerLoss):
            self.save(size)
        self.faulty_disk.steps_left = None
        self.open()

    @rule(size=st.integers(0, 3000), steps=st.integers(0, 18))
    def is_full(self, size, steps):
        self.faulty_disk.fill(steps)
        with suppress(OSError):
            self.save(size)
        self.faulty_disk.steps_left = None


Disks.TestCase.settings = settings(max_examples=60, stateful_step_count=15, deadline=None, derandomize=True)


TestDisks = Disks.TestCase


def test_a_loss_of_power_at_every_step_of_a_save():
    faulty_disk = FaultyDisk()
    with faulty_disk.mounted():
        RecordStore("/data", faulty_disk).save(b"old")
    for steps in range(30):
        for seed in range(40):
            faulty_disk = FaultyDisk()
            with faulty_disk.mounted():
                book = RecordStore("/data", faulty_disk)
                book.save(b"older" * 200)
                book.save(b"old" * 300)
                faulty_disk.fail(steps, PowerLoss())
                try:
                    book.save(b"new" * 400)
                    saved = True
                except PowerLoss:
                    saved = False
                faulty_disk.after_loss(seed)
                found = RecordStore("/data", faulty_disk).load()
            assert found in ([b"new" * 400] if saved else [b"new" * 400, b"old" * 300]), (steps, seed)
        if saved:
            return
    raise AssertionError("a save takes more steps than that")


def test_a_failed_save_stays_gone_once_it_was_not_found():
    """A new index over its data would bring it back, behind a loss of power in the middle of the next save."""
    disks = Disks()
    disks.begin()
    disks.loses_power(seed=0, size=0, steps=0)
    disks.is_full(size=0, steps=2)
    disks.loses_power(seed=0, size=0, steps=0)
    for seed in range(400):
        again = copy.deepcopy(disks)
        again.loses_power(seed=seed, size=1, steps=5)


def test_a_record_read_behind_a_kill_is_synced_before_it_counts():
    faulty_disk = FaultyDisk()
    with faulty_disk.mounted():
        RecordStore("/data", faulty_disk).save(b"old")
        book = RecordStore("/data", faulty_disk)
        book.load()
        faulty_disk.fail(7, PowerLoss())  # all is written, nothing synced
        with pytest.raises(PowerLoss):
            book.save(b"new")
        faulty_disk.steps_left = None
        assert RecordStore("/data", faulty_disk).load() == b"new"
        for seed in range(20):
            faulty_disk.after_loss(seed)
            assert RecordStore("/data", faulty_disk).load() == b"new"


def test_on_a_real_folder(tmp_path):
    book = RecordStore(str(tmp_path))
    assert book.load() is None
    for size in (10, 10_000, 10, 0, 5000):
        book.save(record(size, 1))
        assert RecordStore(str(tmp_path)).load() == record(size, 1)
    for file in tmp_path.iterdir():
        if file.name.startswith("record-" + "ab"[book.slot]):
            file.write_bytes(b"('record', (0, 10**9))\n\0(" * 3)
    assert RecordStore(str(tmp_path)).load() == b""  # the one before it


def test_a_disk_that_cannot_be_read_is_not_an_empty_one(tmp_path):
    RecordStore(str(tmp_path)).save(b"held")
    (tmp_path / "record-a.dat").unlink()
    (tmp_path / "record-a.dat").mkdir()
    with pytest.raises(OSError):
        RecordStore(str(tmp_path), Files()).load()
