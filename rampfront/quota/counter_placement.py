"""Which node's counter a proxy uses: the first by rank that answers it. No I/O, no clock; times in ns.

Every node has a `QuotaCounter`; the members of the core may be asked to count with it. All proxies rank them alike, by
address alone (highest random weight, also called rendezvous hashing), so one counter follows from what every node knows
and nothing has to be agreed on. A proxy that its counter leaves unanswered goes to the next in rank by itself, probes
those before it, and goes back to the first that answered several times in a row. While some proxies use one counter and
some another, each counter shares out by how many proxies it hears (`tenant_totals.usable_share`); so a proxy that moves
says farewell to the counter that it leaves.
"""

from collections.abc import Callable, Collection, Iterable
from random import Random

from .codec import WireMap, decode_probe_answer, encode_deregistration, encode_probe
from .counter_link import CounterLink
from .limits import MS, SEC
from .messages import Deregistration, Probe

FAILOVER_TIMEOUT_NS = 500 * MS  # an update is under way for so long with nothing heard: the next in rank is tried;
ANSWER_TIMEOUT_NS = (
    3 * FAILOVER_TIMEOUT_NS
)  # without an answer, whatever is announced: the counter may hear nothing of us
MAX_BACKOFF = 4  # times both, once all in rank were tried without an answer
PROBE_INTERVAL_NS = 400 * MS  # of probes to those before the counter
PROBE_TIMEOUT_NS = 200 * MS  # an answer that comes later is none
MIN_ANSWERS = 3  # in a row, behind which a node is gone back to; doubled each time that it fails soon after,
MAX_ANSWERS = 16  # up to that
QUICK_FAILURE_NS = 30 * SEC
STALL_NS = 300 * MS  # a tick that comes so late shows that this process stood still itself

Outgoing = tuple[tuple[str, WireMap], ...]  # what is to be sent: (address, message) each


def weight_of(ip: str) -> float:
    """Of a node: alike on all nodes, and without a pattern. `Random` of a text is drawn from its SHA-512."""
    return Random(ip).getrandbits(32)


class CounterPlacement:
    """Chooses the counter for one proxy's `CounterLink`, and watches whether it answers."""

    def __init__(self, link: CounterLink, weight: Callable[[str], float] = weight_of) -> None:
        """`weight` ranks the members: the larger, the sooner."""
        self.link = link
        self.weight = weight
        self.ranked: tuple[str, ...] = ()  # those that may count, by rank
        self.counter_ip: str | None = None  # the one that counts for this proxy
        self.ticked_at = 0
        self.resumed_at = 0  # when this process last went on after standing still
        self.probe_number = link.sequence  # of the last probe to one before the counter
        self.probed_ip: str | None = None  # whom it went to
        self.probed_at = 0
        self.probe_answered = False
        self.answers = 0  # in a row
        self.answers_needed = MIN_ANSWERS
        self.failovers = 0  # to the next in rank since a counter was last heard
        self.failed_over_at = 0
        self.returned_at = -QUICK_FAILURE_NS  # to one before in rank, last

    def rank(self, now: int, members: Iterable[str], serving: Collection[str]) -> Outgoing:
        """Takes in a change of the membership.

        Args:
            now: ns.
            members: addresses of the core's members.
            serving: addresses of the nodes that serve; members among them go first.

        Returns:
            What is to be sent.
        """
        self.ranked = tuple(sorted(members, key=lambda ip: (ip not in serving, -self.weight(ip))))
        if not self.ranked:
            return ()
        first = self.ranked[0]
        if self.counter_ip not in self.ranked or self.counter_ip not in serving and first in serving:
            return self.switch_to(now, first)
        return ()

    def tick(self, now: int) -> Outgoing:
        """To be called ten times a second. Returns what is to be sent beside the updates."""
        if now - self.ticked_at > STALL_NS:
            # Guards against leaving a counter whose answers wait here unread, as this process was frozen.
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
        """Whether the update under way waits for too long, and there is another counter to go to."""
        if self.link.pending is None or len(self.ranked) <= 1:
            return False
        since = max(self.link.pending.first_sent_at, self.resumed_at)
        rounds = self.failovers // len(self.ranked)
        backoff = min(MAX_BACKOFF, 1 << rounds)
        no_contact = now - max(since, self.link.last_contact_at) > FAILOVER_TIMEOUT_NS * backoff
        return no_contact or now - since > ANSWER_TIMEOUT_NS * backoff

    def _fail_over(self, now: int, rank: int) -> Outgoing:
        """To the next behind `rank`. One that fails soon after a return has to answer more often next time."""
        if now - self.returned_at < QUICK_FAILURE_NS:
            self.answers_needed = min(MAX_ANSWERS, 2 * self.answers_needed)
        elif not self.failovers:
            self.answers_needed = MIN_ANSWERS
        self.failovers += 1
        self.failed_over_at = now
        return self.switch_to(now, self.ranked[(rank + 1) % len(self.ranked)])

    def _probe(self, now: int, preferred: tuple[str, ...]) -> Outgoing:
        """Probes one of those before the counter: each in turn until one answers."""
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
        """Takes in what a counter sent: the proxy's own one for the link, another one the answer to a probe.

        Args:
            now: ns.
            ip: the sender's address.
            wire_map: the message as it came.

        Returns:
            What is to be sent.

        Raises:
            InvalidMessageError: the message is not valid.
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
        """Makes the node at `ip` the counter; the one that is left is sent a farewell."""
        left = self.counter_ip
        self.counter_ip = ip
        self.probed_ip = None
        self.link.switch_counter(now)
        return ((left, encode_deregistration(Deregistration(self.link.incarnation))),) if left else ()
