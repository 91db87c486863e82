"""Tests of encoding and decoding endpoint lists for other nodes, in full and as deltas."""

import cbor2
import pytest

from rampfront.membership import endpoint_codec
from rampfront.membership.deltas import DeltaMismatchError
from rampfront.membership.endpoint_codec import decode, encode
from rampfront.membership.endpoint_list import DRAINING, READY, Endpoint, EndpointList
from rampfront.settings.errors import FieldError

MS, SEC = 10**6, 10**9


def test_a_list_is_decoded_by_the_clock_of_its_receiver():
    three = Endpoint("c", "s", "10.0.0.1", 80, "z", 2, READY, 0)
    changed = Endpoint("b", "s", "10.0.0.1", 80, "z", 2, DRAINING, 7 * SEC)
    new = EndpointList(2, (changed, three), 5 * SEC)
    decoded = decode(cbor2.loads(cbor2.dumps(encode(new, 6 * SEC))), 100 * SEC)  # the clock of another node
    assert decoded.version == 2 and decoded.read_at_ns == 99 * SEC
    assert (
        decoded.endpoints[0] == Endpoint("b", "s", "10.0.0.1", 80, "z", 2, DRAINING, 101 * SEC)
        and decoded.endpoints[1] == three
    )


def test_invalid_lists_are_refused():
    three = Endpoint("c", "s", "10.0.0.1", 80, "z", 2, READY, 0)
    changed = Endpoint("b", "s", "10.0.0.1", 80, "z", 2, DRAINING, 7 * SEC)
    new = EndpointList(2, (changed, three), 5 * SEC)
    good = encode(new, 6 * SEC)
    for invalid in (
        None,
        [],
        good[:3],
        [-1, *good[1:]],
        [1, 0, ["s"], good[3]],
        [1, 0, good[2], [["a"]]],
        [1, 0, 5, [1]],
        [1, 0, good[2], [["a", 0, "host", 80, 1, 2, False, 0]]],
        [1, 0, good[2], [["a", -1, "10.0.0.1", 80, 1, 2, False, 0]]],
        [1, 0, good[2], [["a", 0, "10.0.0.1", 80, 1, 2, False, -5]]],
    ):
        with pytest.raises(FieldError):
            decode(invalid, SEC)


def server(k, port=80, warming_until_ns=0):
    return Endpoint(f"i-{k}", "one", "10.0.0.1", port, "a1", 4, "ready", warming_until_ns)


def test_endpoint_lists_travel_as_differences():
    """Deltas are made by id; a remaining time is sent, but is not part of the digest; outdated, repeated or foreign
    deltas change nothing.
    """

    def of(*numbers):
        history = endpoint_codec.endpoint_history()
        for number in numbers:
            history.add(number, lists[number].endpoints)
        return history

    rows = [server(k) for k in range(10, 30)]
    lists = {
        1: EndpointList(1, tuple(rows)),
        2: EndpointList(2, tuple(rows[:5] + rows[6:])),
        3: EndpointList(3, tuple(rows[:3] + [server(13, 99, 7 * SEC)] + rows[4:5] + rows[6:])),
    }
    packed = endpoint_codec.encode_since(lists[3], 2 * SEC, of(1, 2, 3), 1)
    assert len(packed[3]) == 1 and packed[6] == ["i-15"]
    decoded = endpoint_codec.decode_since(packed, 102 * SEC, of(1), 1)
    assert [row[:7] for row in decoded.endpoints] == [row[:7] for row in lists[3].endpoints]
    assert decoded.endpoints[3].warming_until_ns == 107 * SEC
    assert endpoint_codec.decode_since(packed, 0, of(1, 2, 3), 3) is None
    with pytest.raises(DeltaMismatchError) as mismatch:
        endpoint_codec.decode_since(packed, 0, of(1, 2), 2)
    assert not mismatch.value.corrupt
    with pytest.raises(DeltaMismatchError) as mismatch:
        endpoint_codec.decode_since([*packed[:5], b"another", packed[6]], 0, of(1), 1)
    assert mismatch.value.corrupt
    # Version 1 is no longer known, so the complete list is sent.
    assert len(endpoint_codec.encode_since(lists[3], 0, of(2, 3), 1)) == 4
