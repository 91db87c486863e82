"""The changes of role of one member that touch several of its parts, and those parts.

A member is a learner, follower, candidate or leader of a term (Raft paper, figure 4). `Election` knows the role;
this module does what goes with the changes: entering a newer term, becoming the leader and stepping down, and coming
back as another incarnation. `Member` and `MessageHandler` call it.

Invariants:

- There is a `Leader` exactly while the role is that of the leader.
- A newer term ends a leadership, and so does the knowledge that this member is none any more.
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
    """The parts of one member, and its role among them. The parts call each other only through their methods."""

    def __init__(self, context: MemberContext, persistent: PersistentState, is_new: bool, deadline: TimeNs) -> None:
        """`is_new`: the disk held no record. `deadline`: when this member first asks for votes."""
        self.context = context
        self.persistent = persistent
        counts_towards_size = is_new and context.settings.is_first_start
        self.discovery = LeaderDiscovery(context, persistent, counts_towards_size)
        self.electorate = Electorate(context, persistent)
        self.responses = DeferredResponses(context, persistent)
        self.election = Election(context, persistent, self.electorate, self.discovery, deadline)
        self.leader: Leader | None = None  # this member, while it leads

    def enter_term(self, term: Term) -> None:
        """Into a newer term, as a follower."""
        self.persistent.enter_term(term)
        self.discovery.forget_leader()
        if self.leader is not None:
            self.step_down()
        self.election.follow()

    def learn_of_term(self, term: Term) -> None:
        """Another member names its term."""
        if term > self.persistent.term and self.persistent.is_member():
            self.enter_term(term)

    def lead(self) -> None:
        """This member has won the election of its term."""
        password = self.context.draw_identifier()
        self.discovery.became_leader(password)
        self.leader = Leader(self.context, self.persistent, self.electorate, self.discovery, password)
        self.leader.begin()

    def step_down(self) -> None:
        """A leader that can't lead says so: its followers need not wait until they miss it."""
        leader, self.leader = self.leader, None
        if leader is not None:
            self.discovery.leadership_ended()
            leader.close()
            self.election.follow()

    def rejoin(self, leader_ip: str | None) -> None:
        """It is committed that this incarnation is no member any more: it comes back as another."""
        self.persistent.renew_incarnation()
        self.election.learn()
        self.discovery.restart(leader_ip)
        self.responses.clear()

    def accept_leader(self, ip: str) -> None:
        """The member at `ip` leads in the current term."""
        self.election.follow()
        self.electorate.leader_appeared()
        self.discovery.heartbeat_received(ip)
