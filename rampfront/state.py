"""The state of a decision node, as plain rows. `choice.py` changes them, by way of `epoch.py` too, and removes them."""

from dataclasses import field
from math import inf
from typing import Any

from .terms import slotted


@slotted
class Window:
    """Counts of one window of one account."""

    number: int
    own: float = 0.0  # counted here
    acknowledged: float = 0.0  # the part of `own` that the counter has acknowledged
    uncertain: float = 0.0  # the part of `own` that the counter may or may not have
    in_flight: float | None = None  # the part in a call under way; None: no call is under way
    others: float = 0.0  # counted by the other nodes
    last_total: float = 0.0  # the last total read
    read_at: int = 0


@slotted
class RateCounts:
    """Counts of one account against its rate limit, in windows of the quota's length, reported every tick."""

    key: str
    quota: Any  # the counting module's own type; its `window` is a length in ns
    nodes: int
    used_at: int
    current: Window
    previous: Window
    remaining: float = inf  # left of the quota, by our own and the others' known counts; below 0: a debt
    remaining_at: int = 0
    read_at: int = -(10**18)  # long ago
    others_at_read: float = inf  # the others' part at that reading; inf: not read yet, so it may be anything
    own_at_read: float = 0.0  # our own part at that reading
    timer_set: bool = False  # the reminder of its next tick is set


@slotted
class Account:
    """An account in use, against its quota and its ceiling."""

    key: str
    quota: object
    nodes: int
    used_at: int
    counts: RateCounts | None
    ceiling_filled_at: int
    below_one_txn: bool  # this node's share of its quota is less than one txn
    ceiling_tokens: float = 0.0  # left of this node's own share of the ceiling
    in_flight: int = 0  # submissions
    others_in_flight: float = 0.0  # the other nodes' submissions, as last reported
    others_read_at: int = -(10**18)  # long ago
    usage: float = 0.0  # admitted by all nodes for an account below one txn, over its quota, as last reported
    usage_read_at: int = -(10**18)


@slotted
class Server:
    """An app server, and the results of our submissions to it."""

    id: int
    state: int = 0
    zone: int = 0
    cell: int = 0
    started_at: int = 0
    in_flight: int = 0
    occupied: int = 0  # places taken by our submissions, also by abandoned ones that may still run
    relative_duration: float = 1.0  # its time for a txn, over the mean of all servers
    successes: float = 0.0  # decaying counts of the outcomes of our submissions
    failures: float = 0.0
    decayed_at: int = 0
    cold_span_end: int = 0  # while cold: end of its present span
    cold_allowance: int = 0  # while cold: submissions that it may get until the end of the span
    probed_load: float = 1.0  # as a probe reported it, over the usual load
    proximity: float = 1.0  # weight by network distance; nearer is higher
    utilization: float = 0.0  # work there over its slots, as a response reported it
    utilization_at: int = 0


@slotted
class Txn:
    """A txn that has no final answer, or has submissions in flight."""

    id: int
    product: object
    account: Account
    units: float
    arrived_at: int
    expires_at: int
    state: str
    allowed_zones: object = None  # zones whose app servers may run it; None: all
    max_submissions: int = 0
    proximity_exponent: float = 1.0  # weight of proximity
    shed_rank: float = 0.0  # 0 to 1: the higher, the sooner it is shed when capacity is short; 0: last
    submissions: int = 0
    in_flight: dict[int, bool] = field(default_factory=dict)  # by number of the submission: whether it holds a place
    last_server: int = -1  # server of the last submission
    risk_at: int | None = None  # when the first submission that may have run was sent
    risk_zone: int = 0
    risk_cell: int = 0
    in_quota: bool = False  # counted against the quota
    count_known: bool = False  # its account's count was read before it was sent
    count: float = 0.0  # the count that was read, with its own units
    represents: float = 1.0  # how many txns it represents in that count
    age_weight: float = 1.0  # weight of a unit in that count, by the count's age
    count_name: int = 0  # name of that count
