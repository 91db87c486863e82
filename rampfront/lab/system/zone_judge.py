"""Judges a run in which several operators evacuate the same zone, by the requests that reached the zone's servers.

A zone is a register (RULES.md, EVAC; PROTOCOL.md, "The operator"). Between an acknowledged `empty.start` and the first
`empty.finish` that anybody sends behind it, no node in touch sends a request there, but for the time that an evacuation
may take. Behind an acknowledged `empty.finish`, requests reach the zone again, unless an `empty.start` was sent since.
An evacuation with a key ends only by an `empty.finish` with the same key.

Times are ns of the monotonic clock. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

SEC = 10**9
REOPENS_WITHIN_NS = 12 * SEC  # a change of leader, and the servers' slow start


class Order(NamedTuple):
    """One attempt at an order on a zone. `ended_at`: of its answer, or of the caller's patience; `is_acknowledged`: it
    was answered 200; `key`: its idempotency key, or empty."""

    sent_at: int
    ended_at: int
    is_acknowledged: bool
    key: str = ""


class Arrival(NamedTuple):
    """A request that reached a server of a zone. `node`: the address of the node that sent it."""

    at: int
    try_id: str
    node: str


class Bounds(NamedTuple):
    """The agreed times: for an evacuation to be in force, and for a disturbed node to be in touch again."""

    evacuated_within: int
    in_touch_after: int


@dataclass(slots=True)
class ZoneRecord:
    """What was done with one zone, and the requests that reached it, all in order. `calm_at`: when the last disturbance
    ended."""

    starts: list[Order] = field(default_factory=list)
    finishes: list[Order] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    calm_at: int = 0


def judge_holds(zone: ZoneRecord, disturbed: dict[str, list[int]], bounds: Bounds) -> list[str]:
    """Returns the requests that reached a zone that an operator held. `disturbed`: when each node was."""
    holds = [(start.ended_at, _first_finish(zone, start)) for start in zone.starts if start.is_acknowledged]
    broken = []
    for arrival in zone.arrivals:
        begun_at = next((begun for begun, end in holds if begun + bounds.evacuated_within < arrival.at < end), None)
        if begun_at is not None and _is_in_touch(arrival, disturbed, bounds.in_touch_after):
            elapsed_s = (arrival.at - begun_at) / SEC
            broken.append(f"{arrival.try_id} from {arrival.node} {elapsed_s:.3f} s after the evacuation")
    return broken


def judge_restorations(zone: ZoneRecord, end: int) -> list[str]:
    """Returns the acknowledged restorations behind which no request reached the zone, although nobody sent an order to
    evacuate it. `end`: of the run."""
    broken = []
    for finish in zone.finishes:
        if not finish.is_acknowledged:
            continue
        until = min((start.sent_at for start in zone.starts if start.ended_at > finish.sent_at), default=end)
        opens_by = max(finish.ended_at, zone.calm_at) + REOPENS_WITHIN_NS
        if until >= opens_by and not any(finish.ended_at < arrival.at < until for arrival in zone.arrivals):
            broken.append(f"no request for {(until - finish.ended_at) / SEC:.1f} s after a restoration")
    return broken


def _first_finish(zone: ZoneRecord, start: Order) -> float:
    """Returns when the first attempt that may end an evacuation was sent behind its acknowledgement."""
    ending = (each.sent_at for each in zone.finishes if each.sent_at >= start.ended_at)
    if start.key:
        ending = (each.sent_at for each in zone.finishes if each.key == start.key and each.sent_at >= start.ended_at)
    return min(ending, default=float("inf"))


def _is_in_touch(arrival: Arrival, disturbed: dict[str, list[int]], after: int) -> bool:
    return all(not arrival.at - after < time <= arrival.at for time in disturbed.get(arrival.node, ()))
