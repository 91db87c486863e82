"""A proxy's exchange with the counter, off the request path (RFC 0015, "Flush path" and "Sync path").

At most one update is in flight. It is resent unchanged until it is answered; its sequence number makes it idempotent,
so an update that timed out but arrived counts once. A counter that is new to the proxy, or has restarted (its
incarnation shows that), is sent the full counts of both windows and asked for the totals of all tenants in use.
"""

from random import Random

from ..state import Window
from ..terms import slotted
from .codec import MAX_VALUE, WireMap, decode_totals, encode_update
from .counter_clock import CounterClock
from .limits import MS, SEC
from .messages import CounterTotals, CounterUpdate
from .tenant_table import TenantTable
from .update_schedule import MAX_TICK_NS, NEVER, TICK_NS, UpdateSchedule

IDLE_AFTER_NS = 2 * SEC  # without a request for this time, the proxy reports that it is idle
IDLE_INTERVAL_NS = 5 * SEC // 4  # interval of updates while idle
STOP_SENDING_AFTER_NS = 15 * SEC  # without a request for this time, the proxy sends no more updates
FIRST_READING_NS = 50 * MS  # maximum delay of the request for a first reading
OVERDUE_NS = 100 * MS  # after this time an answer is overdue
COUNTER_TIMEOUT_NS = 200 * MS  # after this time without an answer the counter is silent
STALE_NS = 2 * SEC  # after this time without any message the counter is silent
MAX_FIRST_SEQUENCE = (1 << 15) - 1  # limit of the first sequence number, so that it takes three bytes on the wire


@slotted
class PendingUpdate:
    """The update in flight."""

    sequence: int
    wire_map: WireMap
    windows: list[Window]  # the windows whose increase it reports
    first_sent_at: int
    sent_at: int
    wants_all: bool
    attempts: int = 1


