"""Scanning of damaged segments, and the bound of the intent index."""

from hypothesis import given, settings
from hypothesis import strategies as st
from journal_fixtures import intent, outcome

from rampfront.journal.intent_index import IntentIndex
from rampfront.journal.record_scanner import scan_records
from rampfront.journal.records import Ending, Intent, encode_record


def test_a_torn_tail_and_a_flipped_bit_are_named_and_the_rest_is_read():
    encoded = [encode_record(intent(number)) for number in range(5)]
    data = bytearray(b"".join(encoded))
    data[len(encoded[0]) + len(encoded[1]) + 30] ^= 4
    found = scan_records(bytes(data) + encoded[0][:20])
    assert [record.number for record in found.records] == [0, 1, 3, 4]
    flipped, torn = found.damage
    assert (flipped.offset, flipped.size_bytes) == (len(encoded[0]) * 2, len(encoded[2]))
    assert "checksum" in flipped.reason
    assert (torn.offset, torn.size_bytes) == (len(data), 20) and torn.reason.startswith("torn")


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, 400), st.integers(1, 255), st.integers(0, 400), st.binary(max_size=40))
def test_damage_costs_the_records_it_touches_and_no_others(offset, flip, cut, noise):
    encoded = [encode_record(intent(number)) for number in range(6)]
    data, touched = bytearray(b"".join(encoded)), set()
    data[offset % len(data)] ^= flip
    size = len(encoded[0])
    touched.add(offset % len(data) // size)
    data = data[: max(size, len(data) - cut % (2 * size))]
    complete = [number for number in range(len(data) // size) if number not in touched]
    found = scan_records(bytes(data) + noise)
    assert [record.number for record in found.records if isinstance(record, Intent)] == complete
    damaged_bytes = sum(damage.size_bytes for damage in found.damage)
    assert damaged_bytes + len(complete) * size == len(data) + len(noise)


def test_the_index_of_intents_is_bounded():
    index = IntentIndex(max_in_doubt=10)
    for number in range(100):
        index.add(intent(number))
    index.add(outcome(95))
    index.add(outcome(96, Ending.NOT_RUN))
    index.add(outcome(97, Ending.IN_DOUBT))
    assert len(index.in_doubt) == 8 and index.evicted == 90
    assert (index.succeeded, index.not_run) == (1, 1)
