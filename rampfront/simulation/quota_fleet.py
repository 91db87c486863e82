"""Proxies and their quota counters on a simulated clock and a network that delays, loses, duplicates and partitions.

`QuotaFleet` plays a `Scene`: nodes in two regions of two zones, each with a `Limiter` and a `CounterPlacement`; members
of the core also have a `QuotaCounter`. Requests of the tenants arrive at random. The same seed gives the same run,
event by event. Never imported by a serving process."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, NamedTuple

from cbor2 import dumps, loads

from ..quota.codec import InvalidMessageError, WireMap
from ..quota.counter import QuotaCounter
from ..quota.counter_placement import CounterPlacement
from ..quota.limiter import Limiter
from ..quota.limits import MS, SEC
from .quota_measures import TenantMeasure, TokenBucket, take
from .quota_network import QuotaNetwork
from .quota_scene import Counting, Phase, Scene, TenantQuota

TICK_NS = 100 * MS  # interval between ticks of a placement
ROSTER_DROP_NS = 3 * SEC  # until all rosters drop a node that has ended
ROSTER_RETURN_NS = SEC  # until they list a node that runs again
ROSTER_SPREAD_S = 0.3  # most time until a roster has reached all nodes
FIRST_REQUESTS_NS = 5 * SEC // 2
WARM_NS = 3 * SEC  # requests before this time belong to the phase START
CLOCK_STEP_NS = 7_777_777_777  # difference between the steady clocks of nodes with consecutive numbers
NAME_PREFIX = "node"
QUIET_PER_S = 12.0  # rate and burst of the tenants without a surge
FOREVER = 1 << 62  # ns


@dataclass(slots=True)
class Node:
    """One machine."""

    limiter: Limiter
    placement: CounterPlacement
    counter: QuotaCounter | None  # only for members of the core


class Event(NamedTuple):
    """An event of a node, or of all of them. Ordered by time, then by the order of scheduling."""

    at: int
    order: int
    node: int | None  # the event waits while this node is frozen
    act: Callable[..., None]
    arguments: tuple[Any, ...]


def name_of(number: int) -> str:
    """The name, and address, of a node."""
    return f"{NAME_PREFIX}{number}"


def number_of(name: str) -> int:
    """The node with the name."""
    return int(name.removeprefix(NAME_PREFIX))


class QuotaFleet:
    """A run of a scene."""

    def __init__(self, scene: Scene) -> None:
        """Starts all nodes at time 0."""
        self.scene = scene
        self.random = Random(scene.seed)
        self.events: list[Event] = []
        self.order = count()
        self.quotas = {f"t{number}": quota for number, quota in enumerate(scene.hot_tenants)}
        self.hot_names = list(self.quotas)
        quiet = TenantQuota(QUIET_PER_S, QUIET_PER_S)
        self.quotas |= {f"quiet{number}": quiet for number in range(scene.other_tenants)}
        self.measures = {name: TenantMeasure(quota.per_s, quota.burst) for name, quota in self.quotas.items()}
        self.buckets: dict[tuple[str, int], TokenBucket] = {}  # for the ways of counting other than SHARED
        self.first_counter = scene.nodes - 1  # not among the nodes that faults affect, which are the first ones
        # Members of the core, by rank.
        self.members = [name_of(number) for number in (scene.nodes - 1, scene.nodes - 2, 0, scene.nodes - 3)]
        self.dead: set[int] = set()
        self.absent: list[set[int]] = [set() for _ in range(scene.nodes)]  # nodes that each one's roster lacks
        self.update_due_at: dict[int, int] = {}  # by node number
        self.network = QuotaNetwork(scene, self.random, self.first_counter)
        self.nodes = [self._new_node(number, 0) for number in range(scene.nodes)]
        self.weights = [(number + 1.0) ** -scene.skew for number in range(scene.nodes)]
        self.random.shuffle(self.weights)

    # ---- nodes

    def _new_node(self, number: int, now: int) -> Node:
        """Starts a node: its proxy, and its counter if it is a member."""
        now = self.clock(number, now)
        name = name_of(number)
        limiter = Limiter(name, Random(self.random.random()), now)
        counter = QuotaCounter(self.random.randrange(1 << 24), now) if name in self.members else None
        for part in (limiter, counter):
            if part:
                part.set_proxy_count(self.scene.nodes - len(self.absent[number]))
                part.set_quotas(self.quotas, now)
        placement = CounterPlacement(limiter.link, self._weight_of)
        # Ranked as of time 0, so that a restarted node sends its first update at once.
        placement.rank(self.clock(number, 0), self.members, self._serving(number))
        return Node(limiter, placement, counter)

    def _weight_of(self, address: str) -> float:
        """A weight that ranks the members in the order in which they are listed."""
        return -self.members.index(address)

    def _serving(self, number: int) -> set[str]:
        """The nodes that serve according to this node's roster."""
        return {name_of(other) for other in range(self.scene.nodes) if other not in self.absent[number]}

    def clock(self, number: int, now: int) -> int:
        """The time on a node's steady clock (ns)."""
        return now + number * CLOCK_STEP_NS

    def set_absent(self, now: int, number: int, absent: set[int]) -> None:
        """Changes the nodes that one node's roster lacks."""
        if self.absent[number] == absent:
            return
        self.absent[number] = absent
        node = self.nodes[number]
        node.limiter.set_proxy_count(self.scene.nodes - len(absent))
        if node.counter:
            node.counter.set_proxy_count(self.scene.nodes - len(absent))
        self._send(now, number, node.placement.rank(self.clock(number, now), self.members, self._serving(number)))
        self.schedule_update(number, now)

    def spread_absent(self, now: int, absent: set[int], share: float = 1.0) -> None:
        """Distributes a roster to all nodes, or to the first `share` of them."""
        for number in range(int(self.scene.nodes * share)):
            at = now + int(ROSTER_SPREAD_S * self.random.random() * SEC)
            self.schedule(at, self.set_absent, number, absent, node=number)

    def tick(self, now: int, number: int) -> None:
        """The periodic timer of a node's placement."""
        if number not in self.dead:
            self._send(now, number, self.nodes[number].placement.tick(self.clock(number, now)))
            self.schedule_update(number, now)
            self.schedule(now + TICK_NS, self.tick, number, node=number)

    def die(self, now: int, number: int) -> None:
        """Ends a machine for good."""
        self.dead.add(number)
        self.schedule(now + ROSTER_DROP_NS, self.spread_absent, {number})

    def restart(self, now: int, number: int) -> None:
        """Restarts a node's process at once."""
        self.nodes[number] = self._new_node(number, now)
        self.update_due_at.pop(number, None)
        self.schedule_update(number, now)

    def is_frozen(self, now: int, number: int | None) -> bool:
        """Whether the node is frozen."""
        frozen = self.scene.counter_frozen
        return frozen is not None and number == self.first_counter and frozen.contains(now)

    # ---- messages

    def schedule_update(self, number: int, now: int) -> None:
        """Sets the timer of the node's next update."""
        at = self.nodes[number].limiter.next_update_at - self.clock(number, 0)
        if at < self.scene.end_s * SEC and self.update_due_at.get(number, FOREVER) > at:
            at = max(now, at) + int(self.random.random() * self.scene.wake_delay_ns)
            self.update_due_at[number] = at
            self.schedule(at, self.on_update_due, number, node=number)

    def on_update_due(self, now: int, number: int) -> None:
        """Sends the node's next update when its timer fires."""
        if self.update_due_at.get(number, 0) > now:
            return
        self.update_due_at.pop(number, None)
        if number in self.dead:
            return
        node = self.nodes[number]
        counter_ip = node.placement.counter_ip
        if counter_ip and (message := node.limiter.due_update(self.clock(number, now))):
            self.post(now, number, number_of(counter_ip), self.on_request, message)
        self.schedule_update(number, now)

    def _send(self, now: int, sender: int, messages: Iterable[tuple[str, WireMap]]) -> None:
        """Sends what a placement returned."""
        for address, message in messages:
            self.post(now, sender, number_of(address), self.on_request, message)

    def on_request(self, now: int, sender: int, receiver: int, message: WireMap) -> None:
        """A message to a counter arrives."""
        counter = self.nodes[receiver].counter
        if receiver in self.dead or counter is None or self.network.is_partitioned(sender, receiver, now):
            return
        try:
            answer = counter.receive(self.clock(receiver, now), name_of(sender), message)
        except InvalidMessageError:
            return
        if answer:
            self.post(now, receiver, sender, self.on_answer, answer)
        self.announce(now, receiver)

    def announce(self, now: int, number: int) -> None:
        """Sends a counter's announcements."""
        counter = self.nodes[number].counter
        if number in self.dead or counter is None:
            return
        for name, message in counter.announcements(self.clock(number, now)):
            self.post(now, number, number_of(name), self.on_answer, message)
        if counter.next_announcement_at is not None:
            at = max(now, counter.next_announcement_at - self.clock(number, 0)) + MS
            self.schedule(at, self.announce, number)

    def on_answer(self, now: int, sender: int, receiver: int, message: WireMap) -> None:
        """A message from a counter arrives."""
        if receiver not in self.dead and not self.network.is_partitioned(sender, receiver, now):
            placement = self.nodes[receiver].placement
            self._send(now, receiver, placement.receive(self.clock(receiver, now), name_of(sender), message))
            self.schedule_update(receiver, now)

    def post(self, now: int, sender: int, receiver: int, handler: Callable[..., None], message: WireMap) -> None:
        """Sends a datagram; within a node it arrives at once."""
        data = dumps(message)
        if sender == receiver:
            self.schedule(now, handler, sender, receiver, loads(data), node=receiver)
            return
        for delay_ns in self.network.deliveries(sender, receiver, len(data)):
            self.schedule(now + delay_ns, handler, sender, receiver, loads(data), node=receiver)

    # ---- requests

    def on_tenant_request(self, now: int, name: str) -> None:
        """A tenant's request arrives at a random node, and the next one is scheduled."""
        quota = self.quotas[name]
        surge = self.scene.hot if name in self.hot_names else None
        is_hot = surge is not None and surge.begin_s * SEC <= now < surge.end_s * SEC
        rate = quota.per_s * self.scene.load * (self.scene.surge_multiple if is_hot else 1.0)
        gap_s = self.random.expovariate(rate)
        if surge and not is_hot and now < surge.begin_s * SEC < now + gap_s * SEC:
            gap_s = surge.begin_s - now / SEC
        self.schedule(now + int(gap_s * SEC) + 1, self.on_tenant_request, name)
        number = self.random.choices(range(self.scene.nodes), self.weights)[0]
        if number in self.dead or self.is_frozen(now, number):
            return
        phase = Phase.HOT if is_hot else Phase.USUAL if now >= WARM_NS else Phase.START
        self.measures[name].record(now, phase, self._admits(number, name, now))

    def _admits(self, number: int, name: str, now: int) -> bool:
        """Whether a node admits a request."""
        if self.scene.counting is not Counting.SHARED:
            return take(self._bucket_of(number, name), now)
        admitted = self.nodes[number].limiter.take(name, self.clock(number, now)) is None
        self.schedule_update(number, now)
        return admitted

    def _bucket_of(self, number: int, name: str) -> TokenBucket:
        """The bucket of a way of counting other than SHARED: per proxy with the complete quota or an even part of it,
        or one for all proxies."""
        quota = self.quotas[name]
        key = (name, 0 if self.scene.counting is Counting.PERFECT else number)
        parts = self.scene.nodes if self.scene.counting is Counting.EVEN_SPLIT else 1
        if key not in self.buckets:
            self.buckets[key] = TokenBucket(quota.per_s / parts, max(1.0, quota.burst / parts))
        return self.buckets[key]

    # ---- the run

    def schedule(self, at: int, act: Callable[..., None], *arguments: object, node: int | None = None) -> None:
        """Schedules the call of `act` with the time and the arguments; it is delayed while `node` is frozen."""
        heappush(self.events, Event(at, next(self.order), node, act, arguments))

    def _schedule_scene(self) -> None:
        """Schedules the requests, timers and faults of the scene."""
        scene = self.scene
        for name in self.quotas:
            self.schedule(FIRST_REQUESTS_NS, self.on_tenant_request, name)
        for number in range(scene.nodes if scene.counting is Counting.SHARED else 0):
            self.schedule_update(number, 0)
            self.schedule(int(self.random.random() * TICK_NS), self.tick, number, node=number)
        for number in range(scene.nodes if scene.all_restart_s is not None else 0):
            self.schedule(int((scene.all_restart_s or 0) * SEC), self.restart, number, node=number)
        for at_s, number in ((scene.counter_dies_s, self.first_counter), (scene.other_dies_s, 1)):
            if at_s is not None:
                self.schedule(int(at_s * SEC), self.die, number, node=number)
        frozen = scene.counter_frozen
        if frozen and (frozen.end_s - frozen.begin_s) * SEC > ROSTER_DROP_NS:
            self.schedule(int(frozen.begin_s * SEC) + ROSTER_DROP_NS, self.spread_absent, {self.first_counter})
            self.schedule(int(frozen.end_s * SEC) + ROSTER_RETURN_NS, self.spread_absent, set())
        if gap := scene.roster_gap:
            self.schedule(int(gap.span.begin_s * SEC), self.spread_absent, {self.first_counter}, gap.share)
            self.schedule(int(gap.span.end_s * SEC), self.spread_absent, set())

    def run(self) -> None:
        """Plays the scene to its end."""
        self._schedule_scene()
        while self.events:
            event = heappop(self.events)
            if event.at > self.scene.end_s * SEC:
                break
            frozen = self.scene.counter_frozen
            if frozen and self.is_frozen(event.at, event.node):
                heappush(self.events, event._replace(at=int(frozen.end_s * SEC)))
            else:
                event.act(event.at, *event.arguments)
