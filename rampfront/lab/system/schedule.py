"""The schedule of a run of the whole system: requests, orders and faults.

It is drawn before the run and depends only on the experiment and the seed, so that all variants have the same schedule.
No I/O, no clock.
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
    """The requests of a run, as columns."""

    at: np.ndarray  # int64, ns from the start, ascending
    stream: np.ndarray  # index into plan.streams
    tenant: np.ndarray  # index into plan.tenants, -1 for none
    key: np.ndarray  # index into the tenant's keys: 0 or 1
    zone: np.ndarray  # index into plan.zones
    client: np.ndarray  # index into the zone's clients


def draw_weighted(names, weights, rng, count):
    """Draws `count` indices into `names` by their weights; without weights, all names have the same."""
    probabilities = np.array([weights.get(name, 0.0 if weights else 1.0) for name in names])
    return rng.choice(len(names), count, p=probabilities / probabilities.sum())


def arrivals(plan, seed):
    """Returns the requests of all streams in order of time."""
    parts = []
    for index, stream in enumerate(plan.streams):
        rng = np.random.Generator(np.random.PCG64([seed, index]))
        at = arrival_times(
            stream, stream.rate, stream.from_s, min(stream.until_s or plan.duration_s, plan.duration_s), rng
        )
        count = len(at)
        public = next(route for route in plan.routes if route.name == stream.route).public
        tenants = [] if public and not stream.tenants else [tenant.name for tenant in plan.tenants]
        parts.append(
            (
                np.round(at * SEC).astype("i8"),
                np.full(count, index, "i2"),
                draw_weighted(tenants, stream.tenants, rng, count) if tenants else np.full(count, -1),
                rng.integers(0, 2, count),
                draw_weighted(list(plan.zones), stream.zones, rng, count),
                rng.integers(0, plan.clients, count),
            )
        )
    columns = [np.concatenate(column) for column in zip(*parts)]
    order = np.argsort(columns[0], kind="stable")
    return Arrivals(*(column[order] for column in columns))


@dataclass(frozen=True, slots=True)
class Step:
    """One order to send. `at`: ns from the start; `node`: index of the node that receives it first."""

    at: int
    call: str  # of the control interface: config.replace, empty.start, empty.finish
    body: bytes = b""
    revision: int = 0
    zone: str = ""
    valid: bool = True
    node: int = 0


def order_steps(plan):
    """Returns the orders to send in order of time.

    The first configuration, with revision 1, is sent before the run and is not included."""
    steps, state, revision = [], {"moved": {}, "limits": {}, "revoked": set(), "dropped": set()}, 1
    for order in sorted(plan.orders, key=lambda order: order.at_s):
        at = round(order.at_s * SEC)
        if order.kind in ("empty", "return"):
            steps.append(Step(at, "empty.start" if order.kind == "empty" else "empty.finish", zone=order.zone))
            continue
        changed = {
            "moved": {**state["moved"], **order.move},
            "limits": {**state["limits"], **order.limits},
            "revoked": state["revoked"] | set(order.revoke),
            "dropped": state["dropped"] | set(order.drop),
        }
        revision += 2  # revisions need not be consecutive
        body = plans.configuration(plan, revision, **changed)
        if order.kind == "invalid":
            body["Sockets"][0]["Rulebook"][0]["ThenDo"] = {"Service": "no-such-service"}
            steps.append(Step(at, "config.replace", json.dumps(body).encode(), revision, valid=False))
            continue
        state = changed
        steps.append(Step(at, "config.replace", json.dumps(body).encode(), revision))
        if order.kind == "race":
            revision += 1
            body = plans.configuration(plan, revision, **changed)
            steps.append(Step(at, "config.replace", json.dumps(body).encode(), revision, node=1))
    return steps


def fault_events(plan, seed):
    """Returns the starts and ends of the faults at each node or server that a target names, in order of time."""
    rng, events = Random(f"{seed}/faults"), []
    for number, fault in enumerate(plan.faults):
        at, length, size = (those.draw_value(span, rng) for span in (fault.at_s, fault.for_s, fault.size))
        target_kind, numbers = plans.resolve_target(plan, fault.target, rng)
        for target_number in numbers:
            name = f"{target_kind}:{target_number}" if target_kind != "platform" else target_kind
            events.append(those.Event(round(at * SEC), number, True, name, fault.kind, size))
            if length:
                events.append(those.Event(round((at + length) * SEC), number, False, name, fault.kind, size))
    return sorted(events, key=lambda event: (event.at, event.on, event.number, event.target))
