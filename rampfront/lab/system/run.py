"""Runs an experiment on the whole system: `run_variant(plan, variant, seed, folder)`.

The proxy nodes are child processes; all other parts run in this process. A run writes a folder with `plan.json`,
`report.json` and the settings and logs of the nodes. It owns the processes that it starts, and ends them in any case.
"""

import asyncio
import errno
import json
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
from ..nodes import RunFailedError, process_usage
from ..platform import Platform, open_platform
from ..simulated_servers import Fleet, ServerProfile, SimulatedServer
from . import plan as plans
from . import schedule
from .clients import Client, LoadGenerator, Operator
from .fault_injection import FaultInjector
from .judge import Observations, SentOrder, Server
from .relay import Relay

MS, SEC = 10**6, 10**9
# Offsets in a node's port range: the port for frames of other nodes, and the port of the relay.
WIRE_PORT_OFFSET, RELAY_PORT_OFFSET = 4, 7
START_DELAY_NS = SEC  # from the moment when all nodes are ready to the start of the schedule
READ_BACK_TIMEOUT_S = 3.0  # of the attempts to read the configuration at the end


def server_properties(service):
    """Returns the properties of a service's emulated servers."""
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


class EmulatedSystem(LocalSystem):
    """The system of one run, with its emulated clients, servers, platform and faults."""

    def __init__(self, loop, plan, variant, seed, folder):
        """`variant`: one of `plan.VARIANTS`; `folder`: that of the run."""
        body = json.dumps(plans.configuration(plan, 1)).encode()
        super().__init__(loop, SystemSize(len(plans.node_placements(plan)), plan.base), body=body, folder=folder)
        self.plan, self.variant, self.seed, self.terms = plan, variant, seed, plans.read_terms(plan)
        self.counts, self.rng, self.internal_error, self.relay = Counter(), Random(f"{seed}/world"), None, None
        self.events = schedule.fault_events(plan, seed)
        self.uses_lab_nodes = variant != "system" or any(
            event.kind in ("cut", "lossy", "disk", "slow_disk") for event in self.events
        )
        # `boxes`: the newest server of each number; `earlier_cpu_s`: processor time of a node's former processes.
        self.observed, self.boxes, self.earlier_cpu_s, self.timers = Observations(), [], Counter(), []
        self.faults = FaultInjector(self, self.rng)

    # ---- overrides of LocalSystem

    def layout_nodes(self, port):
        """Returns the nodes of the plan, whose ports begin at `port`."""
        first = plans.parse_ip(self.plan.base)
        return [
            Node(f"pilot-{index + 1}", str(first + index), zone, port, disk)
            for index, (zone, disk) in enumerate(plans.node_placements(self.plan))
        ]

    async def prepare(self):
        """Starts the relay if the run needs one."""
        if self.uses_lab_nodes:
            port = self.nodes[0].port
            self.relay = Relay(
                self.loop,
                [node.ip for node in self.nodes],
                port + RELAY_PORT_OFFSET,
                port + WIRE_PORT_OFFSET,
                self.seed,
            )
            await self.relay.listen()

    def process_settings(self, node, first_boot):
        """Returns a node's settings file."""
        environment = Environment(
            self.nodes,
            format_address(self.listener.address),
            self.folder,
            self.plan.zones,
            plans.format_ms(1000 * self.plan.platform.lag_s),
            self.plan.guarantees,
        )
        return node_settings(node, environment, first_boot)

    def program(self, node):
        """Returns the command that starts a node: the laboratory's own program if the run needs its modified parts."""
        if not self.uses_lab_nodes:
            return super().program(node)
        options = {
            "relay": self.relay.listen_port,
            "variant": self.variant,
            "pilots": len(self.nodes),
            "disk": str(self.folder / f"{node.name}.disk"),
        }
        return [sys.executable, "-m", "rampfront.lab.system.machine", json.dumps(options)]

    async def start_simulated_parts(self):
        """Starts the platform and the servers of the plan."""
        clock = time.monotonic_ns
        model = self.plan.platform
        self.platform = Platform(clock, model.page, round(model.lag_s * SEC), model.per_s)
        self.listener = await open_platform(self.loop, self.platform)
        self.fleet = Fleet(self.loop, clock, self.platform, seed=self.seed, make_server=self.make_server)
        for number, (service, zone) in enumerate(plans.server_placements(self.plan)):
            self.boxes.append(None)
            await self.start_server(number, 0)

    def make_server(self, *arguments):
        """Returns a new server; the parameters are those of `SimulatedServer`."""
        return SimulatedServer(*arguments)

    def make_clients(self):
        """Returns the clients of each zone."""
        return [[Client(self, zone, number) for number in range(self.plan.clients)] for zone in self.plan.zones]

    def begin_disturbances(self):
        """Called when the schedule begins. Subclasses may disturb the run beyond its schedule."""

    async def end_disturbances(self):
        """Called when all requests have ended."""

    async def start_server(self, number, cold):
        """Starts the server of a number, which is cold for the given ns."""
        service, zone = plans.server_placements(self.plan)[number]
        box = await self.fleet.start(
            server_properties(service),
            zone,
            cold=cold,
            choose_fault=lambda box, request: self.faults.choose_spoil(number, service),
        )
        box.arrivals = []
        self.boxes[number] = box

    def schedule_call(self, delay_ns, action, *arguments):
        """Calls an action after a delay, unless the run ends before."""
        self.timers.append(self.loop.call_later(max(0, delay_ns) / SEC, action, *arguments))

    # ---- a run

    async def run(self):
        """Runs the whole schedule and returns the load generator."""
        first = SentOrder("config.replace", time.monotonic_ns(), 1, self.body)
        await self.start()
        first.acked_at = time.monotonic_ns()
        self.started_at = time.monotonic_ns() + START_DELAY_NS
        operator, arrivals = Operator(self), schedule.arrivals(self.plan, self.seed)
        operator.sent_orders.append(first)
        generator = LoadGenerator(self, arrivals, self.started_at, self.make_clients())
        events = [(event.at, self.faults.apply, event) for event in self.events]
        events += [
            (step.at, lambda step: self.loop.create_task(operator.send_order(step)), step)
            for step in schedule.order_steps(self.plan)
        ]
        for at, action, argument in sorted(events, key=lambda row: row[0]):
            self.schedule_call(self.started_at + at - time.monotonic_ns(), action, argument)
        sampler = asyncio.ensure_future(self.sample_resources())
        self.begin_disturbances()
        await asyncio.sleep((self.started_at - time.monotonic_ns()) / SEC + self.plan.duration_s)
        await generator.wait_finished()
        generator.pacer.end()
        await self.end_disturbances()
        sampler.cancel()
        now = time.monotonic_ns()
        self.faults.end_all_periods(now)
        self.usage = self.resource_usage(now)
        deadline = time.monotonic() + READ_BACK_TIMEOUT_S
        while (body := await operator.read_configuration()) is None and time.monotonic() < deadline:
            await asyncio.sleep(0.2)
        self.observed.final_configuration, self.observed.end = body, now
        self.observed.tries, self.observed.orders = generator.tries, operator.sent_orders
        self.observed.servers = [
            Server(
                box.uid,
                box.profile,
                box.zone,
                box.runs,
                box.arrivals,
                box.max_cold_arrivals,
                self.faults.draining_since.get(box.uid, 0),
            )
            for box in self.fleet.servers.values()
        ]
        if self.internal_error is not None:
            raise RunFailedError(f"defect of the laboratory: {self.internal_error!r}")
        return generator

    async def sample_resources(self):
        """Closes expired idle connections of the servers and records the peak memory of each node, until cancelled."""
        self.memory = Counter()
        while True:
            for box in self.fleet.servers.values():
                box.close_idle_connections()
            for name, child in self.children.items():
                self.memory[name] = max(self.memory[name], process_usage(child.pid)[1])
            await asyncio.sleep(0.5)

    def resource_usage(self, now):
        """Returns each node's mean processor cores and peak memory since the start of the schedule."""
        elapsed_s = (now - self.started_at) / SEC
        return {
            name: {
                "cores": round((self.earlier_cpu_s[name] + process_usage(child.pid)[0]) / elapsed_s, 3),
                "mb_most": round(self.memory[name] / 1e6, 1),
            }
            for name, child in self.children.items()
        }

    async def end(self):
        """Ends the run's processes and emulated parts; returns the exit codes of the nodes by name."""
        for timer in self.timers:
            timer.cancel()
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
        codes = await super().end()
        if self.relay:
            self.relay.close()
        return codes


