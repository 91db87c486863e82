"""One member of the core, as its process sees it: `take(now, event)` returns the effects to be carried out in order.

Nothing here reads a clock or does I/O; times are ns of a steady clock. This module only joins the parts and passes each
input and each message on to the one that decides (`__init__.py` says which). It owns the changes of role that touch
several parts: entering a newer term, becoming the leader and stepping down, and coming back as another incarnation.

Invariants:

- An input is handled whole before the next one, and before any is, a leader without a majority behind it steps down.
- A message for another incarnation of this member is not answered: this one has promised nothing.
- A message with a wrong field raises RemoteProtocolError and changes nothing; the caller counts it.
"""

from collections.abc import Sequence
from random import Random
from typing import assert_never

from . import codec
from .context import MemberContext, MemberSettings
from .core_strength import CoreStrength
from .deferred_responses import DeferredResponses
from .election import START_TIMEOUT, Election
from .electorate import Electorate
from .entry_receiver import received_entry
from .errors import RemoteProtocolError
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
from .identifiers import Incarnation, LogIndex, Term, TimeNs
from .leader import Leader
from .leader_discovery import LeaderDiscovery
from .messages import (
    AppendAcknowledged,
    AppendEntry,
    DiscoveryMessage,
    ElectionMessage,
    Heartbeat,
    JoinRequest,
    LeaderHint,
    LeaderQuery,
    LeadershipEnded,
    Message,
    PreVoteGranted,
    PreVoteRequest,
    ReplicationMessage,
    TermRejected,
    VoteGranted,
    VoteRequest,
)
from .persistent_state import PersistentState
from .state import State


