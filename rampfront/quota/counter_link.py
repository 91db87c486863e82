"""A proxy's exchange with the counter, off the request path (RFC 0015, "Flush path" and "Sync path").

At most one update is under way. It is sent again unchanged until it is answered, and has a sequence number, so one that
timed out and landed nevertheless counts once. A counter that is new to the proxy, or started again, which its
incarnation shows, is sent full counts of both windows and asked for the totals of all that is in use.
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

IDLE_AFTER_NS = 2 * SEC  # without a request for so long the proxy says that it is idle,
IDLE_INTERVAL_NS = 5 * SEC // 4  # sends that seldom,
STOP_SENDING_AFTER_NS = 15 * SEC  # and after so long no more
FIRST_READING_NS = 50 * MS  # a first reading is asked for within so long
OVERDUE_NS = 100 * MS  # an answer is overdue
COUNTER_TIMEOUT_NS = 200 * MS  # without an answer for so long the counter is taken to be silent,
STALE_NS = 2 * SEC  # or with nothing heard from it for so long
MAX_FIRST_SEQUENCE = (1 << 15) - 1  # updates are numbered from somewhere up to here on: three bytes on the wire


@slotted
class PendingUpdate:
    """The update under way."""

    sequence: int
    wire_map: WireMap
    windows: list[Window]  # whose growth it reports
    first_sent_at: int
    sent_at: int
    wants_all: bool
    attempts: int = 1


class CounterLink:
    """One proxy's exchange with the counter."""

    def __init__(self, table: TenantTable, clock: CounterClock, random: Random, now: int) -> None:
        """`table`: what is reported and read. `random` draws the incarnation and the schedule."""
        self.table = table
        self.clock = clock
        self.random = random
        self.incarnation = random.randrange(1, 1 << 24)
        # Of the last update. It begins elsewhere in each incarnation: guards against a late answer to the former one.
        self.sequence = self.incarnation & MAX_FIRST_SEQUENCE
        self.started_at = now
        self.used_at = now  # when a request came last
        self.counter_incarnation: int | None = None  # of the counter that answered last
        self.last_contact_at = -NEVER  # when it was heard last
        self.pending: PendingUpdate | None = None
        self.sends_full = False  # the next update has full counts,
        self.wants_all = True  # and asks for all that is in use
        self.schedule = UpdateSchedule(random, now + int(random.random() * FIRST_READING_NS))

    # ---- is the counter there

    def is_silent(self, now: int) -> bool:
        """Whether the counter is silent: no answer to what is under way, or nothing heard for long. Or there is none:
        what was due could not be sent."""
        if self.counter_incarnation is None or now - self.schedule.next_at > COUNTER_TIMEOUT_NS:
            return True
        if self.pending:
            return now - max(self.pending.first_sent_at, self.last_contact_at) > COUNTER_TIMEOUT_NS
        return now - self.last_contact_at > STALE_NS

    def answer_is_overdue(self, now: int) -> bool:
        """Whether the update under way should have been answered, ahead of `is_silent`."""
        pending = self.pending
        return pending is not None and now - max(pending.first_sent_at, self.last_contact_at) > OVERDUE_NS

    @property
    def attempts(self) -> int:
        """How often the update under way was sent; 0: none is."""
        return self.pending.attempts if self.pending else 0

    # ---- what is sent

    def request_reading(self, now: int) -> None:
        """Asks for a first reading."""
        self.schedule.flush_by(now + FIRST_READING_NS)

    def update_by(self, at: int) -> None:
        """An update goes out by then."""
        self.schedule.flush_by(at)

    def note_request(self, now: int) -> None:
        """A request of a tenant with a quota came: updates go on, or begin again."""
        self.used_at = now
        if self.schedule.tick_at > now + MAX_TICK_NS:
            self.schedule.tick_after(now, TICK_NS)

    def tenants_changed(self, now: int, has_new: bool) -> None:
        """A configuration came. `has_new`: there are tenants whose totals are not known."""
        if has_new:
            self.wants_all = True
        if self.wants_all:
            self.schedule.flush_by(now + int(self.random.random() * FIRST_READING_NS))

    def due_update(self, now: int) -> WireMap | None:
        """The update to the counter that is due now, or None."""
        if now < self.schedule.next_at:
            return None
        if self.pending:
            self.pending.sent_at = now
            self.pending.attempts += 1
            self.schedule.sent_again(now, self.pending.attempts)
            return self.pending.wire_map
        return self.compose_update(now)

    def compose_update(self, now: int) -> WireMap:
        """The next update, which is under way from now on."""
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
        # Guards against a proxy whose next request comes after a while, and that cannot tell then if it is cut off.
        interval_ns = None if unused_ns > STOP_SENDING_AFTER_NS else IDLE_INTERVAL_NS if idle else TICK_NS
        self.schedule.sent_new(now, now if report.more else NEVER, interval_ns)
        return wire_map

    def switch_counter(self, now: int) -> None:
        """Another counter: full counts are sent to it."""
        self.counter_incarnation = None
        self.clock.reset_round_trip()
        self._send_full(now)

    def _send_full(self, now: int) -> None:
        """The counter knows nothing of this proxy's counts."""
        self.table.forget_acknowledged(now)
        self.pending = None
        self.sends_full = True
        self.wants_all = True
        self.schedule.end_retry()
        self.schedule.flush_by(now + int(self.random.random() * FIRST_READING_NS / 2))

    # ---- what is received

    def receive(self, now: int, wire_map: object) -> None:
        """Takes in the counter's answer, or what it announces. Raises `codec.InvalidMessageError`."""
        totals = decode_totals(wire_map)
        pending = self.pending if self.pending and self.pending.sequence == totals.sequence else None
        if totals.counter_incarnation != self.counter_incarnation and (pending is None or totals.unsolicited):
            return  # of a counter that was left
        self.last_contact_at = now
        if pending and not totals.unsolicited and self._counter_restarted(now, totals, pending):
            self._send_full(now)
            return
        if pending:
            self._end_update(now, pending, totals.lists_all)
        self.table.read(totals.rows, now, acknowledges=self.pending is None)
        for window in pending.windows if pending else ():
            if window.flying is not None:  # its total did not come: it is a window that ended
                window.sent += window.flying
                window.flying = None

    def _counter_restarted(self, now: int, totals: CounterTotals, pending: PendingUpdate) -> bool:
        """Learns the counter's time and incarnation from an answer; returns whether it has forgotten all counts."""
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
        """The update under way was answered. `lists_all`: with all that is in use."""
        self.pending = None
        if pending.wants_all and not lists_all:
            self.wants_all = True
        self.schedule.end_retry()
        if pending.wants_all and lists_all:
            self.table.read_unused(now)
