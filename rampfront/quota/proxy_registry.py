"""The proxies that a counter knows: their incarnations and last updates, and the part of them that it does not hear.

A proxy in use sends at least once in `SILENCE_NS`. One that does not, and has not said that it is idle, is *missing*:
it may be cut off and go on with its even share of each quota.
"""

from ..terms import slotted
from .codec import InvalidMessageError
from .limits import MS, SEC
from .messages import PROXY_TIMEOUT_NS

RETENTION_NS = 10 * SEC  # how long a proxy is remembered after its last message
FORMER_INCARNATION_NS = 3 * SEC  # how late a frame of a former incarnation may come after those of the next one
MAX_PROXIES = 2048  # remembered
MISSING_SHARE_INTERVAL_NS = 100 * MS  # between two surveys
NEVER = -1 << 62  # ns
NO_INCARNATION = -1


class FormerIncarnationError(InvalidMessageError):
    """A message of a proxy's process that has ended."""


@slotted
class ProxyRecord:
    """What is known of one incarnation of a proxy."""

    incarnation: int
    former_incarnation: int  # NO_INCARNATION: none is known
    first_seen_at: int
    last_seen_at: int
    last_sequence: int = 0  # of its updates, taken in
    idle: bool = False  # it said so
    missing_since: int = NEVER  # since when its share was not given out here, or will not be should it fall silent


class ProxyRegistry:
    """The proxies known to one counter."""

    def __init__(self, now: int) -> None:
        """`now`: ns."""
        self.records: dict[str, ProxyRecord] = {}  # by proxy; dropped MEMORY_NS after the last message
        self.serving_count = 0  # how many proxies serve by the membership; 0: not known
        self.missing_share_updated_at = now - SEC

    def get_or_add(self, proxy: str, incarnation: int, now: int) -> ProxyRecord:
        """What is known of the proxy in this incarnation. Raises `FormerIncarnationError`."""
        record = self.records.get(proxy)
        if record is not None and record.incarnation == incarnation:
            return record
        if record and record.former_incarnation == incarnation and now - record.first_seen_at < FORMER_INCARNATION_NS:
            # Guards against datagrams of a process that has ended, which would pass for another start. Not for ever:
            # one that comes late may be the first that is heard of its incarnation here, and the former one is the one
            # that goes on.
            raise FormerIncarnationError("of an incarnation that is over")
        self._evict(now)
        former = record.incarnation if record else NO_INCARNATION
        fresh = ProxyRecord(incarnation, former, first_seen_at=now, last_seen_at=now)
        self.records[proxy] = fresh
        return fresh

    def deregister(self, proxy: str, incarnation: int, now: int) -> bool:
        """A proxy moves to another counter: it is missing at once. Returns False if this incarnation is not known."""
        record = self.records.get(proxy)
        if record is None or record.incarnation != incarnation:
            return False
        record.last_seen_at = now - RETENTION_NS
        record.missing_since = now
        record.idle = False
        return True

    def known_count(self) -> int:
        """How many proxies share each quota; 0 while it is not known how many serve."""
        return max(self.serving_count, len(self.records)) if self.serving_count else 0

    def missing_share_is_due(self, now: int) -> bool:
        """Whether the last survey is long enough ago, for one that nothing else asks for."""
        return now - self.missing_share_updated_at >= MISSING_SHARE_INTERVAL_NS

    def update_missing_share(self, now: int) -> float:
        """The part of the proxies that is missing."""
        self.missing_share_updated_at = now
        in_touch = sum(now - record.last_seen_at < PROXY_TIMEOUT_NS or record.idle for record in self.records.values())
        count = max(self.serving_count or len(self.records), in_touch)
        return 1.0 - in_touch / count if count else 0.0

    def announcement_receivers(self, now: int) -> list[tuple[str, ProxyRecord]]:
        """The proxies that are sent announcements."""
        return [(name, record) for name, record in self.records.items() if now - record.last_seen_at < RETENTION_NS]

    def _evict(self, now: int) -> None:
        """Drops who is silent for long, and one more if there is no room for another."""
        for name, record in list(self.records.items()):
            if now - record.last_seen_at > RETENTION_NS and not record.idle:
                del self.records[name]
        if len(self.records) >= MAX_PROXIES:
            del self.records[min(self.records, key=self._last_seen_at)]

    def _last_seen_at(self, name: str) -> int:
        return self.records[name].last_seen_at