def run_in_system(plan, variant, seed, folder, action):
    """Returns `await action(system)` for a new `EmulatedSystem`; see `run_system`. Raises `RunFailedError`."""
    return run_system(lambda loop, path: EmulatedSystem(loop, plan, variant, seed, path), plan, folder, action)


def run_system(make_system, plan, folder, action):
    """Returns `await action(system)`, run in its own event loop; afterwards ends everything that was started.

    `make_system`: returns the system for (loop, folder). Raises `RunFailedError`."""
    folder = Path(folder)
    if (folder / "report.json").exists():
        raise RunFailedError(f"{folder} already holds a run")
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "plan.json").write_bytes(msgspec.json.format(msgspec.json.encode(plan)))

    async def run_action():
        system = make_system(asyncio.get_running_loop(), folder.resolve())
        try:
            return await action(system)
        finally:
            await system.end()

    try:
        return uvloop.run(run_action())
    except LocalSystemError as error:
        raise RunFailedError(str(error)) from None
    except OSError as error:
        if error.errno == errno.EADDRINUSE:
            raise RunFailedError(
                f"an address is in use, possibly by another run at {plan.base}; set other addresses with `base`"
            ) from None
        raise


def run_variant(plan, variant, seed, folder):
    """Runs one variant of an experiment; returns its report and writes it to the folder. Raises `RunFailedError`."""
    from . import report

    async def run_and_report(system):
        generator = await system.run()
        return report.summarize(system, generator)

    written = run_in_system(plan, variant, seed, folder, run_and_report)
    (Path(folder) / "report.json").write_text(json.dumps(written, indent=1))
    return written
