"""How many full transfers a node gives away: complete states and endpoint lists, where no difference can be made.

They are large, and many nodes may ask at once: after a start of the whole fleet, or when all are far behind. Each node
has one under way at a time, and only so many are begun between two looks at the time; who is refused asks again. No
I/O, no clock.
"""

from typing import NamedTuple

MS = 10**6  # ns

# Full transfers that a leader begins between two ticks, at most, and the number that is divided by the nodes of the
# fleet: the more nodes, the fewer, as what is sent grows with them. Guards links against all nodes that start at once.
MAX_FULL_TRANSFERS = 64
FULL_TRANSFERS_TIMES_NODES = 6000
MIN_FULL_TRANSFERS = 16
MAX_FOLLOWER_FULL_TRANSFERS = 8  # by a node that does not lead
# A transfer counts as under way for so long, and for each byte of its body.
FULL_TRANSFER_TIMEOUT_NS = 300 * MS
FULL_TRANSFER_NS_PER_BYTE = 8_000


class _Transfer(NamedTuple):
    """What is under way to a node."""

    until_ns: int
    has_state: bool
    has_endpoints: bool


_NO_TRANSFER = _Transfer(0, False, False)


class TransferBudget:
    """Full transfers begun since the last tick, and those under way by address."""

    def __init__(self) -> None:
        """None is under way."""
        self._begun = 0
        self._under_way: dict[str, _Transfer] = {}  # emptied by `start_tick`

    def start_tick(self, now: int) -> None:
        """Gives the budget of the next tick, and forgets transfers that are over."""
        self._begun = 0
        if self._under_way:
            self._under_way = {ip: transfer for ip, transfer in self._under_way.items() if now < transfer.until_ns}

    def begin(self, ip: str, now: int, state_bytes: int | None, with_endpoints: bool, limit: int) -> bool:
        """Begins a full transfer if it may be sent now.

        Guards slow links against a full transfer with each change to a node that is far behind: what is under way to it
        is not sent again, though what it lacks beside that is.

        Args:
            ip: the receiver.
            now: ns.
            state_bytes: size of the state's body; None: no state goes.
            with_endpoints: whether the endpoint list goes.
            limit: transfers between two ticks, at most (`leader_limit`).

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
    """Full transfers that the leader of so many nodes begins between two ticks, at most."""
    return max(MIN_FULL_TRANSFERS, min(MAX_FULL_TRANSFERS, FULL_TRANSFERS_TIMES_NODES // max(1, nodes)))
