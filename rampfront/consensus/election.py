"""Pre-vote and election of one member (Raft paper, section 5.2; pre-vote: Ongaro's dissertation, section 9.6).

A member that misses its leader first asks whether it could win (pre-vote) and only then enters a newer term as a
candidate: one that was cut off disturbs nobody when it returns. Who hears a live leader grants neither (section 4.2.3).

Invariants:

- A vote goes to one candidate a term, and only to one whose entry is no older than the own (paper, section 5.4.1).
- A vote leaves its member, and the own vote counts, only once it is on disk.
- A leader that hands over names its successor, which stands for election at once and gets votes although the leader is
  still live (leadership transfer, dissertation, section 3.10).

Two that ask at the same time would split the votes and lose a second; so now and then the one with the older entry, or
the lesser name, gives way. That rule is our own.

Called by `Member`, which makes this member the leader when a method returns True.
"""

from enum import Enum

from .context import MemberContext, Timeout
from .electorate import Electorate
from .identifiers import MS, NO_POSITION, SEC, LogPosition, MemberKey, TimeNs
from .leader_discovery import LeaderDiscovery
from .messages import PreVoteGranted, PreVoteRequest, TermRejected, VoteGranted, VoteRequest
from .persistent_state import PersistentState

ELECTION_TIMEOUT = Timeout(700 * MS, 1250 * MS)  # without a heartbeat, until a member asks for votes
CAMPAIGN_TIMEOUT = Timeout(400 * MS, 900 * MS)  # until it asks anew
START_TIMEOUT = Timeout(60 * MS, 360 * MS)  # after a start: where a leader is alive, nobody grants a vote
LEADER_ENDED_TIMEOUT = Timeout(20 * MS, 300 * MS)  # after a leader said that it stops
SUCCESSOR_NAMED_TIMEOUT = Timeout(150 * MS, 450 * MS)  # after it named another one to follow it
GIVE_WAY_INTERVAL_NS = 3 * SEC  # the other candidate may be deaf, so this one gives way no more often
RESEND_INTERVAL_NS = 140 * MS  # until a request without an answer is sent again


