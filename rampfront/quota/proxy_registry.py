"""The proxies known to a counter: their incarnations and last updates, and the share of them that is missing.

A proxy in use sends at least once per `PROXY_TIMEOUT_NS`. A proxy that does not, and has not reported that it is idle,
is *missing*: it may be isolated and continue with its even share of each quota.
"""

from ..terms import slotted
from .codec import InvalidMessageError
from .limits import MS, SEC
from .messages import PROXY_TIMEOUT_NS

RETENTION_NS = 10 * SEC  # how long a proxy is remembered after its last message
FORMER_INCARNATION_NS = 3 * SEC  # maximum delay of frames of a former incarnation after the first of the next
MAX_PROXIES = 2048  # limit of the remembered proxies
MISSING_SHARE_INTERVAL_NS = 100 * MS  # minimum interval between updates of the share
NEVER = -1 << 62  # ns
NO_INCARNATION = -1


class FormerIncarnationError(InvalidMessageError):
    """A message of a former incarnation of a proxy, which is no longer running."""


@slotted
class ProxyRecord:
    """The state of one incarnation of a proxy."""

    incarnation: int
    former_incarnation: int  # NO_INCARNATION: none is known
    first_seen_at: int
    last_seen_at: int
    last_sequence: int = 0  # of the last accepted update
    idle: bool = False  # as the proxy reported
    missing_since: int = NEVER  # since when its share is reserved here; in the future while it sends updates


class ProxyRegistry:
    """The proxies known to one counter."""

    def __init__(self, now: int) -> None:
        """`now`: ns."""
        self.records: dict[str, ProxyRecord] = {}  # by proxy; removed RETENTION_NS after the last message
        self.serving_count = 0  # proxies that serve according to the membership; 0: not known
        self.missing_share_updated_at = now - SEC

    def get_or_add(self, proxy: str, incarnation: int, now: int) -> ProxyRecord:
        """Returns the record of this incarnation of the proxy, adding it if needed. Raises `FormerIncarnationError`."""
        record = self.records.get(proxy)
        if record is not None and record.incarnation == incarnation:
            return record
        if record and record.former_incarnation == incarnation and now - record.first_seen_at < FORMER_INCARNATION_NS:
            # Late datagrams of a former process must not pass for another restart. They are rejected only for a limited
            # time: a late message may be the first that this counter receives of its incarnation, and then the "former"
            # incarnation is the one that is running.
            raise FormerIncarnationError("message of a former incarnation of the proxy")
        self._evict(now)
        former = record.incarnation if record else NO_INCARNATION
        fresh = ProxyRecord(incarnation, former, first_seen_at=now, last_seen_at=now)
        self.records[proxy] = fresh
        return fresh

    def deregister(self, proxy: str, incarnation: int, now: int) -> bool:
        """Makes a proxy missing that moves to another counter. Returns False if this incarnation is not known."""
        record = self.records.get(proxy)
        if record is None or record.incarnation != incarnation:
            return False
        record.last_seen_at = now - RETENTION_NS
        record.missing_since = now
        record.idle = False
        return True

    def known_count(self) -> int:
        """Number of proxies that share each quota; 0 while it is not known how many serve."""
        return max(self.serving_count, len(self.records)) if self.serving_count else 0

    def missing_share_is_due(self, now: int) -> bool:
        """Whether MISSING_SHARE_INTERVAL_NS has passed since the last update of the share."""
        return now - self.missing_share_updated_at >= MISSING_SHARE_INTERVAL_NS

    def update_missing_share(self, now: int) -> float:
        """Returns the share of the proxies that are missing."""
        self.missing_share_updated_at = now
        in_touch = sum(now - record.last_seen_at < PROXY_TIMEOUT_NS or record.idle for record in self.records.values())
        count = max(self.serving_count or len(self.records), in_touch)
        return 1.0 - in_touch / count if count else 0.0

    def announcement_receivers(self, now: int) -> list[tuple[str, ProxyRecord]]:
        """The proxies to send announcements to."""
        return [(name, record) for name, record in self.records.items() if now - record.last_seen_at < RETENTION_NS]

    def _evict(self, now: int) -> None:
        """Removes proxies silent for longer than RETENTION_NS, and the longest silent one if the registry is full."""
        for name, record in list(self.records.items()):
            if now - record.last_seen_at > RETENTION_NS and not record.idle:
                del self.records[name]
        if len(self.records) >= MAX_PROXIES:
            del self.records[min(self.records, key=self._last_seen_at)]

    def _last_seen_at(self, name: str) -> int:
        return self.records[name].last_seen_at
