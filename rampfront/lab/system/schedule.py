"""What is to happen in a run of the whole system: requests, orders and faults, drawn before it by the seed alone. No I/O,
no clock. The same file and seed give the same schedule, whatever variant is played.
"""

import json
from dataclasses import dataclass
from random import Random

import numpy as np

from .. import faults as those
from ..schedule import SEC, arrival_times
from . import plan as plans


@dataclass(frozen=True, slots=True)
class Arrivals:
    at: np.ndarray  # int64, ns from the start, rising
    stream: np.ndarray  # index into plan.streams
    tenant: np.ndarray  # index into plan.tenants; -1: none
    key: np.ndarray  # 0 or 1
    zone: np.ndarray  # index into plan.zones
    client: np.ndarray  # index into the zone's clients


def weighed(names, weights, rng, count):
    odds = np.array([weights.get(name, 0.0 if weights else 1.0) for name in names])
    return rng.choice(len(names), count, p=odds / odds.sum())


def arrivals(plan, seed):
    parts = []
    for index, stream in enumerate(plan.streams):
        rng = np.random.Generator(np.random.PCG64([seed, index]))
        at = arrival_times(
            stream, stream.rate, stream.from_s, min(stream.until_s or plan.duration_s, plan.duration_s), rng
        )
        n = len(at)
        public = next(route for route in plan.routes if route.name == stream.route).public
        tenants = [] if public and not stream.tenants else [tenant.name for tenant in plan.tenants]
        parts.append(
            (
                np.round(at * SEC).astype("i8"),
                np.full(n, index, "i2"),
                weighed(tenants, stream.tenants, rng, n) if tenants else np.full(n, -1),
                rng.integers(0, 2, n),
                weighed(list(plan.zones), stream.zones, rng, n),
                rng.integers(0, plan.clients, n),
            )
        )
    joined = [np.concatenate(column) for column in zip(*parts)]
    order = np.argsort(joined[0], kind="stable")
    return Arrivals(*(column[order] for column in joined))


@dataclass(frozen=True, slots=True)
class Step:
    """One order to send. `at`: ns from the start; `node`: which of the nodes is asked first."""

    at: int
    call: str  # of the interface: config.replace, empty.start, empty.finish
    body: bytes = b""
    revision: int = 0
    zone: str = ""
    valid: bool = True
    node: int = 0


def orders(plan):
    """The first configuration is sent before the run and is not among them; its version is 1."""
    steps, state, revision = [], {"moved": {}, "limits": {}, "revoked": set(), "dropped": set()}, 1
    for order in sorted(plan.orders, key=lambda order: order.at_s):
        at = round(order.at_s * SEC)
        if order.kind in ("empty", "return"):
            steps.append(Step(at, "empty.start" if order.kind == "empty" else "empty.finish", zone=order.zone))
            continue
        fresh = {
            "moved": {**state["moved"], **order.move},
            "limits": {**state["limits"], **order.limits},
            "revoked": state["revoked"] | set(order.revoke),
            "dropped": state["dropped"] | set(order.drop),
        }
        revision += 2  # versions go up in steps
        told = plans.configuration(plan, revision, **fresh)
        if order.kind == "invalid":
            told["Sockets"][0]["Rulebook"][0]["ThenDo"] = {"Service": "no-such-service"}
            steps.append(Step(at, "config.replace", json.dumps(told).encode(), revision, valid=False))
            continue
        state = fresh
        steps.append(Step(at, "config.replace", json.dumps(told).encode(), revision))
        if order.kind == "race":
            revision += 1
            told = plans.configuration(plan, revision, **fresh)
            steps.append(Step(at, "config.replace", json.dumps(told).encode(), revision, node=1))
    return steps


def faults(plan, seed):
    """Events in order of time: starts and ends, at every node or server that a fault's target names."""
    rng, events = Random(f"{seed}/faults"), []
    for number, fault in enumerate(plan.faults):
        at, length, size = (those.draw_value(span, rng) for span in (fault.at_s, fault.for_s, fault.size))
        head, some = plans.targets(plan, fault.target, rng)
        for k in some:
            name = f"{head}:{k}" if head != "platform" else head
            events.append(those.Event(round(at * SEC), number, True, name, fault.kind, size))
            if length:
                events.append(those.Event(round((at + length) * SEC), number, False, name, fault.kind, size))
    return sorted(events, key=lambda e: (e.at, e.on, e.number, e.target))
