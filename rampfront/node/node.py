"""One process of the system, joined: what comes in is handed to the parts that decide, and what they want is carried out.

It owns the clock, the timers, the wire between nodes and the disk's thread. It must never decide: agreement is the
keeper's, what is told to whom the lookout's, who is served the pilot's, quotas the tide's.
"""

import gc
import os
import random
import zlib
from dataclasses import replace

from ..consensus import events
from ..consensus.errors import RemoteProtocolError
from ..consensus.member import Member
from ..membership import endpoint_codec, messages
from ..membership.deltas import StateHistory
from ..membership.dissemination import Disseminator
from ..membership.endpoint_list_poller import PollCallbacks, PollSettings
from ..membership.health_registry import HealthRegistry
from ..membership.leadership import CoreStatus
from ..membership.roster import RosterEntry
from ..membership.server_health import MAX_REPORTS
from ..net.desk import Timers
from ..net.latency_histogram import LatencyHistogram
from ..proxy.client_front import ClientFront
from ..proxy.environment import ProxyEnvironment
from ..proxy.request_proxy import RequestProxy
from ..quota.counter import QuotaCounter
from ..quota.counter_placement import CounterPlacement
from ..quota.limiter import Limiter
from ..quota.limits import QuotaRule
from ..settings import configuration as configurations
from ..settings import process_settings as process_settings_of
from . import bounds as limits
from . import contact
from .orders import Orders
from .ports import PORTS

MS, SEC = 10**6, 10**9
TICK, SOON = 100 * MS, 25 * MS  # the one beat of all parts that look at the time; and until the first word
POLL = SEC  # gap of the platform's list
LOOK = 2 * SEC  # gap of looks at the settings file
FAR = 1 << 61  # ns: later than any time
MARGIN = 600 * MS  # a word ends so long before what it has to keep: what is on its way by then, and clocks


