"""Sends decisions to the collector, past its outages: the queue, the disk and the connection, joined.

The path of a transaction must never wait for it: `enqueue` appends one record. Encoding, writing and the disk are the
flush timer's work, the disk on a thread of its own. Messages go out in this order: what was in flight on a connection
that was lost, then the disk, then the queue.
"""

import os
from asyncio import AbstractEventLoop, Task
from collections.abc import Sequence
from functools import partial

from ..net.event_log import EventLog
from ..net.timers import TimerQueue
from .collector_connection import CollectorConnection
from .collector_connector import CollectorConnector, Draw
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
_FLUSH_INTERVAL_NS = 10 * _NS_PER_MS  # while something waits
_IDLE_INTERVAL_NS = 50 * _NS_PER_MS  # while nothing does
MESSAGES_PER_FLUSH = 128  # each holds the event loop, and so the transactions, for some 50 us
_MAX_BUFFERED_BYTES = 256 << 10  # of the connection; past it nothing more is written
# The disk is used once the queue is filled to one part in so many: sooner where the connection is away or the disk is
# in use already, as what is new must go behind it.
_STORE_QUARTER = 4
_STORE_HALF = 2


class SyslogSender:
    """Takes records of decisions and sends them as messages."""

    def __init__(
        self, loop: AbstractEventLoop, timers: TimerQueue, log: EventLog, settings: SyslogSettings, draw: Draw
    ) -> None:
        """Opens the folder of the disk buffer; `start` connects.

        Args:
            loop: the event loop.
            timers: the timers, and the clock.
            log: the event log.
            settings: where and how.
            draw: draws the delays between attempts to connect.

        Raises:
            OSError: the folder cannot be made or read.
        """
        self._timers = timers
        self._clock = timers.clock
        self._log = log
        self._udp = settings.udp
        self._origin = Origin(settings.node_name, str(os.getpid()), settings.enterprise_number)
        self._queue: SendQueue[DecisionRecord] = SendQueue(settings.max_queued_messages)
        self._frames_first: list[bytes] = []  # go before all else: from a lost connection, or from disk
        self._disk: DiskBufferThread | None = None
        if settings.buffer_folder is not None:
            self._disk = DiskBufferThread(loop, DiskBuffer(settings.buffer_folder, settings.max_buffer_bytes))
        self._sending_segment = False  # the oldest segment on disk was read, and is being sent
        self._connector = CollectorConnector(loop, timers, log, settings, draw)
        self._connector.on_opened = self._queue.connection_opened
        self._connector.on_lost = self._connection_lost

    def start(self) -> None:
        """Connects, and sends from now on."""
        self._connector.connect()
        self._timers.after(_FLUSH_INTERVAL_NS, self._flush)

    def enqueue(self, decision: Decision, *parameters: tuple[str, object]) -> None:
        """Takes a decision. On the path of a transaction: one append."""
        self._queue.offer(DecisionRecord(decision, parameters, self._clock()))

    def state(self) -> dict[str, int]:
        """The counts, and what waits where, by the names of the log's fields."""
        return {
            **self._queue.counts(),
            "queued": len(self._queue),
            "flight": self._queue.in_flight,
            "again": len(self._frames_first),
            "disk_bytes": self._disk.size_bytes if self._disk else 0,
        }

    def close(self) -> None:
        """At the end of the process: what waits goes out if it can at once, and else to the disk."""
        self._connector.stop()
        if self._disk:
            self._disk.stop()
        frames = [] if self._sending_segment else self._frames_first  # a segment is on the disk still
        messages = [frame_message(frame) for frame in frames] + self._encode(self._queue.take(len(self._queue)))
        self._frames_first = []
        connection = self._connector.connection
        if connection and not self._udp and not (self._disk and self._disk.has_segments):
            connection.write([encode_frame(message) for message in messages])
            connection.close()
        elif self._disk:
            self._store_at_exit(self._disk, messages)
            if connection:
                connection.close()
        else:
            self._queue.count_dropped(len(messages))
        self._log.record("syslog", **self.state())

    def _store_at_exit(self, disk: DiskBufferThread, messages: list[bytes]) -> None:
        """Stores what is left, before it what was in flight where the connection is gone."""
        if not self._connector.connection:
            messages = [frame_message(frame) for frame in self._queue.connection_lost()] + messages
        written = disk.append_and_close(messages)
        self._queue.count_dropped(len(messages) - written)

    # ---- sending

    def _connection_lost(self, unsent_bytes: int | None) -> None:
        """What may not have arrived goes first on the next connection."""
        delivered_bytes = None if unsent_bytes is None else self._queue.written_bytes - unsent_bytes
        self._frames_first = self._queue.connection_lost(delivered_bytes) + self._frames_first

    def _encode(self, records: Sequence[DecisionRecord]) -> list[bytes]:
        """Numbers records, and encodes their messages."""
        return [
            encode_message(decision_message(record, self._queue.next_sequence_id(), self._origin)) for record in records
        ]

    def _flush(self) -> None:
        """The timer: sends while there is a connection, and else stores what memory cannot hold much longer."""
        waits = self._queue or self._frames_first
        self._timers.after(_FLUSH_INTERVAL_NS if waits else _IDLE_INTERVAL_NS, self._flush)
        if dropped := self._queue.take_unreported_drops():
            self._log.record("syslog messages dropped", count=dropped)
        connection = self._connector.connection
        if connection is None or connection.is_closing:
            self._store_past(_STORE_QUARTER)
        elif self._udp:
            self._send_datagrams(connection)
        else:
            self._send_frames(connection)

    def _send_datagrams(self, connection: CollectorConnection) -> None:
        """Sends one flush's messages over UDP."""
        for message in self._encode(self._queue.take(MESSAGES_PER_FLUSH)):
            connection.send_datagram(message)
            self._queue.count_datagram()

    def _send_frames(self, connection: CollectorConnection) -> None:
        """Sends in order, while the connection takes it."""
        now_ns = self._clock()
        unsent_bytes = connection.unsent_bytes()
        if unsent_bytes is not None:
            self._queue.acknowledge(self._queue.written_bytes - unsent_bytes, now_ns)
        if connection.buffered_bytes > _MAX_BUFFERED_BYTES or self._queue.in_flight > self._queue.capacity:
            self._store_past(_STORE_HALF)  # a collector that reads slowly is as good as away
            return
        # Guards against a replay that takes longer than memory lasts, and against decisions that come faster than a
        # flush sends: what is new goes behind what is on disk.
        in_use = self._disk is not None and self._disk.has_segments
        self._store_past(_STORE_QUARTER if in_use else _STORE_HALF)
        frames = self._next_frames()
        if frames:
            connection.write(frames)
            self._queue.frames_sent(frames)

    def _next_frames(self) -> list[bytes]:
        """What is sent next; nothing while the disk must be waited for."""
        disk = self._disk
        if self._frames_first:
            frames = self._frames_first[:MESSAGES_PER_FLUSH]
            self._frames_first = self._frames_first[MESSAGES_PER_FLUSH:]
            return frames
        if disk and disk.busy:
            return []
        if disk and self._sending_segment:
            self._drop_sent_segment(disk)
            return []
        if disk and disk.has_segments:
            disk.start_read(self._segment_read)
            return []
        return [encode_frame(message) for message in self._encode(self._queue.take(MESSAGES_PER_FLUSH))]

    # ---- the disk

    def _store_past(self, divisor: int) -> None:
        """Stores a quarter of the queue's capacity if more than one part in `divisor` of it is filled.

        Nothing is stored without a disk, or while the disk is busy.
        """
        if self._disk is None or self._disk.busy or len(self._queue) <= self._queue.capacity // divisor:
            return
        messages = self._encode(self._queue.take(self._queue.capacity // 4))
        self._disk.start_append(messages, partial(self._stored, len(messages)))

    def _stored(self, messages: int, task: Task[int]) -> None:
        """Messages were written, as many as fit."""
        written = 0 if task.cancelled() or task.exception() else task.result()
        self._queue.count_stored(written)
        if written < messages:
            self._queue.count_dropped(messages - written)

    def _segment_read(self, task: Task[list[bytes]]) -> None:
        """The oldest segment was read: it goes before all else."""
        if task.cancelled() or task.exception():
            self._log.record_limited("syslog spill", "cannot be read", trouble=repr(task.exception()))
            return
        frames = [encode_frame(message) for message in task.result()]
        self._frames_first += frames
        self._queue.count_replayed(len(frames))
        self._sending_segment = True
        if self._disk and (damaged := self._disk.take_damaged_records()):
            self._log.record("syslog spill damaged", records=damaged)

    def _drop_sent_segment(self, disk: DiskBufferThread) -> None:
        """The segment leaves the disk only once the other machine has all of it."""
        if self._queue.in_flight:
            return
        self._sending_segment = False
        disk.drop_oldest_segment()
