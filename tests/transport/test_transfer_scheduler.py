"""The order and the time-outs of large frames, on a clock that the test advances."""

from collections import Counter

from rampfront.transport.transfer_scheduler import (
    ALLOWANCE_PER_BYTE_NS,
    CONNECT_TIMEOUT_NS,
    MAX_QUEUED_NS,
    STALL_TIMEOUT_NS,
    Transfer,
    TransferScheduler,
)


class FakeConnections:
    """Records the connections that the scheduler opens, and ends them on request."""

    def __init__(self):
        self.now_ns, self.open, self.aborted, self.counts = 0, [], [], Counter()
        self.scheduler = TransferScheduler(self.start, self.counts)

    def start(self, transfer):
        transfer.connected, transfer.abort = True, lambda: self.aborted.append(transfer)
        self.open.append(transfer)

    def offer(self, kind, data, ip="10.0.0.2"):
        self.scheduler.offer(self.now_ns, Transfer(ip, kind, data))

    def complete(self, transfer):
        self.open.remove(transfer)
        self.scheduler.finish(self.now_ns, transfer)


def test_one_frame_is_in_flight_to_a_receiver_at_a_time():
    """The frame in flight is completed, then the newest is sent; other receivers, kinds and orders do not wait."""
    connections = FakeConnections()
    for data in (b"1", b"2", b"3"):
        connections.offer("word", data)
    assert [frame.data for frame in connections.open] == [b"1"] and connections.counts["frames_replaced"] == 1
    connections.offer("full", b"f")
    connections.offer("word", b"w", "10.0.0.3")
    connections.offer("order", b"o")
    connections.offer("order", b"p")
    assert [frame.data for frame in connections.open] == [b"1", b"f", b"w", b"o", b"p"]
    connections.complete(connections.open[0])
    assert [frame.data for frame in connections.open] == [b"f", b"w", b"o", b"p", b"3"]
    connections.complete(connections.open[-1])
    for transfer in list(connections.open):
        connections.complete(transfer)
        connections.scheduler.finish(connections.now_ns, transfer)  # a repeated call has no effect
    scheduler = connections.scheduler
    assert not scheduler.in_flight and not scheduler.waiting and scheduler.bytes_in_flight == 0


def test_a_stalled_frame_gives_way_to_a_newer_one():
    """A network partition stalls the frame in flight. A newer frame then gets a new connection, and gets it sooner
    if the old connection was never established."""
    connections = FakeConnections()
    connections.offer("full", b"1" * 1000)
    first = connections.open[0]
    connections.now_ns = STALL_TIMEOUT_NS
    connections.offer("full", b"2")
    assert not connections.aborted  # the first frame may still arrive
    connections.now_ns += ALLOWANCE_PER_BYTE_NS * 1000 + 1
    connections.offer("full", b"3")
    assert connections.aborted == [first] and connections.open[-1].data == b"3"
    connections.scheduler.finish(connections.now_ns, first)
    assert connections.scheduler.in_flight["10.0.0.2", "full"].data == b"3" and not connections.scheduler.waiting
    connections.offer("full", b"4", "10.0.0.9")
    connections.open[-1].connected = False
    connections.now_ns += CONNECT_TIMEOUT_NS + 1
    connections.offer("full", b"5", "10.0.0.9")
    assert connections.open[-1].data == b"5"


def test_a_frame_that_waited_too_long_is_dropped():
    """A receiver that needs the frame has asked for it again by then."""
    connections = FakeConnections()
    connections.offer("word", b"1" * 10**6)
    connections.offer("word", b"2")
    connections.now_ns += MAX_QUEUED_NS + 1
    connections.complete(connections.open[0])
    assert not connections.open and connections.counts["frames_lost"] == 1
