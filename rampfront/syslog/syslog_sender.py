"""Sends decisions to the collector and buffers them during its outages, in memory and on disk.

The request path must never wait for the sender: `enqueue` appends one record. The flush timer encodes and writes
messages, and starts the disk I/O, which runs on its own thread. Messages are sent in this order: frames that were in
flight on a lost connection, then messages on disk, then the queue.
"""

import os
from asyncio import AbstractEventLoop, Task
from collections.abc import Sequence
from functools import partial

from ..net.event_log import EventLog
from ..net.timers import TimerQueue
from .collector_connection import CollectorConnection
from .collector_connector import CollectorConnector, RandomUniform
from .decision_messages import (
    Decision,
    DecisionRecord,
    Origin,
    decision_message,
)
from .disk_buffer import DiskBuffer
from .disk_buffer_thread import DiskBufferThread
from .message_encoder import encode_message
from .octet_counting import encode_frame, frame_message
from .send_queue import SendQueue
from .syslog_settings import SyslogSettings

_NS_PER_MS = 10**6
_FLUSH_INTERVAL_NS = 10 * _NS_PER_MS  # while messages are pending
_IDLE_INTERVAL_NS = 50 * _NS_PER_MS  # while none are
MESSAGES_PER_FLUSH = 128  # each message blocks the event loop, and thus the transactions, for some 50 us
_MAX_BUFFERED_BYTES = 256 << 10  # of the connection; nothing is written while more are buffered
# Messages are spilled to disk once the queue holds more than its capacity divided by the divisor. The early divisor
# applies while there is no connection, or messages are on disk already and newer ones must be sent after them.
_EARLY_SPILL_DIVISOR = 4
_SPILL_DIVISOR = 2


