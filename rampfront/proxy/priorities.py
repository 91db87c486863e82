"""Ranks requests by precedence when capacity is short, from the priorities of their customer and route. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..settings.configuration import Configuration

_HIGHEST_RANK = 0.0


class PriorityRanks:
    """The ranks of one configuration, computed once.

    A customer's priority takes precedence over the route's (PROTOCOL.md, "Requests"). A request without a customer is
    ranked by its route alone, as if its customer had the middle priority."""

    def __init__(self, configuration: Configuration) -> None:
        """Computes the rank of every pair of priorities in the configuration."""
        customer_priorities = _in_order(customer.priority for customer in configuration.customers_by_name.values())
        route_priorities = _in_order(
            route.priority for rulebook in configuration.hosts.values() for route in rulebook.routes.values()
        )
        last_rank = max(1, len(customer_priorities) * len(route_priorities) - 1)
        self._middle_priority = customer_priorities[len(customer_priorities) // 2]
        self._ranks = {
            (customer, route): (customer_index * len(route_priorities) + route_index) / last_rank
            for customer_index, customer in enumerate(customer_priorities)
            for route_index, route in enumerate(route_priorities)
        }

    def rank(self, route_priority: int, customer_priority: int | None) -> float:
        """The rank, from 0 (highest precedence) to 1 (yields first). `customer_priority`: None without a customer.

        Priorities that the configuration does not have get rank 0."""
        customer = self._middle_priority if customer_priority is None else customer_priority
        return self._ranks.get((customer, route_priority), _HIGHEST_RANK)


def _in_order(priorities: Iterable[int]) -> list[int]:
    """The distinct priorities, the highest (smallest) first; only 0 if there are none."""
    return sorted(set(priorities)) or [0]
