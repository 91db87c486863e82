"""This proxy's shares of the fleet-wide budgets: retries and hedges, and requests to servers in slow start.

The proxies do not coordinate: the shares are sized such that their sum over all proxies stays within the fleet's
bound, even if some proxies are partitioned from the others. `docs/system/budgets.md` has the calculation. The shares
are set as attributes of the service's `choice.Node`, which spends them; no other module sets them.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, NamedTuple

from .slow_start import DEFAULT_WARM_UP_NS

if TYPE_CHECKING:
    from ..choice import Node
    from ..settings.configuration import Service
    from ..settings.settings_file import Guarantees

# Fractions of the fleet's budgets that are distributed to the proxies; the rest is margin.
_RETRY_RATIO_FRACTION = 0.85
_EXTRA_TRIES_FRACTION = 0.8
_SLOW_START_FRACTION = 0.8
_MIN_PROXIES = 8  # lower bound on the divisor: the roster may be incomplete, and some proxies may be partitioned
_MAX_SAVED_AT_START = 1.0  # attempts: a process that has just started has earned hardly any


class RetryBudget(NamedTuple):
    """The retry budget of one proxy: attempts beyond the first one of a request."""

    earned_per_request: float
    max_saved: float


def retry_budget(guarantees: Guarantees, proxy_count: int) -> RetryBudget:
    """This proxy's share of the fleet's retry budget (RULES, BUDGET).

    The ratio applies to each proxy's own requests, so it needs no division; the savings are divided evenly."""
    return RetryBudget(
        _RETRY_RATIO_FRACTION * guarantees.retry_ratio,
        _EXTRA_TRIES_FRACTION * guarantees.extra_tries / max(proxy_count, _MIN_PROXIES),
    )


def slow_start_per_s(service: Service, proxy_count: int) -> float:
    """Requests per second that this proxy may send to one server in slow start."""
    if not service.cold_per_s:
        return inf
    return _SLOW_START_FRACTION * service.cold_per_s / max(proxy_count, _MIN_PROXIES)


def limit_initial_budget(node: Node) -> None:
    """Limits the saved retries of a process that has just started."""
    node.saved_retries = min(_MAX_SAVED_AT_START, node.saved_retries)


def set_budgets(node: Node, guarantees: Guarantees, service: Service, proxy_count: int) -> None:
    """Sets this proxy's shares after a change of the number of proxies or of the service's bounds."""
    budget = retry_budget(guarantees, proxy_count)
    node.retry_ratio = budget.earned_per_request
    node.max_saved_retries = budget.max_saved
    node.saved_retries = min(node.saved_retries, node.max_saved_retries)
    node.cold_limit = slow_start_per_s(service, proxy_count)
    node.warm_up = service.warmup or DEFAULT_WARM_UP_NS
