"""Large frames over TCP connections: truncated, duplicated, slow and unacknowledged ones."""

import zlib

import cbor2
from proxy_fixtures import SEC
from wire_fixtures import OTHER_SENDER, SENDER, SocketlessWire, framed

from rampfront.transport.frames import MAX_FRAME_BYTES
from rampfront.transport.wire import MAX_INCOMING_CONNECTIONS


def test_truncated_doubled_and_interleaved_frames():
    """Each connection delivers one complete frame of its sender or none. Truncated frames, and data after a frame, are
    counted."""
    wire, frame = SocketlessWire(), framed({"k": "word", "b": b"x" * 2000})
    both = [wire.accept(ip) for ip in (SENDER, OTHER_SENDER)]
    for start in range(0, len(frame), 500):  # chunks of both frames alternate
        for connection in both:
            connection.data_received(frame[start : start + 500])
    assert [ip for ip, _ in wire.received] == [SENDER, OTHER_SENDER]
    both[0].data_received(frame)  # a second one on the same connection
    assert both[0].pipe.aborted and len(wire.received) == 2 and wire.counts["frames_invalid"] == 1
    truncated = wire.accept()
    truncated.data_received(frame[:-1])
    truncated.pipe.abort()
    empty = wire.accept()
    empty.pipe.abort()
    assert len(wire.received) == 2 and wire.counts["frames_truncated"] == 1 and not set(wire.incoming) - {both[1]}
    huge = wire.accept()
    huge.data_received((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
    assert huge.pipe.aborted  # before any of the frame is received
    compressed = zlib.compress(cbor2.dumps({"k": "word", "b": b"x" * 300}))
    wire.receive_frame(SENDER, compressed + compressed)
    assert wire.counts["frames_invalid"] == 3 and len(wire.received) == 2


def test_an_unacknowledged_large_frame_is_counted_as_lost():
    """Each is counted once, whether its connection ends or its deadline passes."""
    wire = SocketlessWire()
    wire.now_ns = 0
    acknowledged, broken, overdue = (wire.open(b"x" * 2000) for _ in range(3))
    acknowledged.data_received(b".")
    broken.pipe.abort()
    assert wire.counts["frames_lost"] == 1
    wire.now_ns = 5 * SEC
    wire.sweep()
    assert overdue.pipe.aborted and wire.counts["frames_lost"] == 2 and not wire.outgoing


def test_a_large_frame_arrives_in_chunks_of_any_size():
    """A connection carries one frame. It is aborted if the frame is longer than its prefix or the limit, or stalls."""
    wire = SocketlessWire()
    frame = framed({"k": "word", "b": b"x" * 5000})
    connection = wire.accept("10.0.0.2")
    for start in range(0, len(frame), 3):
        assert not wire.received
        connection.data_received(frame[start : start + 3])
    assert [(ip, len(message["b"])) for ip, message in wire.received] == [("10.0.0.2", 5000)]
    assert connection.pipe.written == b"."
    followed_by_more = wire.accept("10.0.0.2")
    followed_by_more.data_received(frame + b"x")
    assert followed_by_more.pipe.aborted and len(wire.received) == 1
    too_large = wire.accept("10.0.0.2")
    too_large.data_received((1 << 31).to_bytes(4, "big") + b"x")
    for _ in range(MAX_FRAME_BYTES // (1 << 20) + 1):
        too_large.data_received(bytes(1 << 20))
    assert too_large.pipe.aborted
    stalled = wire.accept("10.0.0.2")
    stalled.data_received(frame[:100])
    wire.wait(5)
    assert stalled.pipe.aborted
    connections = [wire.accept("10.0.0.2") for _ in range(MAX_INCOMING_CONNECTIONS + 5)]
    assert sum(connection.pipe.aborted for connection in connections) == 5 and connections[0].pipe.aborted


def test_a_receiver_gives_up_a_frame_that_stops_but_not_a_slow_one():
    """The time-out applies to the time since the last byte received."""
    wire = SocketlessWire()
    connection = wire.accept("10.0.0.2")
    frame = framed({"k": "word", "b": b"x" * 9000})
    for start in range(0, len(frame), 1000):
        connection.data_received(frame[start : start + 1000])
        wire.wait(3)
    assert [ip for ip, _ in wire.received] == ["10.0.0.2"] and not connection.pipe.aborted
    wire.wait(3)
    assert connection.pipe.aborted


def test_a_frame_without_memory_is_aborted_and_a_stalled_one_gives_way():
    wire = SocketlessWire()
    wire.memory.capacity_bytes = 30_000
    frame = framed({"k": "word", "b": bytes(range(256)) * 20})
    stalled = wire.accept()
    stalled.data_received(frame[:-1])
    refused = wire.accept()
    refused.data_received((12_001).to_bytes(4, "big"))
    assert refused.pipe.aborted and not stalled.pipe.aborted and wire.memory.used_bytes > 10_000
    wire.wait(2)
    other = wire.accept(OTHER_SENDER)
    other.data_received((9000).to_bytes(4, "big"))
    assert stalled.pipe.aborted and not other.pipe.aborted
    other.close()
    assert not wire.received and wire.memory.used_bytes == 0 and wire.counts["frames_truncated"] == 2
