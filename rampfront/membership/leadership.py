"""Which leader a node follows, and when a majority of the core last confirmed what the node holds: its lease's age.

The age counts from the moment at which the node asked, by its own steady clock. So it may be taken for older than it
is, never for younger, however long a response was under way and whatever other clocks show. No I/O, no clock.
"""

from typing import NamedTuple

MS = 10**6  # ns

CONTACT_TIMEOUT_NS = 1300 * MS  # a leader that has not answered for so long is not relied on: others are asked too


class CoreStatus(NamedTuple):
    """What the member of the core beside this node knows.

    Attributes:
        is_leader: it leads, and a majority has confirmed that in its term.
        leader: address of the leader; None: not known.
        term: of the newest entry; counts where it leads.
        confirmed_at_ns: when a majority last stood behind it, by the own clock; None: not yet.
    """

    is_leader: bool
    leader: str | None
    term: int
    confirmed_at_ns: int | None


class Leadership:
    """The leader as this node knows it, this node included.

    Attributes:
        leader: its address; None: not known.
        term: the term in which it leads, as far as is known.
        is_leader: whether it is this node.
        confirmed_at_ns: a majority of the core stood behind what this node holds at that moment or later, by the own
            clock; None: never heard of.
    """

    def __init__(self, own_ip: str) -> None:
        """Follows nobody yet."""
        self.leader: str | None = None
        self.term = 0
        self.is_leader = False
        self.confirmed_at_ns: int | None = None
        self._own_ip = own_ip
        self._answered_at_ns = 0  # when the leader last answered for now
        self._heard_at_ns: int | None = None  # when this node asked what the leader last answered itself

    @property
    def had_response(self) -> bool:
        """Whether this node has ever heard, in this process, what a majority stands behind."""
        return self.confirmed_at_ns is not None

    def in_contact(self, now: int) -> bool:
        """Whether this node leads, or the leader has answered lately."""
        return self.is_leader or self.had_response and now - self._answered_at_ns < CONTACT_TIMEOUT_NS

    def leader_silent_ns(self, now: int) -> int | None:
        """For how long the leader itself has not answered this node; 0 at the leader, None: never in this process.

        What is held may be younger, by way of other nodes; yet orders at this node cannot reach the leader.
        """
        if self.is_leader:
            return 0
        return None if self._heard_at_ns is None else max(0, now - self._heard_at_ns)

    def age_ns(self, now: int) -> int | None:
        """How long ago a majority stood behind what is held; None: never heard of."""
        return None if self.confirmed_at_ns is None else max(0, now - self.confirmed_at_ns)

    def confirm(self, sender: str, leader: str, requested_at_ns: int, age_ns: int) -> None:
        """A response proves an age.

        Args:
            sender: address of the node that answered.
            leader: address of the leader that it names.
            requested_at_ns: when this node asked.
            age_ns: how long before that a majority stood behind what came with the response.
        """
        if sender == leader:
            self._heard_at_ns = max(self._heard_at_ns or requested_at_ns, requested_at_ns)
        confirmed_at_ns = requested_at_ns - age_ns
        if self.confirmed_at_ns is None or confirmed_at_ns > self.confirmed_at_ns:
            self.confirmed_at_ns = confirmed_at_ns
            # Guards against nodes that hand an old response round when the leader is gone: only it answers for now.
            answered_at_ns = requested_at_ns if sender == leader else confirmed_at_ns
            self._answered_at_ns = max(self._answered_at_ns, answered_at_ns)

    def follow(self, leader: str, term: int, now: int) -> bool:
        """A response names a leader. Returns whether it is that of a new term, who is to be asked at once."""
        if not leader or leader == self._own_ip or term < self.term:
            return False  # guards against an old leader that still names itself, and those that know of no newer one
        if term > self.term:
            self.term = term
            self.leader = leader
            return True
        if self.leader is None or now - self._answered_at_ns > CONTACT_TIMEOUT_NS:
            self.leader = leader
        return False

    def update(self, status: CoreStatus, now: int) -> None:
        """Takes over what the member of the core beside this node knows."""
        if status.leader or self.is_leader and not status.is_leader:
            self.leader = status.leader
        self.is_leader = status.is_leader
        if not status.is_leader:
            return
        self.term = max(self.term, status.term)
        if status.confirmed_at_ns is not None:
            self.confirmed_at_ns = max(self.confirmed_at_ns or status.confirmed_at_ns, status.confirmed_at_ns)
            self._answered_at_ns = now
            self._heard_at_ns = now