class Member:
    """A member of the core, or a node without a disk that only finds the leader.

    The parts are public for tests alone; callers use `take` and the properties.
    """

    def __init__(self, settings: MemberSettings, record: bytes | None, random: Random, now: TimeNs) -> None:
        """`record`: what the disk held, or None.

        `random` must be seeded by chance that a restart does not repeat: incarnations come from it.

        Raises RecordError for a record that this member can't have stored.
        """
        self.context = MemberContext(settings, random, now)
        first_deadline = now + self.context.draw(START_TIMEOUT)  # before an incarnation is drawn: recorded runs replay
        self.persistent = PersistentState(self.context, record)
        if record is None and self.persistent.entry is not None:
            first_deadline = now  # the founder has nobody to wait for
        counts_towards_size = settings.is_first_start and record is None
        self.discovery = LeaderDiscovery(self.context, self.persistent, counts_towards_size)
        self.electorate = Electorate(self.context, self.persistent)
        self.responses = DeferredResponses(self.context, self.persistent)
        self.election = Election(self.context, self.persistent, self.electorate, self.discovery, first_deadline)
        self.leadership: Leader | None = None

    # What the caller reads.

    @property
    def name(self) -> str:
        """As in the settings."""
        return self.context.settings.name

    @property
    def incarnation(self) -> Incarnation:
        """Of this member's disk; 0 without one."""
        return self.persistent.incarnation

    @property
    def term(self) -> Term:
        """The newest that this member knows."""
        return self.persistent.term

    @property
    def entry(self) -> State | None:
        """The newest one here; it may never be committed."""
        return self.persistent.entry

    @property
    def committed(self) -> State | None:
        """The newest state that is known here to be committed."""
        return self.persistent.committed

    @property
    def leader_ip(self) -> str | None:
        """Who leads as far as this member knows, itself included."""
        return self.discovery.leader_ip

    @property
    def is_leader(self) -> bool:
        """Whether this member leads."""
        return self.leadership is not None

    @property
    def quorum_confirmed_at(self) -> TimeNs | None:
        """All that was acknowledged anywhere before this time is in `committed`. None unless this member leads."""
        return self.leadership.quorum_confirmed_at if self.leadership is not None else None

    @property
    def seeds(self) -> list[str]:
        """Ips to ask who leads."""
        return self.context.seeds

    @seeds.setter
    def seeds(self, ips: Sequence[str]) -> None:
        self.context.seeds = list(ips)

    def is_leadership_expired(self, now: TimeNs) -> bool:
        """Whether it leads without a majority behind it: the next `take`, of whatever, makes it step down."""
        return self.leadership is not None and self.leadership.is_expired(now)

    def core_strength(self, now: TimeNs) -> CoreStrength | None:
        """What the leader knows of the core's members; None unless this member leads."""
        return self.leadership.strength(now) if self.leadership is not None else None

    # Inputs.

    def take(self, now: TimeNs, event: Input | None) -> list[Effect]:
        """Handles one input and returns what is to be done, in order. None comes first of all, at the start."""
        self.context.begin(now)
        if self.is_leadership_expired(now):
            self._step_down()
        if event is None:
            self._announce_committed()
        else:
            self._handle(event)
        if self.leadership is not None and self.leadership.may_step_down:
            self._step_down()
        elif self.leadership is not None and self.leadership.excludes_itself:
            self._step_down()
            self._rejoin(None)
        if (store := self.persistent.next_store()) is not None:
            self.context.emit(store)
        return self.context.effects

    def _handle(self, event: Input) -> None:
        match event:
            case MessageReceived():
                self._receive(event.ip, codec.decode(event.message))
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
        if self.persistent.committed is not None:
            self.context.emit(StateCommitted(self.persistent.committed))

    def _tick(self) -> None:
        if not self.context.settings.has_disk:
            self.discovery.tick_without_disk()
            return
        if self.leadership is not None:
            self.leadership.tick()
            return
        self.discovery.expire()
        if not self.persistent.is_member():
            self.discovery.request_to_join()
        elif not self.context.is_shutting_down:
            self.election.tick()
            if self.election.is_campaigning:
                self.discovery.query_if_lost()

    def _record_stored(self, event: RecordStored) -> None:
        durable = self.persistent.stored(event)
        if durable is None:
            return
        self.responses.release(durable)
        if durable.term == self.persistent.term and self.election.own_vote_stored():
            self._lead()
        if self.leadership is not None:
            self.leadership.settle()

    def _order(self, order: Order) -> None:
        if self.leadership is not None and not self.context.is_shutting_down:
            self.leadership.submit(order)
        else:
            redirect_ip = self.discovery.redirect_ip()
            self.context.emit(OrderEnded(order.ref, Outcome.NOT_LEADER, leader_ip=redirect_ip))

    def _shutdown(self) -> None:
        self.context.note_shutdown()
        if self.leadership is not None:
            self.leadership.begin_transfer()

    # Messages.

    def _receive(self, ip: str, message: Message) -> None:
        if not self.context.settings.has_disk:
            if isinstance(message, LeaderHint):
                self.discovery.receive_hint(ip, message)
        elif message.receiver_incarnation not in (None, self.persistent.incarnation):
            self._receive_for_another(ip, message)
        else:
            self._dispatch(ip, message)

    def _receive_for_another(self, ip: str, message: Message) -> None:
        """Meant for one that lost its disk: this one has promised nothing. Yet it learns who leads."""
        if not isinstance(message, (Heartbeat, AppendEntry)):
            return
        if message.term >= self.persistent.term and not self.persistent.is_member():
            self.discovery.note_leader(ip)

    def _dispatch(self, ip: str, message: Message) -> None:
        match message:
            case Heartbeat() | AppendAcknowledged() | AppendEntry() | LeadershipEnded():
                self._receive_replication(ip, message)
            case PreVoteRequest() | PreVoteGranted() | VoteRequest() | VoteGranted() | TermRejected():
                self._receive_election(ip, message)
            case JoinRequest() | LeaderQuery() | LeaderHint():
                self._receive_discovery(ip, message)
            case _:
                assert_never(message)

    def _receive_replication(self, ip: str, message: ReplicationMessage) -> None:
        match message:
            case Heartbeat():
                self._receive_heartbeat(ip, message)
            case AppendAcknowledged():
                self._receive_acknowledgement(message)
            case AppendEntry():
                self._receive_entry(ip, message)
            case LeadershipEnded():
                self._receive_leadership_ended(ip, message)
            case _:
                assert_never(message)

    def _receive_election(self, ip: str, message: ElectionMessage) -> None:
        match message:
            case PreVoteRequest():
                self._receive_pre_vote_request(ip, message)
            case PreVoteGranted():
                self.election.pre_vote_granted(message)
            case VoteRequest():
                self._receive_vote_request(ip, message)
            case VoteGranted():
                self._receive_vote(message)
            case TermRejected():
                self._learn_of_term(message.term)
            case _:
                assert_never(message)

    def _receive_discovery(self, ip: str, message: DiscoveryMessage) -> None:
        match message:
            case JoinRequest():
                self._receive_join_request(ip, message)
            case LeaderQuery():
                self._receive_leader_query(ip, message)
            case LeaderHint():
                self._receive_hint(ip, message)
            case _:
                assert_never(message)

    # Terms and roles.

    def _enter_term(self, term: Term) -> None:
        """Into a newer term, as a follower."""
        self.persistent.enter_term(term)
        self.discovery.forget_leader()
        if self.leadership is not None:
            self._step_down()
        self.election.follow()

    def _learn_of_term(self, term: Term) -> None:
        """Another member names its term."""
        if term > self.persistent.term and self.persistent.is_member():
            self._enter_term(term)

    def _lead(self) -> None:
        """This member has won the election of its term."""
        password = self.context.draw_identifier()
        self.discovery.became_leader(password)
        self.leadership = Leader(self.context, self.persistent, self.electorate, self.discovery, password)
        self.leadership.begin()

    def _step_down(self) -> None:
        """A leader that can't lead says so: its followers need not wait until they miss it."""
        leadership, self.leadership = self.leadership, None
        assert leadership is not None
        self.discovery.leadership_ended()
        leadership.close()
        self.election.follow()

    def _rejoin(self, leader_ip: str | None) -> None:
        """It is committed that this incarnation is no member any more: it comes back as another."""
        self.persistent.renew_incarnation()
        self.election.learn()
        self.discovery.restart(leader_ip)
        self.responses.clear()

    # Elections.

    def _receive_pre_vote_request(self, ip: str, request: PreVoteRequest) -> None:
        if self.leadership is not None and self.leadership.excludes(request.sender):
            self.discovery.send_hint(ip, excluded=request.sender.incarnation)
        else:
            self.election.answer_pre_vote(ip, request)

    def _receive_vote_request(self, ip: str, request: VoteRequest) -> None:
        if request.term < self.persistent.term:
            self.election.reject_term(ip)
            return
        if self.discovery.has_live_leader() and not request.is_named_successor:
            return  # one that was cut off would depose a leader that works
        if request.term > self.persistent.term:
            self._enter_term(request.term)
        vote = self.election.grant_vote(request)
        if vote is not None:
            self.responses.send_when_durable(ip, vote)

    def _receive_vote(self, vote: VoteGranted) -> None:
        if self.election.vote_granted(vote):
            self._lead()

    def _receive_leadership_ended(self, ip: str, message: LeadershipEnded) -> None:
        is_own_leader = message.term == self.persistent.term and self.discovery.leader_ip == ip
        if is_own_leader and self.leadership is None:
            self.discovery.leader_ended()
            self.election.leader_ended(message.hands_over_to_receiver)

    # Following.

    def _accept_leader(self, ip: str, term: Term) -> bool:
        """Whether the sender leads now; a newer term is taken up."""
        if term < self.persistent.term:
            self.election.reject_term(ip)
            return False
        if self.leadership is not None and term == self.persistent.term:
            raise RemoteProtocolError("two leaders of one term")
        if term > self.persistent.term:
            self._enter_term(term)
        self.election.follow()
        self.electorate.leader_appeared()
        self.discovery.heartbeat_received(ip)
        return True

    def _receive_heartbeat(self, ip: str, message: Heartbeat) -> None:
        if not self._accept_leader(ip, message.term):
            return
        self._commit_up_to(message.commit_index)
        acknowledgement = self._acknowledgement(message)
        if self.persistent.durable.term >= self.persistent.term:
            self.responses.send(ip, acknowledgement)
        else:
            self.responses.send_when_durable(ip, acknowledgement)

    def _receive_entry(self, ip: str, message: AppendEntry) -> None:
        entry = received_entry(self.persistent, message)
        if not self._accept_leader(ip, message.term):
            return
        own = self.persistent.entry
        if entry is not None and (own is None or entry.position > own.position):
            self.persistent.append(entry)
        self._commit_up_to(message.commit_index)
        self.responses.send_when_durable(ip, self._acknowledgement(message))

    def _acknowledgement(self, message: Heartbeat | AppendEntry) -> AppendAcknowledged:
        """It says what is on disk as it leaves; see `DeferredResponses.send`."""
        own, leader = self.persistent.key, message.sender
        return AppendAcknowledged(own, leader.incarnation, self.persistent.term, message.round)

    def _commit_up_to(self, index: LogIndex) -> None:
        """The leader says that entries of this term are committed up to an index."""
        entry = self.persistent.entry
        if entry is not None and entry.term == self.persistent.term and entry.index <= index:
            self.persistent.commit(entry)

    def _receive_acknowledgement(self, message: AppendAcknowledged) -> None:
        if self.leadership is not None and message.term == self.persistent.term:
            self.leadership.acknowledged(message)
        else:
            self._learn_of_term(message.term)

    # Joining, and who leads.

    def _receive_join_request(self, ip: str, request: JoinRequest) -> None:
        if self.leadership is not None:
            self.leadership.receive_join_request(ip, request)
        elif self.persistent.entry is not None:
            self.electorate.observe_join_request(request.sender, self.discovery.has_live_leader())
            self.discovery.send_hint(ip)

    def _receive_leader_query(self, ip: str, query: LeaderQuery) -> None:
        if self.persistent.entry is None:
            return
        sender, leadership = query.sender, self.leadership
        if sender is not None and leadership is not None and leadership.excludes(sender):
            self.discovery.send_hint(ip, excluded=sender.incarnation)
        else:
            self.discovery.send_hint(ip)

    def _receive_hint(self, ip: str, hint: LeaderHint) -> None:
        excluded_by = self.discovery.receive_hint(ip, hint)
        if excluded_by is not None:
            self._rejoin(excluded_by)
