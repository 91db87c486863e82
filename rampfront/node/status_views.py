"""Read calls for the operators' bridge: what this node holds at this moment, from its own snapshots. No call changes or
asks anything elsewhere, so a node that is cut off answers them too, and what it says is its own view: `OutOfTouchMs` tells
for how long no majority of the core has stood behind it (null: it is in touch). No key is shown.

Times are ms, of spans that are left or past: clocks of two nodes differ. Lists come in pages, so that none holds the
loop for long: `after=ID` goes on behind an id, and `Next` tells it (null on the last page).
"""

from ..consensus.evacuations import PLAIN
from ..consensus.member import Member
from ..consensus.state import State
from ..net.http_messages import Response, error_response, json_response
from ..net.http_routing import endpoint
from ..proxy.slow_start import warm_up_started_at

MS = 10**6
LATER = ((b"Retry-After", b"1"),)
PAGE = 500  # rows of an answer
RETRY_SOON = ((b"Retry-After", b"0.3"),)
COUNTS = (
    "faults",
    "stores_failed",
    "lists_failed",
    "orders_refused",
    "over_quota",
    "unknown_key",
    "unknown_route",
    "no_word",
    "no_server",
    "taken",
    "settled",
    "declined",
    "voided",
    "frames_odd",
    "frames_lost",
)
COUNTER_NAMES = {"frames_odd": "frames_invalid"}  # where a field of the call is not named as the counter is


def page(asked, rows, key):
    """The rows behind `after`, at most PAGE of them, and the id to go on from."""
    after = asked.query.get("after", "")
    rows = sorted([row for row in rows if key(row) > after], key=key)
    return rows[:PAGE], key(rows[PAGE - 1]) if len(rows) > PAGE else None


def cold(request_proxy, row, now):
    """ns for which this pilot holds the server to be cold yet: as the list tells, or as its zone was lately taken back."""
    service = request_proxy.configuration.services.get(row.service) if request_proxy.configuration else None
    if service is None:
        return max(0, row.warming_until_ns - now)
    born = warm_up_started_at(row, service, request_proxy.reopened_zones.get(row.zone), now)
    return born + service.warmup - now if born else 0


def evacuation(zone: str, state: State) -> dict[str, str | bool | int]:
    """Whether a zone is emptied, and by whom as far as that is known."""
    if zone not in state.evacuated_zones:
        return {"Zone": zone, "Emptied": False, "Operators": 0, "Repeated": False, "Returned": False}
    held = state.evacuations.get(zone, PLAIN)
    return {
        "Zone": zone,
        "Emptied": True,
        "Operators": held.operators,
        "Repeated": held.repeated,
        "Returned": held.returned,
    }


def core_view(core_member: Member | None, now: int) -> dict | None:
    """What the leader knows of the core's members; None at all other nodes."""
    if core_member is None or core_member.leadership is None:
        return None
    strength = core_member.leadership.strength(now)
    return {
        "Wanted": strength.wanted,
        "FullMs": None if strength.full_for is None else strength.full_for // MS,
        "Members": [{"Name": row.name, "Ip": row.ip, "State": row.state} for row in strength.members],
    }


