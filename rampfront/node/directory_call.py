"""The directory, in which clients look up the fronts to connect to (PROTOCOL.md, "How clients arrive")."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..net.http_messages import error_response, json_response
from ..net.http_routing import endpoint

if TYPE_CHECKING:
    from random import Random

    from ..membership.dissemination import Disseminator
    from ..net.http_messages import IncomingRequest, Response
    from ..settings.process_settings import ProcessSettings

MS, SEC = 10**6, 10**9
TTL_NS = 2 * SEC  # how long a client may keep an answer
MAX_ADDRESSES = 64  # of an answer
MAX_SPARE_ADDRESSES = 2  # fronts of the client's region that are added to those of its zone
MAX_REPEATS = 16  # how often each front of the client's zone is listed if spare ones are added
MIN_NEAR_ADDRESSES = 2  # with fewer fronts in the client's zone, all fronts of its region are listed
RETRY_SHORTLY = ((b"Retry-After", b"0.3"),)


class Directory:
    """The call by which clients find a front."""

    def __init__(self, disseminator: Disseminator, process_settings: ProcessSettings, rng: Random) -> None:
        """`disseminator` knows the roster, `process_settings` the region of each zone."""
        self._disseminator = disseminator
        self._zones = process_settings.zones
        self._rng = rng
        self._ttl = min(TTL_NS, process_settings.guarantees.ttl_max)

    @endpoint("GET", "/api/lookup")
    def lookup(self, request: IncomingRequest) -> Response:
        """Return ready fronts, mainly of the client's zone; without enough there, of its region, else of any region.

        Near fronts are preferred because traffic between zones and between regions costs money.
        """
        fronts = [entry for entry in self._disseminator.roster if entry.front and entry.ready]
        if not fronts:
            return error_response(503, "no front is known to be ready", RETRY_SHORTLY)
        zone, region = request.query.get("Zone"), request.query.get("Region")
        near = [entry.front for entry in fronts if entry.zone == zone]
        spare = [entry.front for entry in fronts if entry.zone != zone and self._zones.get(entry.zone) == region]
        if len(near) < MIN_NEAR_ADDRESSES:
            near = near + spare or [entry.front for entry in fronts]
            spare = []
        return json_response({"Addresses": self._choose(near, spare), "Ttl": f"{self._ttl // MS}ms"})

    def _choose(self, near: list[str], spare: list[str]) -> list[str]:
        """Return the addresses for one client.

        A few fronts of its region are added, so that the client can still connect if its zone fails before it looks up
        the directory again. Clients choose at random, so each front of the zone is listed several times: while the zone
        works, spare fronts are then rarely used.
        """
        if len(near) > MAX_ADDRESSES - MAX_SPARE_ADDRESSES:
            near = self._rng.sample(near, MAX_ADDRESSES - MAX_SPARE_ADDRESSES)
        if not spare:
            return near
        repeats = min(MAX_REPEATS, (MAX_ADDRESSES - MAX_SPARE_ADDRESSES) // len(near))
        return near * repeats + spare[:MAX_SPARE_ADDRESSES]
