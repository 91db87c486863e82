"""The exchange of tenants' counts between proxies and the counter, with its two timers.

Every node is a proxy, whose `Limiter` counts the requests it admits, and possibly the counter, whose `QuotaCounter`
adds up the counts of all proxies. `quota/` decides what is sent and when; this module sends it, and sets the timers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..net.latency_histogram import LatencyHistogram
from .quota_frames import MESSAGE, quota_add, quota_sum

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..membership.dissemination import Disseminator
    from ..proxy.request_proxy import RequestProxy
    from ..quota.codec import WireMap
    from ..quota.counter import QuotaCounter
    from ..quota.counter_placement import CounterPlacement
    from ..quota.limiter import Limiter
    from ..quota.limits import QuotaSettings
    from ..transport.frames import Message
    from .context import NodeContext

MS = 10**6
NEVER = 1 << 61  # ns; later than any due time
NOT_SET = 0  # due time of a timer that is not set


class QuotaExchange:
    """Sends the messages of limiter, counter and placement, and passes received messages to them."""

    def __init__(
        self,
        context: NodeContext,
        disseminator: Disseminator,
        limiter: Limiter,
        counter: QuotaCounter,
        placement: CounterPlacement,
    ) -> None:
        """`limiter` counts for this node, `counter` for all; `placement` selects the counter that gets the counts."""
        self._clock = context.clock
        self._scheduler = context.scheduler
        self._wire = context.wire
        self._disseminator = disseminator
        self._leadership = disseminator.leadership
        self._snapshots = context.snapshots
        self._request_proxy: RequestProxy
        self._flush_due = NOT_SET
        self._announcement_due = NOT_SET
        self.limiter = limiter
        self.counter = counter
        self.placement = placement
        self.round_trips = LatencyHistogram()  # from the first sending of counts to their answer

    def attach(self, request_proxy: RequestProxy) -> None:
        """Set the proxy, which calls `schedule_flush` and is therefore built after this."""
        self._request_proxy = request_proxy

    # ---- changes of configuration and fleet

    def apply_limits(self, tenants: Mapping[str, QuotaSettings]) -> None:
        """Apply the tenants' quotas of a configuration."""
        self.counter.set_quotas(tenants, self._clock())
        self.schedule_flush()

    def update_proxy_count(self, count: int) -> None:
        """Apply the number of serving proxies to the proxy's share and to the counter."""
        self._request_proxy.apply_proxy_count(count)
        self.counter.set_proxy_count(count)
        self.update_placement()

    def update_placement(self) -> None:
        """Select the counter again, after a change of the core's members or of the serving nodes."""
        state = self._snapshots.state
        members = [ip for ip, _ in state.members.values()] if state else []
        serving = {entry.ip for entry in self._disseminator.roster if entry.ready}
        self._send_adds(self.placement.rank(self._clock(), members, serving))
        self.schedule_flush()

    def tick(self, now: int) -> None:
        """Check whether the counter still answers; to be called about ten times a second."""
        self._send_adds(self.placement.tick(now))
        self.schedule_flush()

    # ---- frames

    def on_add(self, ip: str, frame: Message, now: int) -> None:
        """Add a proxy's counts, and answer with the totals.

        A node that has just started knows no tenants, or those of an old record. It does not answer, because its totals
        would make every tenant appear idle.
        """
        if self._request_proxy.configuration is None or self._leadership.confirmed_at_ns is None:
            return
        answer = self.counter.receive(now, ip, frame[MESSAGE])
        if answer is not None:
            self._wire.send(ip, quota_sum(answer))
        self._send_announcements()

    def on_sum(self, ip: str, frame: Message, now: int) -> None:
        """Handle a counter's totals."""
        pending = self.limiter.link.pending
        outgoing = self.placement.receive(now, ip, frame[MESSAGE])
        if outgoing:
            self._send_adds(outgoing)
        if pending and self.limiter.link.pending is not pending:
            self.round_trips.record(now - pending.first_sent_at)
        self.schedule_flush()  # counts that became due meanwhile need not wait for the retransmission timer

    def _send_adds(self, messages: Iterable[tuple[str, WireMap]]) -> None:
        for ip, message in messages:
            self._wire.send(ip, quota_add(message))

    # ---- timers

    def schedule_flush(self) -> None:
        """Set the timer that sends the limiter's counts, unless it is already set for an earlier time."""
        due = self.limiter.next_update_at
        if not self.placement.counter_ip or self._flush_due != NOT_SET and due >= self._flush_due:
            return
        due = max(due, self._clock() + MS)  # never in this iteration of the event loop, which would not end
        self._flush_due = due
        if due < NEVER:
            self._scheduler.call_at(due, self._flush, due)

    def _flush(self, due: int) -> None:
        if due != self._flush_due:
            return  # replaced by an earlier timer
        self._flush_due = NOT_SET
        if self.placement.counter_ip:
            message = self.limiter.due_update(self._clock())
            if message is not None:
                self._send_adds([(self.placement.counter_ip, message)])
        self.schedule_flush()

    def _send_announcements(self) -> None:
        """Send the totals that proxies should get without asking, and set the timer for the next ones."""
        self._announcement_due = NOT_SET
        for ip, message in self.counter.announcements(self._clock()):
            self._wire.send(ip, quota_sum(message))
        due = self.counter.next_announcement_at
        if due:
            self._announcement_due = due
            self._scheduler.call_at(due, self._send_announcements_at, due)

    def _send_announcements_at(self, due: int) -> None:
        if due == self._announcement_due:
            self._send_announcements()
