"""The components of one member, and the role changes that involve several of them.

A member is a learner, follower, candidate or leader in a term (Raft paper, figure 4). `Election` holds the role; this
module implements the transitions: entering a newer term, becoming the leader, stepping down, and rejoining as a new
incarnation. `Member` and `MessageHandler` call it.

Invariants:

- A `Leader` exists exactly while the role is LEADER.
- A leadership ends with a newer term, and when this member learns that its removal is committed.
"""

from .context import MemberContext
from .deferred_responses import DeferredResponses
from .election import Election
from .electorate import Electorate
from .identifiers import Term, TimeNs
from .leader import Leader
from .leader_discovery import LeaderDiscovery
from .persistent_state import PersistentState


class Roles:
    """The components of one member. They call each other only through their public methods."""

    def __init__(self, context: MemberContext, persistent: PersistentState, is_new: bool, deadline: TimeNs) -> None:
        """`is_new`: whether the disk held no record. `deadline`: when this member starts its first pre-vote."""
        self.context = context
        self.persistent = persistent
        is_initial_member = is_new and context.settings.is_first_start
        self.discovery = LeaderDiscovery(context, persistent, is_initial_member)
        self.electorate = Electorate(context, persistent)
        self.responses = DeferredResponses(context, persistent)
        self.election = Election(context, persistent, self.electorate, self.discovery, deadline)
        self.leader: Leader | None = None  # set while this member is the leader

    def enter_term(self, term: Term) -> None:
        """Enters a newer term as a follower."""
        self.persistent.enter_term(term)
        self.discovery.forget_leader()
        if self.leader is not None:
            self.step_down()
        self.election.become_follower()

    def learn_of_term(self, term: Term) -> None:
        """Enters the term of another member if it is newer and this node is a member."""
        if term > self.persistent.term and self.persistent.is_member():
            self.enter_term(term)

    def become_leader(self) -> None:
        """Becomes the leader after winning the election of the current term."""
        join_token = self.context.draw_identifier()
        self.discovery.became_leader(join_token)
        self.leader = Leader(self.context, self.persistent, self.electorate, self.discovery, join_token)
        self.leader.begin()

    def step_down(self) -> None:
        """Ends this member's leadership and announces it, so that followers need not wait for a timeout."""
        leader, self.leader = self.leader, None
        if leader is not None:
            self.discovery.leadership_ended()
            leader.close()
            self.election.become_follower()

    def rejoin(self, leader_ip: str | None) -> None:
        """Restarts as a new incarnation, after the removal of the current one has been committed."""
        self.persistent.renew_incarnation()
        self.election.become_learner()
        self.discovery.restart(leader_ip)
        self.responses.clear()

    def accept_leader(self, ip: str) -> None:
        """Follows the member at `ip`, which leads in the current term."""
        self.election.become_follower()
        self.electorate.leader_appeared()
        self.discovery.heartbeat_received(ip)
