"""Applies the faults of an experiment's schedule to the nodes, the servers and the platform of a run."""

from __future__ import annotations

import asyncio
import shutil
import signal
import time
from collections.abc import Hashable
from random import Random

from ...operator_cli.local_layout import Node
from ..faults import Event
from ..nodes import process_usage
from ..simulated_servers import RESPONSE_FAULTS
from . import plan as plans
from .running_system import RunningSystem

_NS_PER_MS = 10**6
_NS_PER_S = 10**9
_DEFAULT_FAULT_SHARE = 0.3  # of spoilt answers or lost frames, if the experiment file gives none
_DEFAULT_RESTART_DELAY_NS = _NS_PER_S  # of a killed process, if the experiment file gives none
_DEFAULT_SYNC_DELAY_MS = 200  # of a slow disk, if the experiment file gives none
_DEFAULT_COLD_S = 3.0  # of a server that becomes cold, if the experiment file gives none
_EXIT_TIMEOUT_S = 10  # after which a process that does not exit is killed
_EXIT_POLL_S = 0.01
_ENDING_KINDS = ("kill", "wipe", "stop")


class FaultInjector:
    """Starts and ends faults.

    Attributes:
        log: the faults as they were applied, as rows of the report.
        draining_since: when the platform's list begins to show a server as emptying, by its id.
    """

    def __init__(self, system: RunningSystem, rng: Random) -> None:
        """`rng`: draws which answers of a server are spoilt."""
        self.log: list[dict[str, object]] = []
        self.draining_since: dict[str, int] = {}
        self._system = system
        self._rng = rng
        self._spoils: dict[int, dict[str, float]] = {}  # kind to share, by the number of the server
        self._started_at: dict[Hashable, int] = {}  # of the faults that have not ended
        self._down_nodes: set[str] = set()

    def apply(self, event: Event) -> None:
        """Starts or ends a fault at its target."""
        now_ns = time.monotonic_ns()
        late_ms = round((now_ns - self._system.started_at - event.at) / _NS_PER_MS, 1)
        self.log.append({**event.as_log_row(), "late_ms": late_ms})
        target = event.target.split(":")
        if target[0] == "node":
            self._apply_to_node(event, self._system.nodes[int(target[1])], now_ns)
        elif target[0] == "server":
            self._apply_to_server(event, int(target[1]))
        else:
            fault = int(event.kind) if event.kind.isdigit() else event.kind
            self._system.platform.fault = fault if event.on else None

    def begin_period(self, key: Hashable, now_ns: int) -> None:
        """Begins a period in which the system counts as disturbed."""
        self._started_at[key] = now_ns

    def end_period(self, key: Hashable, now_ns: int) -> None:
        """Ends such a period."""
        self._system.observed.fault_periods.append((self._started_at.pop(key, now_ns), now_ns))

    def end_all_periods(self, now_ns: int) -> None:
        """Ends the periods of the faults that have not ended, at the end of the run."""
        for key in list(self._started_at):
            self.end_period(key, now_ns)

    def choose_spoil(self, number: int, service: plans.Service) -> str | None:
        """Returns how to spoil the next answer of a server, or None."""
        for kind, share in [*self._spoils.get(number, {}).items(), *service.spoils.items()]:
            if self._rng.random() < share:
                return kind
        return None

    # ---- nodes

    def _apply_to_node(self, event: Event, node: Node, now_ns: int) -> None:
        """Starts or ends a fault at a node. Its period lasts until its end, or until the node is started again."""
        key = event.number, node.name
        if event.on:
            self.begin_period(key, now_ns)
        else:
            self.end_period(key, now_ns)
        if event.kind in _ENDING_KINDS:
            self._end_or_restart(event, node, now_ns)
        elif event.kind == "freeze":
            self._system.children[node.name].send_signal(signal.SIGSTOP if event.on else signal.SIGCONT)
        elif event.kind in ("cut", "lossy"):
            self._apply_to_links(event, node)
        else:
            self._apply_to_disk(event, node)

    def _end_or_restart(self, event: Event, node: Node, now_ns: int) -> None:
        """Ends a node's process, or starts it again after `for_s`; after a second if that is not given."""
        if not event.on:
            self._system.loop.create_task(self._restart(event, node))
            return
        child = self._system.children[node.name]
        self._system.earlier_cpu_s[node.name] += process_usage(child.pid)[0]
        child.send_signal(signal.SIGTERM if event.kind == "stop" else signal.SIGKILL)
        self._down_nodes.add(node.name)
        if event.kind == "stop":
            self._system.observed.stops.append((node.ip, now_ns))
        if not self._has_end(event):
            self._system.schedule_call(_DEFAULT_RESTART_DELAY_NS, self._restart_by_default, event, node)

    def _has_end(self, event: Event) -> bool:
        """Whether the schedule ends the fault."""
        return any(
            other.number == event.number and other.target == event.target and not other.on
            for other in self._system.events
        )

    def _restart_by_default(self, event: Event, node: Node) -> None:
        """Ends the period of a fault without an end, and starts the node again."""
        self.end_period((event.number, node.name), time.monotonic_ns())
        self._system.loop.create_task(self._restart(event, node))

    async def _restart(self, event: Event, node: Node) -> None:
        """Starts a node's process once the former one has exited; a wiped node finds no data folder."""
        child = self._system.children[node.name]
        deadline_s = time.monotonic() + _EXIT_TIMEOUT_S
        while child.poll() is None and time.monotonic() < deadline_s:
            await asyncio.sleep(_EXIT_POLL_S)
        if child.poll() is None:
            child.kill()
            child.wait()
        if event.kind == "wipe" and node.disk:
            shutil.rmtree(self._system.folder / node.name, ignore_errors=True)
        self._system.launch(node, first=False)
        self._down_nodes.discard(node.name)
        if not self._down_nodes and self._strikes_all_nodes(event):
            self._system.observed.all_restored_at = time.monotonic_ns()

    def _strikes_all_nodes(self, event: Event) -> bool:
        """Whether the fault ends the processes of all nodes."""
        struck = sum(other.number == event.number and other.on for other in self._system.events)
        return struck == len(self._system.nodes)

    def _apply_to_links(self, event: Event, node: Node) -> None:
        """Starts or ends a fault of a node's links to the other nodes."""
        relay = self._system.relay
        assert relay is not None, "a run with faults of links has a relay"
        key = event.number, node.name
        if event.kind == "cut" and event.on:
            relay.cuts.setdefault(event.number, set()).add(node.ip)
        elif event.kind == "cut":
            relay.cuts.pop(event.number, None)  # the links of all nodes of the cut are restored together
        elif event.on:
            relay.losses[key] = {node.ip}, event.size or _DEFAULT_FAULT_SHARE
        else:
            relay.losses.pop(key)

    def _apply_to_disk(self, event: Event, node: Node) -> None:
        """Starts or ends a fault of a node's disk, by the command file that `machine.FaultyDisk` reads."""
        path = self._system.folder / f"{node.name}.disk"
        path.unlink(missing_ok=True)
        if event.on:
            path.write_text("full" if event.kind == "disk" else f"{event.size or _DEFAULT_SYNC_DELAY_MS:g}")

    # ---- servers

    def _apply_to_server(self, event: Event, number: int) -> None:
        """Starts or ends a fault at a server."""
        if event.kind in RESPONSE_FAULTS:
            spoils = self._spoils.setdefault(number, {})
            if event.on:
                spoils[event.kind] = event.size or _DEFAULT_FAULT_SHARE
            else:
                spoils.pop(event.kind, None)
        elif event.kind == "chill":
            if event.on:
                self._system.boxes[number].begin_cold_spell(round((event.size or _DEFAULT_COLD_S) * _NS_PER_S))
        elif event.kind == "crash":
            self._crash_or_replace(event, number)
        elif event.on:
            self._release(number)

    def _crash_or_replace(self, event: Event, number: int) -> None:
        """Crashes a server, which stays on the platform's list for a while, or starts its successor."""
        if not event.on:
            self._start_successor(number)
            return
        uid = self._system.boxes[number].uid
        self._system.fleet.end(uid, listed=True)
        listed_ns = round(self._system.plan.platform.listed_s * _NS_PER_S)
        self._system.schedule_call(listed_ns, self._system.platform.remove, uid)

    def _release(self, number: int) -> None:
        """Lets a server empty, and starts a new one beside it."""
        model = self._system.plan.platform
        uid = self._system.boxes[number].uid
        self._system.fleet.drain(uid)
        self.draining_since[uid] = time.monotonic_ns() + round(model.lag_s * _NS_PER_S)
        self._system.schedule_call(round(model.drain_s * _NS_PER_S), self._system.fleet.end, uid)
        self._start_successor(number)

    def _start_successor(self, number: int) -> None:
        """Starts the next server of a number, which is cold at first."""
        service, _ = plans.server_placements(self._system.plan)[number]
        self._system.loop.create_task(self._system.start_server(number, round(service.warmup_s * _NS_PER_S)))
