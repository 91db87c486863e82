"""The history of confirmed configuration numbers, and its deltas."""

import zlib

import cbor2
import pytest

from rampfront.consensus import version_history as v
from rampfront.consensus.errors import RemoteProtocolError
from rampfront.consensus.identifiers import NO_POSITION, LogPosition
from rampfront.consensus.state import digest


def test_the_history_is_bounded() -> None:
    history = v.VersionHistory()
    for number in range(2, 2 * v.MAX_VERSIONS + 2, 2):
        history = history.with_version(number, bytes(8))
    assert history.with_version(1, bytes(8)) is history and history.with_version(4, b"another.") is history
    fuller = history.with_version(5, bytes(8))
    assert fuller.digest_of(2) is None and fuller.digest_of(5) == bytes(8) and len(fuller.rows) == v.MAX_VERSIONS
    assert (
        fuller.conflicts_with(4, b"another.")
        and not fuller.conflicts_with(4, bytes(8))
        and not fuller.conflicts_with(3, bytes(8))
    )
    assert v.decode_history(fuller.encode()).rows == fuller.rows


def test_a_delta_has_the_new_rows_alone_and_comes_out_alike() -> None:
    old = v.VersionHistory()
    for number in range(1, v.MAX_VERSIONS + 1):
        old = old.with_version(number, bytes(8))
    new = old.with_version(900, bytes(8)).with_version(901, bytes(8))
    encoded = cbor2.loads(cbor2.dumps(new.delta_from(old, LogPosition(3, 7)).encode()))
    assert len(encoded[1]) == 2 * v.ROW.size
    assert v.apply_delta(encoded, {(3, 7): old}).rows == new.rows
    assert v.apply_delta(encoded, {(3, 6): old}) is None  # the base is missing
    assert v.apply_delta(encoded, {(3, 7): v.VersionHistory()}) is None  # the result does not match the checksum
    assert v.apply_delta(new.delta_from(v.VersionHistory(), NO_POSITION).encode(), {}).rows == new.rows


ROW = v.ROW.pack(5, bytes(8))


@pytest.mark.parametrize(
    "odd",
    [
        None,
        [],
        [[0, 0], b"", b"", 1],
        [0, b"", b""],
        [["0", 0], b"", b""],
        [[0, 0, 0], b"", b""],
        [[0, 0], "", b""],
        [[0, 0], ROW[1:], b""],
        [[0, 0], ROW + ROW, b""],
        [[0, 0], v.ROW.pack(6, bytes(8)) + ROW, b""],
        [[0, 0], v.ROW.pack(0, bytes(8)), b""],
        [[0, 0], v.ROW.pack(1 << 53, bytes(8)), b""],
        [[0, 0], bytes(v.ROW.size * (v.MAX_VERSIONS + 1)), b""],
    ],
)
def test_invalid_version_deltas_are_refused(odd: object) -> None:
    with pytest.raises(RemoteProtocolError):
        v.apply_delta(odd, {})


def test_contents_that_are_no_json_differ_by_their_bytes() -> None:
    deep = zlib.compress(b"[" * 100_000)
    for body in (b"", b"x", zlib.compress(b"{"), zlib.compress(b"\xff"), deep, zlib.compress(b"{}")[:-1]):
        assert v.content_digest(body) == digest(body)
    assert v.content_digest(zlib.compress(b'{"b":1, "a":2}')) == v.content_digest(zlib.compress(b'{"a":2,"b":1}'))
