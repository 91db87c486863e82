"""What a node remembers, as plain rows; `choice.py` alone reads and changes them and says what empties it."""

from dataclasses import field
from math import inf
from typing import Any

from .terms import slotted


@slotted
class Window:
    """Counts of one window of one account."""

    number: int
    own: float = 0.0  # counted here
    acknowledged: float = 0.0  # the part of it that the counter has
    uncertain: float = 0.0  # the part that it may or may not have
    in_flight: float | None = None  # the part in a call under way; None: no call
    others: float = 0.0  # the others' part
    last_total: float = 0.0  # the last total
    read_at: int = 0


@slotted
class RateCounts:
    """Counts of one account against one limit: windows of the quota's length, told every tick."""

    key: str
    quota: Any  # of the program that counts; its `window` is a length in ns
    nodes: int
    used_at: int
    current: Window
    previous: Window
    remaining: float = inf  # what the quota has left, by our own and the others' known part; below 0 a debt
    remaining_at: int = 0
    read_at: int = -(10**18)  # long ago
    others_at_read: float = inf  # the others' part as it was then; not read yet: all that it may be
    own_at_read: float = 0.0  # and our own
    timer_set: bool = False  # its tick is set


@slotted
class Account:
    """An account in use: its quota, and its ceiling."""

    key: str
    quota: object
    nodes: int
    used_at: int
    counts: RateCounts | None
    ceiling_filled_at: int
    below_one_txn: bool  # this node's share of its quota is under one txn
    ceiling_tokens: float = 0.0  # this node's own share of the ceiling
    in_flight: int = 0  # submissions out
    others_in_flight: float = 0.0  # the others' submissions out, as last told
    others_read_at: int = -(10**18)  # long ago
    usage: float = 0.0  # what all nodes sent on for a thin account, over its quota, as last told
    usage_read_at: int = -(10**18)


@slotted
class Server:
    """An app server, and what it did with our work."""

    id: int
    state: int = 0
    zone: int = 0
    cell: int = 0
    started_at: int = 0
    in_flight: int = 0
    occupied: int = 0  # places that our submissions take there, also those given up that may still run
    relative_duration: float = 1.0  # its time for a txn over that of all
    successes: float = 0.0  # fading counts of what it did with our work
    failures: float = 0.0
    decayed_at: int = 0
    cold_span_end: int = 0  # while cold: end of its present span,
    cold_allowance: int = 0  # and how many submissions it may get until then
    probed_load: float = 1.0  # how busy a probe found it, over the usual
    proximity: float = 1.0  # weight by the way there
    utilization: float = 0.0  # work there over its slots, as an answer told
    utilization_at: int = 0


@slotted
class Txn:
    """A txn that has no final answer, or has submissions out."""

    id: int
    product: object
    account: Account
    units: float
    arrived_at: int
    expires_at: int
    state: str
    allowed_zones: object = None  # zones that may get it
    max_submissions: int = 0  # submissions
    proximity_exponent: float = 1.0  # how much the way weighs
    shed_rank: float = 0.0  # 0 to 1: who yields where there is too little room for all; 0 yields to nobody
    submissions: int = 0
    in_flight: dict[int, bool] = field(
        default_factory=dict
    )  # its submissions that are out, and whether they hold a place
    last_server: int = -1  # where the last submission went
    risk_at: int | None = None  # when the first submission that may have run was sent
    risk_zone: int = 0
    risk_cell: int = 0
    in_quota: bool = False  # counted against the quota
    count_known: bool = False  # its account's count was told before it was sent on
    count: float = 0.0  # that count, with its own units
    represents: float = 1.0  # how many txns it stands for in that count
    age_weight: float = 1.0  # what a unit weighed in it, by the count's age
    count_name: int = 0  # of that count
