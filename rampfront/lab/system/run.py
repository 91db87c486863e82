"""Plays an experiment on the whole system: pilots as processes, the rest in this one. `play(plan, variant, seed, folder)`.

A run leaves a folder: `plan.json`, `report.json` and the pilots' settings and logs. It owns what it started, and ends it
whatever happens.
"""

import asyncio
import errno
import json
import shutil
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from random import Random

import msgspec
import uvloop

from ...operator_cli.control_answers import format_address
from ...operator_cli.local_layout import Environment, LocalSystemError, Node, node_settings
from ...operator_cli.local_system import LocalSystem, SystemSize
from ...settings.scalars import parse_address
from ..nodes import RunFailedError, process_usage
from ..platform import Platform, open_platform
from ..simulated_servers import RESPONSE_FAULTS, Fleet, ServerProfile
from . import plan as plans
from . import schedule
from .clients import Crowd, Fixed, Operator
from .judge import Ordered, Seen, Server
from .relay import Relay

MS, SEC = 10**6, 10**9
WIRE, RELAY = 4, 7  # of a node's row of ports: where nodes hear each other, and where the relay stands
LEAD = SEC  # from the last ready node to the run's start
USUAL = 0.3  # share of answers that a fault spoils, where the file does not say
BACK = SEC  # a killed process is started again behind so long, where the file does not say
CAUGHT = 3.0  # s: how long a read back is asked for at the end


def make(service):
    return ServerProfile(
        service.name,
        slots=service.slots,
        queue=service.queue,
        latency=service.latency,
        warm_s=service.warm_s,
        cold_share=service.cold_share,
        max_conns=service.connections,
        idle_s=service.idle_s,
        tells_load=service.tells_load,
        cold_per_s=service.cold_per_s,
        body_bytes=service.body_bytes,
    )


