"""Pre-vote and election of one member (Raft paper, section 5.2; pre-vote: Ongaro's dissertation, section 9.6).

A member that receives no heartbeats first asks whether it could win (pre-vote), and only then enters a newer term as a
candidate, so that a member that was partitioned does not disrupt the others when it returns. A member that still hears
from a live leader grants neither pre-votes nor votes (section 4.2.3).

Invariants:

- A member votes for at most one candidate per term, and only for one whose entry is at least as recent as its own
  (paper, section 5.4.1).
- A vote is sent, and a candidate's own vote is counted, only once it is on disk.
- A leader that transfers leadership names its successor, which starts an election at once and receives votes although
  the leader is still live (leadership transfer, dissertation, section 3.10).

Two members that start a pre-vote at the same time would split the votes and delay the election by about a second.
Therefore the one with the older entry, or with the same entry and the lower name, yields to the other, at most once per
`YIELD_INTERVAL_NS`. This rule is an extension to Raft.

`Member` calls this module and makes this member the leader when a method returns True.
"""

from enum import Enum

from .context import MemberContext, Timeout
from .electorate import Electorate
from .identifiers import MS, NO_POSITION, SEC, LogPosition, MemberKey, TimeNs
from .leader_discovery import LeaderDiscovery
from .messages import PreVoteGranted, PreVoteRequest, TermRejected, VoteGranted, VoteRequest
from .persistent_state import PersistentState

ELECTION_TIMEOUT = Timeout(700 * MS, 1250 * MS)  # time without a heartbeat until a member starts a pre-vote
CAMPAIGN_TIMEOUT = Timeout(400 * MS, 900 * MS)  # time until an undecided campaign is restarted
START_TIMEOUT = Timeout(60 * MS, 360 * MS)  # after process start; may be short, as a live leader prevents any votes
LEADER_ENDED_TIMEOUT = Timeout(20 * MS, 300 * MS)  # after a leader announced that it steps down
SUCCESSOR_NAMED_TIMEOUT = Timeout(150 * MS, 450 * MS)  # after a leader named another member as its successor
YIELD_INTERVAL_NS = 3 * SEC  # between two yields: the other candidate may be unable to receive any votes
RESEND_INTERVAL_NS = 140 * MS  # until an unanswered request is sent again


