"""Keeps every node up to date with the core: its state, the endpoint list, the roster, and the age of the lease.

No I/O, no clock.

The protocol is anti-entropy with a leader. Every node sends heartbeats to the leader of the core, with the version
numbers of its replicas (`versions.py`). The leader responds with the time since a majority last confirmed it, and with
the data that the node lacks. It pushes each change at once; the next heartbeat recovers a push that was lost. A node
that is not the leader responds from its own replicas, so that a node that is partitioned from the leader alone still
receives everything through its peers.

A response carries a delta to the receiver's version where that version is known (`deltas.py`), and otherwise a full
transfer, which counts against a budget (`transfer_budget.py`). If a state cannot be applied, the age in the same
response is not applied either: the replica must be as recent as the lease claims.

`Disseminator` combines parts that each make one decision: when to send a heartbeat and to whom (`heartbeats.py`), what
to respond (`responder.py`), which leader to follow and how old the lease is (`leadership.py`), which nodes are alive
(`peers.py`), and when to build a new roster from them (`roster_builder.py`, `roster.py`).
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
    """A node's part in the dissemination, including the leader's part.

    Attributes:
        state_index: index of the state that the host holds; the host reports it (`state_changed`).
        endpoints_version: number of the endpoint list that the host holds (`endpoints_changed`).
        ready: whether this node accepts requests (`set_ready`).
        must_renumber_endpoints: a node holds an endpoint list that an older leader numbered above this leader's.
        leadership: the leader that this node follows, and the age of the lease.
        roster_replica: this node's replica of the roster.
        peer_table: the other nodes from which this node receives heartbeats while it is the leader.
        schedule: when heartbeats are sent, and to whom.
        responder: makes the responses to other nodes.
        incarnation: of this process; each heartbeat carries it and the response returns it.
    """

    def __init__(self, own: RosterEntry, seeds: Sequence[str], random: Random, host: DisseminationHost) -> None:
        """Starts without any replicas.

        Args:
            own: this node, not ready.
            seeds: addresses of the nodes to contact while no others are known.
            random: source of the jitter of intervals, and of the choice of targets.
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
        self._corrupt_parts: set[str] = set()  # keys of parts for which a delta had the wrong digest

    # ---- state of this node

    @property
    def leader(self) -> str | None:
        """Address of the leader; None if it is not known."""
        return self.leadership.leader

    @property
    def term(self) -> int:
        """The newest term that is known of the leader."""
        return self.leadership.term

    @property
    def is_leader(self) -> bool:
        """Whether this node is the leader."""
        return self.leadership.is_leader

    @property
    def confirmed_at_ns(self) -> int | None:
        """When a majority last confirmed the local replicas, by the local clock; None if that is not known yet."""
        return self.leadership.confirmed_at_ns

    @property
    def roster(self) -> tuple[RosterEntry, ...]:
        """All nodes of the roster."""
        return self.roster_replica.entries

    @property
    def roster_version(self) -> int:
        """Version number of the roster."""
        return self.roster_replica.version

    @property
    def peer_addresses(self) -> Iterable[str]:
        """Addresses of the other nodes from which this node received heartbeats while it is the leader."""
        return self.peer_table.by_ip

    @property
    def versions(self) -> ReplicaVersions:
        """Versions of the local replicas. Cached until one changes, since each heartbeat needs them."""
        versions = self._versions
        if (
            versions.state_index != self.state_index
            or versions.endpoints_version != self.endpoints_version
            or versions.roster_version != self.roster_replica.version
        ):
            versions = ReplicaVersions(self.state_index, self.endpoints_version, self.roster_replica.version)
            self._versions = versions
        return versions

    # ---- reports of the host

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Replaces the seeds, as the settings have changed."""
        self.schedule.seeds = seeds

    def remember_nodes(self, addresses: Iterable[str]) -> None:
        """Sets the node addresses of the core's record. As the leader, this node announces itself to silent ones."""
        self._remembered.load(address for address in addresses if address != self._own.ip)

    def set_ready(self, ready: bool) -> None:
        """Sets whether this node accepts requests; a change triggers a heartbeat at once."""
        if ready != self.ready:
            self.ready = ready
            self.schedule.expedite()

    def state_changed(self, index: int) -> None:
        """Records the index of the state that the host now holds."""
        self.state_index = index

    def endpoints_changed(self, version: int) -> None:
        """Records the version of the endpoint list that the host now holds."""
        self.endpoints_version = version

    def number_endpoints(self) -> int:
        """Returns the number for a new endpoint list that this leader makes."""
        self.must_renumber_endpoints = False
        return max(self.endpoints_version + 1, first_version(self.term))

    def set_leadership(self, status: CoreStatus, now: int) -> None:
        """Applies the status of the core member on this node. A new leader announces itself to all nodes.

        Without the announcement, leases and the leader's own roster would depend on nodes finding the new leader by
        asking others.
        """
        becomes_leader = status.is_leader and not self.is_leader
        if becomes_leader:
            self.peer_table.reset(self.roster, self.versions, now)
        self.leadership.update(status, now)
        if becomes_leader:
            self._remembered.begin(now)
            self._announce(self.peer_table.by_ip, now)

    def _announce(self, addresses: Iterable[str], now: int) -> None:
        """Announces to nodes that this one is the leader; they request what they lack."""
        announcement = messages.encode_state_response(self.responder.update(self.versions, self.versions, now))
        for ip in addresses:
            self._host.send(ip, announcement)

    # ---- heartbeats

    def tick(self, now: int) -> None:
        """Runs the periodic work: sends heartbeats that are due and, as the leader, updates the roster."""
        self.responder.start_tick(now)
        if self.is_leader:
            self._refresh_roster(now)
            if unreached := self._remembered.due(self.peer_table.by_ip, now):
                self._announce(unreached, now)
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
            known_ips = [entry.ip for entry in self.roster] or self._remembered.addresses
            alternate = self.schedule.alternate_target(known_ips, had_response)
            if alternate:
                self._host.send(alternate, frame)

    def heartbeat(self, now: int) -> Heartbeat:
        """Makes this node's heartbeat. Version 0 for a corrupt part requests a full transfer of it."""
        versions = self.versions
        if self._corrupt_parts:
            versions = ReplicaVersions(
                0 if messages.STATE in self._corrupt_parts else versions.state_index,
                0 if messages.ENDPOINTS in self._corrupt_parts else versions.endpoints_version,
                0 if messages.ROSTER in self._corrupt_parts else versions.roster_version,
            )
        own = self._own
        return Heartbeat(versions, now, self.incarnation, own.name, own.zone, own.front, self.ready)

    # ---- heartbeats of other nodes, and the responses to them

    def on_heartbeat(self, ip: str, message: Message, now: int) -> None:
        """Handles a node's heartbeat: the leader records it, and any node responds with what the sender lacks.

        Raises:
            ValueError, LookupError: the heartbeat is not valid.
        """
        is_leader = self.leadership.is_leader
        heartbeat = messages.decode_heartbeat(message, is_leader)
        if is_leader:
            peer = self.peer_table.get_or_add(ip, heartbeat)
            if peer is None:
                return
            self._record(peer, heartbeat, now)
        versions = self.versions
        if self.responder.may_send(ip, versions, heartbeat.versions, now):  # otherwise the sender asks again
            response = self.responder.response(versions, heartbeat, now)
            self._host.send(ip, messages.encode_state_response(response))

    def _record(self, peer: Peer, heartbeat: Heartbeat, now: int) -> None:
        """Records a heartbeat at the leader.

        A node that stops serving leaves the roster at once; a node that joins waits for a tick, together with others.
        """
        was_ready = peer.entry.ready
        peer.record(heartbeat, now)
        if heartbeat.versions != self.versions:
            self._renumber_above(heartbeat.versions, now)
        if was_ready and not peer.entry.ready:
            self._refresh_roster(now)

    def _renumber_above(self, versions: ReplicaVersions, now: int) -> None:
        """Renumbers data that a deposed leader numbered higher; nodes would otherwise never replace it."""
        if self.endpoints_version < versions.endpoints_version < first_version(self.term):
            self.must_renumber_endpoints = True
        if self._roster_builder.renumber_above(versions.roster_version, self.term):
            self.push_updates(now)

    def _refresh_roster(self, now: int) -> None:
        """Builds a new roster if the nodes known to this leader have changed, and pushes it to all."""
        if self._roster_builder.renew(self.ready, self.term, now):
            self._host.on_roster()
            self.push_updates(now)

    def push_updates(self, now: int) -> None:
        """Sends each change to every node that lacks it according to this leader's peer table."""
        versions = self.versions
        targets: dict[ReplicaVersions, list[str]] = {}  # addresses by the versions that the nodes hold
        for ip, peer in self.peer_table.lagging(versions):
            if self.responder.may_send(ip, versions, peer.versions, now):
                targets.setdefault(peer.versions, []).append(ip)
                peer.versions = versions
        for peer_versions, ips in targets.items():
            update = self.responder.update(versions, peer_versions, now)
            self._host.send_all(ips, messages.encode_state_response(update))

    # ---- responses

    def on_state_response(self, ip: str, message: Message, now: int) -> None:
        """Handles a response: applies the data and its age, and follows the leader that it names.

        Raises:
            ValueError, LookupError, TypeError: the response is not valid.
        """
        response = messages.decode_state_response(message)
        state_is_current = self._apply_parts(response, now)
        # The age belongs to the state in the response. If that state was not applied, the age would vouch for an older
        # state, in which a revoked key may still be valid.
        leadership = self.leadership
        if leadership.is_leader or not state_is_current:
            return
        if response.age_ns is not None and self._is_own_answer(response, now):
            leadership.confirm(ip, response.leader, response.requested_at_ns, response.age_ns, now)
        if leadership.follow(response.leader, response.term, now):
            self.schedule.expedite()

    def _apply_parts(self, response: StateResponse, now: int) -> bool:
        """Applies the parts of a response. Returns whether the state is as recent as the response claims."""
        state_is_current = True
        if response.state is not None:
            state_is_current = self._apply(messages.STATE, self._host.on_state, response.state, now)
        # A deposed leader that is not aware of its successor may still number lists and rosters. A state is committed
        # whoever sends it, so it is applied in any case.
        if response.term >= self.leadership.term:
            if response.endpoints is not None:
                self._apply(messages.ENDPOINTS, self._host.on_endpoints, response.endpoints, now)
            if response.roster is not None:
                self._apply(messages.ROSTER, self._on_roster, response.roster, now)
        return state_is_current

    def _apply(self, part: str, apply_part: Callable[[Packed, int], None], packed: Packed, now: int) -> bool:
        """Applies one part. Returns False if it is a delta that does not fit; the part is then requested again."""
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
        """Whether a response answers a request of this process.

        A late answer to the previous process, which held more data, says nothing about what this process lacks.
        """
        is_own = response.incarnation is None or response.incarnation == self.incarnation
        return 0 < response.requested_at_ns <= now and is_own
