"""What a scraper reads at the control address: counters, what the node holds at this moment, spans in fixed buckets.

Text exposition format 0.0.4, written from its public description: https://prometheus.io/docs/instrumenting/exposition_formats/.
Nothing is sent anywhere and nothing is made until it is asked for. The lines are as many on every node and every day: none
carries a tenant, a server, a route or a key. `docs/system/observing.md` says which line answers which question.
"""

from collections.abc import Iterator

from ..consensus.membership_change import LEARNER, LEAVING, REPLACED, SILENT, CoreStrength
from ..net.http_messages import Response
from ..net.http_routing import endpoint
from ..net.latency_histogram import BUCKET_BOUNDS_NS

SEC = 10**9
KIND = b"text/plain; version=0.0.4; charset=utf-8"
LABELS = (*(f"{edge / SEC:g}" for edge in BUCKET_BOUNDS_NS), "+Inf")
SPANS = (
    ("request", "From a whole request to its answer, at this pilot; what no server was asked for is left out."),
    ("server_answer", "From a request handed to a server to its whole answer, good or bad."),
    ("adds_round_trip", "From counts told to their holder to the answer, sendings again included."),
    ("word_age", "Age of the core's word, looked at ten times a second."),
)


def gauges(node_process):
    """(name, value) of what the node holds. What it does not know is left out, as the format has it."""
    now, look, state, request_proxy = (
        node_process.clock(),
        node_process.disseminator,
        node_process.state,
        node_process.request_proxy,
    )
    node_process.check_leadership(now)
    yield "ready", look.ready
    silent = node_process.out_of_touch(now)
    yield "in_touch", node_process.fresh(now)
    yield "out_of_touch", silent is not None
    yield "out_of_touch_seconds", (silent or 0) / SEC
    yield "leads", look.is_leader
    yield "ending", node_process.ending
    yield "lease_seconds", node_process.lease / SEC
    if look.confirmed_at_ns is not None:
        yield "word_age_now_seconds", max(0, now - look.confirmed_at_ns) / SEC
    if state is not None:
        yield "configuration_revision", state.revision
        yield "core_step", state.index
        yield "core_term", state.term
        yield "core_members", len(state.members)
        yield "zones_emptied", len(state.evacuated_zones)
    core_member = node_process.core_member
    if core_member is not None and core_member.leadership is not None:
        yield from core_gauges(core_member.leadership.strength(now))
    yield "nodes_known", len(look.roster)
    yield "nodes_ready", sum(entry.ready for entry in look.roster)
    if request_proxy.servers is not None:
        yield "servers_listed", len(request_proxy.servers.endpoints)
        yield "servers_ready", sum(row.state == "ready" for row in request_proxy.servers.endpoints)
        yield "servers_list_age_seconds", max(0, now - request_proxy.servers.read_at_ns) / SEC
    yield "client_connections", len(node_process.client_front.clients)
    yield "quotas_alone", node_process.limiter.is_isolated(now)


def core_gauges(strength: CoreStrength) -> Iterator[tuple[str, float]]:
    """What the leader alone knows of the core's members."""
    states = [row.state for row in strength.members]
    yield "core_members_wanted", strength.wanted
    yield "core_members_silent", sum(state in (SILENT, REPLACED) for state in states)
    yield "core_members_leaving", states.count(LEAVING)
    yield "core_learners", states.count(LEARNER)
    yield "core_full_strength", strength.full_for is not None
    yield "core_full_strength_seconds", (strength.full_for or 0) / SEC


def text(counts, held, spans):
    """The page. `counts`: name to count; `held`: (name, value); `spans`: one `LatencyHistogram` for each of SPANS."""
    lines = []
    for name, count in counts.items():
        lines += (f"# TYPE rampfront_{name}_total counter", f"rampfront_{name}_total {count}")
    for name, value in held:
        lines += (
            f"# TYPE rampfront_{name} gauge",
            f"rampfront_{name} {value:g}" if type(value) is float else f"rampfront_{name} {int(value)}",
        )
    for (name, about), span in zip(SPANS, spans, strict=True):
        name, up = f"rampfront_{name}_seconds", 0
        lines += (f"# HELP {name} {about}", f"# TYPE {name} histogram")
        for label, count in zip(LABELS, span.counts):
            up += count
            lines.append(f'{name}_bucket{{le="{label}"}} {up}')
        lines += (f"{name}_sum {span.total_ns / SEC:.9f}", f"{name}_count {up}")
    return "\n".join(lines) + "\n"


class Metrics:
    def __init__(self, node_process):
        self.node_process = node_process

    @endpoint("GET", "/metrics")
    def metrics(self, asked):
        """For a scraper; once in ten seconds is often enough."""
        node_process = self.node_process
        spans = (
            node_process.request_proxy.request_durations,
            node_process.request_proxy.response_durations,
            node_process.add_trips,
            node_process.word_ages,
        )
        return Response(200, text(node_process.counts, gauges(node_process), spans).encode(), content_type=KIND)