class World(LocalSystem):
    """One run's system and all that stands around it."""

    def __init__(self, loop, plan, variant, seed, folder):
        body = json.dumps(plans.configuration(plan, 1)).encode()
        super().__init__(loop, SystemSize(len(plans.places(plan)), plan.base), body=body, folder=folder)
        self.plan, self.variant, self.seed, self.terms = plan, variant, seed, plans.terms(plan)
        self.counts, self.rng, self.defect, self.relay = Counter(), Random(f"{seed}/world"), None, None
        self.events = schedule.faults(plan, seed)
        self.rigged = variant != "system" or any(e.kind in ("cut", "lossy", "disk", "slow_disk") for e in self.events)
        self.seen, self.told, self.spent = Seen(), [], Counter()  # told: the faults as carried out
        self.boxes, self.stamps, self.spoils = (
            [],
            {},
            {},
        )  # boxes: the newest life at each number; stamps: when it emptied
        self.timers, self.since, self.down = [], {}, set()

    # ---- what this small system does its own way

    def layout_nodes(self, port):
        first = plans.ip(self.plan.base)
        return [
            Node(f"pilot-{k + 1}", str(first + k), zone, port, disk)
            for k, (zone, disk) in enumerate(plans.places(self.plan))
        ]

    async def prepare(self):
        if self.rigged:
            port = self.nodes[0].port
            self.relay = Relay(self.loop, [node.ip for node in self.nodes], port + RELAY, port + WIRE, self.seed)
            await self.relay.listen()

    def process_settings(self, node, first):
        environment = Environment(
            self.nodes,
            format_address(self.listener.address),
            self.folder,
            self.plan.zones,
            plans.ms(1000 * self.plan.platform.lag_s),
            self.plan.guarantees,
        )
        return node_settings(node, environment, first)

    def program(self, node):
        if not self.rigged:
            return super().program(node)
        told = {
            "relay": self.relay.at,
            "variant": self.variant,
            "pilots": len(self.nodes),
            "disk": str(self.folder / f"{node.name}.disk"),
        }
        return [sys.executable, "-m", "rampfront.lab.system.machine", json.dumps(told)]

    async def start_simulated_parts(self):
        clock = time.monotonic_ns
        told = self.plan.platform
        self.platform = Platform(clock, told.page, round(told.lag_s * SEC), told.per_s)
        self.listener = await open_platform(self.loop, self.platform)
        self.fleet = Fleet(self.loop, clock, self.platform, seed=self.seed)
        for number, (service, zone) in enumerate(plans.servers(self.plan)):
            self.boxes.append(None)
            await self.server(number, 0)

    async def server(self, number, cold):
        service, zone = plans.servers(self.plan)[number]
        box = await self.fleet.start(
            make(service), zone, cold=cold, choose_fault=lambda box, request: self.spoil(number, service)
        )
        box.arrivals = []
        self.boxes[number] = box

    def spoil(self, number, service):
        for kind, share in [*self.spoils.get(number, {}).items(), *service.spoils.items()]:
            if self.rng.random() < share:
                return kind
        return None

    # ---- faults

    def fault(self, event):
        now = time.monotonic_ns()
        self.told.append({**event.as_log_row(), "late_ms": round((now - self.begun - event.at) / MS, 1)})
        head, _, number = event.target.partition(":")
        if head == "node":
            self.at_node(event, self.nodes[int(number)], now)
        elif head == "server":
            self.at_server(event, int(number))
        else:
            self.platform.fault = (int(event.kind) if event.kind.isdigit() else event.kind) if event.on else None

    def at_node(self, event, node, now):
        """Kills last for `for_s`, or a second; every fault at a node is trouble until it ends."""
        key, child = (event.number, node.name), self.children[node.name]
        if event.on:
            self.since[key] = now
        else:
            self.seen.troubles.append((self.since.pop(key, now), now))
        if event.kind in ("kill", "wipe", "stop"):
            if event.on:
                self.spent[node.name] += process_usage(child.pid)[0]
                child.send_signal(signal.SIGTERM if event.kind == "stop" else signal.SIGKILL)
                self.down.add(node.name)
                if event.kind == "stop":
                    self.seen.stopped.append((node.ip, now))
                if not any(e.number == event.number and e.target == event.target and not e.on for e in self.events):
                    self.later(BACK, self.back, event, node, key)
            else:
                self.loop.create_task(self.rise(event, node))
        elif event.kind == "freeze":
            child.send_signal(signal.SIGSTOP if event.on else signal.SIGCONT)
        elif event.kind == "cut":
            if event.on:
                self.relay.cuts.setdefault(event.number, set()).add(node.ip)
            else:
                self.relay.cuts.pop(event.number, None)  # its nodes are joined again together
        elif event.kind == "lossy":
            if event.on:
                self.relay.losses[key] = {node.ip}, event.size or USUAL
            else:
                self.relay.losses.pop(key)
        else:
            path = self.folder / f"{node.name}.disk"
            path.unlink(missing_ok=True)
            if event.on:
                path.write_text("full" if event.kind == "disk" else f"{event.size or 200:g}")

    def later(self, span, what, *about):
        self.timers.append(self.loop.call_later(max(0, span) / SEC, what, *about))

    def back(self, event, node, key):
        self.seen.troubles.append((self.since.pop(key, time.monotonic_ns()), time.monotonic_ns()))
        self.loop.create_task(self.rise(event, node))

    async def rise(self, event, node):
        """The process is started again, once it is gone; a wiped one finds no folder."""
        child, until = self.children[node.name], time.monotonic() + 10
        while child.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        if child.poll() is None:
            child.kill()
            child.wait()
        if event.kind == "wipe" and node.disk:
            shutil.rmtree(self.folder / node.name, ignore_errors=True)
        self.launch(node, first=False)
        self.down.discard(node.name)
        if not self.down and sum(e.number == event.number and e.on for e in self.events) == len(self.nodes):
            self.seen.lost_all = time.monotonic_ns()

    def at_server(self, event, number):
        box = self.boxes[number]
        if event.kind in RESPONSE_FAULTS:
            some = self.spoils.setdefault(number, {})
            if event.on:
                some[event.kind] = event.size or USUAL
            else:
                some.pop(event.kind, None)
        elif event.kind == "chill":
            if event.on:
                box.begin_cold_spell(round((event.size or 3.0) * SEC))
        elif event.kind == "crash":
            if event.on:
                self.fleet.end(box.uid, listed=True)
                self.later(round(self.plan.platform.listed_s * SEC), self.platform.remove, box.uid)
            else:
                self.loop.create_task(self.server(number, self.warmup(number)))
        elif event.on:  # release: it empties, and a new life stands beside it
            self.fleet.drain(box.uid)
            self.stamps[box.uid] = time.monotonic_ns() + round(self.plan.platform.lag_s * SEC)
            self.later(round(self.plan.platform.drain_s * SEC), self.fleet.end, box.uid)
            self.loop.create_task(self.server(number, self.warmup(number)))

    def warmup(self, number):
        return round(plans.servers(self.plan)[number][0].warmup_s * SEC)

    # ---- a run

    async def run(self):
        """Everything of the schedule; returns the crowd."""
        first = Ordered("config.replace", time.monotonic_ns(), 1, self.body)
        await self.start()
        first.acked = time.monotonic_ns()
        self.begun = time.monotonic_ns() + LEAD
        operator, due = Operator(self), schedule.arrivals(self.plan, self.seed)
        operator.given.append(first)
        crowd = Crowd(self, due, self.begun)
        events = [(e.at, self.fault, e) for e in self.events]
        events += [(s.at, lambda s: self.loop.create_task(operator.give(s)), s) for s in schedule.orders(self.plan)]
        for at, what, about in sorted(events, key=lambda row: row[0]):
            self.later(self.begun + at - time.monotonic_ns(), what, about)
        sampler = asyncio.ensure_future(self.sample())
        await asyncio.sleep((self.begun - time.monotonic_ns()) / SEC + self.plan.duration_s)
        await crowd.over()
        crowd.pacer.end()
        sampler.cancel()
        now = time.monotonic_ns()
        self.seen.troubles += [(since, now) for since in self.since.values()]
        self.usage = self.used(now)
        until = time.monotonic() + CAUGHT
        while (read := await operator.read_back()) is None and time.monotonic() < until:
            await asyncio.sleep(0.2)
        self.seen.read_back, self.seen.end = read, now
        self.seen.tries, self.seen.orders = crowd.tries, operator.given
        self.seen.servers = [
            Server(
                box.uid,
                box.profile,
                box.zone,
                box.runs,
                box.arrivals,
                box.max_cold_arrivals,
                self.stamps.get(box.uid, 0),
            )
            for box in self.fleet.servers.values()
        ]
        if self.defect is not None:
            raise RunFailedError(f"the laboratory failed: {self.defect!r}")
        return crowd

    async def sample(self):
        """Idle connections of the servers end in time, and the highest memory of each pilot is seen."""
        self.memory = Counter()
        while True:
            for box in self.fleet.servers.values():
                box.close_idle_connections()
            for name, child in self.children.items():
                self.memory[name] = max(self.memory[name], process_usage(child.pid)[1])
            await asyncio.sleep(0.5)

    def used(self, now):
        span = (now - self.begun) / SEC
        return {
            name: {
                "cores": round((self.spent[name] + process_usage(child.pid)[0]) / span, 3),
                "mb_most": round(self.memory[name] / 1e6, 1),
            }
            for name, child in self.children.items()
        }

    async def end(self):
        for timer in self.timers:
            timer.cancel()
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
        codes = await super().end()
        if self.relay:
            self.relay.close()
        return codes


