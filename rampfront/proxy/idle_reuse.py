"""Which idle connections a request may be sent on, so that it does not meet a server that closes them just then.

A request that was written on a connection its server had forgotten may have run as far as anyone can tell, so one
that may run only once is lost with it. Two things help: the server's own `Keep-Alive`, and what happened to others.
Once one connection ended under a request at once, those that have been idle for a fraction of its time are not
trusted for a while: servers forget at a bound of theirs that lies anywhere below, and each attempt to find it may
lose a request.
"""

import re

from ..settings.scalars import MS, SEC

NEVER = 1 << 62  # ns: later than any time
_KEEP_ALIVE = re.compile(rb"(?:^|timeout\s*=\s*)(\d{1,5})")
_CLOSED_EARLY_NS = 300 * MS  # so long before its server closes it: the way there, and the next look at it
_AT_ONCE_NS = 150 * MS  # a connection that ends so soon behind a request, without a byte, had been forgotten
_ALWAYS_TRUSTED_NS = 250 * MS  # one that was idle no longer than this is always used again
_DISTRUST_NS = 5 * SEC  # without another one found forgotten, connections are trusted again
_DISTRUST_DIVISOR = 8  # the next bound is the forgotten one's idle time by this


def reusable_until(keep_alive: bytes, now_ns: int) -> int:
    """Until when (ns) a connection may be reused, by the `Keep-Alive` field of its last response."""
    found = _KEEP_ALIVE.search(keep_alive)
    if found is None:
        return NEVER
    return now_ns + int(found.group(1)) * SEC - _CLOSED_EARLY_NS


class IdleTrust:
    """How long a connection may have been idle to carry a request that may run only once."""

    def __init__(self, max_idle_ns: int) -> None:
        """`max_idle_ns`: with which every connection is trusted."""
        self._max_idle_ns = max_idle_ns
        self._trusted_ns = max_idle_ns
        self._distrusted_at_ns = 0

    def trusted_ns(self, now_ns: int) -> int:
        """The longest idle time that is trusted now."""
        if now_ns - self._distrusted_at_ns > _DISTRUST_NS:
            self._trusted_ns = self._max_idle_ns
        return self._trusted_ns

    def connection_ended(self, idle_ns: int, lasted_ns: int, now_ns: int) -> None:
        """A reused connection ended under a request, without a byte of a response.

        `idle_ns`: how long it had been idle; `lasted_ns`: from the request to its end. One that ended at once had been
        forgotten by its server."""
        if lasted_ns < _AT_ONCE_NS:
            self._trusted_ns = max(_ALWAYS_TRUSTED_NS, min(self._trusted_ns, idle_ns // _DISTRUST_DIVISOR))
            self._distrusted_at_ns = now_ns