class CounterLink:
    """One proxy's exchange with the counter."""

    def __init__(self, table: TenantTable, clock: CounterClock, random: Random, now: int) -> None:
        """`table` holds the counts to report and update. `random` is used for the incarnation and the schedule."""
        self.table = table
        self.clock = clock
        self.random = random
        self.incarnation = random.randrange(1, 1 << 24)
        # Of the last update. It starts at another number in each incarnation, so that late answers to the former one
        # are ignored.
        self.sequence = self.incarnation & MAX_FIRST_SEQUENCE
        self.started_at = now
        self.used_at = now  # when the last request arrived
        self.counter_incarnation: int | None = None  # of the counter that answered last
        self.last_contact_at = -NEVER  # when the counter was last heard from
        self.pending: PendingUpdate | None = None
        self.sends_full = False  # the next update has full counts
        self.wants_all = True  # the next update requests the totals of all tenants in use
        self.schedule = UpdateSchedule(random, now + int(random.random() * FIRST_READING_NS))

    # ---- state of the counter

    def is_silent(self, now: int) -> bool:
        """Whether the counter does not answer the update in flight, or has sent nothing for a long time.

        It is also silent if there is none, so that a due update could not be sent.
        """
        if self.counter_incarnation is None or now - self.schedule.next_at > COUNTER_TIMEOUT_NS:
            return True
        if self.pending:
            return now - max(self.pending.first_sent_at, self.last_contact_at) > COUNTER_TIMEOUT_NS
        return now - self.last_contact_at > STALE_NS

    def answer_is_overdue(self, now: int) -> bool:
        """Whether an answer to the update in flight is late; this is True earlier than `is_silent`."""
        pending = self.pending
        return pending is not None and now - max(pending.first_sent_at, self.last_contact_at) > OVERDUE_NS

    @property
    def attempts(self) -> int:
        """How often the update in flight was sent; 0: none is in flight."""
        return self.pending.attempts if self.pending else 0

    # ---- sending

    def request_reading(self, now: int) -> None:
        """Schedules an update that requests a first reading."""
        self.schedule.flush_by(now + FIRST_READING_NS)

    def update_by(self, at: int) -> None:
        """Schedules an update no later than `at`."""
        self.schedule.flush_by(at)

    def note_request(self, now: int) -> None:
        """Records a request of a tenant with a quota; updates continue, or start again."""
        self.used_at = now
        if self.schedule.tick_at > now + MAX_TICK_NS:
            self.schedule.tick_after(now, TICK_NS)

    def tenants_changed(self, now: int, has_new: bool) -> None:
        """Handles a new configuration. `has_new`: some of its tenants have no known totals."""
        if has_new:
            self.wants_all = True
        if self.wants_all:
            self.schedule.flush_by(now + int(self.random.random() * FIRST_READING_NS))

    def due_update(self, now: int) -> WireMap | None:
        """Returns the update that is due now, or None."""
        if now < self.schedule.next_at:
            return None
        if self.pending:
            self.pending.sent_at = now
            self.pending.attempts += 1
            self.schedule.sent_again(now, self.pending.attempts)
            return self.pending.wire_map
        return self.compose_update(now)

    def compose_update(self, now: int) -> WireMap:
        """Makes the next update, which is in flight from now on."""
        unused_ns = now - self.used_at
        idle = unused_ns > IDLE_AFTER_NS
        report = self.table.report(now, self.sends_full)
        self.sequence += 1
        history_ms = min(MAX_VALUE, max(1, (now - self.started_at) // MS)) if self.sends_full else 0
        update = CounterUpdate(
            self.incarnation, self.sequence, report.rows, self.counter_incarnation, history_ms, self.wants_all, idle
        )
        wire_map = encode_update(update)
        self.pending = PendingUpdate(self.sequence, wire_map, report.windows, now, now, self.wants_all)
        self.sends_full = self.sends_full and report.more
        self.wants_all = False
        # The counter must stay in contact for a while after the last request. Otherwise the proxy could not tell at the
        # next request whether it is isolated.
        interval_ns = None if unused_ns > STOP_SENDING_AFTER_NS else IDLE_INTERVAL_NS if idle else TICK_NS
        self.schedule.sent_new(now, now if report.more else NEVER, interval_ns)
        return wire_map

    def switch_counter(self, now: int) -> None:
        """Switches to another counter, which is sent full counts."""
        self.counter_incarnation = None
        self.clock.reset_round_trip()
        self._send_full(now)

    def _send_full(self, now: int) -> None:
        """Schedules full counts for a counter that knows none of this proxy's counts."""
        self.table.forget_acknowledged(now)
        self.pending = None
        self.sends_full = True
        self.wants_all = True
        self.schedule.end_retry()
        self.schedule.flush_by(now + int(self.random.random() * FIRST_READING_NS / 2))

    # ---- receiving

    def receive(self, now: int, wire_map: object) -> None:
        """Handles the counter's answer or announcement. Raises `codec.InvalidMessageError`."""
        totals = decode_totals(wire_map)
        pending = self.pending if self.pending and self.pending.sequence == totals.sequence else None
        if totals.counter_incarnation != self.counter_incarnation and (pending is None or totals.unsolicited):
            return  # from a counter that this proxy has left
        self.last_contact_at = now
        if pending and not totals.unsolicited and self._counter_restarted(now, totals, pending):
            self._send_full(now)
            return
        if pending:
            self._end_update(now, pending, totals.lists_all)
        self.table.read(totals.rows, now, acknowledges=self.pending is None)
        for window in pending.windows if pending else ():
            if window.in_flight is not None:  # the totals do not include this window, as it has ended
                window.acknowledged += window.in_flight
                window.in_flight = None

    def _counter_restarted(self, now: int, totals: CounterTotals, pending: PendingUpdate) -> bool:
        """Updates the counter's time and incarnation from an answer; returns whether it has lost all counts."""
        known = self.counter_incarnation
        counter_time = totals.counter_time_ms * MS
        repeated = pending.attempts > 1
        if totals.counter_incarnation == known:
            self.clock.learn(now, counter_time, pending.sent_at, repeated)
            return False
        self.counter_incarnation = totals.counter_incarnation
        self.table.renumber(self.clock.adopt(now, counter_time, pending.sent_at, repeated))
        return known is not None

    def _end_update(self, now: int, pending: PendingUpdate, lists_all: bool) -> None:
        """Completes the update in flight. `lists_all`: the answer has the totals of all tenants in use."""
        self.pending = None
        if pending.wants_all and not lists_all:
            self.wants_all = True
        self.schedule.end_retry()
        if pending.wants_all and lists_all:
            self.table.read_unused(now)
