"""Schedules a node's heartbeats, and chooses the node to contact besides the leader. No I/O, no clock.

A node in contact with the leader sends heartbeats to it alone, at a steady interval. A node that has lost the leader
also contacts others, and more often. A node that has had no response since its start begins with a short interval and
backs off, so that the seeds of a fleet without a leader are not overloaded. All intervals are jittered, so that nodes
that start together do not stay synchronised.
"""

from collections.abc import Sequence
from random import Random

MS = 10**6  # ns

HEARTBEAT_INTERVAL_NS = 800 * MS  # in contact with the leader
LOST_CONTACT_INTERVAL_NS = 150 * MS  # while the last heartbeats were not answered
STARTING_INTERVAL_NS = 50 * MS  # initial interval before the first response
MAX_STARTING_INTERVAL_NS = 400 * MS  # final interval before the first response
ATTEMPTS_PER_DOUBLING = 16  # of the interval before the first response
MAX_DOUBLINGS = 8
MIN_JITTER, MAX_JITTER = 0.85, 1.15  # factors of each interval
# Consecutive heartbeats to the same node before the first response; limits the number of full transfers from seeds.
ATTEMPTS_PER_TARGET = 2


class HeartbeatSchedule:
    """The times of the heartbeats, and the nodes to contact besides the leader."""

    def __init__(self, own_ip: str, seeds: Sequence[str], random: Random) -> None:
        """`seeds`: addresses from the settings, of nodes to contact while no others are known."""
        self.seeds = seeds
        self._own_ip = own_ip
        self._random = random
        self._next_at_ns = 0
        self._attempts = 0
        self._alternate: str | None = None  # the node last contacted besides the leader
        self._choices = 0  # number of choices of an alternate so far

    def expedite(self) -> None:
        """Makes the next heartbeat due at the next tick."""
        self._next_at_ns = 0

    def is_due(self, now: int) -> bool:
        """Whether a heartbeat is due."""
        return now >= self._next_at_ns

    def begin_attempt(self, now: int, in_contact: bool, had_response: bool) -> None:
        """Counts a heartbeat and sets the time of the next one.

        Args:
            now: ns.
            in_contact: whether the leader has answered recently.
            had_response: whether any node has ever answered.
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
        """Chooses the node to contact besides the leader from known nodes and seeds, in turn and at random alternately.

        Args:
            known_ips: addresses on the roster, or of the nodes known before a restart.
            had_response: whether any node has ever answered.

        Returns:
            The address; None if no other node is known.
        """
        candidates = [ip for ip in known_ips if ip != self._own_ip]
        candidates += [ip for ip in self.seeds if ip != self._own_ip and ip not in candidates]
        if not candidates:
            return None
        if had_response or self._alternate not in candidates or self._attempts % ATTEMPTS_PER_TARGET == 1:
            self._choices += 1
            in_order = self._choices % 2
            self._alternate = (
                candidates[self._choices % len(candidates)] if in_order else self._random.choice(candidates)
            )
        return self._alternate
