"""Keeps every node up to date with the core: its state, the endpoint list, the roster, and the lease's age.

No I/O, no clock.

This is anti-entropy with a leader. Every node sends heartbeats to the leader of the core and tells by numbers what it
holds (`versions.py`). The leader answers how long ago a majority stood behind it, and sends what the node lacks; a
change it pushes at once, and the next heartbeat makes up for a push that was lost. A node that does not lead answers
with what it was sent itself, so that one which is cut off from the leader alone still learns of everything through the
others.

What is sent is a difference to what the receiver holds where that is known (`deltas.py`), else a full transfer, of
which there is a budget (`transfer_budget.py`). A state that could not be applied brings no age with it: what is held
must be as young as the lease claims.

`Disseminator` joins the parts, each of which decides one thing: when to send a heartbeat and to whom (`heartbeats.py`),
what to answer (`responder.py`), which leader to follow and how old the lease is (`leadership.py`), which nodes live
(`peers.py`), when a new roster is made of them (`roster_builder.py`, `roster.py`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random

from . import messages
from .deltas import DeltaMismatchError, Packed
from .dissemination_host import DisseminationHost
from .heartbeats import HeartbeatSchedule
from .leadership import CoreStatus, Leadership
from .messages import Heartbeat, Message, StateResponse
from .peers import Peer, PeerTable
from .remembered_nodes import RememberedNodes
from .responder import Responder
from .roster import Roster, RosterEntry
from .roster_builder import RosterBuilder
from .versions import NO_VERSIONS, ReplicaVersions, first_version

INCARNATION_BITS = 24


class Disseminator:
    """A node's part in the dissemination, the leader's included.

    Attributes:
        state_index: index of the state that the host holds; the host reports it (`state_changed`).
        endpoints_version: number of the endpoint list that the host holds (`endpoints_changed`).
        ready: whether this node takes requests (`set_ready`).
        must_renumber_endpoints: a node holds an endpoint list that an older leader numbered above this leader's.
        leadership: the leader that is followed, and the lease's age.
        roster_replica: this node's replica of the roster.
        peer_table: the other nodes, as this node hears them while it leads.
        schedule: when heartbeats are sent, and to whom.
        responder: what other nodes are answered.
        incarnation: of this process; goes with each heartbeat and comes back in its answer.
    """

    def __init__(self, own: RosterEntry, seeds: Sequence[str], random: Random, host: DisseminationHost) -> None:
        """Holds nothing yet.

        Args:
            own: this node, not ready.
            seeds: addresses of nodes to ask while no others are known.
            random: spreads intervals and targets.
            host: the process.
        """
        self._own = own
        self._host = host
        self.ready = False
        self.state_index = 0
        self.endpoints_version = 0
        self.must_renumber_endpoints = False
        self.leadership = Leadership(own.ip)
        self.roster_replica = Roster()
        self.peer_table = PeerTable(own.ip)
        self.incarnation = random.getrandbits(INCARNATION_BITS)
        self.schedule = HeartbeatSchedule(own.ip, seeds, random)
        self.responder = Responder(host, self.leadership, self.roster_replica)
        self._roster_builder = RosterBuilder(own, self.roster_replica, self.peer_table)
        self._remembered = RememberedNodes()
        self._versions = NO_VERSIONS
        self._corrupt_parts: set[str] = set()  # keys of parts of which a difference came out wrong

    # ---- what others read

    @property
    def leader(self) -> str | None:
        """Address of the leader; None: not known."""
        return self.leadership.leader

    @property
    def term(self) -> int:
        """The term in which it leads, as far as is known."""
        return self.leadership.term

    @property
    def is_leader(self) -> bool:
        """Whether this node leads."""
        return self.leadership.is_leader

    @property
    def confirmed_at_ns(self) -> int | None:
        """When a majority last stood behind what is held, by the own clock; None: never heard of."""
        return self.leadership.confirmed_at_ns

    @property
    def roster(self) -> tuple[RosterEntry, ...]:
        """All nodes."""
        return self.roster_replica.entries

    @property
    def roster_version(self) -> int:
        """Number of that roster."""
        return self.roster_replica.version

    @property
    def peer_addresses(self) -> Iterable[str]:
        """Addresses of the other nodes, as far as this node hears them while it leads."""
        return self.peer_table.by_ip

    @property
    def versions(self) -> ReplicaVersions:
        """What this node holds. Made anew only where it has changed: each heartbeat needs it."""
        versions = self._versions
        if (
            versions.state_index != self.state_index
            or versions.endpoints_version != self.endpoints_version
            or versions.roster_version != self.roster_replica.version
        ):
            versions = ReplicaVersions(self.state_index, self.endpoints_version, self.roster_replica.version)
            self._versions = versions
        return versions

    # ---- what the host reports

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """The settings name other seeds from now on."""
        self.schedule.seeds = seeds

    def remember_nodes(self, addresses: Iterable[str]) -> None:
        """The disk held the addresses of these nodes; this one tells them of itself if it comes to lead."""
        self._remembered.load(address for address in addresses if address != self._own.ip)

    def set_ready(self, ready: bool) -> None:
        """Whether this node takes requests; a change goes with a heartbeat at once."""
        if ready != self.ready:
            self.ready = ready
            self.schedule.expedite()

    def state_changed(self, index: int) -> None:
        """The host holds the state of `index` from now on."""
        self.state_index = index

    def endpoints_changed(self, version: int) -> None:
        """The host holds the endpoint list `version` from now on."""
        self.endpoints_version = version

    def number_endpoints(self) -> int:
        """The number of a new endpoint list that this leader makes."""
        self.must_renumber_endpoints = False
        return max(self.endpoints_version + 1, first_version(self.term))

    def set_leadership(self, status: CoreStatus, now: int) -> None:
        """The member of the core beside this node reports who leads. A new leader tells all nodes.

        That guards leases, and the leader's own roster, against nodes that find out only by asking around.
        """
        begins_to_lead = status.is_leader and not self.is_leader
        if begins_to_lead:
            self.peer_table.reset(self.roster, self.versions, now)
        self.leadership.update(status, now)
        if begins_to_lead:
            self._remembered.begin(now)
            self._announce(self.peer_table.by_ip, now)

    def _announce(self, addresses: Iterable[str], now: int) -> None:
        """Tells nodes that this one leads; they ask for what they lack."""
        announcement = messages.encode_state_response(self.responder.update(self.versions, self.versions, now))
        for ip in addresses:
            self._host.send(ip, announcement)

    # ---- heartbeats

    def tick(self, now: int) -> None:
        """Looks at the time: sends what is due, and as the leader renews the roster."""
        self.responder.start_tick(now)
        if self.is_leader:
            self._refresh_roster(now)
            if unheard := self._remembered.due(self.peer_table.by_ip, now):
                self._announce(unheard, now)
        if not self.schedule.is_due(now):
            return
        in_contact = self.leadership.in_contact(now)
        had_response = self.leadership.had_response
        self.schedule.begin_attempt(now, in_contact, had_response)
        if self.is_leader:
            return
        frame = messages.encode_heartbeat(self.heartbeat(now))
        if self.leader:
            self._host.send(self.leader, frame)
        if not in_contact or not self.leader:
            alternate = self.schedule.alternate_target([entry.ip for entry in self.roster], had_response)
            if alternate:
                self._host.send(alternate, frame)

    def heartbeat(self, now: int) -> Heartbeat:
        """This node's heartbeat. Of a part that came out wrong it claims to hold nothing: that asks for all of it."""
        versions = self.versions
        if self._corrupt_parts:
            versions = ReplicaVersions(
                0 if messages.STATE in self._corrupt_parts else versions.state_index,
                0 if messages.ENDPOINTS in self._corrupt_parts else versions.endpoints_version,
                0 if messages.ROSTER in self._corrupt_parts else versions.roster_version,
            )
        own = self._own
        return Heartbeat(versions, now, self.incarnation, own.name, own.zone, own.front, self.ready)

    # ---- heartbeats of other nodes, and what they are answered

    def on_heartbeat(self, ip: str, message: Message, now: int) -> None:
        """A node sent a heartbeat: as the leader notes it, and answers what that node lacks.

        Raises:
            ValueError, LookupError: it is no heartbeat.
        """
        is_leader = self.leadership.is_leader
        heartbeat = messages.decode_heartbeat(message, is_leader)
        if is_leader:
            peer = self.peer_table.get_or_add(ip, heartbeat)
            if peer is None:
                return
            self._record(peer, heartbeat, now)
        versions = self.versions
        if self.responder.may_send(ip, versions, heartbeat.versions, now):  # else it asks again
            response = self.responder.response(versions, heartbeat, now)
            self._host.send(ip, messages.encode_state_response(response))

    def _record(self, peer: Peer, heartbeat: Heartbeat, now: int) -> None:
        """The leader takes note of a heartbeat.

        A node that stops serving is out of the roster at once; one that joins waits for a tick, with others.
        """
        was_ready = peer.entry.ready
        peer.record(heartbeat, now)
        if heartbeat.versions != self.versions:
            self._renumber_above(heartbeat.versions, now)
        if was_ready and not peer.entry.ready:
            self._refresh_roster(now)

    def _renumber_above(self, versions: ReplicaVersions, now: int) -> None:
        """Guards against what an old leader numbered when another led already: whoever took it would keep it."""
        if self.endpoints_version < versions.endpoints_version < first_version(self.term):
            self.must_renumber_endpoints = True
        if self._roster_builder.renumber_above(versions.roster_version, self.term):
            self.push_updates(now)

    def _refresh_roster(self, now: int) -> None:
        """Makes a new roster where the nodes that this leader hears have changed, and pushes it to all."""
        if self._roster_builder.renew(self.ready, self.term, now):
            self._host.on_roster()
            self.push_updates(now)

    def push_updates(self, now: int) -> None:
        """Sends what changed to every node that lacks it, as far as this leader knows."""
        versions = self.versions
        targets: dict[ReplicaVersions, list[str]] = {}  # addresses by what they hold
        for ip, peer in self.peer_table.lagging(versions):
            if self.responder.may_send(ip, versions, peer.versions, now):
                targets.setdefault(peer.versions, []).append(ip)
                peer.versions = versions
        for peer_versions, ips in targets.items():
            update = self.responder.update(versions, peer_versions, now)
            self._host.send_all(ips, messages.encode_state_response(update))

    # ---- what responses bring

    def on_state_response(self, ip: str, message: Message, now: int) -> None:
        """A node sent what this one lacks: takes it over, with its age, and follows the leader that it names.

        Raises:
            ValueError, LookupError, TypeError: it is no response.
        """
        response = messages.decode_state_response(message)
        state_is_current = self._apply_parts(response, now)
        # Guards revocation against an age that comes beside a state which was not applied: it would vouch for the older
        # one.
        leadership = self.leadership
        if leadership.is_leader or not state_is_current:
            return
        if response.age_ns is not None and self._is_own_answer(response, now):
            leadership.confirm(ip, response.leader, response.requested_at_ns, response.age_ns)
        if leadership.follow(response.leader, response.term, now):
            self.schedule.expedite()

    def _apply_parts(self, response: StateResponse, now: int) -> bool:
        """Takes over the parts of a response. Returns whether the state is as new as the response claims."""
        state_is_current = True
        if response.state is not None:
            state_is_current = self._apply(messages.STATE, self._host.on_state, response.state, now)
        # Guards lists and rosters against what a leader numbered that had been deposed without knowing. A committed
        # state is one, whoever sends it.
        if response.term >= self.leadership.term:
            if response.endpoints is not None:
                self._apply(messages.ENDPOINTS, self._host.on_endpoints, response.endpoints, now)
            if response.roster is not None:
                self._apply(messages.ROSTER, self._on_roster, response.roster, now)
        return state_is_current

    def _apply(self, part: str, apply_part: Callable[[Packed, int], None], packed: Packed, now: int) -> bool:
        """Takes over one part. Returns False if it is a difference that does not fit; then it is asked for again."""
        try:
            apply_part(packed, now)
        except DeltaMismatchError as mismatch:
            if mismatch.corrupt:
                self._corrupt_parts.add(part)
            self.schedule.expedite()
            return False
        self._corrupt_parts.discard(part)
        return True

    def _on_roster(self, packed: Packed, now: int) -> None:
        update = messages.decode_roster_update(packed, self.roster_version)
        if update is not None and not self.is_leader:
            self.roster_replica.apply(update)
            self._host.on_roster()

    def _is_own_answer(self, response: StateResponse, now: int) -> bool:
        """Whether a response answers a question of this process.

        Guards against an answer to the process before, which held more: it says nothing of what this one lacks.
        """
        is_own = response.incarnation is None or response.incarnation == self.incarnation
        return 0 < response.requested_at_ns <= now and is_own
