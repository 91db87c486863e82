"""The metrics page at the control address: counters, gauges and histograms.

Text exposition format 0.0.4, implemented from its public description:
https://prometheus.io/docs/instrumenting/exposition_formats/. Nothing is pushed, and the page is only built when a
scraper requests it. The number of lines is bounded, because no metric has a tenant, server, route or key as a label.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..net.http_messages import Response
from ..net.http_routing import endpoint
from ..net.latency_histogram import BUCKET_BOUNDS_NS
from .metrics import HISTOGRAMS, counter_name, gauge_name, histogram_name

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from ..consensus.core_strength import CoreStrength
    from ..net.http_messages import IncomingRequest
    from ..net.latency_histogram import LatencyHistogram
    from .node_process import NodeProcess

SEC = 10**9
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
BUCKET_LABELS = (*(f"{edge / SEC:g}" for edge in BUCKET_BOUNDS_NS), "+Inf")


class MetricsPage:
    """The call that returns the metrics page."""

    def __init__(self, node: NodeProcess) -> None:
        """`node`: the node whose metrics are shown."""
        self._node = node

    @endpoint("GET", "/metrics")
    def metrics(self, _: IncomingRequest) -> Response:
        """Return the metrics page. A scrape interval of ten seconds is sufficient."""
        node = self._node
        histograms = {
            "request": node.request_proxy.request_durations,
            "server_answer": node.request_proxy.response_durations,
            "quota_round_trip": node.quota_exchange.round_trips,
            "lease_age_sampled": node.lease.sampled_ages,
        }
        page = exposition(node.context.counts, gauges(node), histograms)
        return Response(200, page.encode(), content_type=CONTENT_TYPE)


def exposition(
    counts: Mapping[str, int], values: Iterable[tuple[str, float]], histograms: Mapping[str, LatencyHistogram]
) -> str:
    """Return the page. `counts`: of counters; `values`: of gauges; `histograms`: one for each of HISTOGRAMS."""
    lines: list[str] = []
    for name, count in counts.items():
        lines += _counter_lines(counter_name(name), count)
    for name, value in values:
        lines += _gauge_lines(gauge_name(name), value)
    for name, text in HISTOGRAMS.items():
        lines += _histogram_lines(histogram_name(name), text, histograms[name])
    return "\n".join(lines) + "\n"


def _counter_lines(name: str, count: int) -> Iterator[str]:
    yield f"# TYPE {name} counter"
    yield f"{name} {count}"


def _gauge_lines(name: str, value: float) -> Iterator[str]:
    yield f"# TYPE {name} gauge"
    yield f"{name} {value:g}" if type(value) is float else f"{name} {int(value)}"


def _histogram_lines(name: str, text: str, histogram: LatencyHistogram) -> Iterator[str]:
    yield f"# HELP {name} {text}"
    yield f"# TYPE {name} histogram"
    cumulative = 0
    for label, count in zip(BUCKET_LABELS, histogram.counts, strict=True):
        cumulative += count
        yield f'{name}_bucket{{le="{label}"}} {cumulative}'
    yield f"{name}_sum {histogram.total_ns / SEC:.9f}"
    yield f"{name}_count {cumulative}"


def gauges(node: NodeProcess) -> Iterator[tuple[str, float]]:
    """Yield the gauges as (name, value). A gauge whose value is not known is omitted, as the format requires."""
    now = node.context.clock()
    node.core.step_down_if_overdue(now)
    yield from _lease_gauges(node, now)
    yield from _state_gauges(node)
    yield from _core_gauges(node, now)
    yield from _fleet_gauges(node, now)
    yield "client_connections", len(node.client_front.clients)
    yield "memory_charged_bytes", node.client_front.memory.used_bytes
    yield "memory_capacity_bytes", node.client_front.memory.capacity_bytes
    yield "quota_counter_silent", node.quota_exchange.limiter.is_isolated(now)


def _lease_gauges(node: NodeProcess, now: int) -> Iterator[tuple[str, float]]:
    yield "ready", node.readiness.announced
    out_of_touch_for = node.lease.out_of_touch_for(now)
    yield "lease_valid", node.lease.is_valid(now)
    yield "out_of_touch", out_of_touch_for is not None
    yield "out_of_touch_seconds", (out_of_touch_for or 0) / SEC
    yield "leader_silent_seconds", (node.lease.leader_silent_for(now) or 0) / SEC
    yield "leads", node.disseminator.is_leader
    yield "shutting_down", node.shutdown.in_progress
    yield "lease_duration_seconds", node.lease.duration / SEC
    age = node.lease.age(now)
    if age is not None:
        yield "lease_age_seconds", max(0, age) / SEC


def _state_gauges(node: NodeProcess) -> Iterator[tuple[str, float]]:
    state = node.replicated_state.state
    if state is None:
        return
    yield "configuration_revision", state.revision
    yield "core_state_index", state.index
    yield "core_term", state.term
    yield "core_members", len(state.members)
    yield "zones_evacuated", len(state.evacuated_zones)


def _core_gauges(node: NodeProcess, now: int) -> Iterator[tuple[str, float]]:
    """Yield the gauges of the core's members; all but the last are known to the leader alone."""
    strength = node.core.strength(now)
    if strength is not None:
        yield from _strength_gauges(strength)
    if node.core.has_member:
        yield "core_outside_seconds", (node.leadership.outside_core_for(now) or 0) / SEC


def _strength_gauges(strength: CoreStrength) -> Iterator[tuple[str, float]]:
    from ..consensus.core_strength import MemberCondition  # loaded only by members of the core: see `core_driver`

    conditions = [row.condition for row in strength.members]
    yield "core_members_target", strength.wanted
    yield (
        "core_members_silent",
        sum(condition in (MemberCondition.SILENT, MemberCondition.REPLACED) for condition in conditions),
    )
    yield "core_members_leaving", conditions.count(MemberCondition.LEAVING)
    yield "core_learners", conditions.count(MemberCondition.LEARNER)
    yield "core_full_strength", strength.full_for is not None
    yield "core_full_strength_seconds", (strength.full_for or 0) / SEC
    yield "core_below_target_seconds", (strength.below_target_for or 0) / SEC


def _fleet_gauges(node: NodeProcess, now: int) -> Iterator[tuple[str, float]]:
    roster = node.disseminator.roster
    yield "nodes_known", len(roster)
    yield "nodes_ready", sum(entry.ready for entry in roster)
    servers = node.context.snapshots.servers
    if servers is None:
        return
    yield "servers_listed", len(servers.endpoints)
    yield "servers_ready", sum(row.state == "ready" for row in servers.endpoints)
    yield "server_list_age_seconds", max(0, now - servers.read_at_ns) / SEC
