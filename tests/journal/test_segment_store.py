"""The segment store: exclusive access, size limits and retention, as seen by the journal reader."""

import time

import pytest
from journal_fixtures import intent, outcome

from rampfront.journal.journal_reader import read_journal
from rampfront.journal.journal_settings import JournalSettings
from rampfront.journal.records import encode_record
from rampfront.journal.segment_store import JournalBusyError, SegmentStore


def test_one_process_writes_a_journal_and_numbers_count_on(tmp_path):
    first = SegmentStore(JournalSettings(tmp_path, "n0"))
    first.append([encode_record(intent(1)), encode_record(intent(2)), encode_record(outcome(1))], [1, 2])
    with pytest.raises(JournalBusyError):
        SegmentStore(JournalSettings(tmp_path, "n1"))
    first.close()
    second = SegmentStore(JournalSettings(tmp_path, "n0"))
    assert second.index.last_number == 2 and list(second.index.in_doubt) == [2] and second.index.starts == 1
    second.close()
    found = read_journal(tmp_path)
    assert [entry.ending_text for entry in found.entries.values()] == ["settled", "doubt (no outcome)"]
    assert len(found.starts) == 2


def test_a_journal_stays_within_its_bound_and_keeps_what_is_in_doubt(tmp_path):
    store = SegmentStore(JournalSettings(tmp_path, "n0", max_segment_bytes=2000, max_total_bytes=6000))

    def record(number, succeeded):
        records = [intent(number)] + ([outcome(number)] if succeeded else [])
        for entry in records:
            store.index.add(entry)
        store.append([encode_record(entry) for entry in records], [number])

    for number in range(1, 2001):
        record(number, succeeded=number % 100 != 0)
        assert store.size_bytes <= 6000
    in_doubt = [entry.intent.number for entry in read_journal(tmp_path).entries.values() if entry.in_doubt]
    assert in_doubt == list(range(100, 2001, 100))
    with pytest.raises(OSError, match="bound"):  # all intents are in doubt, so no segment can be removed
        for number in range(3000, 3200):
            record(number, succeeded=False)
    assert store.size_bytes <= 6000 and not read_journal(tmp_path).damage
    store.close()


def test_segments_past_their_retention_are_removed(tmp_path):
    now = [time.time_ns()]
    settings = JournalSettings(tmp_path, "n0", max_segment_bytes=300, retention_s=60.0)
    store = SegmentStore(settings, clock=lambda: now[0])
    for number in range(1, 21):
        store.append([encode_record(intent(number))], [number])
    before = store.segment_count
    now[0] += 120 * 10**9
    for number in range(21, 41):
        store.append([encode_record(intent(number))], [number])
    assert before > 2 and min(read_journal(tmp_path).entries) > 10
    store.close()