def within(plan, variant, seed, folder, what):
    """`what(world)` in a loop of its own; everything that was started is ended behind it."""
    folder = Path(folder)
    if (folder / "report.json").exists():
        raise RunFailedError(f"{folder} holds a run already")
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "plan.json").write_bytes(msgspec.json.format(msgspec.json.encode(plan)))

    async def act():
        world = World(asyncio.get_running_loop(), plan, variant, seed, folder.resolve())
        try:
            return await what(world)
        finally:
            await world.end()

    try:
        return uvloop.run(act())
    except LocalSystemError as trouble:
        raise RunFailedError(str(trouble)) from None
    except OSError as trouble:
        if trouble.errno == errno.EADDRINUSE:
            raise RunFailedError(
                f"an address is taken: another run at {plan.base}? `base` names other addresses"
            ) from None
        raise


def play(plan, variant, seed, folder):
    """One run of one variant; returns its report, which is in the folder too."""
    from . import report

    async def act(world):
        crowd = await world.run()
        return report.summarize(world, crowd)

    said = within(plan, variant, seed, folder, act)
    (Path(folder) / "report.json").write_text(json.dumps(said, indent=1))
    return said


async def phase(world, due, length, places):
    """One way at one rate: (rows, cores of each pilot)."""
    before = [process_usage(child.pid)[0] for child in world.children.values()]
    crowd = Crowd(world, due, time.monotonic_ns() + SEC // 4, [[Fixed(world, places)]])
    await asyncio.sleep(0.25 + length)
    cores = [
        (process_usage(child.pid)[0] - was) / (length + 0.25) for child, was in zip(world.children.values(), before)
    ]
    await crowd.over()
    crowd.pacer.end()
    if world.defect is not None:
        raise RunFailedError(f"the laboratory failed: {world.defect!r}")
    await asyncio.sleep(0.3)
    return crowd.rows, cores


def speed(plan, folder):
    """Rates of the first stream straight to its servers, through one pilot and through all, in turn in one run: rows of
    (way, rate, report)."""
    from . import report

    stream, length = plan.streams[0], plan.speed.seconds
    service = next(route for route in plan.routes if route.name == stream.route).service

    async def act(world):
        await world.start()
        await asyncio.sleep(1.0)
        fronts = [parse_address(node.front) for node in world.nodes]
        ways = {
            "direct": [parse_address(box.address) for box in world.boxes if box.profile.service == service],
            "one pilot": fronts[:1],
            f"{len(fronts)} pilots": fronts,
        }
        rows = []
        for rate in plan.speed.rates:
            told = world.plan = msgspec.structs.replace(
                plan,
                duration_s=length,
                warmup_s=min(1.0, length / 4),
                streams=[msgspec.structs.replace(stream, rate=rate, kept=1.0, from_s=0.0, until_s=0.0)],
            )
            found = {way: [] for way in ways}
            for number in range(plan.speed.rounds):
                due = schedule.arrivals(told, plan.seed + number)
                for way, places in ways.items():
                    found[way].append(await phase(world, due, length, places))
            rows += [report.speed(told, way, rate, rounds) for way, rounds in found.items()]
        return report.added(rows)

    said = within(plan, "system", plan.seed, folder, act)
    (Path(folder) / "report.json").write_text(json.dumps(said, indent=1))
    return said
