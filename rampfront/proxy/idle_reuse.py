"""Selects idle connections that are safe to reuse, to avoid sending a request while the server closes the connection.

If a request was written on a connection that its server had already dropped, the proxy cannot tell whether it was
executed, so a once-only request cannot be retried and is lost. Two sources of information reduce this risk: the
server's own `Keep-Alive` field, and what happened to other connections. Once a connection has ended immediately after
a request was sent on it, connections that have been idle for more than a fraction of its idle time are distrusted for
a while: the server's idle timeout may be anywhere below that idle time, and each attempt to find it may lose a
request.
"""

import re

from ..settings.scalars import MS, SEC

NEVER = 1 << 62  # ns: later than any time
_KEEP_ALIVE = re.compile(rb"(?:^|timeout\s*=\s*)(\d{1,5})")
_KEEP_ALIVE_MARGIN_NS = 300 * MS  # safety margin before the announced timeout, for the network delay and the next check
_IMMEDIATE_END_NS = 150 * MS  # a connection that ends this soon after a request, without a byte, had been dropped
_ALWAYS_TRUSTED_NS = 250 * MS  # a connection idle for no longer than this is always reused
_DISTRUST_DURATION_NS = 5 * SEC  # connections are trusted again if no other dropped one was found for this time
_DISTRUST_DIVISOR = 8  # the new bound is the dropped connection's idle time divided by this


def reusable_until(keep_alive: bytes, now_ns: int) -> int:
    """The time (ns) until which a connection may be reused, from the `Keep-Alive` field of its last response."""
    found = _KEEP_ALIVE.search(keep_alive)
    if found is None:
        return NEVER
    return now_ns + int(found.group(1)) * SEC - _KEEP_ALIVE_MARGIN_NS


class IdleTrust:
    """How long a connection may have been idle to carry a once-only request."""

    def __init__(self, max_idle_ns: int) -> None:
        """`max_idle_ns`: the bound while no dropped connection has been found."""
        self._max_idle_ns = max_idle_ns
        self._trusted_ns = max_idle_ns
        self._distrusted_at_ns = 0

    def trusted_ns(self, now_ns: int) -> int:
        """The longest idle time that is currently trusted."""
        if now_ns - self._distrusted_at_ns > _DISTRUST_DURATION_NS:
            self._trusted_ns = self._max_idle_ns
        return self._trusted_ns

    def connection_ended(self, idle_ns: int, duration_ns: int, now_ns: int) -> None:
        """Records that a reused connection ended after a request was sent, without a byte of a response.

        `idle_ns`: how long it had been idle; `duration_ns`: from the request to its end. A connection that ended
        immediately had been dropped by its server."""
        if duration_ns < _IMMEDIATE_END_NS:
            self._trusted_ns = max(_ALWAYS_TRUSTED_NS, min(self._trusted_ns, idle_ns // _DISTRUST_DIVISOR))
            self._distrusted_at_ns = now_ns
