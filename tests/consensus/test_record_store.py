"""Crash safety of the record on disk: after a power loss at any time, the newest synced record is readable."""

import copy
from contextlib import suppress

import pytest
from faulty_disk import FaultyDisk, PowerLoss
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from rampfront.consensus.record_store import Files, RecordStore


def record(size, byte):
    return bytes([byte]) * size


class Disks(RuleBasedStateMachine):
    """Saves, kills and power losses at any write or sync, and a disk that runs full.

    `load` must return the record saved last, or one whose save was interrupted. A record that was loaded once must not
    be lost.
    """

    @initialize()
    def begin(self):
        self.faulty_disk, self.possible_records, self.byte = FaultyDisk(), {None}, 0
        self.open()

    def open(self):
        with self.faulty_disk.mounted():
            self.store = RecordStore("/data", self.faulty_disk)
            loaded = self.store.load()
        assert loaded in self.possible_records
        self.possible_records = {loaded}

    def save(self, size):
        self.byte = (self.byte + 1) % 256
        expected = record(size, self.byte)
        self.possible_records = self.possible_records | {expected}
        with self.faulty_disk.mounted():
            self.store.save(expected)
        self.possible_records = {expected}
        self.faulty_disk.steps_left = None

    @rule(size=st.integers(0, 3000))
    def saves(self, size):
        self.save(size)
        most = max(len(expected or b"") for expected in self.possible_records)
        assert self.faulty_disk.bytes() <= 2 * max(most, 3000) + 2000

    @rule(size=st.integers(0, 3000), steps=st.integers(0, 18), seed=st.integers(0, 1 << 30))
    def loses_power(self, size, steps, seed):
        self.faulty_disk.fail_after(steps, PowerLoss())
        with suppress(PowerLoss):
            self.save(size)
        self.faulty_disk.lose_power(seed)
        self.open()

    @rule(size=st.integers(0, 3000), steps=st.integers(0, 18))
    def is_killed(self, size, steps):
        self.faulty_disk.fail_after(steps, PowerLoss())
        with suppress(PowerLoss):
            self.save(size)
        self.faulty_disk.steps_left = None
        self.open()

    @rule(size=st.integers(0, 3000), steps=st.integers(0, 18))
    def is_full(self, size, steps):
        self.faulty_disk.fill_after(steps)
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
                store = RecordStore("/data", faulty_disk)
                store.save(b"older" * 200)
                store.save(b"old" * 300)
                faulty_disk.fail_after(steps, PowerLoss())
                try:
                    store.save(b"new" * 400)
                    saved = True
                except PowerLoss:
                    saved = False
                faulty_disk.lose_power(seed)
                loaded = RecordStore("/data", faulty_disk).load()
            assert loaded in ([b"new" * 400] if saved else [b"new" * 400, b"old" * 300]), (steps, seed)
        if saved:
            return
    raise AssertionError("a save takes more steps than that")


def test_a_failed_save_stays_gone_once_it_was_not_found():
    """A failed save that `load` did not find must never be found later.

    After a power loss during the next save, the new index together with the old data could restore it.
    """
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
        store = RecordStore("/data", faulty_disk)
        store.load()
        faulty_disk.fail_after(7, PowerLoss())  # everything is written, nothing is synced
        with pytest.raises(PowerLoss):
            store.save(b"new")
        faulty_disk.steps_left = None
        assert RecordStore("/data", faulty_disk).load() == b"new"
        for seed in range(20):
            faulty_disk.lose_power(seed)
            assert RecordStore("/data", faulty_disk).load() == b"new"


def test_on_a_real_folder(tmp_path):
    store = RecordStore(str(tmp_path))
    assert store.load() is None
    for size in (10, 10_000, 10, 0, 5000):
        store.save(record(size, 1))
        assert RecordStore(str(tmp_path)).load() == record(size, 1)
    for file in tmp_path.iterdir():
        if file.name.startswith("record-" + "ab"[store.slot]):
            file.write_bytes(b"('record', (0, 10**9))\n\0(" * 3)
    assert RecordStore(str(tmp_path)).load() == b""  # the record saved before


def test_a_disk_that_cannot_be_read_is_not_an_empty_one(tmp_path):
    RecordStore(str(tmp_path)).save(b"held")
    (tmp_path / "record-a.dat").unlink()
    (tmp_path / "record-a.dat").mkdir()
    with pytest.raises(OSError):
        RecordStore(str(tmp_path), Files()).load()
