"""The terms under which `choice.py` makes attempts for one service: what may be retried, hedged, cancelled. No I/O.

Each service has its own `choice.Node`, whose terms are built here. A request of a route that changes data is sent to
a second server only if the first one certainly did not execute it. A read-only request may be retried, and hedged
once it is late (a second attempt runs concurrently with the first; Dean and Barroso, "The Tail at Scale"). All
attempts are cancelled when the client disconnects.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import terms as t
from ..settings.scalars import MS, SEC
from .budget_shares import retry_budget
from .slow_start import DEFAULT_WARM_UP_NS

if TYPE_CHECKING:
    from ..settings.settings_file import Guarantees

READ_ONLY = "read_only"  # the request type whose requests may be executed more than once
_KIND_BY_REQUEST_TYPE = {READ_ONLY: t.READ_ONLY, "changing": t.ONCE_ONLY, "upload": t.ONCE_ONLY}
# Assumed value fraction of a response past its latency target, which the protocol does not convey.
_OVERDUE_VALUE_FRACTION = 0.3
_MAX_ATTEMPTS = 8  # upper bound, also if a route allows more
_MAX_RETRY_AFTER_NS = 2 * SEC
_MIN_INPUT_GAP_NS = MS  # minimum gap between two inputs of a `choice.Node`
_SLOW_START_FRACTION = 0.2
_NO_PLAN = t.Plan(0.0, 0.0, 0, 0.0, 0.0, 0.0, 0.0)  # the limiter enforces quotas, so `choice.py` needs no plan


def product_of(request_type: str, latency_target_ns: int) -> t.Product:
    """The decision parameters of a route's requests.

    `latency_target_ns`: the time within which a response has its full value."""
    return t.Product(
        kind=_KIND_BY_REQUEST_TYPE[request_type],
        group=t.ALL,
        latency_target=latency_target_ns,
        repeat_window=0,
        late_value_share=_OVERDUE_VALUE_FRACTION,
    )


def node_terms(guarantees: Guarantees, proxy_count: int) -> t.Terms:
    """The terms of a service's `choice.Node`, without products, which are added when a route first needs them."""
    return t.Terms(
        products=[],
        plans=[_NO_PLAN],
        nodes=1,
        max_submissions=_MAX_ATTEMPTS,
        may_probe=False,
        may_cancel=True,
        has_counter=False,
        counter_timeout=0,
        max_units=1.0,
        subscribes=False,
        max_retry_after=_MAX_RETRY_AFTER_NS,
        min_input_gap=_MIN_INPUT_GAP_NS,
        cold_share=_SLOW_START_FRACTION,
        warm_up=DEFAULT_WARM_UP_NS,
        cold_overload_factor=2.0,
        cold_overload_after=SEC,
        reports_load=True,
        may_duplicate=True,
        retry_budget=retry_budget(guarantees, proxy_count),
    )
