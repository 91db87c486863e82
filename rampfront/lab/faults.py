"""The fault timeline: scripted faults expanded into single events by the seed alone. No I/O, no clock.

`timeline(plan, seed)` returns the same list in order of time for the same plan and seed. Each event starts or ends one
fault at one target; the emulator and the runner each apply the events of their own targets.
"""

from dataclasses import asdict, dataclass
from random import Random

from .plan import named_servers

SEC = 10**9


@dataclass(frozen=True, slots=True)
class Event:
    """The start or the end of a fault at one target."""

    at: int  # ns since the start of the run
    number: int  # the fault's index in the file, the same for its start and its end
    on: bool
    target: str  # box:K, node:K, counter or discovery
    kind: str
    size: float = 0.0
    halves: tuple = ()

    def as_log_row(self):
        """Returns the event as a row of the fault log, with its time in seconds."""
        return {**asdict(self), "at": round(self.at / SEC, 3)}


def draw_value(value_or_range, rng):
    """Returns the value, or one drawn uniformly from the range [low, high]."""
    return float(value_or_range) if isinstance(value_or_range, (int, float)) else rng.uniform(*value_or_range)


def resolve_targets(fault, plan, rng):
    """Returns the single targets that a fault's `target` refers to."""
    target_kind, _, number = fault.target.partition(":")
    servers = named_servers(plan)
    if number == "any":
        return [f"{target_kind}:{rng.randrange(len(servers) if target_kind == 'box' else plan.topology.nodes)}"]
    if fault.target == "boxes":
        return [f"box:{k}" for k in range(len(servers))]
    if number or target_kind in ("counter", "discovery", "collector"):
        return [fault.target]
    return [f"box:{k}" for k, (_, group) in enumerate(servers) if group.name == target_kind]


def halves(fault, nodes):
    """Returns, for each node, the half of a split counter that it is connected to."""
    if not fault.halves:
        return tuple(k % 2 for k in range(nodes))
    return tuple(
        next((half for half, node_indexes in enumerate(fault.halves) if k in node_indexes), 0) for k in range(nodes)
    )


def timeline(plan, seed):
    """Returns the events of all faults of a plan, in order of time."""
    rng = Random(f"{seed}/faults")
    events = []
    for number, fault in enumerate(plan.faults):
        at, duration_s, size = draw_value(fault.at_s, rng), draw_value(fault.for_s, rng), draw_value(fault.size, rng)
        node_halves = halves(fault, plan.topology.nodes) if fault.kind == "split" else ()
        for target in resolve_targets(fault, plan, rng):
            events.append(Event(round(at * SEC), number, True, target, fault.kind, size, node_halves))
            if duration_s and (target, fault.kind) != ("counter", "restart"):
                events.append(
                    Event(round((at + duration_s) * SEC), number, False, target, fault.kind, size, node_halves)
                )
    return sorted(events, key=lambda event: (event.at, event.on, event.number, event.target))