class Role(Enum):
    """What a member does in its term."""

    LEARNER = "learner"  # no member: it has no vote
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Election:
    """The role of one member, and its campaign while it has one."""

    def __init__(
        self,
        context: MemberContext,
        persistent: PersistentState,
        electorate: Electorate,
        discovery: LeaderDiscovery,
        deadline: TimeNs,
    ) -> None:
        """`deadline`: when this member first asks for votes, unless it hears a leader."""
        self._context = context
        self._persistent = persistent
        self._electorate = electorate
        self._discovery = discovery
        self.role = Role.LEARNER if persistent.entry is None else Role.FOLLOWER
        self.votes: set[MemberKey] = set()  # for this member, in its campaign
        self._deadline = deadline
        self._requested_at: TimeNs = -3 * SEC  # when votes were last asked for
        self._gave_way_at: TimeNs = -3 * SEC
        self._is_named_successor = False

    @property
    def is_campaigning(self) -> bool:
        """Whether this member asks for votes, or would-be votes."""
        return self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)

    # Roles.

    def follow(self) -> None:
        """Waits for a leader, or until the time-out without one."""
        self.role = Role.FOLLOWER
        self._is_named_successor = False
        self._deadline = self._context.now + self._context.draw(ELECTION_TIMEOUT)

    def learn(self) -> None:
        """This member is another incarnation from now on, and none of the members."""
        self.role = Role.LEARNER

    def tick(self) -> None:
        """To be called about ten times a second while this member may stand for election."""
        now = self._context.now
        if now >= self._deadline:
            self.start_pre_vote()
        elif self.is_campaigning and now - self._requested_at >= RESEND_INTERVAL_NS:
            self._request_votes()

    def start_pre_vote(self) -> None:
        """Asks whether a vote could be won, before the term is touched."""
        self.role = Role.PRE_CANDIDATE
        self.votes = {self._persistent.key}
        self._is_named_successor = False
        self._discovery.forget_leader()
        self._deadline = self._context.now + self._context.draw(CAMPAIGN_TIMEOUT)
        self._request_votes()
        self._count()

    def stand(self) -> None:
        """Enters a newer term as a candidate. Others are asked for their votes once the own one is on disk."""
        self.role = Role.CANDIDATE
        self.votes = set()
        self._persistent.stand_as_candidate()
        self._deadline = self._context.now + self._context.draw(CAMPAIGN_TIMEOUT)

    def leader_ended(self, hands_over_to_this: bool | None) -> None:
        """The leader leads no longer. `hands_over_to_this`: None if it named no successor, False if another one."""
        timeout = SUCCESSOR_NAMED_TIMEOUT if hands_over_to_this is False else LEADER_ENDED_TIMEOUT
        self._deadline = self._context.now + self._context.draw(timeout)
        if hands_over_to_this and self._persistent.is_member() and not self._context.is_shutting_down:
            self._is_named_successor = True
            self.stand()

    # The own campaign.

    def own_vote_stored(self) -> bool:
        """All of the current term is on disk. Returns whether this member has won."""
        if self.role is not Role.CANDIDATE:
            return False
        self.votes.add(self._persistent.key)
        self._request_votes()
        return self._count()

    def pre_vote_granted(self, message: PreVoteGranted) -> None:
        """Another member would vote for this one."""
        if self.role is Role.PRE_CANDIDATE and message.term == self._persistent.term + 1:
            self.votes.add(message.sender)
            self._count()

    def vote_granted(self, message: VoteGranted) -> bool:
        """Another member votes for this one. Returns whether it has won."""
        if self.role is not Role.CANDIDATE or message.term != self._persistent.term:
            return False
        self.votes.add(message.sender)
        return self._count()

    def _request_votes(self) -> None:
        """Asks those members who have not granted theirs yet; a candidate whose own vote is not on disk asks nobody."""
        self._requested_at = self._context.now
        own, entry = self._persistent.key, self._persistent.entry
        assert entry is not None
        if self.role is Role.CANDIDATE and own not in self.votes:
            return
        for name, (ip, incarnation) in self._electorate.state().all_members().items():
            if name != own.name and (name, incarnation) not in self.votes:
                self._context.send(ip, self._request(incarnation, entry.position))

    def _request(self, incarnation: int, position: LogPosition) -> PreVoteRequest | VoteRequest:
        """The question to the member with this incarnation."""
        own, term = self._persistent.key, self._persistent.term
        if self.role is Role.PRE_CANDIDATE:
            return PreVoteRequest(own, incarnation, term + 1, position)
        return VoteRequest(own, incarnation, term, position, self._is_named_successor)

    def _count(self) -> bool:
        """Goes on with a majority. Returns whether this member has won the election."""
        if not self._electorate.state().has_quorum(self.votes):
            return False
        if self.role is Role.PRE_CANDIDATE:
            self.stand()
            return False
        if self.role is Role.CANDIDATE and self._persistent.key in self.votes:
            self.role = Role.LEADER
            return True
        return False

    # The campaigns of others.

    def _own_position(self) -> LogPosition:
        entry = self._persistent.entry
        return entry.position if entry is not None else NO_POSITION

    def answer_pre_vote(self, ip: str, request: PreVoteRequest) -> None:
        """Grants the pre-vote if the vote would be granted, and names the newer term if there is one."""
        own_position = self._own_position()
        is_newer_term = request.term > self._persistent.term
        if is_newer_term and request.position >= own_position and not self._discovery.has_live_leader():
            granted = PreVoteGranted(self._persistent.key, request.sender.incarnation, request.term)
            self._context.send(ip, granted)
            name = self._context.settings.name
            self._give_way((request.position, request.sender.name) > (own_position, name))
        elif not is_newer_term:
            self.reject_term(ip)

    def _give_way(self, is_better: bool) -> None:
        """Lets a better candidate go first."""
        now = self._context.now
        is_due = now - self._gave_way_at > GIVE_WAY_INTERVAL_NS
        if is_better and self.role is Role.PRE_CANDIDATE and is_due:
            self._gave_way_at = now
            self.role = Role.FOLLOWER
            self._deadline = now + self._context.draw(CAMPAIGN_TIMEOUT)

    def grant_vote(self, request: VoteRequest) -> VoteGranted | None:
        """The vote in the current term, to be sent once it is on disk; None if it is another's, or the candidate's
        entry is older."""
        if self._persistent.vote is None and request.position >= self._own_position():
            self._persistent.vote_for(request.sender)
        if self._persistent.vote != request.sender:
            return None
        self.follow()
        return VoteGranted(self._persistent.key, request.sender.incarnation, self._persistent.term)

    def reject_term(self, ip: str) -> None:
        """Names the newer term to a member of an older one."""
        self._context.send(ip, TermRejected(self._persistent.term))
