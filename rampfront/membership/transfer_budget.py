"""Limits the full transfers that a node sends: complete states and endpoint lists, where no delta can be made.

They are large, and many nodes may request them at once: after a start of the whole fleet, or when all nodes lag far
behind. Each receiver has one transfer in flight at a time, and a sender starts a limited number per tick; a node that
is refused asks again. No I/O, no clock.
"""

from typing import NamedTuple

MS = 10**6  # ns

# Full transfers that a leader starts per tick: the bounds, and the number that is divided by the nodes of the fleet,
# since the size of a transfer grows with the fleet. Protects links when all nodes start at once.
MAX_FULL_TRANSFERS = 64
FULL_TRANSFERS_TIMES_NODES = 6000
MIN_FULL_TRANSFERS = 16
MAX_FOLLOWER_FULL_TRANSFERS = 8  # per tick, by a node that is not the leader
# A transfer counts as in flight for this time, plus a time for each byte of the state's body.
FULL_TRANSFER_TIMEOUT_NS = 300 * MS
FULL_TRANSFER_NS_PER_BYTE = 8_000


class _Transfer(NamedTuple):
    """The full transfer in flight to a node."""

    until_ns: int
    has_state: bool
    has_endpoints: bool


_NO_TRANSFER = _Transfer(0, False, False)


class TransferBudget:
    """The full transfers started since the last tick, and those in flight by address."""

    def __init__(self) -> None:
        """Starts without transfers."""
        self._begun = 0
        self._under_way: dict[str, _Transfer] = {}  # expired entries are removed by `start_tick`

    def start_tick(self, now: int) -> None:
        """Resets the budget, and removes transfers that have expired."""
        self._begun = 0
        if self._under_way:
            self._under_way = {ip: transfer for ip, transfer in self._under_way.items() if now < transfer.until_ns}

    def begin(self, ip: str, now: int, state_bytes: int | None, with_endpoints: bool, limit: int) -> bool:
        """Starts a full transfer if it may be sent now.

        Data in flight to a node is not sent again, so that a node that lags far behind over a slow link is not sent a
        full transfer with each change. Other data that it lacks is still sent.

        Args:
            ip: address of the receiver.
            now: ns.
            state_bytes: size of the state's body; None if the state is not sent.
            with_endpoints: whether the endpoint list is sent.
            limit: maximum number of transfers per tick (`leader_limit`).

        Returns:
            Whether it may be sent.
        """
        under_way = self._under_way.get(ip, _NO_TRANSFER)
        with_state = state_bytes is not None
        if (under_way.has_state or not with_state) and (under_way.has_endpoints or not with_endpoints):
            return False
        if self._begun >= limit:
            return False
        self._begun += 1
        until_ns = now + FULL_TRANSFER_TIMEOUT_NS + FULL_TRANSFER_NS_PER_BYTE * (state_bytes or 0)
        self._under_way[ip] = _Transfer(
            max(under_way.until_ns, until_ns),
            with_state or under_way.has_state,
            with_endpoints or under_way.has_endpoints,
        )
        return True


def leader_limit(nodes: int) -> int:
    """Maximum number of full transfers per tick by the leader of a fleet of this size."""
    return max(MIN_FULL_TRANSFERS, min(MAX_FULL_TRANSFERS, FULL_TRANSFERS_TIMES_NODES // max(1, nodes)))
