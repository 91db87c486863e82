"""Frames as datagrams: compression, and the handling of invalid frames."""

import zlib
from types import SimpleNamespace

import cbor2
import pytest
from wire_fixtures import SENDER, SocketlessWire

from rampfront.transport.frames import MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, ZLIB_HEADER


@pytest.mark.parametrize(
    "data",
    (
        b"",
        b"\xff",
        b"\x81" * 5000,
        cbor2.dumps([1]),
        cbor2.dumps({"k": 5}),
        cbor2.dumps({}),
        cbor2.dumps({"k": "word"})[:-1],
        cbor2.dumps({"k": "x"}) + b"\x1c"[:0] + b"",
    ),
)
def test_invalid_frames_are_dropped_and_counted(data):
    """A frame that cannot be decoded is counted and does not reach the handler; so is one that the handler rejects."""

    def on_frame(ip, message):
        raise KeyError("n")

    wire = SocketlessWire(on_frame)
    wire.receive_frame(SENDER, data)
    assert wire.counts["frames_invalid"] == 1


@pytest.mark.parametrize("error", [OverflowError, ZeroDivisionError, zlib.error, KeyError, UnicodeError])
def test_errors_of_a_handler_end_at_the_wire(error):
    def on_frame(ip, message):
        raise error("of a field")

    wire = SocketlessWire(on_frame)
    wire.receive_frame(SENDER, cbor2.dumps({"k": "word"}))
    assert wire.counts["frames_invalid"] == 1


def test_membership_lists_are_compressed_to_fit_a_datagram():
    """A list of 100 nodes fits. A frame that expands beyond the limit, or is truncated, is dropped and counted."""
    wire, sent = SocketlessWire(), []
    wire.datagram_transport = SimpleNamespace(sendto=lambda data, to: sent.append(data))
    message = {
        "k": "word",
        "O": [[f"front-a-hall-{k}", f"10.1.0.{k}", "a-hall", f"10.1.0.{k}:8388", True] for k in range(100)],
    }
    wire.send("10.0.0.2", message)
    wire.send("10.0.0.2", {"k": "hail"})
    assert len(sent) == 2 and len(cbor2.dumps(message)) > 3 * MAX_DATAGRAM_BYTES
    for data in sent:
        wire.receive_frame("10.0.0.9", data)
    assert wire.received == [("10.0.0.9", message), ("10.0.0.9", {"k": "hail"})]
    for data in (sent[0][:-9], zlib.compress(bytes(MAX_FRAME_BYTES + 1)), ZLIB_HEADER + b"x"):
        wire.receive_frame("10.0.0.9", data)
    assert wire.counts["frames_invalid"] == 3 and len(wire.received) == 2
