"""The platform's list of servers at this node: the leader polls it and numbers it, every node puts it into force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import log_events

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..membership.deltas import Packed
    from ..membership.dissemination import Disseminator
    from ..membership.endpoint_list import EndpointList
    from ..membership.endpoint_list_poller import Poller
    from ..membership.health_registry import HealthRegistry
    from ..proxy.request_proxy import RequestProxy
    from .context import NodeContext
    from .core_driver import CoreDriver


class ServerListService:
    """Polls while this node leads, and installs the lists that come, of its own polls or from other nodes."""

    def __init__(
        self,
        context: NodeContext,
        core: CoreDriver,
        disseminator: Disseminator,
        request_proxy: RequestProxy,
        health_registry: HealthRegistry,
    ) -> None:
        """Build it over the parts that act by the list. `use_platform` names the platform, where there is one."""
        self._context = context
        self._snapshots = context.snapshots
        self._core = core
        self._disseminator = disseminator
        self._request_proxy = request_proxy
        self._health_registry = health_registry
        self._is_polling = False
        self._address: tuple[str, int]
        self._make_poller: Callable[[tuple[str, int]], Poller] | None = None
        self._poller: Poller | None = None

    def use_platform(self, address: tuple[str, int], make_poller: Callable[[tuple[str, int]], Poller]) -> None:
        """Poll the platform at this address. A poller calls `on_polled` and `on_poll_failed`."""
        self._address = address
        self._make_poller = make_poller

    @property
    def poller(self) -> Poller | None:
        """What polls the platform, made when first asked for: only a member of the core ever leads, and the modules
        need not be loaded elsewhere. None where there is no platform."""
        self.prepare_to_poll()
        return self._poller

    def prepare_to_poll(self) -> None:
        """Make the poller now, at a node that may come to lead: a new leader has no time to load modules."""
        if self._poller is None and self._make_poller is not None:
            self._poller = self._make_poller(self._address)

    def poll_while(self, leads: bool) -> None:
        """Start or stop polling, where that has to change."""
        if leads == self._is_polling or (poller := self.poller) is None:
            return
        self._is_polling = leads
        if leads:
            poller.start()
        else:
            poller.stop()

    def move_platform(self, address: tuple[str, int]) -> None:
        """Poll at another address from now on."""
        self._address = address
        if self._poller is not None:
            self._poller.change_address(address)

    def on_polled(self, servers: EndpointList) -> None:
        """Take a complete list from the platform: the leader numbers it, and passes on what differs.

        The same rows are news if an older leader gave out a number above ours: whoever holds that one would keep it.
        """
        now, old = self._context.clock(), self._snapshots.servers
        self._context.counts["server_lists"] += 1
        self._core.step_down_if_overdue(now)
        disseminator = self._disseminator
        is_same = old is not None and old.endpoints == servers.endpoints
        if not disseminator.is_leader or is_same and not disseminator.must_renumber_endpoints:
            return
        self.install(servers._replace(version=disseminator.number_endpoints()))
        disseminator.push_updates(now)

    def on_poll_failed(self, reason: str) -> None:
        """Count a round that brought no list."""
        self._context.counts["server_lists_failed"] += 1
        self._context.log.record_limited(log_events.SERVER_LIST_POLL_FAILED, "platform", error=reason)

    def receive(self, packed: Packed, now: int) -> None:
        """Take a list from another node's packed values. Raises like `Snapshots.decode_endpoints`."""
        servers = self._snapshots.decode_endpoints(packed, now, self._disseminator.endpoints_version)
        if not self._disseminator.is_leader and servers is not None:
            self.install(servers)

    def install(self, servers: EndpointList) -> None:
        """Put a list into force here."""
        self._disseminator.endpoints_changed(servers.version)
        self._snapshots.put_endpoints(servers)
        self._request_proxy.apply_server_list(servers)
        self._health_registry.set_servers((row.id, row.zone) for row in servers.endpoints)
