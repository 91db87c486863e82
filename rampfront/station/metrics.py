"""What a scraper reads at the control address: counters, what the node holds at this moment, spans in fixed buckets.

Text exposition format 0.0.4, written from its public description: https://prometheus.io/docs/instrumenting/exposition_formats/.
Nothing is sent anywhere and nothing is made until it is asked for. The lines are as many on every node and every day: none
carries a tenant, a server, a route or a key. `docs/system/observing.md` says which line answers which question.
"""

from ..net.calls import Answer, call
from ..net.spans import EDGES

SEC = 10 ** 9
KIND = b"text/plain; version=0.0.4; charset=utf-8"
LABELS = (*(f"{edge / SEC:g}" for edge in EDGES), "+Inf")
SPANS = (("request", "From a whole request to its answer, at this pilot; what no server was asked for is left out."),
         ("server_answer", "From a request handed to a server to its whole answer, good or bad."),
         ("adds_round_trip", "From counts told to their holder to the answer, sendings again included."),
         ("word_age", "Age of the core's word, looked at ten times a second."))


def gauges(station):
    """(name, value) of what the node holds. What it does not know is left out, as the format has it."""
    now, look, state, pilot = station.clock(), station.lookout, station.state, station.pilot
    yield "ready", look.ready
    yield "in_touch", station.fresh(now)
    yield "leads", look.leads
    yield "ending", station.ending
    yield "lease_seconds", station.lease / SEC
    if look.word_at is not None:
        yield "word_age_now_seconds", max(0, now - look.word_at) / SEC
    if state is not None:
        yield "configuration_revision", state.rev
        yield "core_step", state.index
        yield "core_term", state.term
        yield "core_members", len(state.members)
        yield "zones_emptied", len(state.zones)
    yield "nodes_known", len(look.roster)
    yield "nodes_ready", sum(row[4] for row in look.roster)
    if pilot.servers is not None:
        yield "servers_listed", len(pilot.servers.rows)
        yield "servers_ready", sum(row.state == "ready" for row in pilot.servers.rows)
        yield "servers_list_age_seconds", max(0, now - pilot.servers.read_at) / SEC
    yield "client_connections", len(station.gate.clients)
    yield "quotas_alone", station.tide.alone(now)


def text(counts, held, spans):
    """The page. `counts`: name to count; `held`: (name, value); `spans`: one `Spans` for each of SPANS."""
    lines = []
    for name, count in counts.items():
        lines += (f"# TYPE rampfront_{name}_total counter", f"rampfront_{name}_total {count}")
    for name, value in held:
        lines += (f"# TYPE rampfront_{name} gauge", f"rampfront_{name} {value:g}" if type(value) is float else
                  f"rampfront_{name} {int(value)}")
    for (name, about), span in zip(SPANS, spans, strict=True):
        name, up = f"rampfront_{name}_seconds", 0
        lines += (f"# HELP {name} {about}", f"# TYPE {name} histogram")
        for label, count in zip(LABELS, span.counts):
            up += count
            lines.append(f'{name}_bucket{{le="{label}"}} {up}')
        lines += (f"{name}_sum {span.total / SEC:.9f}", f"{name}_count {up}")
    return "\n".join(lines) + "\n"


class Metrics:
    def __init__(self, station):
        self.station = station

    @call("GET", "/metrics")
    def metrics(self, asked):
        """For a scraper; once in ten seconds is often enough."""
        station = self.station
        spans = station.pilot.requests, station.pilot.answers, station.add_trips, station.word_ages
        return Answer(200, text(station.counts, gauges(station), spans).encode(), kind=KIND)
