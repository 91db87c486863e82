"""The public interface of a core member: `take(now, event)` returns the effects to be carried out in order.

This module does no I/O and reads no clock; times are ns of a monotonic clock. It only passes each input to the
component that handles it (see `__init__.py` for the list).

Invariants:

- An input is handled completely before the next one. Before any input is handled, a leader whose lease has expired
  steps down.
- A message with an invalid field raises RemoteProtocolError and changes nothing; the caller counts it.
"""

from collections.abc import Sequence
from random import Random
from typing import assert_never

from .context import MemberContext, MemberSettings
from .core_strength import CoreStrength
from .election import START_TIMEOUT
from .events import (
    Effect,
    Input,
    MessageReceived,
    Order,
    OrderEnded,
    Outcome,
    RecordStored,
    Shutdown,
    StateCommitted,
    Tick,
)
from .frame_decoder import decode
from .identifiers import Incarnation, Term, TimeNs
from .message_handler import MessageHandler
from .persistent_state import PersistentState
from .roles import Roles
from .state import State


class Member:
    """A core member, or a node with a disk that wants to be one. `roles` is public only for tests."""

    def __init__(self, settings: MemberSettings, record: bytes | None, random: Random, now: TimeNs) -> None:
        """Restores the member from `record`, the record on disk, or initializes it if `record` is None.

        `random` must be seeded differently at each start, because incarnations are drawn from it.

        Raises RecordError for a record that this member cannot have stored.
        """
        self._context = MemberContext(settings, random, now)
        first_deadline = now + self._context.draw(
            START_TIMEOUT
        )  # drawn before the incarnation, so recorded runs replay
        self._persistent = PersistentState(self._context, record)
        if record is None and self._persistent.entry is not None:
            first_deadline = now  # the first member of a new core need not wait for a leader
        self.roles = Roles(self._context, self._persistent, record is None, first_deadline)
        self._messages = MessageHandler(self.roles)

    # Status for the caller.

    @property
    def name(self) -> str:
        """Name of this member in the settings."""
        return self._context.settings.name

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of this member."""
        return self._persistent.incarnation

    @property
    def term(self) -> Term:
        """The newest term that this member knows."""
        return self._persistent.term

    @property
    def entry(self) -> State | None:
        """The newest local entry; it may never be committed."""
        return self._persistent.entry

    @property
    def committed(self) -> State | None:
        """The newest state that this member knows to be committed."""
        return self._persistent.committed

    @property
    def leader_ip(self) -> str | None:
        """Address of the leader as far as this member knows; possibly its own."""
        return self.roles.discovery.leader_ip

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader."""
        return self.roles.leader is not None

    @property
    def quorum_confirmed_at(self) -> TimeNs | None:
        """Time up to which `committed` contains everything that any member acknowledged.

        None unless this member is the leader and has confirmed it.
        """
        return self.roles.leader.quorum_confirmed_at if self.roles.leader is not None else None

    @property
    def seeds(self) -> list[str]:
        """Addresses to query for the leader."""
        return self._context.seeds

    @seeds.setter
    def seeds(self, ips: Sequence[str]) -> None:
        """Replaces the seeds; allowed at any time."""
        self._context.change_seeds(ips)

    @property
    def is_member(self) -> bool:
        """Whether this incarnation is a member of the core, according to the newest local entry."""
        return self._persistent.is_member()

    def learn_contacts(self, ips: Sequence[str]) -> None:
        """Replaces the addresses at which the node last knew the leader and the members, from whatever source.

        They are places to ask for the leader and nothing else: they give no vote and found no core.
        """
        self._context.learn_contacts(ips)

    def is_leadership_expired(self, now: TimeNs) -> bool:
        """Whether this member is a leader with an expired lease; it then steps down at the next `take`."""
        return self.roles.leader is not None and self.roles.leader.is_expired(now)

    def core_strength(self, now: TimeNs) -> CoreStrength | None:
        """Returns the membership status of the core; None unless this member is the leader."""
        return self.roles.leader.strength(now) if self.roles.leader is not None else None

    @property
    def node_ips(self) -> list[str]:
        """Addresses of all nodes that this member knew recently, including before a restart."""
        return self._persistent.node_ips

    def remember_nodes(self, ips: list[str]) -> None:
        """Stores the addresses of all current nodes, so that a leader knows them after all machines lost power.

        They are written to disk with the next input.
        """
        self._persistent.remember_nodes(ips)

    # Inputs.

    def take(self, now: TimeNs, event: Input | None) -> list[Effect]:
        """Handles one input and returns the effects, in order. The first input after the start must be None."""
        self._context.begin(now)
        roles = self.roles
        if roles.leader is not None and roles.leader.is_expired(now):
            roles.step_down()
        if event is None:
            self._announce_committed()
        else:
            self._handle(event)
        leader = roles.leader
        if leader is not None and leader.may_step_down:
            roles.step_down()
        elif leader is not None and leader.excludes_itself:
            roles.step_down()
            roles.rejoin(None)
        if (store := self._persistent.next_store()) is not None:
            self._context.emit(store)
        return self._context.effects

    def _handle(self, event: Input) -> None:
        match event:
            case MessageReceived():
                self._messages.receive(event.ip, decode(event.message))
            case Tick():
                self._tick()
            case RecordStored():
                self._record_stored(event)
            case Order():
                self._order(event)
            case Shutdown():
                self._shutdown()
            case _:
                assert_never(event)

    def _announce_committed(self) -> None:
        if self._persistent.committed is not None:
            self._context.emit(StateCommitted(self._persistent.committed))

    def _tick(self) -> None:
        if self.roles.leader is not None:
            self.roles.leader.tick()
            return
        self.roles.discovery.expire()
        if not self._persistent.is_member():
            self.roles.discovery.request_to_join()
        elif not self._context.is_shutting_down:
            self.roles.election.tick()
            if self.roles.election.is_campaigning:
                self.roles.discovery.query_if_lost()

    def _record_stored(self, event: RecordStored) -> None:
        durable = self._persistent.stored(event)
        if durable is None:
            return
        self.roles.responses.release(durable)
        if durable.term == self._persistent.term and self.roles.election.own_vote_stored():
            self.roles.become_leader()
        if self.roles.leader is not None:
            self.roles.leader.advance_commit()

    def _order(self, order: Order) -> None:
        if self.roles.leader is not None and not self._context.is_shutting_down:
            self.roles.leader.submit(order)
        else:
            redirect_ip = self.roles.discovery.redirect_ip()
            self._context.emit(OrderEnded(order.ref, Outcome.NOT_LEADER, leader_ip=redirect_ip))

    def _shutdown(self) -> None:
        self._context.note_shutdown()
        if self.roles.leader is not None:
            self.roles.leader.begin_transfer()
