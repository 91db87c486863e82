"""Where a request may go: the service by the route's weights, the zones by home regions. No I/O.

The server itself is picked by `choice.py`, among those of the service that stand in these zones.
"""

from collections.abc import Mapping, Sequence
from random import Random

from ..settings.configuration import Customer, Route


def pick_service(service_weights: Sequence[tuple[str, float]], draw: Random) -> str:
    """The service of one request, by weight. Draws once if there are several, otherwise not at all."""
    if len(service_weights) == 1:
        return service_weights[0][0]
    return draw.choices([name for name, _ in service_weights], [weight for _, weight in service_weights])[0]


class HomeZones:
    """The zones whose servers may get a request, by the home regions of its route and its customer."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        """`zones`: each zone's region. A zone is known by its index from here on: they are counted by name."""
        self.zone_index: dict[str, int] = {}
        self._zones_by_region: dict[str, set[int]] = {}
        # Home regions of route and customer to the zones that they leave: a handful, emptied by each configuration.
        self._found: dict[tuple[frozenset[str], frozenset[str]], frozenset[int]] = {}
        self.add(zones)

    def add(self, zones: Mapping[str, str]) -> bool:
        """Takes up zones that are new, each with its region. Returns whether there was one."""
        new = sorted(zones.keys() - self.zone_index.keys())
        for zone in new:
            index = self.zone_index[zone] = len(self.zone_index)
            self._zones_by_region.setdefault(zones[zone], set()).add(index)
        self.clear()
        return bool(new)

    def clear(self) -> None:
        """Forgets what was found under the former configuration."""
        self._found = {}

    def allowed(self, route: Route, customer: Customer | None) -> frozenset[int] | None:
        """The zones' indices, or None for all. Where route and customer both have home regions, each binds."""
        homes = route.home_regions, customer.home_regions if customer else frozenset()
        if not homes[0] and not homes[1]:
            return None
        found = self._found.get(homes)
        if found is None:
            found = self._found[homes] = self._intersect(homes)
        return found

    def _intersect(self, homes: tuple[frozenset[str], frozenset[str]]) -> frozenset[int]:
        """The zones in all of these sets of regions; an empty set stands for all regions."""
        allowed = set(self.zone_index.values())
        for regions in homes:
            if regions:
                allowed &= set().union(*(self._zones_by_region.get(region, ()) for region in regions))
        return frozenset(allowed)
