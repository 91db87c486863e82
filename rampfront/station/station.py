"""One process of the system, joined: what comes in is handed to the parts that decide, and what they want is carried out.

It owns the clock, the timers, the wire between nodes and the disk's thread. It must never decide: agreement is the
keeper's, what is told to whom the lookout's, who is served the pilot's, quotas the tide's.
"""

import gc
import os
import random
import zlib
from dataclasses import replace

from ..chart import chart as charts, papers as papers_of
from ..lighthouse import terms as lt
from ..lighthouse.keeper import Keeper
from ..net.desk import Timers
from ..pilot.core import Pilot
from ..pilot.front import Gate
from ..net.spans import Spans
from ..tide import words
from ..tide.gauge import Gauge
from ..tide.mooring import Mooring
from ..tide.tide import Tide
from ..watch import platform
from ..watch.sightings import ROWS, Register
from ..watch.wake import States, Wake
from ..watch.word import TERM, Lookout
from . import bounds as limits
from .orders import Orders
from .ports import PORTS

MS, SEC = 10 ** 6, 10 ** 9
TICK, SOON = 100 * MS, 25 * MS  # the one beat of all parts that look at the time; and until the first word
POLL = SEC  # gap of the platform's list
LOOK = 2 * SEC  # gap of looks at the settings file
FAR = 1 << 61  # ns: later than any time
MARGIN = 600 * MS  # a word ends so long before what it has to keep: what is on its way by then, and clocks