class SyslogSender:
    """Queues records of decisions and sends them as messages."""

    def __init__(
        self,
        loop: AbstractEventLoop,
        timers: TimerQueue,
        log: EventLog,
        settings: SyslogSettings,
        random_uniform: RandomUniform,
    ) -> None:
        """Opens the folder of the disk buffer, without connecting.

        Args:
            loop: the event loop.
            timers: the timers, and the clock.
            log: the event log.
            settings: the collector, the disk buffer and the limits.
            random_uniform: draws the delays between attempts to connect.

        Raises:
            OSError: the folder cannot be created or read.
        """
        self._timers = timers
        self._clock = timers.clock
        self._log = log
        self._udp = settings.udp
        self._origin = Origin(settings.node_name, str(os.getpid()), settings.enterprise_number)
        self._queue: SendQueue[DecisionRecord] = SendQueue(settings.max_queued_messages)
        self._priority_frames: list[bytes] = []  # sent before all else; from a lost connection or from disk
        self._disk: DiskBufferThread | None = None
        if settings.buffer_folder is not None:
            self._disk = DiskBufferThread(loop, DiskBuffer(settings.buffer_folder, settings.max_buffer_bytes))
        self._sending_segment = False  # the oldest segment on disk has been read and is being sent
        self._connector = CollectorConnector(loop, timers, log, settings, random_uniform)
        self._connector.on_opened = self._queue.connection_opened
        self._connector.on_lost = self._connection_lost

    def start(self) -> None:
        """Connects to the collector and starts the flush timer."""
        self._connector.connect()
        self._timers.after(_FLUSH_INTERVAL_NS, self._flush)

    def enqueue(self, decision: Decision, *parameters: tuple[str, object]) -> None:
        """Queues a decision. The request path calls it, so it only appends a record."""
        self._queue.offer(DecisionRecord(decision, parameters, self._clock()))

    def state(self) -> dict[str, int]:
        """Returns the message counts and the sizes of queue and disk buffer, by the names of the log's fields."""
        return {
            **self._queue.counts(),
            "queued": len(self._queue),
            "flight": self._queue.in_flight,
            "again": len(self._priority_frames),
            "disk_bytes": self._disk.size_bytes if self._disk else 0,
        }

    def close(self) -> None:
        """Sends the pending messages when the process ends, or stores them on disk if they cannot be sent at once."""
        self._connector.stop()
        if self._disk:
            self._disk.stop()
        frames = [] if self._sending_segment else self._priority_frames  # a segment being sent is still on disk
        messages = [frame_message(frame) for frame in frames] + self._encode(self._queue.take(len(self._queue)))
        self._priority_frames = []
        connection = self._connector.connection
        if connection and not self._udp and not (self._disk and self._disk.has_segments):
            connection.write([encode_frame(message) for message in messages])
            connection.close()
        elif self._disk:
            self._spill_at_exit(self._disk, messages)
            if connection:
                connection.close()
        else:
            self._queue.count_dropped(len(messages))
        self._log.record("syslog", **self.state())

    def _spill_at_exit(self, disk: DiskBufferThread, messages: list[bytes]) -> None:
        """Stores the remaining messages, preceded by the frames in flight if the connection is lost."""
        if not self._connector.connection:
            messages = [frame_message(frame) for frame in self._queue.connection_lost()] + messages
        written = disk.append_and_close(messages)
        self._queue.count_dropped(len(messages) - written)

    # ---- sending

    def _connection_lost(self, unsent_bytes: int | None) -> None:
        """Schedules frames that may be lost to be sent first on the next connection."""
        delivered_bytes = None if unsent_bytes is None else self._queue.written_bytes - unsent_bytes
        self._priority_frames = self._queue.connection_lost(delivered_bytes) + self._priority_frames

    def _encode(self, records: Sequence[DecisionRecord]) -> list[bytes]:
        """Assigns sequenceIds to records and encodes their messages."""
        return [
            encode_message(decision_message(record, self._queue.next_sequence_id(), self._origin)) for record in records
        ]

    def _flush(self) -> None:
        """Called by the timer: sends messages while connected, and otherwise spills them to disk as the queue fills."""
        has_pending = self._queue or self._priority_frames
        self._timers.after(_FLUSH_INTERVAL_NS if has_pending else _IDLE_INTERVAL_NS, self._flush)
        if dropped := self._queue.take_unreported_drops():
            self._log.record("syslog messages dropped", count=dropped)
        connection = self._connector.connection
        if connection is None or connection.is_closing:
            self._spill_if_filled(_EARLY_SPILL_DIVISOR)
        elif self._udp:
            self._send_datagrams(connection)
        else:
            self._send_frames(connection)

    def _send_datagrams(self, connection: CollectorConnection) -> None:
        """Sends up to `MESSAGES_PER_FLUSH` messages over UDP."""
        for message in self._encode(self._queue.take(MESSAGES_PER_FLUSH)):
            connection.send_datagram(message)
            self._queue.count_datagram()

    def _send_frames(self, connection: CollectorConnection) -> None:
        """Sends frames in order while the connection accepts them."""
        now_ns = self._clock()
        unsent_bytes = connection.unsent_bytes()
        if unsent_bytes is not None:
            self._queue.acknowledge(self._queue.written_bytes - unsent_bytes, now_ns)
        if connection.buffered_bytes > _MAX_BUFFERED_BYTES or self._queue.in_flight > self._queue.capacity:
            self._spill_if_filled(_SPILL_DIVISOR)  # a slow collector is handled like an outage
            return
        # The queue may fill before a replay from disk ends, or when decisions are queued faster than flushes send them.
        # New messages are then spilled, to be sent after those already on disk.
        disk_in_use = self._disk is not None and self._disk.has_segments
        self._spill_if_filled(_EARLY_SPILL_DIVISOR if disk_in_use else _SPILL_DIVISOR)
        frames = self._next_frames()
        if frames:
            connection.write(frames)
            self._queue.frames_sent(frames)

    def _next_frames(self) -> list[bytes]:
        """Returns the frames to send next; none while waiting for the disk."""
        disk = self._disk
        if self._priority_frames:
            frames = self._priority_frames[:MESSAGES_PER_FLUSH]
            self._priority_frames = self._priority_frames[MESSAGES_PER_FLUSH:]
            return frames
        if disk and disk.busy:
            return []
        if disk and self._sending_segment:
            self._drop_sent_segment(disk)
            return []
        if disk and disk.has_segments:
            disk.start_read(self._read_finished)
            return []
        return [encode_frame(message) for message in self._encode(self._queue.take(MESSAGES_PER_FLUSH))]

    # ---- the disk

    def _spill_if_filled(self, divisor: int) -> None:
        """Stores a quarter of the queue's capacity if the queue holds more than `capacity // divisor` records.

        Does nothing without a disk buffer, or while it is busy.
        """
        if self._disk is None or self._disk.busy or len(self._queue) <= self._queue.capacity // divisor:
            return
        messages = self._encode(self._queue.take(self._queue.capacity // 4))
        self._disk.start_append(messages, partial(self._append_finished, len(messages)))

    def _append_finished(self, messages: int, task: Task[int]) -> None:
        """Counts the messages of a finished write to disk; those that did not fit are dropped."""
        written = 0 if task.cancelled() or task.exception() else task.result()
        self._queue.count_spilled(written)
        if written < messages:
            self._queue.count_dropped(messages - written)

    def _read_finished(self, task: Task[list[bytes]]) -> None:
        """Schedules the messages of the oldest segment to be sent before all others."""
        if task.cancelled() or task.exception():
            self._log.record_limited("syslog spill", "cannot be read", trouble=repr(task.exception()))
            return
        frames = [encode_frame(message) for message in task.result()]
        self._priority_frames += frames
        self._queue.count_replayed(len(frames))
        self._sending_segment = True
        if self._disk and (damaged := self._disk.take_damaged_records()):
            self._log.record("syslog spill damaged", records=damaged)

    def _drop_sent_segment(self, disk: DiskBufferThread) -> None:
        """Removes the segment that was sent, once all its frames count as delivered."""
        if self._queue.in_flight:
            return
        self._sending_segment = False
        disk.drop_oldest_segment()
