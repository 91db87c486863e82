"""The interface of the decision module: the terms it starts under, what it is told, what it wants done.

Nothing here decides anything. Times are whole nanoseconds. Txns and app servers are small indices that the
caller hands out (and takes back once nothing can refer to them); an account stays text, because its digest
names its counts. One `Node` of `choice.py` takes one input at a time and returns a list of effects.
"""

from dataclasses import dataclass, field
from typing import TypeVar, dataclass_transform

Row = TypeVar("Row")

# What a product allows once a submission may have run: any repeat, a repeat that the app servers deduplicate, or none.
READ_ONLY, DEDUPLICATED, ONCE_ONLY = range(3)
# Which app servers drop the repeats of a deduplicated txn.
ALL, ZONE, CELL = range(3)
# How a submission, a probe or a call to the counter ended. NOT_ACCEPTED: the other side did not start work on it.
# CONNECT_FAILED: no connection was established, so no server had any work from it.
DONE, ERROR, NOT_ACCEPTED, TIMED_OUT, CONNECTION_LOST, CANCELLED, NOT_SENT, CONNECT_FAILED = range(8)
# The state of an app server in the server list.
UP, DRAINING, REMOVED = range(3)


@dataclass_transform(eq_default=False)
def slotted(cls: type[Row]) -> type[Row]:
    """A dataclass with slots, and without the methods that nobody calls: each of them costs at start."""
    return dataclass(slots=True, repr=False, eq=False, match_args=False)(cls)


@slotted
class Product:
    """What a kind of txn asks for, and what it allows."""

    kind: int
    group: int
    latency_target: int
    repeat_window: int
    late_value_share: float
    client_timeout: int = 0  # how long a client waits over all its tries; 0: not told


@slotted
class Plan:
    """What an account pays for: its quota and its ceiling. Rates are units a second."""

    rate: float  # units a second; 0: no such quota
    burst: float
    max_in_flight: int  # submissions out at once; 0: no such quota
    ceiling_rate: float  # units a second; 0: no ceiling
    ceiling_depth: float
    excess_value: float
    excess_cost: float


@slotted
class Terms:
    """What a node starts under. Times are ns."""

    products: list
    plans: list
    nodes: int
    max_submissions: int
    may_probe: bool
    may_cancel: bool
    has_counter: bool
    counter_timeout: int  # a call without an answer by then has timed out
    max_units: float  # most units of one txn
    subscribes: bool  # the server list must be asked for
    max_retry_after: int  # 0: clients take no advice
    min_input_gap: int  # shortest gap between two inputs
    cold_share: float
    warm_up: int
    cold_overload_factor: float
    cold_overload_after: int
    may_duplicate: bool = False  # a txn may have two submissions out
    marks_counter: bool = False  # nodes mark the counter, to tell a new or split one
    probe_cost: float = 0.0  # what one probe for each txn costs, in parts of all value; 0: not told
    usage_period: int = 0  # answers tell an account's use over so long; 0: they don't
    reports_load: bool = False  # answers tell the work at their server, and a copy goes for what is late there
    retry_budget: tuple = ()  # further submissions earned by each first one, and at most saved up; none: as usual


# ---- inputs


@slotted
class ServerListRow:
    """A row of the server list."""

    server: int
    state: int
    zone: int
    cell: int
    weight: float
    started_at: int  # 0: long ago
    proximity: float = 1.0  # weight by the way there


@slotted
class ServerList:
    """What the server list says: all of it, or what changed; or that it could not be read."""

    complete: bool
    failed: bool
    rows: list = field(default_factory=list)


@slotted
class Arrival:
    """A txn came."""

    txn: int
    product: int
    plan: int
    account: str
    units: float
    expires_in: int
    account_nodes: int
    allowed_zones: frozenset | None = None  # zones of the app servers that may get it; None: all
    max_submissions: int = 0  # most submissions of it; 0: as the terms say
    proximity_exponent: float = 1.0  # how much the way weighs for it: a large body goes a short one
    shed_rank: float = 0.0  # 0 to 1: the higher, the sooner it yields to others where room is short


@slotted
class Ended:
    """A submission ended."""

    txn: int
    server: int
    outcome: int
    duration: int
    final: bool
    actual_units: float  # 0: not told
    attempt: int = 0  # which of the txn's submissions
    usage: float | None = None  # of its quota, by the account, at all nodes, in the meter's last period


@slotted
class Left:
    """The client has gone; nothing is owed."""

    txn: int


@slotted
class Due:
    """A reminder that this node asked for."""

    ref: int


@slotted
class Probed:
    """A probe ended."""

    server: int
    outcome: int
    duration: int
    report: dict


@slotted
class Counted:
    """A call to the counter ended."""

    name: int
    total: float
    outcome: int
    duration: int


# ---- effects


@slotted
class Submit:
    """Send the txn to a server, and wait for `allow` ns at most."""

    txn: int
    server: int
    timeout: int


@slotted
class Cancel:
    """Stop waiting for a submission of the txn."""

    txn: int
    attempt: int = 0


@slotted
class Decline:
    """Answer that the txn has not run."""

    txn: int
    retry_after: int  # advice, 0: none
    over_quota: bool = False  # its account's quota is the reason


@slotted
class Void:
    """Answer that the txn may have run."""

    txn: int


@slotted
class Remind:
    """Say `Due` after `delay` ns."""

    delay: int
    ref: int


@slotted
class Probe:
    """Ask a server how busy it is."""

    server: int


@slotted
class AddToCount:
    """Add to a count of the counter, and read its total; the count lives `life` ns."""

    name: int
    amount: float
    lifetime: int


@slotted
class CounterNotice:
    """News of the counter, for the operators: what, and how many nodes it hears of."""

    change: str
    heard_nodes: int


@slotted
class Subscribe:
    """Ask for the server list."""
