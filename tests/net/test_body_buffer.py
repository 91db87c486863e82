"""A body costs its bytes, whatever its parts, and is returned once."""

import sys
import tracemalloc

import pytest

from rampfront.net.body_buffer import BodyBuffer

PARTS = 50_000


@pytest.mark.parametrize("parts", [[], [b"whole"], [b"ab", b"", b"c"], [b"x" * 70_000, b"y"]])
def test_a_body_is_returned_once_and_unchanged(parts):
    body = BodyBuffer()
    for part in parts:
        body.append(part)
    assert len(body) == sum(map(len, parts))
    assert (body.take(), body.take(), len(body)) == (b"".join(parts), b"", 0)


def test_small_parts_cost_no_object_each_and_the_body_no_copy():
    body = BodyBuffer()
    tracemalloc.start()
    try:
        for number in range(PARTS):
            body.append(b"%02d" % (number % 100))
        complete = body.take()
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert len(complete) == 2 * PARTS and peak_bytes < 1.5 * sys.getsizeof(complete)
