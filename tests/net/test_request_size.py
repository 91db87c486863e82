"""The raw bytes beside the body are limited, however they come."""

import pytest

from rampfront.net.request_size import MAX_IN_FLIGHT_BYTES, RequestSize

MAX_HEAD = 1000


def received(size, count, part):
    """Notes parts until the request is refused. Returns how many bytes that took."""
    for _ in range(count):
        size.received_bytes += part
        if size.check(MAX_HEAD):
            return size.received_bytes
    return None


def test_a_head_that_does_not_end_is_refused_at_its_limit():
    assert MAX_HEAD < received(RequestSize(), 100, 50) < 1.2 * MAX_HEAD


@pytest.mark.parametrize("chunk_bytes", [1, 2, 256, 65536])
def test_the_lines_of_chunks_are_part_of_any_body(chunk_bytes):
    size = RequestSize()
    size.received_bytes += 900
    size.head_completed(900)
    for _ in range(20_000):
        size.chunk_begun()
        size.received_bytes += chunk_bytes + len(b"%x\r\n\r\n" % chunk_bytes)
        size.body_received(chunk_bytes)
        assert size.check(MAX_HEAD) is None


def test_a_trailer_and_chunk_extensions_may_be_as_large_as_a_head():
    size = RequestSize()
    size.received_bytes += 900
    size.head_completed(900)
    size.chunk_begun()
    size.body_received(10**6)
    size.received_bytes += 10**6
    assert received(size, 100, 50) < 10**6 + 2.2 * MAX_HEAD


def test_each_request_begins_anew():
    size = RequestSize()
    size.received_bytes += 900
    size.head_completed(900)
    size.reset()
    assert size.head_bytes == 0 and received(size, 19, 50) is None and size.head_bytes == 950


def test_after_a_refusal_the_rest_of_a_request_is_discarded_and_no_more():
    size = RequestSize()
    size.received_bytes += MAX_HEAD * 2
    assert size.discardable_bytes(10**6) == MAX_IN_FLIGHT_BYTES  # its head never ended, so it can't have a body
    size.head_completed(900)
    size.body_received(400_000)
    assert size.discardable_bytes(10**6) == 600_000 + MAX_IN_FLIGHT_BYTES
