"""Draws the plan of a soak run from its seed: a small fleet, overloaded services, misbehaving servers, a few orders.

`draw_plan(seed, size)` depends on nothing else, so a run that broke a rule has the same plan when it is played again.
What processes and sockets do in between differs from play to play.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

from . import plan as plans
from .misbehaving_server import Misbehaviour

_ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}
_CORE_SIZE = 3  # one member in each zone
_GRACE = "2s"
_LARGE_BODY_BYTES = 60_000
_SEEDS_PER_OCTET = 200


@dataclass(frozen=True, slots=True)
class SoakSize:
    """How large a run is."""

    seconds: float = 8.0  # of traffic
    nodes: int = 0  # 0: drawn, from 3 to 6


def draw_plan(seed: int, size: SoakSize) -> plans.Experiment:
    """Returns the experiment of a seed."""
    rng = Random(f"soak/{seed}")
    duration_s = size.seconds
    table = {
        "name": f"soak-{seed}",
        "seed": seed,
        "base": base_address(seed),
        "duration_s": duration_s,
        "warmup_s": min(1.0, duration_s / 4),
        "most_lag_ms": 10_000.0,
        **place_nodes(rng, size),
        "services": [_draw_service(rng, name) for name in ("reads", "orders", "files")],
        "routes": _draw_routes(rng),
        "tenants": [{"name": "acme"}, {"name": "hot", "per_s": 40, "burst": 40}],
        "streams": _draw_streams(rng),
        "orders": _draw_orders(rng, duration_s),
        "platform": {"lag_s": rng.choice((0.1, 0.5)), "drain_s": 2.0, "listed_s": 1.0},
        "clients": 4,
        "guarantees": {"Grace": _GRACE},
    }
    return plans.parse(table)


def base_address(seed: int) -> str:
    """The first node's address; runs of different seeds may be played at the same time."""
    return f"127.{20 + seed // _SEEDS_PER_OCTET % _SEEDS_PER_OCTET}.{1 + seed % _SEEDS_PER_OCTET}.11"


def place_nodes(rng: Random, size: SoakSize) -> dict[str, Any]:
    """Returns the zones of a plan, and the nodes in them."""
    return {"zones": _ZONES, "pilots": _draw_nodes(rng, size.nodes or rng.randint(3, 6))}


def draw_shares(rng: Random) -> dict[Misbehaviour, float]:
    """Returns the share of the answers for each misbehaviour; each is frequent in some runs and absent in others."""
    return {kind: rng.choice((0.0, 0.03, 0.2)) for kind in Misbehaviour if kind is not Misbehaviour.TRUNCATED} | {
        Misbehaviour.TRUNCATED: rng.choice((0.0, 0.01, 0.05))
    }


def _draw_nodes(rng: Random, count: int) -> list[dict[str, Any]]:
    """Returns the groups of nodes, one for each zone; the first node of each is a member of the core."""
    zones = list(_ZONES)
    counts = dict.fromkeys(zones, 1)
    for _ in range(count - _CORE_SIZE):
        counts[rng.choice(zones)] += 1
    return [{"zone": zone, "count": count, "disks": 1} for zone, count in counts.items()]


def _draw_service(rng: Random, name: str) -> dict[str, Any]:
    """Returns a service with few places, so that its servers reject much."""
    zones = rng.sample(list(_ZONES), rng.randint(1, 3))
    return {
        "name": name,
        "servers": {zone: rng.randint(1, 2) for zone in zones},
        "slots": rng.randint(1, 3),
        "queue": rng.randint(0, 2),
        "latency": {"mean_ms": rng.choice((10.0, 40.0, 120.0)), "kind": "exponential"},
        "idle_s": rng.choice((0.5, 2.0, 15.0)),
        "warmup_s": 0.5,
        "cold_per_s": 20.0,
        "connections": rng.choice((4, 20, 130)),
        "spoils": {
            kind: rng.choice((0.0, 0.01, 0.05))
            for kind in ("lost", "reset", "garbled", "cut", "extra", "late", "error", "close")
        },
    }


def _draw_routes(rng: Random) -> list[dict[str, Any]]:
    """Returns the routes: one that may be repeated, three that may not."""
    return [
        {"name": "read", "service": "reads", "tries": rng.randint(2, 3)},
        {"name": "order", "kind": "changing", "service": "orders", "tries": rng.randint(2, 5)},
        {"name": "split", "kind": "changing", "shares": {"orders": 1, "reads": 1}, "tries": 3},
        {"name": "put", "kind": "upload", "service": "files", "tries": rng.randint(2, 5)},
    ]


def _draw_streams(rng: Random) -> list[dict[str, Any]]:
    """Returns the streams, with impatient clients that use kept connections."""
    common = {"kept": 0.8, "impatient": rng.choice((0.0, 0.5)), "retries": {"most": 3}}
    return [
        {"name": "reads", "route": "read", "rate": rng.uniform(5, 25), **common},
        {"name": "orders", "route": "order", "rate": rng.uniform(20, 60), "body_bytes": 200, **common},
        {"name": "splits", "route": "split", "rate": rng.uniform(5, 20), "body_bytes": 200, **common},
        {
            "name": "puts",
            "route": "put",
            "rate": rng.uniform(5, 20),
            "body_bytes": rng.choice((2_000, _LARGE_BODY_BYTES)),
            "chunked": 0.3,
            **common,
        },
    ]


def _draw_orders(rng: Random, duration_s: float) -> list[dict[str, Any]]:
    """Returns orders of the operator: new versions, races, evacuations that overlap with them."""
    zone = rng.choice(list(_ZONES))
    changes: list[dict[str, Any]] = [
        {"kind": "replace", "limits": {"hot": [rng.choice((20, 80)), 40]}},
        {"kind": "race", "move": {"split": rng.choice(("orders", "reads"))}},
        {"kind": "empty", "zone": zone},
        {"kind": "return", "zone": zone},
    ]
    times = sorted(rng.uniform(0.1, 0.9) * duration_s for _ in changes)
    return [{**change, "at_s": at_s} for change, at_s in zip(changes, times, strict=True)]
