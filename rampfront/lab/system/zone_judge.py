"""Judges a run in which several operators evacuate the same zone, by the requests that reached the zone's servers.

An operator holds a zone from the 200 to its `empty.start` until it sends its first `empty.finish` (RULES.md, EVAC).
While anybody holds a zone, no node in touch sends a request there, but for the time that an evacuation may take. Once
nobody holds it any more, requests reach it again, unless the answer to the last `empty.finish` says that it stays
evacuated.

Times are ns of the monotonic clock. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

SEC = 10**9
REOPENS_WITHIN_NS = 12 * SEC  # a change of leader, and the servers' slow start


@dataclass(slots=True)
class Hold:
    """One evacuation of a zone by one operator.

    `begun_at`: of its acknowledgement; `ended_at`: when the first attempt to restore the zone was sent;
    `restored_at`: when that order was acknowledged; `stays_evacuated`: whether the answer says that the zone does."""

    begun_at: int
    ended_at: int | None = None
    restored_at: int | None = None
    stays_evacuated: bool = False


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
    """What was done with one zone, and the requests that reached it, in order. `calm_at`: when the last disturbance
    ended."""

    holds: list[Hold] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    calm_at: int = 0


def judge_holds(zone: ZoneRecord, disturbed: dict[str, list[int]], bounds: Bounds) -> list[str]:
    """Returns the requests that reached a zone that an operator held. `disturbed`: when each node was."""
    broken = []
    for arrival in zone.arrivals:
        hold = _current_hold(zone.holds, arrival.at, bounds.evacuated_within)
        if hold is not None and _is_in_touch(arrival, disturbed, bounds.in_touch_after):
            elapsed_s = (arrival.at - hold.begun_at) / SEC
            broken.append(f"{arrival.try_id} from {arrival.node} {elapsed_s:.3f} s after the evacuation")
    return broken


def judge_restoration(zone: ZoneRecord, end: int) -> list[str]:
    """Returns what was broken if a zone that nobody holds gets no requests until the end of the run."""
    restored = [hold for hold in zone.holds if hold.restored_at is not None]
    if not restored or len(restored) < len(zone.holds):
        return []
    last = max(restored, key=lambda hold: hold.restored_at or 0)
    opens_by = max(last.restored_at or 0, zone.calm_at) + REOPENS_WITHIN_NS
    if last.stays_evacuated or end < opens_by:
        return []
    if any(last.restored_at is not None and arrival.at > last.restored_at for arrival in zone.arrivals):
        return []
    return [f"no request for {(end - (last.restored_at or 0)) / SEC:.1f} s after the last restoration"]


def _current_hold(holds: Iterable[Hold], at: int, within: int) -> Hold | None:
    """Returns a hold that is in force at a time, although its evacuation may take a while; None if there is none."""
    return next((hold for hold in holds if hold.begun_at + within < at < (hold.ended_at or at + 1)), None)


def _is_in_touch(arrival: Arrival, disturbed: dict[str, list[int]], after: int) -> bool:
    return all(not arrival.at - after < time <= arrival.at for time in disturbed.get(arrival.node, ()))