class Role(Enum):
    """The role of a member in its term."""

    LEARNER = "learner"  # not a member; it has no vote
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Election:
    """The role of one member, and its election campaign if one is running."""

    def __init__(
        self,
        context: MemberContext,
        persistent: PersistentState,
        electorate: Electorate,
        discovery: LeaderDiscovery,
        deadline: TimeNs,
    ) -> None:
        """`deadline`: when this member starts its first pre-vote, unless it hears from a leader."""
        self._context = context
        self._persistent = persistent
        self._electorate = electorate
        self._discovery = discovery
        self.role = Role.LEARNER if persistent.entry is None else Role.FOLLOWER
        self.votes: set[MemberKey] = set()  # votes or pre-votes received in the current campaign
        self._deadline = deadline
        self._requested_at: TimeNs = -3 * SEC  # when votes were last requested
        self._yielded_at: TimeNs = -3 * SEC
        self._is_named_successor = False

    @property
    def is_campaigning(self) -> bool:
        """Whether this member is requesting votes or pre-votes."""
        return self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)

    # Roles.

    def become_follower(self) -> None:
        """Becomes a follower and restarts the election timeout."""
        self.role = Role.FOLLOWER
        self._is_named_successor = False
        self._deadline = self._context.now + self._context.draw(ELECTION_TIMEOUT)

    def become_learner(self) -> None:
        """Becomes a learner: this member has a new incarnation, which is not in the member list."""
        self.role = Role.LEARNER

    def tick(self) -> None:
        """Starts or repeats a campaign when due; called about ten times a second while this member may be elected."""
        now = self._context.now
        if now >= self._deadline:
            self.start_pre_vote()
        elif self.is_campaigning and now - self._requested_at >= RESEND_INTERVAL_NS:
            self._request_votes()

    def start_pre_vote(self) -> None:
        """Asks the other members for pre-votes; the term does not change."""
        self.role = Role.PRE_CANDIDATE
        self.votes = {self._persistent.key}
        self._is_named_successor = False
        self._discovery.forget_leader()
        self._deadline = self._context.now + self._context.draw(CAMPAIGN_TIMEOUT)
        self._request_votes()
        self._count_votes()

    def become_candidate(self) -> None:
        """Enters a newer term as a candidate. Votes are requested once the member's own vote is on disk."""
        self.role = Role.CANDIDATE
        self.votes = set()
        self._persistent.begin_candidate_term()
        self._deadline = self._context.now + self._context.draw(CAMPAIGN_TIMEOUT)

    def leader_ended(self, hands_over_to_self: bool | None) -> None:
        """Handles the end of the leader's leadership.

        `hands_over_to_self`: None if the leader named no successor, False if it named another member.
        """
        timeout = SUCCESSOR_NAMED_TIMEOUT if hands_over_to_self is False else LEADER_ENDED_TIMEOUT
        self._deadline = self._context.now + self._context.draw(timeout)
        if hands_over_to_self and self._persistent.is_member() and not self._context.is_shutting_down:
            self._is_named_successor = True
            self.become_candidate()

    # Campaign of this member.

    def own_vote_stored(self) -> bool:
        """Counts this member's own vote, which is now on disk. Returns whether this member has won the election."""
        if self.role is not Role.CANDIDATE:
            return False
        self.votes.add(self._persistent.key)
        self._request_votes()
        return self._count_votes()

    def pre_vote_granted(self, message: PreVoteGranted) -> None:
        """Counts a pre-vote from another member."""
        if self.role is Role.PRE_CANDIDATE and message.term == self._persistent.term + 1:
            self.votes.add(message.sender)
            self._count_votes()

    def vote_granted(self, message: VoteGranted) -> bool:
        """Counts a vote from another member. Returns whether this member has won the election."""
        if self.role is not Role.CANDIDATE or message.term != self._persistent.term:
            return False
        self.votes.add(message.sender)
        return self._count_votes()

    def _request_votes(self) -> None:
        """Requests the votes that have not been granted yet; a candidate does so only once its own vote is on disk."""
        self._requested_at = self._context.now
        own, entry = self._persistent.key, self._persistent.entry
        assert entry is not None
        if self.role is Role.CANDIDATE and own not in self.votes:
            return
        for name, (ip, incarnation) in self._electorate.state().all_members().items():
            if name != own.name and (name, incarnation) not in self.votes:
                self._context.send(ip, self._request(incarnation, entry.position))

    def _request(self, incarnation: int, position: LogPosition) -> PreVoteRequest | VoteRequest:
        """Returns the request for the member with this incarnation."""
        own, term = self._persistent.key, self._persistent.term
        if self.role is Role.PRE_CANDIDATE:
            return PreVoteRequest(own, incarnation, term + 1, position)
        return VoteRequest(own, incarnation, term, position, self._is_named_successor)

    def _count_votes(self) -> bool:
        """Advances the campaign if there is a majority. Returns whether this member has won the election."""
        if not self._electorate.state().has_quorum(self.votes):
            return False
        if self.role is Role.PRE_CANDIDATE:
            self.become_candidate()
            return False
        if self.role is Role.CANDIDATE and self._persistent.key in self.votes:
            self.role = Role.LEADER
            return True
        return False

    # Campaigns of other members.

    def _own_position(self) -> LogPosition:
        entry = self._persistent.entry
        return entry.position if entry is not None else NO_POSITION

    def answer_pre_vote(self, ip: str, request: PreVoteRequest) -> None:
        """Grants the pre-vote if the vote would be granted; rejects a request for an outdated term."""
        own_position = self._own_position()
        is_newer_term = request.term > self._persistent.term
        if is_newer_term and request.position >= own_position and not self._discovery.has_live_leader():
            granted = PreVoteGranted(self._persistent.key, request.sender.incarnation, request.term)
            self._context.send(ip, granted)
            name = self._context.settings.name
            self._yield_to((request.position, request.sender.name) > (own_position, name))
        elif not is_newer_term:
            self.reject_term(ip)

    def _yield_to(self, is_better: bool) -> None:
        """Postpones this member's campaign in favour of a better candidate."""
        now = self._context.now
        is_due = now - self._yielded_at > YIELD_INTERVAL_NS
        if is_better and self.role is Role.PRE_CANDIDATE and is_due:
            self._yielded_at = now
            self.role = Role.FOLLOWER
            self._deadline = now + self._context.draw(CAMPAIGN_TIMEOUT)

    def grant_vote(self, request: VoteRequest) -> VoteGranted | None:
        """Returns the vote in the current term, to be sent once it is on disk.

        Returns None if the vote was given to another candidate, or if the candidate's entry is older than this
        member's.
        """
        if self._persistent.vote is None and request.position >= self._own_position():
            self._persistent.vote_for(request.sender)
        if self._persistent.vote != request.sender:
            return None
        self.become_follower()
        return VoteGranted(self._persistent.key, request.sender.incarnation, self._persistent.term)

    def reject_term(self, ip: str) -> None:
        """Sends the current term to a member that used an older one."""
        self._context.send(ip, TermRejected(self._persistent.term))