class Views:
    def __init__(self, node_process):
        self.node_process = node_process

    def view(self, fields: dict) -> Response:
        """An answer with the fields of a view, and for how long the node has been out of touch."""
        silent = self.node_process.out_of_touch(self.node_process.clock())
        return json_response({**fields, "OutOfTouchMs": None if silent is None else silent // MS})

    @endpoint("POST", "/api/rpc", operation="state.read")
    def state(self, asked):
        """Who the node is, what it holds, and how old the core's word to it is."""
        node_process, look, process_settings, state = (
            self.node_process,
            self.node_process.disseminator,
            self.node_process.process_settings,
            self.node_process.state,
        )
        now, core_member = node_process.clock(), node_process.core_member
        node_process.check_leadership(now)
        return self.view(
            {
                "Node": process_settings.name,
                "Ip": process_settings.ip,
                "Zone": process_settings.zone,
                "Ready": look.ready,
                "Ending": node_process.ending,
                "Disk": core_member is not None,
                "Leads": look.is_leader,
                "Leader": look.leader,
                "Term": state.term if state else 0,
                "Index": state.index if state else 0,
                "Revision": f"r{state.revision}" if state and state.revision else None,
                "Members": [[name, ip] for name, (ip, _) in sorted(state.members.items())] if state else [],
                "Core": core_view(core_member, now),
                "Emptied": sorted(state.evacuated_zones) if state else [],
                "Evacuations": [evacuation(zone, state) for zone in sorted(state.evacuated_zones)] if state else [],
                "Zones": process_settings.zones,
                "WordAgeMs": None if look.confirmed_at_ns is None else max(0, now - look.confirmed_at_ns) // MS,
                "LeaseMs": node_process.lease // MS,
                "Fresh": node_process.fresh(now),
                "Servers": look.endpoints_version,
                "Roster": look.roster_version,
                "Spare": {
                    name: round(service_pool.saved_attempts, 1)
                    for name, service_pool in node_process.request_proxy.service_pools.items()
                },  # tries saved up
                "Counts": {name: node_process.counts[COUNTER_NAMES.get(name, name)] for name in COUNTS},
            }
        )

    @endpoint("POST", "/api/rpc", operation="nodes.read")
    def nodes(self, asked):
        """The roster. All machines have alike ports (DEPLOY.md), so a node's control address is told by its ip."""
        port = self.node_process.process_settings.control[1]
        rows, then = page(asked, self.node_process.disseminator.roster, lambda entry: entry.name)
        return self.view(
            {
                "Nodes": [
                    {"Name": name, "Ip": ip, "Zone": zone, "Front": front, "Control": f"{ip}:{port}", "Ready": ready}
                    for name, ip, zone, front, ready in rows
                ],
                "Next": then,
            }
        )

    @endpoint("POST", "/api/rpc", operation="servers.read")
    def servers(self, asked):
        """The platform's list as it came to this node; `Links`: its connections to the server; `of`: a service."""
        request_proxy, now, of = self.node_process.request_proxy, self.node_process.clock(), asked.query.get("of")
        if request_proxy.servers is None:
            return error_response(503, "no list of servers has come to this node yet", RETRY_SOON)
        rows, then = page(
            asked, [r for r in request_proxy.servers.endpoints if of in (None, r.service)], lambda row: row.id
        )
        links = {
            target.uid: target.links
            for service_pool in request_proxy.service_pools.values()
            for target in service_pool.connection_pool.targets.values()
        }
        return self.view(
            {
                "Servers": [
                    {
                        "Id": r.id,
                        "Service": r.service,
                        "Address": f"{r.host}:{r.port}",
                        "Zone": r.zone,
                        "Capacity": r.capacity,
                        "State": r.state,
                        "Emptied": r.zone in request_proxy.evacuated_zones,
                        "ColdMs": cold(request_proxy, r, now) // MS,
                        "Links": links.get(r.id, 0),
                    }
                    for r in rows
                ],
                "ChangedMs": max(0, now - request_proxy.servers.read_at_ns) // MS,
                "Next": then,
            }
        )

    @endpoint("POST", "/api/rpc", operation="quotas.read")
    def quotas(self, asked):
        """Tenants with a quota, as this node counts them: `Left` of the quota, what all nodes are asked for a second."""
        limiter, now = self.node_process.limiter, self.node_process.clock()
        rows, then = page(asked, list(limiter.tenants.values()), lambda row: row.name)
        alone = limiter.is_isolated(now)

        def held(row, what):
            """Counts of the window that runs. A row that nobody asked for since still stands in an older one."""
            return round(getattr(row.now, what)) if limiter.in_present_window(row, now) else 0

        return self.view(
            {
                "Holder": self.node_process.counter_placement.counter_ip,
                "Alone": alone,
                "Quotas": [
                    {
                        "Tenant": row.name,
                        "PerS": row.quota.per_s,
                        "Burst": row.quota.burst,
                        "Left": round(limiter.available(row, now), 1),
                        "AskedPerS": round(row.requested_per_s, 1),
                        "Own": held(row, "own"),
                        "Others": held(row, "held"),
                    }
                    for row in rows
                ],
                "Next": then,
            }
        )