class Station:
    def __init__(self, loop, papers, log, seed, path=None, ports=PORTS):
        self.path, self.seen = path, None  # the settings file, and what it looked like last
        self.loop, self.papers, self.log, self.counts = loop, papers, log, log.counts
        self.clock = ports.clock()
        self.timers = Timers(loop, self.clock)
        self.draw = random.Random(seed)
        now = self.clock()
        seeds = [host for host, _ in papers.seeds]
        bounds = limits.fill(papers)
        self.wire = ports.wire(loop, self.clock, papers.ip, papers.ports[0], log, self.heard)
        front = "%s:%d" % papers.front if papers.front else ""
        self.lookout = Lookout(papers.name, papers.ip, papers.zone, front, seeds, self.draw, self)
        self.lease = papers.terms.revoke_within - MARGIN if papers.terms.revoke_everywhere else 60 * SEC
        self.tide = Tide(papers.name, self.draw, papers.terms.quota_window, now, papers.terms.quota_excess,
                         papers.terms.quota_slack)
        contract = words.Terms(papers.terms.quota_window, papers.terms.quota_excess, papers.terms.quota_slack)
        self.gauge, self.mooring = Gauge(self.draw.getrandbits(24), now, contract), Mooring(self.tide)
        self.gauge_at = 0  # when the gauge has something to tell unasked; 0: nothing
        self.tide_at = 0  # when the timer that asks the tide is due; 0: there is none
        self.pilot = Pilot(loop, self.clock, papers, bounds, self.draw, self.tide, self.fresh, log)
        self.pilot.took = self.arm_tide
        self.register = Register()
        self.gate = Gate(loop, self.pilot, bounds, log)
        self.state, self.states, self.lists = None, States(), Wake(0, 7)  # the last two: what differences rest on
        self.keeper, self.disk, self.logbook = None, None, None
        self.orders = Orders(self)
        self.add_trips, self.word_ages = Spans(), Spans()  # round trips of counts, ages of the word
        if papers.folder:
            self.disk = ports.crew(1)
            self.logbook = ports.logbook(papers.folder)
            try:
                self.keeper = Keeper(papers.name, papers.ip, seeds, True, papers.first, self.logbook.load(), self.draw,
                                     papers.survive[0], now)
            except OSError as trouble:
                # Guards the core against a member that cannot read what it promised: this life it serves clients alone.
                log.say("disk unread", why=repr(trouble))
        self.poller = None
        if papers.platform:
            self.poller = ports.poller(loop, self.clock, papers.platform, papers.platform_per_s, self.polled, POLL)
        self.polling, self.ending = False, False
        if self.poller:
            self.poller.on_drop = self.unpolled

    # ---- between nodes

    def send(self, ip, message):
        self.wire.send(ip, message)

    def send_all(self, ips, message):
        self.wire.send_all(ips, message)

    def heard(self, ip, message):
        now, kind = self.clock(), message["k"]
        if kind == "hail":
            self.lookout.on_hail(ip, message, now)
        elif kind == "word":
            self.lookout.on_word(ip, message, now)
            self.look(now)
        elif kind == "add":
            if self.pilot.chart is None:
                return  # Guards quotas: one that starts and knows no tenants yet would call them all idle
            if (answer := self.gauge.add(now, ip, message["m"])) is not None:
                self.send(ip, {"k": "sum", "m": answer})
            self.overflow()
        elif kind == "sum":
            out = self.tide.out
            self.say(self.mooring.told(now, ip, message["m"]))
            if out and self.tide.out is not out:
                self.add_trips.note(now - out.first_at)
            self.arm_tide()  # what came due meanwhile need not wait for the timer that sends again
        elif kind == "sight":
            self.sighted(ip, message["r"], now)
        elif kind == "dim":
            if ip == self.lookout.leader:
                self.pilot.sighted(message["r"])
        elif kind in ("order", "said"):
            self.orders.heard(ip, message)
        elif self.keeper:
            try:
                self.tell(lt.Heard(ip, message))
            except lt.Odd as odd:
                self.counts["frames_odd"] += 1
                self.log.note("odd frame", ip, why=str(odd))

    # ---- what servers look like to the fleet

    def sighted(self, ip, rows, now):
        """Reports come to the leader alone; what they bear out goes to all, itself too."""
        if self.lookout.leads and (news := self.register.take(ip, rows, self.pilot.nodes, now)):
            all_ips = list(dict.fromkeys((self.papers.ip, *self.lookout.peers)))
            for start in range(0, len(news), ROWS):
                self.send_all(all_ips, {"k": "dim", "r": news[start:start + ROWS]})

    # ---- the keeper

    def tell(self, told):
        if self.keeper is None:
            return
        for effect in self.keeper.take(self.clock(), told):
            kind = type(effect)
            if kind is lt.Send:
                self.send(effect.ip, effect.message)
            elif kind is lt.Store:
                self.counts["stores"] += 1
                future = self.loop.run_in_executor(self.disk, self.logbook.save, effect.record)
                future.add_done_callback(lambda future, number=effect.number: self.stored(number, future))
            elif kind is lt.Told:
                self.orders.told(effect.ref, effect.verdict, effect.state)
            elif kind is lt.Ruled:
                self.apply(effect.state)
        self.rule(self.clock())

    def stored(self, number, future):
        trouble = future.exception()
        if trouble is not None:
            self.counts["stores_failed"] += 1
            self.log.note("disk", "refuses", why=repr(trouble))
        self.tell(lt.Stored(number, trouble is None))

    def rule(self, now):
        keeper, lookout = self.keeper, self.lookout
        led = lookout.leads
        leads = keeper.leads and keeper.backed_at is not None
        lookout.rule(leads, keeper.leader, self.state.term if self.state else 0, keeper.backed_at, now)
        if leads != led:
            self.log.say("leads" if leads else "follows", term=lookout.term)
        if self.poller and leads != self.polling:
            self.polling = leads
            self.poller.start() if leads else self.poller.stop()
        self.look(now)

    # ---- snapshots

    def apply(self, state):
        if self.state is not None and state.index <= self.state.index:
            return  # Guards against going back: a late or repeated word changes nothing
        old, self.state = self.state, state
        self.states.put(state)
        self.lookout.index = state.index
        if state.rev and (old is None or state.rev != old.rev):
            found = charts.read(zlib.decompress(state.body))
            if found.is_ok():
                self.log.say("configuration", revision=state.rev)
                chart = found.ok_value
                self.gate.capped(chart.caps)
                self.pilot.charted(chart)
                self.gauge.limits(chart.named, self.clock())
                self.arm_tide()
            else:
                self.log.say("configuration unread", revision=state.rev, why=found.err_value)
        if old is None or old.members != state.members:
            self.moor()
        if old is None or old.zones != state.zones:
            self.log.say("zones emptied", zones=sorted(state.zones))
            self.pilot.zoned(state.zones)
        if self.lookout.leads:
            self.lookout.spread(self.clock())

    def pack_state(self, since):
        return self.states.pack(since)

    def got_state(self, plain, now):
        if plain[0] > self.lookout.index:
            self.apply(self.states.read(plain))

    def polled(self, servers):
        now, old = self.clock(), self.pilot.servers
        self.counts["lists"] += 1
        if not self.lookout.leads or old is not None and old.rows == servers.rows and not self.lookout.outrun:
            return
        self.lookout.outrun = False
        number = max(self.lookout.servers + 1, self.lookout.term * TERM + 1)
        self.serve(replace(servers, number=number))
        self.lookout.spread(now)

    def unpolled(self, why):
        self.counts["lists_failed"] += 1
        self.log.note("platform", "list", why=why)

    def serve(self, servers):
        self.lookout.servers = servers.number
        self.lists.put(servers.number, servers.rows)
        self.pilot.listed(servers)
        self.register.listed((row.id, row.zone) for row in servers.rows)

    def pack_servers(self, now, since):
        return platform.told(self.pilot.servers, now, self.lists, since)

    def got_servers(self, plain, now):
        servers = platform.heard(plain, now, self.lists, self.lookout.servers)
        if not self.lookout.leads and servers is not None:
            self.serve(servers)

    def got_roster(self):
        count = max(1, sum(row[4] for row in self.lookout.roster))
        self.pilot.counted(count)
        self.gauge.proxies(count)
        self.moor()

    # ---- the word, and what hangs on it

    def fresh(self, now):
        at = self.lookout.word_at
        return at is not None and now - at < self.lease

    def look(self, now):
        ready = self.gate.ready() and not self.ending
        if ready != self.lookout.ready:
            self.lookout.ready = ready
            self.lookout.next_at = 0
            self.log.say("ready" if ready else "not ready")

    # ---- the tide

    def moor(self):
        members = [ip for ip, _ in self.state.members.values()] if self.state else []
        self.say(self.mooring.rank(self.clock(), members, {row[1] for row in self.lookout.roster if row[4]}))
        self.arm_tide()

    def say(self, adds):
        for ip, message in adds:
            self.send(ip, {"k": "add", "m": message})

    def arm_tide(self):
        due = self.tide.next_at
        if self.mooring.at and (not self.tide_at or due < self.tide_at):
            self.tide_at = due = max(due, self.clock() + MS)  # never within this turn: it would not end
            if due < FAR:
                self.timers.at(due, self.flow, due)

    def flow(self, due):
        if due != self.tide_at:
            return  # an earlier one was set since
        self.tide_at = 0
        if self.mooring.at and (message := self.tide.due(self.clock())) is not None:
            self.say([(self.mooring.at, message)])
        self.arm_tide()

    def overflow(self):
        """What the gauge tells unasked."""
        self.gauge_at = 0
        now = self.clock()
        for ip, message in self.gauge.owed(now):
            self.send(ip, {"k": "sum", "m": message})
        if at := self.gauge.next_at:
            self.gauge_at = at
            self.timers.at(at, lambda: self.overflow() if self.gauge_at == at else None)

    # ---- time

    def tick(self):
        self.timers.after(TICK if self.lookout.word_at else SOON, self.tick)  # first, so that a defect below does not end it
        now = self.clock()
        self.tell(lt.Tick())
        self.lookout.tick(now)
        self.orders.tick(now)
        if (rows := self.pilot.glass.due(now)) and self.lookout.leader:
            self.send(self.lookout.leader, {"k": "sight", "r": rows})
        self.look(now)
        if self.lookout.word_at is not None:
            self.word_ages.note(max(0, now - self.lookout.word_at))
        self.say(self.mooring.beat(now))
        self.arm_tide()

    def sweep(self):
        self.timers.after(250 * MS, self.sweep)
        self.gate.sweep()
        self.wire.sweep()
        self.log.sweep()
        for pier in self.pilot.piers.values():
            pier.harbour.sweep()

    async def listen(self):
        from .doors import listen
        await self.wire.listen()
        await listen(self)
        if self.papers.front:
            await self.gate.listen(*self.papers.front)

    def start(self):
        self.loop.run_until_complete(self.listen())
        self.begin()
        if self.path:
            self.look_at_file()
        gc.collect()
        gc.freeze()  # what stands from the start on is not looked through again

    def begin(self):
        self.log.say("starts", zone=self.papers.zone, disk=bool(self.keeper), first=self.papers.first)
        self.tell(None)
        self.tick()
        self.sweep()

    def look_at_file(self):
        """The settings may change without a signal (PROTOCOL.md, "The operator")."""
        self.timers.after(LOOK, self.look_at_file)
        try:
            told = os.stat(self.path)
        except OSError:
            return
        seen, self.seen = self.seen, (told.st_mtime_ns, told.st_size, told.st_ino)
        if seen and seen != self.seen:
            self.reread(self.path)

    def reread(self, path):
        """SIGHUP, or the file has changed. A faulty file is named and changes nothing."""
        found = papers_of.load(path)
        if found.is_err():
            return self.log.say("settings kept", why=found.err_value)
        new = found.ok_value
        self.lookout.seeds = [host for host, _ in new.seeds]
        if self.keeper:
            self.keeper.seeds = list(self.lookout.seeds)
        if self.poller and new.platform:
            self.poller.move(new.platform)
        self.log.say("settings read")

    # ---- ends

    def fault(self, asked, fault):
        self.counts["faults"] += 1
        self.log.note("fault", asked.path, why=repr(fault))

    def end(self):
        """SIGTERM: out of the directory at once, served on for as long as clients still come, then what was taken is ended."""
        if self.ending:
            return
        self.ending = True
        self.tell(lt.Leave())
        self.log.say("ending")
        self.gate.drain()
        self.look(self.clock())
        self.lookout.tick(self.clock())
        grace = self.papers.terms.grace
        self.timers.after(max(SEC // 2, grace // 2), self.gate.retire, self.loop.stop)
        self.timers.after(max(SEC, grace - 300 * MS), self.loop.stop)