class NodeProcess:
    def __init__(self, loop, process_settings, log, seed, path=None, ports=PORTS):
        self.path, self.seen = path, None  # the settings file, and what it looked like last
        self.loop, self.process_settings, self.log, self.counts = loop, process_settings, log, log.counts
        self.clock = ports.clock()
        self.timers = Timers(loop, self.clock)
        self.draw = random.Random(seed)
        self.started_at = now = self.clock()
        seeds = [host for host, _ in process_settings.seeds]
        bounds = limits.fill(process_settings)
        self.wire = ports.wire(loop, self.clock, (process_settings.ip, process_settings.ports[0]), log, self.heard)
        front = "%s:%d" % process_settings.front if process_settings.front else ""
        own = RosterEntry(process_settings.name, process_settings.ip, process_settings.zone, front, False)
        self.disseminator = Disseminator(own, seeds, self.draw, self)
        self.lease = (
            process_settings.terms.revoke_within - MARGIN if process_settings.terms.revoke_everywhere else 60 * SEC
        )
        quota_rule = QuotaRule(
            process_settings.terms.quota_window, process_settings.terms.quota_excess, process_settings.terms.quota_slack
        )
        self.limiter = Limiter(process_settings.name, self.draw, now, quota_rule)
        self.quota_counter, self.counter_placement = (
            QuotaCounter(self.draw.getrandbits(24), now, quota_rule),
            CounterPlacement(self.limiter.link),
        )
        self.gauge_at = 0  # when the gauge has something to tell unasked; 0: nothing
        self.tide_at = 0  # when the timer that asks the tide is due; 0: there is none
        environment = ProxyEnvironment(loop, self.clock, process_settings, bounds, self.draw, log)
        self.request_proxy = RequestProxy(environment, self.limiter, self.fresh)
        self.request_proxy.on_quota_used = self.arm_tide
        self.health_registry = HealthRegistry()
        self.client_front = ClientFront(environment, self.request_proxy)
        self.state, self.states, self.lists = (
            None,
            StateHistory(),
            endpoint_codec.endpoint_history(),
        )  # the last two: what differences rest on
        self.core_member, self.disk, self.record_store = None, None, None
        self.orders = Orders(self)
        self.add_trips, self.word_ages = (
            LatencyHistogram(),
            LatencyHistogram(),
        )  # round trips of counts, ages of the word
        if process_settings.folder:
            self.disk = ports.crew(1)
            self.record_store = ports.record_store(process_settings.folder)
            try:
                self.core_member = Member(
                    process_settings.name,
                    process_settings.ip,
                    seeds,
                    True,
                    process_settings.first,
                    self.record_store.load(),
                    self.draw,
                    process_settings.survive[0],
                    now,
                    process_settings.terms.ack_within,
                )
            except (OSError, ValueError) as trouble:
                # Guards the core against a member that cannot read what it promised, or reads what another machine did:
                # this life it serves clients alone. The record stays as it is.
                log.record("disk unread", why=repr(trouble))
        self.poller = None
        if process_settings.platform:
            polling = PollSettings(process_settings.platform, process_settings.platform_per_s, POLL)
            callbacks = PollCallbacks(self.polled, self.unpolled)
            self.poller = ports.poller(loop, self.clock, polling, callbacks)
        self.polling, self.ending = False, False
        self.calls = []  # the listeners of the system's own addresses

    # ---- between nodes

    def send(self, ip, message):
        self.wire.send(ip, message)

    def send_all(self, ips, message):
        self.wire.send_all(ips, message)

    def heard(self, ip, message):
        now, kind = self.clock(), message["k"]
        self.check_leadership(now)
        if kind == messages.HEARTBEAT:
            self.disseminator.on_heartbeat(ip, message, now)
        elif kind == messages.STATE_RESPONSE:
            self.disseminator.on_state_response(ip, message, now)
            self.look(now)
        elif kind == "add":
            if self.request_proxy.configuration is None or self.disseminator.confirmed_at_ns is None:
                return  # Guards quotas: one that starts knows no tenants, or those of a record of long ago
            if (answer := self.quota_counter.receive(now, ip, message["m"])) is not None:
                self.send(ip, {"k": "sum", "m": answer})
            self.overflow()
        elif kind == "sum":
            pending = self.limiter.link.pending
            self.say(self.counter_placement.receive(now, ip, message["m"]))
            if pending and self.limiter.link.pending is not pending:
                self.add_trips.record(now - pending.first_sent_at)
            self.arm_tide()  # what came due meanwhile need not wait for the timer that sends again
        elif kind == messages.HEALTH_REPORTS:
            self.on_health_reports(ip, message, now)
        elif kind == messages.HEALTH_VERDICTS:
            # Guards against what a leader of an older term still has to say of servers.
            if ip == self.disseminator.leader:
                health = messages.decode_health_verdicts(message)
                if health.term >= self.disseminator.term:
                    self.request_proxy.apply_health_reports(health.verdicts)
        elif kind in ("order", "said"):
            self.orders.heard(ip, message)
        elif self.core_member:
            try:
                self.tell(events.MessageReceived(ip, message))
            except RemoteProtocolError as odd:
                self.counts["frames_invalid"] += 1
                self.log.record_limited("invalid frame", ip, why=str(odd))

    # ---- what servers look like to the fleet

    def on_health_reports(self, ip, message, now):
        """Reports come to the leader alone; its verdicts go to all, itself too."""
        if not self.disseminator.is_leader:
            return
        reports = messages.decode_health_reports(message).reports
        verdicts = self.health_registry.add_reports(ip, reports, self.request_proxy.proxy_count, now)
        if not verdicts:
            return
        all_ips = list(dict.fromkeys((self.process_settings.ip, *self.disseminator.peer_table.by_ip)))
        for start in range(0, len(verdicts), MAX_REPORTS):
            part = messages.HealthVerdicts(self.disseminator.term, verdicts[start : start + MAX_REPORTS])
            self.send_all(all_ips, messages.encode_health_verdicts(part))

    # ---- the keeper

    def tell(self, told):
        if self.core_member is None:
            return
        for effect in self.core_member.take(self.clock(), told):
            kind = type(effect)
            if kind is events.SendMessage:
                self.send(effect.ip, effect.message)
            elif kind is events.StoreRecord:
                self.counts["stores"] += 1
                future = self.loop.run_in_executor(self.disk, self.record_store.save, effect.record)
                future.add_done_callback(lambda future, number=effect.version: self.stored(number, future))
            elif kind is events.OrderEnded:
                self.orders.told(effect.ref, effect.outcome, effect.state)
            elif kind is events.StateCommitted:
                self.apply(effect.state)
        self.rule(self.clock())

    def check_leadership(self, now):
        """To be called before anything that asks whether this node leads. Guards against a process that was frozen while
        it led, and is told what waited meanwhile before its own beat: it gives way first."""
        if self.core_member is not None and self.core_member.is_leadership_expired(now):
            self.tell(events.Tick())

    def stored(self, number, future):
        trouble = future.exception()
        if trouble is not None:
            self.counts["stores_failed"] += 1
            self.log.record_limited("disk", "refuses", why=repr(trouble))
        self.tell(events.RecordStored(number, trouble is None))

    def rule(self, now):
        core_member, disseminator = self.core_member, self.disseminator
        led = disseminator.is_leader
        leads = core_member.is_leader and core_member.quorum_confirmed_at is not None
        term = self.state.term if self.state else 0
        status = CoreStatus(leads, core_member.leader_ip, term, core_member.quorum_confirmed_at)
        disseminator.set_leadership(status, now)
        if leads != led:
            self.log.record("leads" if leads else "follows", term=disseminator.term)
        if self.poller and leads != self.polling:
            self.polling = leads
            self.poller.start() if leads else self.poller.stop()
        self.look(now)

    # ---- snapshots

    def apply(self, state):
        if self.state is not None and state.index <= self.state.index:
            return  # Guards against going back: a late or repeated word changes nothing
        old, self.state = self.state, state
        self.states.add(state)
        self.disseminator.state_changed(state.index)
        if state.revision and (old is None or state.revision != old.revision):
            found = configurations.read(zlib.decompress(state.body))
            if found.is_ok():
                self.log.record("configuration", revision=state.revision)
                configuration = found.ok_value
                self.client_front.apply_caps(configuration.caps)
                self.request_proxy.apply_configuration(configuration)
                self.quota_counter.set_quotas(configuration.named, self.clock())
                self.arm_tide()
            else:
                self.log.record("configuration unread", revision=state.revision, why=found.err_value)
        if old is None or old.members != state.members:
            self.log.record("members", names=sorted(state.members))
            self.moor()
        if old is None or old.evacuated_zones != state.evacuated_zones:
            self.log.record("zones emptied", zones=sorted(state.evacuated_zones))
            self.request_proxy.apply_evacuations(state.evacuated_zones)
        if self.disseminator.is_leader:
            self.disseminator.push_updates(self.clock())

    def encode_state(self, since):
        return self.states.encode_since(since)

    def can_diff_state_from(self, index):
        return self.states.can_diff_from(index)

    def can_diff_endpoints_from(self, version):
        return self.lists.can_diff_from(version)

    def state_size_bytes(self):
        return len(self.state.body) if self.state is not None else 0

    def on_state(self, plain, now):
        state = self.states.decode_since(plain, self.disseminator.state_index)
        if state is not None:
            self.apply(state)

    def polled(self, servers):
        now, old = self.clock(), self.request_proxy.servers
        self.counts["lists"] += 1
        self.check_leadership(now)
        if (
            not self.disseminator.is_leader
            or old is not None
            and old.endpoints == servers.endpoints
            and not self.disseminator.must_renumber_endpoints
        ):
            return
        self.serve(replace(servers, version=self.disseminator.number_endpoints()))
        self.disseminator.push_updates(now)

    def unpolled(self, why):
        self.counts["lists_failed"] += 1
        self.log.record_limited("platform", "list", why=why)

    def serve(self, servers):
        self.disseminator.endpoints_changed(servers.version)
        self.lists.add(servers.version, servers.endpoints)
        self.request_proxy.apply_server_list(servers)
        self.health_registry.set_servers((row.id, row.zone) for row in servers.endpoints)

    def encode_endpoints(self, now, since):
        return endpoint_codec.encode_since(self.request_proxy.servers, now, self.lists, since)

    def on_endpoints(self, plain, now):
        servers = endpoint_codec.decode_since(plain, now, self.lists, self.disseminator.endpoints_version)
        if not self.disseminator.is_leader and servers is not None:
            self.serve(servers)

    def on_roster(self):
        count = max(1, sum(entry.ready for entry in self.disseminator.roster))
        self.request_proxy.apply_proxy_count(count)
        self.quota_counter.set_proxy_count(count)
        self.moor()

    # ---- the word, and what hangs on it

    def out_of_touch(self, now):
        """ns since a majority of the core last stood behind what this node holds; None while that is recent."""
        return contact.out_of_touch(self.disseminator.confirmed_at_ns, self.started_at, now)

    def fresh(self, now):
        at = self.disseminator.confirmed_at_ns
        return at is not None and now - at < self.lease

    def look(self, now):
        ready = self.client_front.ready() and not self.ending
        if ready != self.disseminator.ready:
            self.disseminator.set_ready(ready)
            self.log.record("ready" if ready else "not ready")

    # ---- the tide

    def moor(self):
        members = [ip for ip, _ in self.state.members.values()] if self.state else []
        self.say(
            self.counter_placement.rank(
                self.clock(), members, {entry.ip for entry in self.disseminator.roster if entry.ready}
            )
        )
        self.arm_tide()

    def say(self, adds):
        for ip, message in adds:
            self.send(ip, {"k": "add", "m": message})

    def arm_tide(self):
        due = self.limiter.next_update_at
        if self.counter_placement.counter_ip and (not self.tide_at or due < self.tide_at):
            self.tide_at = due = max(due, self.clock() + MS)  # never within this turn: it would not end
            if due < FAR:
                self.timers.at(due, self.flow, due)

    def flow(self, due):
        if due != self.tide_at:
            return  # an earlier one was set since
        self.tide_at = 0
        if self.counter_placement.counter_ip and (message := self.limiter.due_update(self.clock())) is not None:
            self.say([(self.counter_placement.counter_ip, message)])
        self.arm_tide()

    def overflow(self):
        """What the gauge tells unasked."""
        self.gauge_at = 0
        now = self.clock()
        for ip, message in self.quota_counter.announcements(now):
            self.send(ip, {"k": "sum", "m": message})
        if at := self.quota_counter.next_announcement_at:
            self.gauge_at = at
            self.timers.at(at, lambda: self.overflow() if self.gauge_at == at else None)

    # ---- time

    def tick(self):
        self.timers.after(
            TICK if self.disseminator.confirmed_at_ns else SOON, self.tick
        )  # first, so that a defect below does not end it
        now = self.clock()
        self.tell(events.Tick())
        self.disseminator.tick(now)
        self.orders.tick(now)
        reports = self.request_proxy.health_reporter.take_reports(now)
        if reports and self.disseminator.leader:
            frame = messages.encode_health_reports(messages.HealthReports(reports))
            self.send(self.disseminator.leader, frame)
        self.look(now)
        if self.disseminator.confirmed_at_ns is not None:
            self.word_ages.record(max(0, now - self.disseminator.confirmed_at_ns))
        self.say(self.counter_placement.tick(now))
        self.arm_tide()

    def sweep(self):
        self.timers.after(250 * MS, self.sweep)
        self.client_front.sweep()
        self.wire.sweep()
        self.log.sweep()
        for service_pool in self.request_proxy.service_pools.values():
            service_pool.connection_pool.sweep()

    async def listen(self):
        from .endpoints import listen

        await self.wire.listen()
        self.calls = await listen(self)
        if self.process_settings.front:
            await self.client_front.listen(*self.process_settings.front)

    def start(self):
        self.loop.run_until_complete(self.listen())
        self.begin()
        if self.path:
            self.look_at_file()
        gc.collect()
        gc.freeze()  # what stands from the start on is not looked through again

    def begin(self):
        self.log.record(
            "starts", zone=self.process_settings.zone, disk=bool(self.core_member), first=self.process_settings.first
        )
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
        found = process_settings_of.load(path)
        if found.is_err():
            return self.log.record("settings kept", why=found.err_value)
        new = found.ok_value
        seeds = [host for host, _ in new.seeds]
        self.disseminator.set_seeds(seeds)
        if self.core_member:
            self.core_member.seeds = list(seeds)
        if self.poller and new.platform:
            self.poller.change_address(new.platform)
        # Guards against a 400 for a zone that the other nodes know by now; those that are gone may yet be taken back.
        self.process_settings.zones.update(new.zones)
        self.log.record("settings read")

    # ---- ends

    def fault(self, asked, fault):
        self.counts["faults"] += 1
        self.log.record_limited("fault", asked.path, why=repr(fault))

    def end(self):
        """SIGTERM: out of the directory at once, served on for as long as clients still come, then what was taken is ended."""
        if self.ending:
            return
        self.ending = True
        self.tell(events.Shutdown())
        self.log.record("ending")
        self.client_front.drain()
        self.look(self.clock())
        self.disseminator.tick(self.clock())
        grace = self.process_settings.terms.grace
        self.timers.after(max(SEC // 2, grace // 2), self.retire)
        self.timers.after(max(SEC, grace - 300 * MS), self.loop.stop)

    def retire(self):
        """Takes no new connections of clients; ends once those that are there and all calls have their answers."""
        for calls in self.calls:
            calls.drain()
        self.client_front.retire(self.stop_when_answered)

    def stop_when_answered(self):
        """Guards operators against an order that ends with a closed connection: it is answered within a second."""
        if any(calls.pending_requests for calls in self.calls):
            self.timers.after(SOON, self.stop_when_answered)
        else:
            self.loop.stop()
