"""The send queue: dropped items are counted, and frames that may be lost are kept."""

from rampfront.syslog.send_queue import SendQueue


def test_the_queue_counts_drops_and_keeps_frames_that_may_be_lost():
    queue = SendQueue(2)
    assert [queue.offer(item) for item in range(3)] == [True, True, False]
    assert queue.take_unreported_drops() == 1 and queue.take_unreported_drops() == 0
    queue.connection_opened()
    queue.frames_sent([b"12345", b"678"])
    queue.acknowledge(5, 10)
    assert queue.connection_lost(5) == [b"678"] and not queue.in_flight  # a clean close
    queue.connection_opened()
    queue.frames_sent([b"12345", b"678"])
    queue.acknowledge(8, 10)
    assert queue.connection_lost() == [b"12345", b"678"]  # a reset may lose bytes acknowledged a moment ago
