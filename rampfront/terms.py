"""The interface of the decision module: its settings, its inputs and the effects that it asks for.

Nothing here decides anything. Times are whole nanoseconds. Txns and app servers are small indices that the
caller hands out (and takes back once nothing can refer to them); an account stays text, because the names of its
counts are digests of it. One `Node` of `choice.py` takes one input at a time and returns a list of effects.
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
    """Makes a dataclass with slots, without the generated methods that are not used: each costs time at start."""
    return dataclass(slots=True, repr=False, eq=False, match_args=False)(cls)


@slotted
class Product:
    """The requirements of a kind of txn, and whether it may be repeated. Times are ns."""

    kind: int
    group: int
    latency_target: int  # a later response has only `late_value_share` of the full value
    repeat_window: int
    late_value_share: float
    client_timeout: int = 0  # how long a client waits, over all its tries; 0: unknown


@slotted
class Plan:
    """The quota and the ceiling that an account pays for. Rates are in units a second."""

    rate: float  # units a second; 0: no such quota
    burst: float
    max_in_flight: int  # submissions in flight at once; 0: no such quota
    ceiling_rate: float  # units a second; 0: no ceiling
    ceiling_depth: float
    excess_value: float
    excess_cost: float


@slotted
class Terms:
    """The settings of a decision node. Times are ns."""

    products: list
    plans: list
    nodes: int
    max_submissions: int
    may_probe: bool
    may_cancel: bool
    has_counter: bool
    counter_timeout: int  # a call to the counter that is not answered by then has timed out
    max_units: float  # of one txn
    subscribes: bool  # the node has to subscribe to the server list
    max_retry_after: int  # 0: clients ignore such advice
    min_input_gap: int  # shortest time between two inputs
    cold_share: float  # the part of its capacity that a cold app server has
    warm_up: int
    cold_overload_factor: float
    cold_overload_after: int
    may_duplicate: bool = False  # a txn may have two submissions in flight
    marks_counter: bool = False  # nodes write marks to the counter, to detect that it was replaced or split
    probe_cost: float = 0.0  # of one probe for each txn, as a part of all value; 0: unknown
    usage_period: int = 0  # responses report an account's usage over this period; 0: they do not
    reports_load: bool = False  # responses report their server's load; late submissions are duplicated
    retry_budget: tuple = ()  # further submissions earned by each first one, and the most saved up; empty: default


# ---- inputs


@slotted
class ServerListRow:
    """A row of the server list."""

    server: int
    state: int
    zone: int
    cell: int
    weight: float
    started_at: int  # ns; 0: long ago
    proximity: float = 1.0  # weight by network distance; nearer is higher


@slotted
class ServerList:
    """The server list, complete or as a change; or a notice that it could not be read."""

    complete: bool
    failed: bool
    rows: list = field(default_factory=list)


@slotted
class Arrival:
    """A txn arrived."""

    txn: int
    product: int
    plan: int
    account: str
    units: float
    expires_in: int
    account_nodes: int  # how many nodes get the account's txns
    allowed_zones: frozenset | None = None  # zones whose app servers may run it; None: all
    max_submissions: int = 0  # 0: as in `Terms`
    proximity_exponent: float = 1.0  # weight of proximity: large bodies are sent to near servers
    shed_rank: float = 0.0  # 0 to 1: the higher, the sooner it is shed when capacity is short


@slotted
class Ended:
    """A submission ended."""

    txn: int
    server: int
    outcome: int
    duration: int
    final: bool
    actual_units: float  # 0: unknown
    attempt: int = 0  # number of the submission, counted within the txn
    usage: float | None = None  # part of the quota that the account used at all nodes in the last usage period


@slotted
class Left:
    """The client has disconnected; no answer is owed to it."""

    txn: int


@slotted
class Due:
    """A reminder that this node asked for is due."""

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
    """Send the txn to a server, and wait at most `timeout` ns."""

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
    retry_after: int  # ns; 0: no advice
    over_quota: bool = False  # the reason is the quota of its account


@slotted
class Void:
    """Answer that the txn may have run."""

    txn: int


@slotted
class Remind:
    """Give the node a `Due` after `delay` ns."""

    delay: int
    ref: int


@slotted
class Probe:
    """Ask a server for its load."""

    server: int


@slotted
class AddToCount:
    """Add to a count of the counter, and read its total; the count expires after `lifetime` ns."""

    name: int
    amount: float
    lifetime: int


@slotted
class CounterNotice:
    """A change in the state of the counter, for the operators, and the number of nodes that it hears of."""

    change: str
    heard_nodes: int


@slotted
class Subscribe:
    """Subscribe to the server list."""
