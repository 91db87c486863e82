"""What befalls the machines, links, servers and platform in a run of the whole. Each method is one row of a plan: one
fault, and its end. `who`: the number of a machine, or LEADER or ACKER of `plan.py`. Times are ms."""

from collections.abc import Iterable
from random import Random

from .fleet import ZONES, Machine
from .outside import Server
from .plan import SERVICES
from .world import Disk

MS, SEC = 10**6, 10**9
EMPTY_AFTER_POWER_LOSS = 0.15  # chance
FRESH = 130 * MS  # age of what a node holds, by its own reckoning; hardly ever less
FEWEST_SERVERS = 4  # of a service, that stay


class SystemFaults:
    """Needs the `fleet`, `chance`, `ends` and `leaving` of a run, and its `pick` and `after`."""

    def back(self, machine: Machine, ms: int) -> None:
        """Starts it again a little later."""
        self.after(ms, self.fleet.start, machine)

    def kill(self, who: int, ms: int) -> None:
        """Ends the process, and starts it again."""
        machine = self.pick(who)
        self.fleet.stop(machine)
        self.back(machine, ms)

    def term(self, who: int, ms: int) -> None:
        """SIGTERM; it starts again behind its grace."""
        machine, fleet = self.pick(who), self.fleet
        if machine.up and not machine.node_process.shutdown.in_progress:
            fleet.rougher(machine)
            fleet.do(machine, machine.life, machine.node_process.shutdown.begin)
            self.after(6000, self.grace, machine, machine.life)
            self.after(6000 + ms, fleet.start, machine)

    def grace(self, machine: Machine, life: int) -> None:
        """SIGKILL, unless it ended before."""
        if machine.life == life:
            self.fleet.stop(machine)

    def may_wipe(self, machine: Machine) -> bool:
        """No more machines lost at once than may be."""
        return machine.counted and len({machine, *self.fleet.lost()}) <= self.fleet.survive

    def wipe(self, who: int, ms: int) -> None:
        """Starts again with an empty disk, or at least starts again."""
        machine = self.pick(who)
        if self.may_wipe(machine):
            self.fleet.wipe(machine)
            self.fleet.count("disks lost")
        else:
            self.fleet.stop(machine)
        self.back(machine, ms)

    def kill_all(self, salt: int, ms: int) -> None:
        """All are without power; a few come back empty."""
        chance = Random(salt)
        for machine in self.fleet.machines:
            if chance.random() < EMPTY_AFTER_POWER_LOSS:
                self.wipe(self.fleet.machines.index(machine), chance.randrange(10, ms + 11))
            else:
                self.fleet.stop(machine)
                self.back(machine, chance.randrange(10, ms + 11))

    def zone(self, zone: str, ms: int) -> None:
        """All of a zone is without power: machines and servers. Its servers come back as others, cold."""
        for machine in self.fleet.machines:
            if machine.zone == zone:
                self.fleet.stop(machine)
                self.back(machine, ms)
        for server in list(self.fleet.servers):
            if server.zone == zone and server.up:
                self.end_server(server, True, ms)

    def freeze(self, who: int, ms: int) -> None:
        """It stands still, and goes on as if nothing had been."""
        machine = self.pick(who)
        if machine.up and not machine.frozen:
            self.fleet.freeze(machine)
            self.after(ms, self.fleet.thaw, machine, machine.life)

    def stutter(self, who: int, times: int, ms: int) -> None:
        """It stands still again and again."""
        self.freeze(who, ms)
        if times > 1 and self.fleet.now < self.ends:
            self.after(
                ms + self.chance.randrange(100), self.stutter, self.fleet.machines.index(self.pick(who)), times - 1, ms
            )

    def disk(self, who: int, ms: int, **state: int) -> None:
        """Trouble of a disk."""
        machine = self.pick(who)
        if (disk := machine.disk) is not None:
            for name, value in state.items():
                setattr(disk, name, value)
            self.fleet.rougher(machine)
            self.after(ms, self.heal, machine, disk)

    def heal(self, machine: Machine, disk: Disk) -> None:
        """Ends all trouble of a disk."""
        disk.hangs = disk.full = False
        disk.wait = disk.default_wait
        self.fleet.calmer(machine)

    def hang_disk(self, who: int, ms: int) -> None:
        """Its disk does not answer."""
        self.disk(who, ms, hangs=True)

    def fill_disk(self, who: int, ms: int) -> None:
        """Its disk takes nothing."""
        self.disk(who, ms, full=True)

    def slow_disk(self, who: int, ms: int) -> None:
        """Its disk is slow."""
        self.disk(who, ms, wait=min(ms, 400) * MS)

    # ---- machines that are replaced, or leave one by one

    def replace(self, who: int, ms: int) -> None:
        """One of the core is gone for good; an empty one comes a little later, at another address and name."""
        machine = self.pick(who)
        if self.may_wipe(machine) and not self.is_moving(machine):
            self.fleet.count("machines replaced")
            self.succeed(machine, ms)

    def is_moving(self, machine: Machine) -> bool:
        """Whether it is one of a pair of which the other is being replaced, or takes its place."""
        return machine in self.leaving or machine in self.leaving.values()

    def succeed(self, machine: Machine, ms: int) -> None:
        """An empty machine in the place of one that ends now."""
        successor = self.fleet.replace_machine(machine)
        self.after(ms, self.fleet.start, successor)

    def replace_several(self, salt: int, ms: int) -> None:
        """As many at once as may be lost."""
        core = self.fleet.core
        for machine in Random(salt).sample(core, min(len(core), self.fleet.survive)):
            self.replace(self.fleet.machines.index(machine), ms)

    def replace_planned(self, who: int, ms: int) -> None:
        """The new machine starts first; a second later the old one gets SIGTERM, and is gone behind its grace."""
        machine, fleet = self.pick(who), self.fleet
        if self.may_wipe(machine) and not self.is_moving(machine):
            fleet.count("machines replaced in order")
            self.leaving[machine] = successor = fleet.add_machine(machine)
            fleet.start(successor)
            self.after(1000, self.told_to_leave, machine)
            self.after(1000 + min(2 * ms, 6000), self.end_for_good, machine)

    def told_to_leave(self, machine: Machine) -> None:
        """SIGTERM."""
        fleet = self.fleet
        if machine.up and not machine.node_process.shutdown.in_progress:
            fleet.rougher(machine)
            fleet.do(machine, machine.life, machine.node_process.shutdown.begin)

    def end_for_good(self, machine: Machine) -> None:
        """A machine whose successor runs is gone."""
        successor = self.leaving.pop(machine, None)
        if successor is not None:
            self.fleet.replace_machine(machine, successor)

    def term_all(self, gap: int) -> None:
        """SIGTERM and a new start of each machine, one behind the other."""
        for number, machine in enumerate(self.fleet.machines):
            self.after(number * gap, self.term_in_time, machine)

    def term_in_time(self, machine: Machine) -> None:
        """Guards the calm against a SIGTERM that was on its way when it began."""
        if self.fleet.now < self.ends and machine in self.fleet.machines:
            self.term(self.fleet.machines.index(machine), 200)

    # ---- links

    def cut(self, pairs: Iterable[tuple[str, str]], ms: int, reset: bool = False) -> None:
        """Nothing passes on these ways; `reset`: what stands breaks."""
        pairs = list(pairs)
        self.fleet.sever(pairs, reset)
        self.after(ms, self.fleet.mend, pairs)

    def cut_one(self, who: int, ways: str, reset: bool, ms: int) -> None:
        """From all machines; `ways`: both, in or out."""
        one = self.pick(who)
        ips = [m.ip for m in self.fleet.machines if m is not one]
        pairs = [(ip, one.ip) for ip in ips] if ways != "out" else []
        pairs += [(one.ip, ip) for ip in ips] if ways != "in" else []
        if reset:  # from servers and platform too
            pairs += [
                pair
                for far in [f"s:{zone}" for zone in ZONES] + ["platform"]
                for pair in ((far, one.ip), (one.ip, far))
            ]
        self.cut(pairs, ms, reset)

    def cut_when_fresh(self, who: int, ms: int, looks: int = 1500) -> None:
        """Cut off just as what it holds was found to be new, as two versions are sent; then it is asked until its lease
        must be over. What serves a little longer than a lease shows here."""
        machine, now = self.pick(who), self.fleet.now
        word_at = machine.node_process.disseminator.confirmed_at_ns if machine.up and not machine.frozen else None
        if word_at is not None and now + machine.offset - word_at < FRESH:
            self.cut_one(who, "both", False, ms)
            self.config(twice=True)
            self.after(4700, self.press, who, 1300)
        elif looks and now < self.ends:
            self.after(2, self.cut_when_fresh, who, ms, looks - 1)

    def cut_off(self, who: int, ms: int) -> None:
        """From the core alone."""
        one = self.pick(who)
        self.cut([pair for m in self.fleet.core if m is not one for pair in ((m.ip, one.ip), (one.ip, m.ip))], ms)

    def cut_in_two(self, some: tuple[int, ...], reset: bool, ms: int) -> None:
        """Some from all others."""
        side = {self.fleet.machines[k].ip for k in some}
        rest = [m.ip for m in self.fleet.machines if m.ip not in side]
        self.cut([pair for a in side for b in rest for pair in ((a, b), (b, a))], ms, reset)

    def cut_zone(self, zone: str, ms: int) -> None:
        """From everything of the other zones."""
        ends = [(m.ip, m.zone) for m in self.fleet.machines] + [(f"{k}:{z}", z) for z in ZONES for k in "sc"]
        ends.append(("platform", "")) if zone != "a1" else None
        inside = [end for end, z in ends if z == zone]
        rest = [end for end, z in ends if z != zone]
        self.cut([pair for a in inside for b in rest for pair in ((a, b), (b, a))], ms)

    def bad_links(self, loss: float, repeat: float, slow: int, ms: int) -> None:
        """Frames get lost, come twice and come late."""
        fleet = self.fleet
        fleet.loss, fleet.repeat, fleet.slow = loss, repeat, slow * MS
        fleet.core_troubles += 1
        self.after(ms, self.good_links)

    def good_links(self) -> None:
        """Ends that."""
        fleet = self.fleet
        fleet.loss, fleet.repeat, fleet.slow = 0.005, 0.002, 0
        fleet.core_troubles -= 1
        fleet.core_calm_at = fleet.links_calm_at = fleet.now

    def seeds(self, some: tuple[int, ...]) -> None:
        """The settings name other seeds, one of them perhaps unknown; nodes that run look at the file."""
        fleet = self.fleet
        fleet.seeds = [fleet.core[k].ip if k < len(fleet.core) else "10.99.9.9" for k in some]
        for machine in fleet.machines:
            if machine.up and not machine.frozen:
                machine.node_process.disseminator.set_seeds(list(fleet.seeds))
                if machine.core_member:
                    machine.core_member.seeds = list(fleet.seeds)

    # ---- what is around

    def platform(self, ms: int) -> None:
        """The platform does not answer."""
        platform = self.fleet.platform
        platform.down_until = platform.trouble_at = max(platform.down_until, self.fleet.now + ms * MS)

    def refuse(self, service: str, ms: int) -> None:
        """All servers of a service turn away."""
        self.fleet.refuses[service] = self.fleet.now + ms * MS

    def one_of(self, salt: int) -> Server | None:
        """A server that may go: others of its service stay."""
        up = [s for s in self.fleet.servers if s.up and s.state == "ready"]
        server = up[salt % len(up)] if up else None
        return server if server and sum(s.service == server.service for s in up) > FEWEST_SERVERS else None

    def crash(self, salt: int, dark: bool, ms: int) -> None:
        """A server ends; `dark`: silently."""
        if server := self.one_of(salt):
            self.end_server(server, dark, ms)

    def end_server(self, server: Server, dark: bool, ms: int) -> None:
        """It ends, and another one comes."""
        fleet = self.fleet
        server.stop(dark)
        self.after(3000, fleet.retire, server)
        self.after(ms, self.anew, server)

    def anew(self, server: Server) -> None:
        """Another in its place; now and then at an address that was another service's."""
        fleet, address = self.fleet, None
        for old, was in list(fleet.at_address.items()):
            if (
                not was.up
                and was.service != server.service
                and was.zone == server.zone
                and fleet.now - was.ended_at > 5 * SEC
                and was not in fleet.servers
            ):
                address = old
        fleet.serve(server.service, server.zone, True, address)

    def drain(self, salt: int, _: bool, ms: int) -> None:
        """A server leaves in order."""
        if server := self.one_of(salt):
            self.drain_server(server, ms)

    def drain_server(self, server: Server, ms: int) -> None:
        """It is shown as emptying, and ends later."""
        fleet = self.fleet
        server.state, server.leaving_at = "emptying", fleet.now
        fleet.platform.changed()
        self.after(4500, self.drained, server)
        self.after(ms, self.anew, server)

    def drained(self, server: Server) -> None:
        """It ends."""
        server.stop()
        self.fleet.retire(server)

    def restart(self, salt: int) -> None:
        """All servers of a service, one behind the other."""
        service = SERVICES[salt % 2]
        for k, server in enumerate([s for s in self.fleet.servers if s.service == service and s.up][:6]):
            self.after(400 * k, self.roll, server)

    def roll(self, server: Server) -> None:
        """One of them."""
        if server.up and server.state == "ready":
            self.drain_server(server, 200)
