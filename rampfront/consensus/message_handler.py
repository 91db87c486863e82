"""Handling of messages from other members and nodes.

Messages are dispatched by class: those between a leader and its followers first (`ReplicationMessage`), since they are
the most frequent, then those between candidates and voters (`ElectionMessage`) and those for discovery
(`DiscoveryMessage`). Each method below implements the protocol's rule for one message; the components that it calls
document the reasons.

Invariants:

- A message for another incarnation of this member is not answered, because this incarnation has not made the votes and
  acknowledgements of the other one.
- A message with invalid content raises RemoteProtocolError before it changes anything.

`Member` calls `receive`.
"""

from typing import assert_never

from .entry_receiver import received_entry
from .errors import RemoteProtocolError
from .identifiers import LogIndex, Term
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
    TermRejected,
    VoteGranted,
    VoteRequest,
)
from .roles import Roles


class MessageHandler:
    """Handles the messages to one member. `ip` is always the sender's address."""

    def __init__(self, roles: Roles) -> None:
        """`roles`: the member's components."""
        self._roles = roles
        self._persistent = roles.persistent
        self._election = roles.election
        self._discovery = roles.discovery
        self._responses = roles.responses

    def receive(self, ip: str, message: Message) -> None:
        """Handles a message. Raises RemoteProtocolError if its content is invalid."""
        if message.receiver_incarnation not in (None, self._persistent.incarnation):
            self._receive_for_another(ip, message)
        else:
            self._dispatch(ip, message)

    def _receive_for_another(self, ip: str, message: Message) -> None:
        """Handles a message for another incarnation, whose disk was lost: only the leader's address is used."""
        if not isinstance(message, (Heartbeat, AppendEntry)):
            return
        if message.term >= self._persistent.term and not self._persistent.is_member():
            self._discovery.note_leader(ip)

    def _dispatch(self, ip: str, message: Message) -> None:
        match message:  # the messages of each heartbeat round come first, as they are the most frequent
            case Heartbeat():
                self._receive_heartbeat(ip, message)
            case AppendAcknowledged():
                self._receive_acknowledgement(message)
            case AppendEntry():
                self._receive_entry(ip, message)
            case LeadershipEnded():
                self._receive_leadership_ended(ip, message)
            case PreVoteRequest() | PreVoteGranted() | VoteRequest() | VoteGranted() | TermRejected():
                self._receive_election(ip, message)
            case JoinRequest() | LeaderQuery() | LeaderHint():
                self._receive_discovery(ip, message)
            case _:
                assert_never(message)

    def _receive_election(self, ip: str, message: ElectionMessage) -> None:
        match message:
            case PreVoteRequest():
                self._receive_pre_vote_request(ip, message)
            case PreVoteGranted():
                self._election.pre_vote_granted(message)
            case VoteRequest():
                self._receive_vote_request(ip, message)
            case VoteGranted():
                self._receive_vote(message)
            case TermRejected():
                self._roles.learn_of_term(message.term)
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

    # Elections.

    def _receive_pre_vote_request(self, ip: str, request: PreVoteRequest) -> None:
        if self._roles.leader is not None and self._roles.leader.excludes(request.sender):
            self._discovery.send_hint(ip, excluded=request.sender.incarnation)
        else:
            self._election.answer_pre_vote(ip, request)

    def _receive_vote_request(self, ip: str, request: VoteRequest) -> None:
        if request.term < self._persistent.term:
            self._election.reject_term(ip)
            return
        if self._discovery.has_live_leader() and not request.is_named_successor:
            return  # a member returning from a partition must not depose a working leader
        if request.term > self._persistent.term:
            self._roles.enter_term(request.term)
        vote = self._election.grant_vote(request)
        if vote is not None:
            self._responses.send_when_durable(ip, vote)

    def _receive_vote(self, vote: VoteGranted) -> None:
        if self._election.vote_granted(vote):
            self._roles.become_leader()

    def _receive_leadership_ended(self, ip: str, message: LeadershipEnded) -> None:
        is_own_leader = message.term == self._persistent.term and self._discovery.leader_ip == ip
        if is_own_leader and self._roles.leader is None:
            self._discovery.leader_ended()
            self._election.leader_ended(message.hands_over_to_receiver)

    # Follower.

    def _accept_leader(self, ip: str, term: Term) -> bool:
        """Returns whether the sender is the current leader; enters its term if that is newer."""
        if term < self._persistent.term:
            self._election.reject_term(ip)
            return False
        if self._roles.leader is not None and term == self._persistent.term:
            raise RemoteProtocolError("another leader claims the term in which this member leads")
        if term > self._persistent.term:
            self._roles.enter_term(term)
        self._roles.accept_leader(ip)
        return True

    def _receive_heartbeat(self, ip: str, message: Heartbeat) -> None:
        if not self._accept_leader(ip, message.term):
            return
        self._commit_up_to(message.commit_index)
        acknowledgement = self._acknowledgement(message)
        if self._persistent.durable.term >= self._persistent.term:
            self._responses.send(ip, acknowledgement)
        else:
            self._responses.send_when_durable(ip, acknowledgement)

    def _receive_entry(self, ip: str, message: AppendEntry) -> None:
        entry = received_entry(self._persistent, message)
        if not self._accept_leader(ip, message.term):
            return
        own = self._persistent.entry
        if entry is not None and (own is None or entry.position > own.position):
            self._persistent.append(entry)
        self._commit_up_to(message.commit_index)
        self._responses.send_when_durable(ip, self._acknowledgement(message))

    def _acknowledgement(self, message: Heartbeat | AppendEntry) -> AppendAcknowledged:
        """Returns an acknowledgement; `DeferredResponses.send` adds the entry on disk at the time of sending."""
        own, leader = self._persistent.key, message.sender
        return AppendAcknowledged(own, leader.incarnation, self._persistent.term, message.round)

    def _commit_up_to(self, index: LogIndex) -> None:
        """Commits the local entry if the leader's commit index covers it and it is of the current term."""
        entry = self._persistent.entry
        if entry is not None and entry.term == self._persistent.term and entry.index <= index:
            self._persistent.commit(entry)

    def _receive_acknowledgement(self, message: AppendAcknowledged) -> None:
        if self._roles.leader is not None and message.term == self._persistent.term:
            self._roles.leader.acknowledged(message)
        else:
            self._roles.learn_of_term(message.term)

    # Joining and leader discovery.

    def _receive_join_request(self, ip: str, request: JoinRequest) -> None:
        if self._roles.leader is not None:
            self._roles.leader.receive_join_request(ip, request)
        elif self._persistent.entry is not None:
            self._roles.electorate.observe_join_request(request.sender, self._discovery.has_live_leader())
            self._discovery.send_hint(ip)

    def _receive_leader_query(self, ip: str, query: LeaderQuery) -> None:
        if self._persistent.entry is None:
            return
        sender, leader = query.sender, self._roles.leader
        if sender is not None and leader is not None and leader.excludes(sender):
            self._discovery.send_hint(ip, excluded=sender.incarnation)
        else:
            self._discovery.send_hint(ip)

    def _receive_hint(self, ip: str, hint: LeaderHint) -> None:
        excluded_by = self._discovery.receive_hint(ip, hint)
        if excluded_by is not None:
            self._roles.rejoin(excluded_by)
