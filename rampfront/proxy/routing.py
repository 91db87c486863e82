"""What stands beside the edge node's decision: the shares of a route, the costs of the way, terms of each node. No I/O.

The pick of a server is `choice.py`'s. Here stands what it is told: how dear a server's zone is from here, since when a
server is cold, what this proxy's part of a budget is that the whole fleet shares.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b
from random import Random
from typing import TYPE_CHECKING

from .. import terms as t

if TYPE_CHECKING:
    from ..choice import Node
    from ..membership.endpoint_list import Endpoint
    from ..settings.configuration import Configuration, Service
    from ..settings.process_settings import Guarantees, ProcessSettings

MS, SEC = 10**6, 10**9
LATE = 0.3  # what an answer past its target is taken to earn, of its worth: the wire does not tell
NEAR, IN_REGION, FAR = 1.0, 0.4, 0.02  # weight of a server in our zone, in our region, elsewhere
RATIO, SAVED, COLD = 0.85, 0.8, 0.8  # parts of the fleet's budgets that are used: retry ratio, extra tries, cold rate
FEWEST = 8  # proxies that a share counts at least: the roster may not be whole yet, and some may be cut off
OWN, OTHERS = (8, 6, 4), 0.1  # servers that a proxy prefers in its zone, its region, elsewhere; weight of the rest
WARMUP = SEC  # of a service that tells none: its servers are never cold
LARGE = 8 << 10  # a body so large makes its way weigh more: each byte between zones and regions is priced
USUAL_PULL, LARGE_PULL = 1.0, 3.0  # how much the way weighs, see `pull`


def terms(process_settings: ProcessSettings, products: list[t.Product], plans: list[t.Plan], nodes: int) -> t.Terms:
    """The terms of a service's instance of `choice.Node`; `nodes`: how many proxies there are."""
    return t.Terms(
        products=products,
        plans=plans,
        nodes=1,
        max_submissions=8,
        may_probe=False,
        may_cancel=True,
        has_counter=False,
        counter_wait=0,
        largest=1.0,
        subscribes=False,
        longest_advice=2 * SEC,
        tick=MS,
        cold_share=0.2,
        warm_within=WARMUP,
        fall_multiple=2.0,
        tip_after=SEC,
        tells=True,
        may_copy=True,
        spare=spare(process_settings.terms, nodes),
    )


def spare(bounds: Guarantees, nodes: int) -> tuple[float, float]:
    """Further submissions that a proxy may make for each first one, and save up, so that those of all stay within the
    fleet's budget (RULES, BUDGET) whoever is cut off: rates add up by themselves, savings are an even part each."""
    return RATIO * bounds.retry_ratio, SAVED * bounds.extra_tries / max(nodes, FEWEST)


def share(node: Node, process_settings: ProcessSettings, nodes: int, service: Service) -> None:
    """The fleet has another number of proxies, or its servers other bounds: this one's part of what all share."""
    node.spare_rate, node.spare_most = spare(process_settings.terms, nodes)
    node.spare = min(node.spare, node.spare_most)
    node.bear_most = COLD * service.cold_per_s / max(nodes, FEWEST) if service.cold_per_s else float("inf")
    node.warm_within = service.warmup or WARMUP


def product(kind: int, target: int) -> t.Product:
    """What requests of a route allow: `kind` is one of `terms`', `target` ns until an answer's full worth ends."""
    return t.Product(kind=kind, group=t.ALL, sla=target, repeat_window=0, late_share=LATE)


def service(shares: Sequence[tuple[str, float]], draw: Random) -> str:
    """The service of one request, by weight; one draw for each request."""
    if len(shares) == 1:
        return shares[0][0]
    return draw.choices([name for name, _ in shares], [weight for _, weight in shares])[0]


def nearness(rows: Iterable[Endpoint], process_settings: ProcessSettings) -> dict[str, float]:
    """Id to weight of the servers of one service, by the way there. Of many in one place each proxy prefers a few of
    its own, by a digest of both names: so connections are used again, and all proxies together cover all servers
    evenly."""
    in_zone: list[tuple[bytes, str]] = []
    in_region: list[tuple[bytes, str]] = []
    elsewhere: list[tuple[bytes, str]] = []
    for row in rows:
        digest = blake2b(f"{process_settings.name}|{row.id}".encode(), digest_size=8).digest()
        if row.zone == process_settings.zone:
            in_zone.append((digest, row.id))
        elif process_settings.zones.get(row.zone) == process_settings.region:
            in_region.append((digest, row.id))
        else:
            elsewhere.append((digest, row.id))
    weights = {}
    for place, weight, preferred in zip((in_zone, in_region, elsewhere), (NEAR, IN_REGION, FAR), OWN, strict=True):
        for rank, (_, uid) in enumerate(sorted(place)):
            weights[uid] = weight if rank < preferred else weight * OTHERS
    return weights


def born(row: Endpoint, service: Service, back_at: int | None, now: int) -> int:
    """When the server came up as `choice.py` counts it (ns): 0 for long ago, else so that it is cold until its time is
    over. `back_at`: when its zone was taken back."""
    until = row.warming_until_ns
    if back_at is not None and back_at + service.warmup > now:
        # Guards servers of a zone that is taken back: they may have become cold, and the list tells it late.
        until = max(until, back_at + service.warmup)
    return until - service.warmup if until > now else 0


def pull(size: int) -> float:
    """How much the way weighs for a request with a body of so many bytes: the power to which nearness is raised."""
    return USUAL_PULL if size < LARGE else LARGE_PULL


def ranks(configuration: Configuration) -> Callable[[int, int | None], float]:
    """A function of a route's priority and its tenant's (None for none): 0 for who goes first, 1 for who yields first
    where room is short. A tenant's priority is put before the route's (PROTOCOL.md, "Requests"); who has no tenant goes
    by the route alone, among the tenants of the middle."""
    tenants = sorted({tenant.priority for tenant in configuration.named.values()}) or [0]
    routes = sorted({route.priority for book in configuration.hosts.values() for route in book.routes.values()}) or [0]
    most, middle = max(1, len(tenants) * len(routes) - 1), tenants[len(tenants) // 2]
    table = {
        (tenant, route): (tenant_rank * len(routes) + route_rank) / most
        for tenant_rank, tenant in enumerate(tenants)
        for route_rank, route in enumerate(routes)
    }
    return lambda route, tenant: table.get((middle if tenant is None else tenant, route), 0.0)
