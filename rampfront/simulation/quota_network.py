"""The network of the quota simulation: two regions of two zones; datagrams are delayed, lost, duplicated and cut
off."""

from collections.abc import Iterator
from random import Random

from ..quota.limits import MS
from .quota_scene import Scene

DATAGRAM_HEADER_BYTES = 28
REGIONS = 2
ZONES = 4  # of all regions
SAME_ZONE_MS = 0.3  # one way
SAME_REGION_MS = 0.5
OTHER_REGION_MS = 20.5


class QuotaNetwork:
    """The links between the nodes of a scene, and the traffic on them."""

    def __init__(self, scene: Scene, random: Random, first_counter: int) -> None:
        """`first_counter`: the node that `Scene.counter_partitions` cuts off."""
        self.scene = scene
        self.random = random
        self.first_counter = first_counter
        self.sent = 0
        self.sent_bytes = 0
        self.far_bytes = 0  # between regions
        self.messages_of = [0] * scene.nodes  # sent and received

    def deliveries(self, sender: int, receiver: int, data_bytes: int) -> Iterator[int]:
        """Sends a datagram to another node; yields after how many ns each copy of it arrives."""
        size = data_bytes + DATAGRAM_HEADER_BYTES
        self.sent += 1
        self.sent_bytes += size
        self.messages_of[sender] += 1
        self.messages_of[receiver] += 1
        if sender % REGIONS != receiver % REGIONS:
            self.far_bytes += size
        for _ in range(1 + (self.random.random() < self.scene.repeats)):
            if self.random.random() >= self.scene.loss:
                yield self._delay(sender, receiver)

    def _delay(self, sender: int, receiver: int) -> int:
        """The delay of a datagram (ns)."""
        if sender % ZONES == receiver % ZONES:
            least_ms = SAME_ZONE_MS
        elif sender % REGIONS == receiver % REGIONS:
            least_ms = SAME_REGION_MS
        else:
            least_ms = OTHER_REGION_MS
        return int((least_ms + self.random.expovariate(1.0) * (1.0 + self.scene.extra_delay_ms)) * MS)

    def is_partitioned(self, one: int, other: int, now: int) -> bool:
        """Whether two nodes cannot reach each other."""
        if self.first_counter in (one, other):
            for fault in self.scene.counter_partitions:
                if fault.span.contains(now) and min(one, other) < self.scene.nodes * fault.share:
                    return True
        for fault in self.scene.partitions:
            edge = self.scene.nodes * fault.share
            if fault.span.contains(now) and (one < edge) != (other < edge):
                return True
        return False
