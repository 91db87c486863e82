"""Tracks which leader a node follows, and the age of its lease: when a majority last confirmed the node's replicas.

The age counts from the time of the node's request, by its own steady clock. It can therefore be overestimated but never
underestimated, however long a response takes and whatever other clocks show. No I/O, no clock.
"""

from typing import NamedTuple

MS = 10**6  # ns

CONTACT_TIMEOUT_NS = 1300 * MS  # after this time without an answer from the leader, other nodes are contacted too


class CoreStatus(NamedTuple):
    """The status of the core member on this node.

    Attributes:
        is_leader: it is the leader, and a majority has confirmed that in its term.
        leader: address of the leader; None if it is not known.
        term: of the newest entry; valid only if `is_leader`.
        confirmed_at_ns: when a majority last confirmed it, by the local clock; None: not yet.
    """

    is_leader: bool
    leader: str | None
    term: int
    confirmed_at_ns: int | None


class LeaderAnswer(NamedTuple):
    """The leader's answer to a heartbeat of this node. The leader received the heartbeat between the two times.

    Attributes:
        leader: address of the leader.
        requested_at_ns: when this node sent the heartbeat, by its own clock.
        received_at_ns: when the answer arrived, by the same clock.
    """

    leader: str
    requested_at_ns: int
    received_at_ns: int


class Leadership:
    """The leader that this node knows, which may be this node.

    Attributes:
        leader: address of the leader; None if it is not known.
        term: newest term that is known of the leader.
        is_leader: whether this node is the leader.
        confirmed_at_ns: a majority of the core confirmed this node's replicas then or later, by the local clock; None:
            not known.
        last_answer: the leader's answer to the newest heartbeat that was answered; None: there is none.
    """

    def __init__(self, own_ip: str) -> None:
        """Starts without a leader."""
        self.leader: str | None = None
        self.term = 0
        self.is_leader = False
        self.confirmed_at_ns: int | None = None
        self.last_answer: LeaderAnswer | None = None
        self._own_ip = own_ip
        self._answered_at_ns = 0  # when the leader last gave a current answer
        self._leader_request_at_ns: int | None = None  # when this node sent the request that the leader last answered

    @property
    def had_response(self) -> bool:
        """Whether this process has ever had a response with a majority's confirmation."""
        return self.confirmed_at_ns is not None

    def in_contact(self, now: int) -> bool:
        """Whether this node is the leader, or the leader has answered recently."""
        return self.is_leader or self.had_response and now - self._answered_at_ns < CONTACT_TIMEOUT_NS

    def leader_silent_ns(self, now: int) -> int | None:
        """Time since the leader itself last answered this node; 0 at the leader, None if it never did in this process.

        The replicas may be more recent, by way of other nodes, but commands to this node cannot reach the leader.
        """
        if self.is_leader:
            return 0
        return None if self._leader_request_at_ns is None else max(0, now - self._leader_request_at_ns)

    def age_ns(self, now: int) -> int | None:
        """Time since a majority confirmed the replicas; None: not known."""
        return None if self.confirmed_at_ns is None else max(0, now - self.confirmed_at_ns)

    def confirm(self, sender: str, leader: str, requested_at_ns: int, age_ns: int, now: int) -> None:
        """Applies the age in a response.

        Args:
            sender: address of the node that answered.
            leader: address of the leader that the response names.
            requested_at_ns: when this node sent the request.
            age_ns: how long before the request a majority confirmed the data in the response.
            now: ns.
        """
        if sender == leader:
            if self.last_answer is None or self.last_answer.requested_at_ns < requested_at_ns:
                self.last_answer = LeaderAnswer(leader, requested_at_ns, now)
            self._leader_request_at_ns = max(self._leader_request_at_ns or requested_at_ns, requested_at_ns)
        confirmed_at_ns = requested_at_ns - age_ns
        if self.confirmed_at_ns is None or confirmed_at_ns > self.confirmed_at_ns:
            self.confirmed_at_ns = confirmed_at_ns
            # Other nodes may pass on an old response after the leader is gone; only the leader's own answer is current.
            answered_at_ns = requested_at_ns if sender == leader else confirmed_at_ns
            self._answered_at_ns = max(self._answered_at_ns, answered_at_ns)

    def follow(self, leader: str, term: int, now: int) -> bool:
        """Follows the leader that a response names. Returns True if its term is new: contact it at once."""
        if not leader or leader == self._own_ip or term < self.term:
            return False  # a deposed leader still names itself, and so do nodes that do not know its successor
        if term > self.term:
            self.term = term
            self.leader = leader
            return True
        if self.leader is None or now - self._answered_at_ns > CONTACT_TIMEOUT_NS:
            self.leader = leader
        return False

    def update(self, status: CoreStatus, now: int) -> None:
        """Applies the status of the core member on this node."""
        if status.leader or self.is_leader and not status.is_leader:
            self.leader = status.leader
        self.is_leader = status.is_leader
        if not status.is_leader:
            return
        self.term = max(self.term, status.term)
        if status.confirmed_at_ns is not None:
            self.confirmed_at_ns = max(self.confirmed_at_ns or status.confirmed_at_ns, status.confirmed_at_ns)
            self._answered_at_ns = now
            self._leader_request_at_ns = now
