"""Sends proxies' reports on servers to the leader, and the leader's verdicts to every proxy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..membership import messages
from ..membership.server_health import MAX_REPORTS

if TYPE_CHECKING:
    from ..membership.dissemination import Disseminator
    from ..membership.health_registry import HealthRegistry
    from ..proxy.request_proxy import RequestProxy
    from .context import NodeContext


class ServerHealthExchange:
    """Carries reports from proxies to the leader's registry, and the registry's verdicts to the proxies."""

    def __init__(
        self,
        context: NodeContext,
        disseminator: Disseminator,
        request_proxy: RequestProxy,
        registry: HealthRegistry,
    ) -> None:
        """`request_proxy` observes servers and applies verdicts; `registry` makes verdicts if this node leads."""
        self._own_ip = context.process_settings.ip
        self._wire = context.wire
        self._disseminator = disseminator
        self._leadership = disseminator.leadership
        self._request_proxy = request_proxy
        self.registry = registry

    def send_reports(self, now: int) -> None:
        """Send the leader this node's new reports, if there are any."""
        reports = self._request_proxy.health_reporter.take_reports(now)
        if reports and self._disseminator.leader:
            frame = messages.encode_health_reports(messages.HealthReports(reports))
            self._wire.send(self._disseminator.leader, frame)

    def on_report(self, ip: str, frame: messages.Message, now: int) -> None:
        """Handle a node's report at the leader, and send the resulting verdicts to all nodes, including this one.

        A verdict requires reports of several nodes.
        """
        disseminator = self._disseminator
        if not self._leadership.is_leader:
            return
        reports = messages.decode_health_reports(frame).reports
        verdicts = self.registry.add_reports(ip, reports, self._request_proxy.proxy_count, now)
        if not verdicts:
            return
        everyone = list(dict.fromkeys((self._own_ip, *disseminator.peer_addresses)))
        for start in range(0, len(verdicts), MAX_REPORTS):
            part = messages.HealthVerdicts(disseminator.term, verdicts[start : start + MAX_REPORTS])
            self._wire.send_all(everyone, messages.encode_health_verdicts(part))

    def on_verdict(self, ip: str, frame: messages.Message, now: int) -> None:
        """Apply the leader's verdicts. Verdicts from the leader of an older term are dropped."""
        if ip != self._leadership.leader:
            return
        health = messages.decode_health_verdicts(frame)
        if health.term >= self._leadership.term:
            self._request_proxy.apply_health_verdicts(health.verdicts)
