"""Faults of machines, links, servers and the platform in a run of the whole system. Most public methods are rows of a
plan: one fault and its end. `target`: the number of a machine, or LEADER or LAST_ACKNOWLEDGER of `plan.py`. Times are
ms."""

from collections.abc import Iterable
from random import Random

from .fleet import ZONES, Machine
from .outside import Server
from .plan import SERVICES
from .world import Disk

MS, SEC = 10**6, 10**9
EMPTY_AFTER_POWER_LOSS = 0.15  # probability
FRESH_AGE = 130 * MS  # age of a node's state by its own clock; it is rarely less
MIN_SERVERS = 4  # of a service that stay up


class SystemFaults:
    """The faults' part of a run. Needs the run's `fleet`, `rng`, `faults_end_at`, `successors`, `pick` and `after`."""

    def start_later(self, machine: Machine, ms: int) -> None:
        """Starts a machine after `ms` ms."""
        self.after(ms, self.fleet.start, machine)

    def kill(self, target: int, ms: int) -> None:
        """Ends the process and starts it again after `ms` ms."""
        machine = self.pick(target)
        self.fleet.stop(machine)
        self.start_later(machine, ms)

    def term(self, target: int, ms: int) -> None:
        """Sends SIGTERM, SIGKILL after 6 s, and starts the process again `ms` ms later."""
        machine, fleet = self.pick(target), self.fleet
        if machine.up and not machine.node_process.shutdown.in_progress:
            fleet.fault_began(machine)
            fleet.do(machine, machine.life, machine.node_process.shutdown.begin)
            self.after(6000, self.kill_after_grace, machine, machine.life)
            self.after(6000 + ms, fleet.start, machine)

    def kill_after_grace(self, machine: Machine, life: int) -> None:
        """Sends SIGKILL, unless the process has ended before."""
        if machine.life == life:
            self.fleet.stop(machine)

    def may_wipe(self, machine: Machine) -> bool:
        """Whether the machine may be lost without more being lost at once than the core survives."""
        return machine.in_core and len({machine, *self.fleet.lost()}) <= self.fleet.survive

    def wipe(self, target: int, ms: int) -> None:
        """Empties the machine's disk if it may be lost; restarts the machine in either case."""
        machine = self.pick(target)
        if self.may_wipe(machine):
            self.fleet.wipe(machine)
            self.fleet.count("disks lost")
        else:
            self.fleet.stop(machine)
        self.start_later(machine, ms)

    def kill_all(self, salt: int, ms: int) -> None:
        """Cuts the power of all machines; some of them come back with an empty disk."""
        rng = Random(salt)
        for machine in self.fleet.machines:
            if rng.random() < EMPTY_AFTER_POWER_LOSS:
                self.wipe(self.fleet.machines.index(machine), rng.randrange(10, ms + 11))
            else:
                self.fleet.stop(machine)
                self.start_later(machine, rng.randrange(10, ms + 11))

    def zone(self, zone: str, ms: int) -> None:
        """Cuts the power of all machines and servers of a zone. Its servers are replaced by new, cold ones."""
        for machine in self.fleet.machines:
            if machine.zone == zone:
                self.fleet.stop(machine)
                self.start_later(machine, ms)
        for server in list(self.fleet.servers):
            if server.zone == zone and server.up:
                self.end_server(server, True, ms)

    def freeze(self, target: int, ms: int) -> None:
        """Suspends a process, which then goes on as if no time had passed."""
        machine = self.pick(target)
        if machine.up and not machine.frozen:
            self.fleet.freeze(machine)
            self.after(ms, self.fleet.thaw, machine, machine.life)

    def stutter(self, target: int, times: int, ms: int) -> None:
        """Suspends a process several times in succession."""
        self.freeze(target, ms)
        if times > 1 and self.fleet.now < self.faults_end_at:
            self.after(
                ms + self.rng.randrange(100), self.stutter, self.fleet.machines.index(self.pick(target)), times - 1, ms
            )

    def fault_disk(self, target: int, ms: int, **state: int) -> None:
        """Puts a disk into a faulty state for `ms` ms."""
        machine = self.pick(target)
        if (disk := machine.disk) is not None:
            for name, value in state.items():
                setattr(disk, name, value)
            self.fleet.fault_began(machine)
            self.after(ms, self.heal_disk, machine, disk)

    def heal_disk(self, machine: Machine, disk: Disk) -> None:
        """Ends all faults of a disk."""
        disk.hangs = disk.full = False
        disk.wait = disk.default_wait
        self.fleet.fault_ended(machine)

    def hang_disk(self, target: int, ms: int) -> None:
        """The disk does not answer."""
        self.fault_disk(target, ms, hangs=True)

    def fill_disk(self, target: int, ms: int) -> None:
        """The disk is full."""
        self.fault_disk(target, ms, full=True)

    def slow_disk(self, target: int, ms: int) -> None:
        """The disk is slow."""
        self.fault_disk(target, ms, wait=min(ms, 400) * MS)

    # ---- Machines that are replaced or restarted one by one

    def replace(self, target: int, ms: int) -> None:
        """Removes a machine of the core for good; an empty one with another address and name starts after `ms` ms."""
        machine = self.pick(target)
        if self.may_wipe(machine) and not self.is_being_replaced(machine):
            self.fleet.count("machines replaced")
            self.replace_with_empty(machine, ms)

    def is_being_replaced(self, machine: Machine) -> bool:
        """Whether the machine is about to be removed for a successor that runs, or is that successor."""
        return machine in self.successors or machine in self.successors.values()

    def replace_with_empty(self, machine: Machine, ms: int) -> None:
        """Puts an empty machine in the place of one that ends now."""
        successor = self.fleet.replace_machine(machine)
        self.after(ms, self.fleet.start, successor)

    def replace_several(self, salt: int, ms: int) -> None:
        """Replaces as many machines at once as may be lost."""
        core = self.fleet.core
        for machine in Random(salt).sample(core, min(len(core), self.fleet.survive)):
            self.replace(self.fleet.machines.index(machine), ms)

    def replace_planned(self, target: int, ms: int) -> None:
        """Starts the successor first; one second later the old machine gets SIGTERM, and after its grace period it is
        removed."""
        machine, fleet = self.pick(target), self.fleet
        if self.may_wipe(machine) and not self.is_being_replaced(machine):
            fleet.count("machines replaced in order")
            self.successors[machine] = successor = fleet.add_machine(machine)
            fleet.start(successor)
            self.after(1000, self.terminate, machine)
            self.after(1000 + min(2 * ms, 6000), self.remove_for_good, machine)

    def terminate(self, machine: Machine) -> None:
        """Sends SIGTERM to a machine that its successor replaces."""
        fleet = self.fleet
        if machine.up and not machine.node_process.shutdown.in_progress:
            fleet.fault_began(machine)
            fleet.do(machine, machine.life, machine.node_process.shutdown.begin)

    def remove_for_good(self, machine: Machine) -> None:
        """Removes a machine whose successor runs."""
        successor = self.successors.pop(machine, None)
        if successor is not None:
            self.fleet.replace_machine(machine, successor)

    def term_all(self, gap: int) -> None:
        """Restarts all machines with SIGTERM, one every `gap` ms."""
        for number, machine in enumerate(self.fleet.machines):
            self.after(number * gap, self.term_before_calm, machine)

    def term_before_calm(self, machine: Machine) -> None:
        """Restarts a machine unless the calm has begun in the meantime."""
        if self.fleet.now < self.faults_end_at and machine in self.fleet.machines:
            self.term(self.fleet.machines.index(machine), 200)

    # ---- Links

    def cut(self, pairs: Iterable[tuple[str, str]], ms: int, reset: bool = False) -> None:
        """Cuts pairs, each in one direction, for `ms` ms. `reset`: open connections over them are reset."""
        pairs = list(pairs)
        self.fleet.sever(pairs, reset)
        self.after(ms, self.fleet.mend, pairs)

    def cut_one(self, target: int, ways: str, reset: bool, ms: int) -> None:
        """Cuts a machine off from all others. `ways`: both, in or out; `reset`: from servers and the platform too, with
        connections reset."""
        machine = self.pick(target)
        ips = [m.ip for m in self.fleet.machines if m is not machine]
        pairs = [(ip, machine.ip) for ip in ips] if ways != "out" else []
        pairs += [(machine.ip, ip) for ip in ips] if ways != "in" else []
        if reset:
            pairs += [
                pair
                for remote in [f"s:{zone}" for zone in ZONES] + ["platform"]
                for pair in ((remote, machine.ip), (machine.ip, remote))
            ]
        self.cut(pairs, ms, reset)

    def cut_when_fresh(self, target: int, ms: int, polls: int = 1500) -> None:
        """Cuts a machine off just after its state was confirmed as current, as two versions are sent, and sends it
        requests around the end of its lease. This reveals a machine that serves a little longer than its lease."""
        machine, now = self.pick(target), self.fleet.now
        confirmed_at = machine.node_process.disseminator.confirmed_at_ns if machine.up and not machine.frozen else None
        if confirmed_at is not None and now + machine.offset - confirmed_at < FRESH_AGE:
            self.cut_one(target, "both", False, ms)
            self.config(twice=True)
            self.after(4700, self.send_burst, target, 1300)
        elif polls and now < self.faults_end_at:
            self.after(2, self.cut_when_fresh, target, ms, polls - 1)

    def cut_off(self, target: int, ms: int) -> None:
        """Cuts a machine off from the core alone."""
        machine = self.pick(target)
        self.cut(
            [pair for m in self.fleet.core if m is not machine for pair in ((m.ip, machine.ip), (machine.ip, m.ip))], ms
        )

    def cut_in_two(self, numbers: tuple[int, ...], reset: bool, ms: int) -> None:
        """Cuts some machines off from all others."""
        side = {self.fleet.machines[index].ip for index in numbers}
        rest = [m.ip for m in self.fleet.machines if m.ip not in side]
        self.cut([pair for a in side for b in rest for pair in ((a, b), (b, a))], ms, reset)

    def cut_zone(self, zone: str, ms: int) -> None:
        """Cuts a zone off from everything in the other zones."""
        locations = [(m.ip, m.zone) for m in self.fleet.machines] + [
            (f"{kind}:{zone_name}", zone_name) for zone_name in ZONES for kind in "sc"
        ]
        locations.append(("platform", "")) if zone != "a1" else None
        inside = [location for location, zone_name in locations if zone_name == zone]
        rest = [location for location, zone_name in locations if zone_name != zone]
        self.cut([pair for a in inside for b in rest for pair in ((a, b), (b, a))], ms)

    def bad_links(self, loss: float, repeat: float, slow: int, ms: int) -> None:
        """Frames get lost, duplicated and delayed."""
        fleet = self.fleet
        fleet.loss, fleet.repeat, fleet.max_extra_delay = loss, repeat, slow * MS
        fleet.core_active_faults += 1
        self.after(ms, self.restore_links)

    def restore_links(self) -> None:
        """Ends the faults of the links, apart from their usual rates of loss and duplication."""
        fleet = self.fleet
        fleet.loss, fleet.repeat, fleet.max_extra_delay = 0.005, 0.002, 0
        fleet.core_active_faults -= 1
        fleet.core_calm_at = fleet.links_calm_at = fleet.now

    def seeds(self, numbers: tuple[int, ...]) -> None:
        """Names other seeds in the settings, possibly an unknown one; running nodes read the changed settings."""
        fleet = self.fleet
        fleet.seeds = [fleet.core[index].ip if index < len(fleet.core) else "10.99.9.9" for index in numbers]
        for machine in fleet.machines:
            if machine.up and not machine.frozen:
                machine.node_process.disseminator.set_seeds(list(fleet.seeds))
                if machine.core_member:
                    machine.core_member.seeds = list(fleet.seeds)

    # ---- Servers and the platform

    def platform(self, ms: int) -> None:
        """The platform does not answer."""
        platform = self.fleet.platform
        platform.down_until = platform.outage_ends_at = max(platform.down_until, self.fleet.now + ms * MS)

    def refuse(self, service: str, ms: int) -> None:
        """All servers of a service refuse requests."""
        self.fleet.refused_until[service] = self.fleet.now + ms * MS

    def pick_server(self, salt: int) -> Server | None:
        """A server that may end, because enough others of its service stay; else None."""
        up = [s for s in self.fleet.servers if s.up and s.state == "ready"]
        server = up[salt % len(up)] if up else None
        return server if server and sum(s.service == server.service for s in up) > MIN_SERVERS else None

    def crash(self, salt: int, silent: bool, ms: int) -> None:
        """Ends a server. `silent`: without resetting its connections."""
        if server := self.pick_server(salt):
            self.end_server(server, silent, ms)

    def end_server(self, server: Server, silent: bool, ms: int) -> None:
        """Ends a server and starts another one after `ms` ms."""
        fleet = self.fleet
        server.stop(silent)
        self.after(3000, fleet.remove_server, server)
        self.after(ms, self.start_replacement_server, server)

    def start_replacement_server(self, server: Server) -> None:
        """Starts a server in the place of another, if possible at an address that a server of another service had in
        that zone."""
        fleet, address = self.fleet, None
        for old, former in list(fleet.server_by_address.items()):
            if (
                not former.up
                and former.service != server.service
                and former.zone == server.zone
                and fleet.now - former.ended_at > 5 * SEC
                and former not in fleet.servers
            ):
                address = old
        fleet.add_server(server.service, server.zone, True, address)

    def drain(self, salt: int, _: bool, ms: int) -> None:
        """Takes a server out of service in an orderly way."""
        if server := self.pick_server(salt):
            self.drain_server(server, ms)

    def drain_server(self, server: Server, ms: int) -> None:
        """Lists a server as emptying, and ends it 4.5 s later."""
        fleet = self.fleet
        server.state, server.leaving_at = "emptying", fleet.now
        fleet.platform.changed()
        self.after(4500, self.end_drained_server, server)
        self.after(ms, self.start_replacement_server, server)

    def end_drained_server(self, server: Server) -> None:
        """Ends a drained server."""
        server.stop()
        self.fleet.remove_server(server)

    def restart(self, salt: int) -> None:
        """Replaces the servers of a service one by one."""
        service = SERVICES[salt % 2]
        for index, server in enumerate([s for s in self.fleet.servers if s.service == service and s.up][:6]):
            self.after(400 * index, self.restart_server, server)

    def restart_server(self, server: Server) -> None:
        """Replaces one server, unless it is ending already."""
        if server.up and server.state == "ready":
            self.drain_server(server, 200)
