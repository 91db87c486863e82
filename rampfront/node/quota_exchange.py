"""The exchange of tenants' counts between proxies and the counter, with its two timers.

Every node is both a proxy, whose `Limiter` counts what it lets in, and possibly the counter, whose `QuotaCounter` adds
up the counts of all proxies. `quota/` decides what is sent and when; this module sends it, and wakes in time.
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
NEVER = 1 << 61  # ns: later than any time
NOT_SET = 0  # of a timer's due time


class QuotaExchange:
    """Sends what limiter, counter and placement want sent, and hands them what arrives."""

    def __init__(
        self,
        context: NodeContext,
        disseminator: Disseminator,
        limiter: Limiter,
        counter: QuotaCounter,
        placement: CounterPlacement,
    ) -> None:
        """`limiter` counts here, `counter` for all, and `placement` chooses whose counter this node's counts go to."""
        self._clock = context.clock
        self._scheduler = context.scheduler
        self._wire = context.wire
        self._disseminator = disseminator
        self._leadership = disseminator.leadership
        self._snapshots = context.snapshots
        self._request_proxy: RequestProxy
        self._flush_due = NOT_SET
        self._unsolicited_due = NOT_SET
        self.limiter = limiter
        self.counter = counter
        self.placement = placement
        self.round_trips = LatencyHistogram()  # from counts first sent to their answer

    def attach(self, request_proxy: RequestProxy) -> None:
        """Name the proxy, which calls `schedule_flush` and so comes second."""
        self._request_proxy = request_proxy

    # ---- what the node holds

    def apply_limits(self, tenants: Mapping[str, QuotaSettings]) -> None:
        """Take over the tenants' quotas of a configuration."""
        self.counter.set_quotas(tenants, self._clock())
        self.schedule_flush()

    def update_proxy_count(self, count: int) -> None:
        """Take over how many proxies serve: for the share of each, and for the counter."""
        self._request_proxy.apply_proxy_count(count)
        self.counter.set_proxy_count(count)
        self.update_placement()

    def update_placement(self) -> None:
        """Choose the counter anew: the members of the core, or the nodes that serve, have changed."""
        state = self._snapshots.state
        members = [ip for ip, _ in state.members.values()] if state else []
        serving = {entry.ip for entry in self._disseminator.roster if entry.ready}
        self._send_adds(self.placement.rank(self._clock(), members, serving))
        self.schedule_flush()

    def tick(self, now: int) -> None:
        """Watch whether the counter answers; to be called about ten times a second."""
        self._send_adds(self.placement.tick(now))
        self.schedule_flush()

    # ---- frames

    def on_add(self, ip: str, frame: Message, now: int) -> None:
        """Count what a proxy lets in, and answer with the totals.

        A node that starts knows no tenants, or those of an old record. It does not answer: its answer would make every
        tenant appear idle.
        """
        if self._request_proxy.configuration is None or self._leadership.confirmed_at_ns is None:
            return
        answer = self.counter.receive(now, ip, frame[MESSAGE])
        if answer is not None:
            self._wire.send(ip, quota_sum(answer))
        self._send_unsolicited()

    def on_sum(self, ip: str, frame: Message, now: int) -> None:
        """Take a counter's totals."""
        pending = self.limiter.link.pending
        outgoing = self.placement.receive(now, ip, frame[MESSAGE])
        if outgoing:
            self._send_adds(outgoing)
        if pending and self.limiter.link.pending is not pending:
            self.round_trips.record(now - pending.first_sent_at)
        self.schedule_flush()  # what came due meanwhile need not wait for the timer that sends again

    def _send_adds(self, messages: Iterable[tuple[str, WireMap]]) -> None:
        for ip, message in messages:
            self._wire.send(ip, quota_add(message))

    # ---- timers

    def schedule_flush(self) -> None:
        """Set the timer by which the limiter's counts go out, if it has to go off sooner than it would."""
        due = self.limiter.next_update_at
        if not self.placement.counter_ip or self._flush_due != NOT_SET and due >= self._flush_due:
            return
        due = max(due, self._clock() + MS)  # never within this turn of the loop, which would not end
        self._flush_due = due
        if due < NEVER:
            self._scheduler.call_at(due, self._flush, due)

    def _flush(self, due: int) -> None:
        if due != self._flush_due:
            return  # an earlier one was set since
        self._flush_due = NOT_SET
        if self.placement.counter_ip:
            message = self.limiter.due_update(self._clock())
            if message is not None:
                self._send_adds([(self.placement.counter_ip, message)])
        self.schedule_flush()

    def _send_unsolicited(self) -> None:
        """Send proxies the totals that they should know before they ask, and wake when the next are due."""
        self._unsolicited_due = NOT_SET
        for ip, message in self.counter.announcements(self._clock()):
            self._wire.send(ip, quota_sum(message))
        due = self.counter.next_announcement_at
        if due:
            self._unsolicited_due = due
            self._scheduler.call_at(due, self._send_unsolicited_at, due)

    def _send_unsolicited_at(self, due: int) -> None:
        if due == self._unsolicited_due:
            self._send_unsolicited()
