"""This proxy's part of the budgets that all proxies share: further attempts, and requests to servers in slow start.

No proxy asks another: a part is such that the sum over all proxies keeps the fleet's bound, whoever is cut off.
`docs/system/budgets.md` has the reckoning. The parts are set as attributes of the service's `choice.Node`, which spends
them; no other module sets them.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, NamedTuple

from .slow_start import DEFAULT_WARM_UP_NS

if TYPE_CHECKING:
    from ..choice import Node
    from ..settings.configuration import Service
    from ..settings.settings_file import Guarantees

# Parts of the fleet's budgets that are used; the rest is margin.
_RETRY_RATIO_PART = 0.85
_EXTRA_TRIES_PART = 0.8
_SLOW_START_PART = 0.8
_MIN_PROXIES = 8  # counted at least: the roster may not be complete yet, and some may be cut off
_MAX_SAVED_AT_START = 1.0  # further attempts that a process may make at its start: it has earned next to none


class RetryBudget(NamedTuple):
    """Further attempts of one proxy."""

    earned_per_request: float
    max_saved: float


def retry_budget(guarantees: Guarantees, proxy_count: int) -> RetryBudget:
    """This proxy's part of the fleet's retry budget (RULES, BUDGET): rates add up by themselves, savings are an even
    part each."""
    return RetryBudget(
        _RETRY_RATIO_PART * guarantees.retry_ratio,
        _EXTRA_TRIES_PART * guarantees.extra_tries / max(proxy_count, _MIN_PROXIES),
    )


def slow_start_per_s(service: Service, proxy_count: int) -> float:
    """Requests a second that this proxy may send to one server in slow start."""
    if not service.cold_per_s:
        return inf
    return _SLOW_START_PART * service.cold_per_s / max(proxy_count, _MIN_PROXIES)


def limit_initial_budget(node: Node) -> None:
    """A process that has just started begins with next to no further attempts saved up."""
    node.saved_retries = min(_MAX_SAVED_AT_START, node.saved_retries)


def set_budgets(node: Node, guarantees: Guarantees, service: Service, proxy_count: int) -> None:
    """The fleet has another number of proxies, or the service other bounds: sets this proxy's parts."""
    budget = retry_budget(guarantees, proxy_count)
    node.retry_ratio = budget.earned_per_request
    node.max_saved_retries = budget.max_saved
    node.saved_retries = min(node.saved_retries, node.max_saved_retries)
    node.cold_limit = slow_start_per_s(service, proxy_count)
    node.warm_up = service.warmup or DEFAULT_WARM_UP_NS
