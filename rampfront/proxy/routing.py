"""Routing of a request: selects the service by the route's weights, and the zones by home regions. No I/O.

`choice.py` selects the server itself, among the service's servers in these zones.
"""

from collections.abc import Mapping, Sequence
from random import Random

from ..settings.configuration import Customer, Route


def pick_service(service_weights: Sequence[tuple[str, float]], rng: Random) -> str:
    """Selects a request's service by weight. Draws one random number if there are several services, else none."""
    if len(service_weights) == 1:
        return service_weights[0][0]
    return rng.choices([name for name, _ in service_weights], [weight for _, weight in service_weights])[0]


class HomeZones:
    """Determines the zones whose servers may get a request, from the home regions of its route and its customer."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        """`zones`: region by zone. Zones are identified by an index; new ones are numbered in name order."""
        self.zone_index: dict[str, int] = {}
        self._zones_by_region: dict[str, set[int]] = {}
        # Cache: home regions of route and customer to the allowed zones. Small; cleared by each configuration.
        self._allowed_by_homes: dict[tuple[frozenset[str], frozenset[str]], frozenset[int]] = {}
        self.add(zones)

    def add(self, zones: Mapping[str, str]) -> bool:
        """Adds the zones that are new, each with its region. Returns whether there was one."""
        new = sorted(zones.keys() - self.zone_index.keys())
        for zone in new:
            index = self.zone_index[zone] = len(self.zone_index)
            self._zones_by_region.setdefault(zones[zone], set()).add(index)
        self.clear()
        return bool(new)

    def clear(self) -> None:
        """Clears the cache, which holds for one configuration."""
        self._allowed_by_homes = {}

    def allowed(self, route: Route, customer: Customer | None) -> frozenset[int] | None:
        """The indices of the allowed zones; None for all. If route and customer both have home regions, both apply."""
        homes = route.home_regions, customer.home_regions if customer else frozenset()
        if not homes[0] and not homes[1]:
            return None
        allowed = self._allowed_by_homes.get(homes)
        if allowed is None:
            allowed = self._allowed_by_homes[homes] = self._intersect(homes)
        return allowed

    def _intersect(self, homes: tuple[frozenset[str], frozenset[str]]) -> frozenset[int]:
        """The zones that are in all of these sets of regions; an empty set means all regions."""
        allowed = set(self.zone_index.values())
        for regions in homes:
            if regions:
                allowed &= set().union(*(self._zones_by_region.get(region, ()) for region in regions))
        return frozenset(allowed)
