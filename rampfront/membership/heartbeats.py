"""When a node sends its next heartbeat, and to whom beside the leader. No I/O, no clock.

A node in contact with the leader asks it alone, at a steady interval. One that has lost the leader asks others too, and
more often. One that starts and has never had a response asks often at first and backs off, so that the seeds of a fleet
that has no leader are not overrun. All intervals are spread at random, so that nodes which start together do not stay
in step.
"""

from collections.abc import Sequence
from random import Random

MS = 10**6  # ns

HEARTBEAT_INTERVAL_NS = 800 * MS  # in contact with the leader
LOST_CONTACT_INTERVAL_NS = 150 * MS  # while the last heartbeats went unanswered
STARTING_INTERVAL_NS = 50 * MS  # before the first response, at first
MAX_STARTING_INTERVAL_NS = 400 * MS  # and in the end
ATTEMPTS_PER_DOUBLING = 16  # of the interval before the first response
MAX_DOUBLINGS = 8
MIN_JITTER, MAX_JITTER = 0.85, 1.15  # factors of each interval
# Heartbeats in a row to the same node before the first response: guards links against a full transfer from each seed.
ATTEMPTS_PER_TARGET = 2


class HeartbeatSchedule:
    """Times of the heartbeats, and the nodes that are asked beside the leader."""

    def __init__(self, own_ip: str, seeds: Sequence[str], random: Random) -> None:
        """`seeds`: addresses that the settings name, of nodes that are asked while no others are known."""
        self.seeds = seeds
        self._own_ip = own_ip
        self._random = random
        self._next_at_ns = 0
        self._attempts = 0
        self._alternate: str | None = None  # the node last asked beside the leader
        self._turn = 0  # of those

    def expedite(self) -> None:
        """The next heartbeat goes with the next look at the time."""
        self._next_at_ns = 0

    def is_due(self, now: int) -> bool:
        """Whether a heartbeat is to be sent."""
        return now >= self._next_at_ns

    def begin_attempt(self, now: int, in_contact: bool, had_response: bool) -> None:
        """Counts a heartbeat and sets the time of the next one.

        Args:
            now: ns.
            in_contact: whether the leader has answered lately.
            had_response: whether anybody ever did.
        """
        interval_ns = self._interval_ns(in_contact, had_response)
        self._attempts += 1
        self._next_at_ns = now + int(interval_ns * self._random.uniform(MIN_JITTER, MAX_JITTER))

    def _interval_ns(self, in_contact: bool, had_response: bool) -> int:
        if in_contact:
            return HEARTBEAT_INTERVAL_NS
        if had_response:
            return LOST_CONTACT_INTERVAL_NS
        doublings = min(MAX_DOUBLINGS, self._attempts // ATTEMPTS_PER_DOUBLING)
        return min(MAX_STARTING_INTERVAL_NS, STARTING_INTERVAL_NS << doublings)

    def alternate_target(self, known_ips: Sequence[str], had_response: bool) -> str | None:
        """The node to ask beside the leader: known ones and seeds, in turn and at random by turns.

        Args:
            known_ips: addresses of the roster.
            had_response: whether anybody ever answered.

        Returns:
            Its address; None: no other node is known.
        """
        candidates = [ip for ip in known_ips if ip != self._own_ip]
        candidates += [ip for ip in self.seeds if ip != self._own_ip and ip not in candidates]
        if not candidates:
            return None
        if had_response or self._alternate not in candidates or self._attempts % ATTEMPTS_PER_TARGET == 1:
            self._turn += 1
            in_turn = self._turn % 2
            self._alternate = candidates[self._turn % len(candidates)] if in_turn else self._random.choice(candidates)
        return self._alternate
