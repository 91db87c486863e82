"""Chooses which node's counter a proxy uses: the first in rank that answers. No I/O, no clock; times in ns.

Every node has a `QuotaCounter`, but only members of the core are candidates. All proxies rank them in the same order,
by address alone (highest random weight, also called rendezvous hashing). Every node can therefore compute the counter
from what it knows, without an agreement protocol. A proxy whose counter does not answer fails over to the next in rank
on its own, probes the higher-ranked ones, and returns to the first that answers several probes in a row. While proxies
use different counters, each counter limits admissions by the number of proxies that it hears from
(`tenant_totals.usable_share`), so a proxy that moves deregisters from the counter that it leaves.
"""

from collections.abc import Callable, Collection, Iterable
from random import Random

from .codec import WireMap, decode_probe_answer, encode_deregistration, encode_probe
from .counter_link import CounterLink
from .limits import MS, SEC
from .messages import Deregistration, Probe

FAILOVER_TIMEOUT_NS = 500 * MS  # an update in flight with no message for this time fails over to the next in rank
# An update without an answer for this time fails over even if announcements arrive, since the counter may not receive
# updates.
ANSWER_TIMEOUT_NS = 3 * FAILOVER_TIMEOUT_NS
MAX_BACKOFF = 4  # limit of the factor for both time-outs, which grows after all counters in rank failed
PROBE_INTERVAL_NS = 400 * MS  # interval of probes to higher-ranked counters
PROBE_TIMEOUT_NS = 200 * MS  # a later answer does not count
# Consecutive probe answers that a return to a node requires. The number doubles, up to MAX_ANSWERS, each time that a
# node fails within QUICK_FAILURE_NS after a return.
MIN_ANSWERS = 3
MAX_ANSWERS = 16
QUICK_FAILURE_NS = 30 * SEC
STALL_NS = 300 * MS  # a tick that is late by this much shows that this process itself was suspended

Outgoing = tuple[tuple[str, WireMap], ...]  # messages to send, as (address, message)


def weight_of(ip: str) -> float:
    """Pseudo-random rank weight of a node, the same on all nodes. `Random` seeds itself with the text's SHA-512."""
    return Random(ip).getrandbits(32)


class CounterPlacement:
    """Chooses the counter for one proxy's `CounterLink`, and monitors whether it answers."""

    def __init__(self, link: CounterLink, weight: Callable[[str], float] = weight_of) -> None:
        """`weight` ranks the members; larger weights come first."""
        self.link = link
        self.weight = weight
        self.ranked: tuple[str, ...] = ()  # candidates in the order of rank
        self.counter_ip: str | None = None  # the counter in use
        self.ticked_at = 0
        self.resumed_at = 0  # when this process last resumed after it was suspended
        self.probe_number = link.sequence  # of the last probe to a higher-ranked counter
        self.probed_ip: str | None = None  # target of the last probe
        self.probed_at = 0
        self.probe_answered = False
        self.answers = 0  # consecutive answers
        self.answers_needed = MIN_ANSWERS
        self.failovers = 0  # since a counter was last heard from
        self.failed_over_at = 0
        self.returned_at = -QUICK_FAILURE_NS  # time of the last return to a higher-ranked counter

    def rank(self, now: int, members: Iterable[str], serving: Collection[str]) -> Outgoing:
        """Applies a change of the membership.

        Args:
            now: ns.
            members: addresses of the core's members.
            serving: addresses of the nodes that serve; members among them come first.

        Returns:
            Messages to send.
        """
        self.ranked = tuple(sorted(members, key=lambda ip: (ip not in serving, -self.weight(ip))))
        if not self.ranked:
            return ()
        first = self.ranked[0]
        if self.counter_ip not in self.ranked or self.counter_ip not in serving and first in serving:
            return self.switch_to(now, first)
        return ()

    def tick(self, now: int) -> Outgoing:
        """Runs the periodic work; call it ten times a second. Returns messages to send besides the updates."""
        if now - self.ticked_at > STALL_NS:
            # Answers may have queued up unread while this process was suspended, so the counter must not be replaced.
            self.resumed_at = now
        self.ticked_at = now
        if self.link.last_contact_at > self.failed_over_at:
            self.failovers = 0
        rank = self.ranked.index(self.counter_ip) if self.counter_ip in self.ranked else 0
        if self._counter_fails(now):
            return self._fail_over(now, rank)
        if not rank or now - self.probed_at < PROBE_INTERVAL_NS:
            return ()
        return self._probe(now, self.ranked[:rank])

    def _counter_fails(self, now: int) -> bool:
        """Whether the update in flight has timed out, and there is another counter."""
        if self.link.pending is None or len(self.ranked) <= 1:
            return False
        since = max(self.link.pending.first_sent_at, self.resumed_at)
        rounds = self.failovers // len(self.ranked)
        backoff = min(MAX_BACKOFF, 1 << rounds)
        no_contact = now - max(since, self.link.last_contact_at) > FAILOVER_TIMEOUT_NS * backoff
        return no_contact or now - since > ANSWER_TIMEOUT_NS * backoff

    def _fail_over(self, now: int, rank: int) -> Outgoing:
        """Switches to the next in rank. A counter that fails soon after a return needs more answers next time."""
        if now - self.returned_at < QUICK_FAILURE_NS:
            self.answers_needed = min(MAX_ANSWERS, 2 * self.answers_needed)
        elif not self.failovers:
            self.answers_needed = MIN_ANSWERS
        self.failovers += 1
        self.failed_over_at = now
        return self.switch_to(now, self.ranked[(rank + 1) % len(self.ranked)])

    def _probe(self, now: int, preferred: tuple[str, ...]) -> Outgoing:
        """Probes one of the higher-ranked counters, in turn until one answers."""
        probed = self.probed_ip
        if probed is None or probed not in preferred or not self.probe_answered:
            turn = preferred.index(probed) + 1 if probed in preferred else 0
            probed = preferred[turn % len(preferred)]
            self.answers = 0
        self.probed_ip = probed
        self.probed_at = now
        self.probe_answered = False
        self.probe_number += 1
        return ((probed, encode_probe(Probe(self.probe_number))),)

    def receive(self, now: int, ip: str, wire_map: object) -> Outgoing:
        """Handles a counter's message: the link handles those of the counter in use, others can only answer a probe.

        Args:
            now: ns.
            ip: address of the sender.
            wire_map: the message as received.

        Returns:
            Messages to send.

        Raises:
            InvalidMessageError: the message is invalid.
        """
        answer = decode_probe_answer(wire_map)
        if answer is None:
            if ip == self.counter_ip:
                self.link.receive(now, wire_map)
            return ()
        expected = ip == self.probed_ip and answer.number == self.probe_number and not self.probe_answered
        if not expected or now - self.probed_at > PROBE_TIMEOUT_NS:
            return ()
        self.answers += 1
        self.probe_answered = True
        if self.answers < self.answers_needed:
            return ()
        self.returned_at = now
        return self.switch_to(now, ip)

    def switch_to(self, now: int, ip: str) -> Outgoing:
        """Makes the node at `ip` the counter, and deregisters from the one before."""
        left = self.counter_ip
        self.counter_ip = ip
        self.probed_ip = None
        self.link.switch_counter(now)
        return ((left, encode_deregistration(Deregistration(self.link.incarnation))),) if left else ()
