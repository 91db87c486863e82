"""The platform's server list at this node: the leader polls and numbers it, every node applies it."""

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
    """Polls while this node leads, and applies lists from its own polls or from other nodes."""

    def __init__(
        self,
        context: NodeContext,
        core: CoreDriver,
        disseminator: Disseminator,
        request_proxy: RequestProxy,
        health_registry: HealthRegistry,
    ) -> None:
        """Build it with the parts that use the list. `set_platform` sets the platform's address, if there is one."""
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

    def set_platform(self, address: tuple[str, int], make_poller: Callable[[tuple[str, int]], Poller]) -> None:
        """Poll the platform at this address. The poller calls `on_polled` and `on_poll_failed`."""
        self._address = address
        self._make_poller = make_poller

    @property
    def poller(self) -> Poller | None:
        """The poller of the platform, created on first use; None without a platform.

        It is created late because only a member of the core can lead, and its modules need not be loaded elsewhere.
        """
        self.prepare_to_poll()
        return self._poller

    def prepare_to_poll(self) -> None:
        """Create the poller now, on a node that may become the leader: a new leader has no time to load modules."""
        if self._poller is None and self._make_poller is not None:
            self._poller = self._make_poller(self._address)

    def set_polling(self, enabled: bool) -> None:
        """Start or stop polling, if needed."""
        if enabled == self._is_polling or (poller := self.poller) is None:
            return
        self._is_polling = enabled
        if enabled:
            poller.start()
        else:
            poller.stop()

    def change_platform_address(self, address: tuple[str, int]) -> None:
        """Poll at another address from now on."""
        self._address = address
        if self._poller is not None:
            self._poller.change_address(address)

    def on_polled(self, servers: EndpointList) -> None:
        """Handle a complete list from the platform: the leader numbers and distributes it if it has changed.

        An unchanged list is renumbered if an older leader has issued a higher number: nodes that hold that number
        would otherwise keep their list.
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
        """Count and log a failed poll."""
        self._context.counts["server_lists_failed"] += 1
        self._context.log.record_limited(log_events.SERVER_LIST_POLL_FAILED, "platform", error=reason)

    def receive(self, packed: Packed, now: int) -> None:
        """Handle a list received from another node. Raises like `Snapshots.decode_endpoints`."""
        servers = self._snapshots.decode_endpoints(packed, now, self._disseminator.endpoints_version)
        if not self._disseminator.is_leader and servers is not None:
            self.install(servers)

    def install(self, servers: EndpointList) -> None:
        """Apply a list at this node."""
        self._disseminator.endpoints_changed(servers.version)
        self._snapshots.put_endpoints(servers)
        self._request_proxy.apply_server_list(servers)
        self._health_registry.set_servers((row.id, row.zone) for row in servers.endpoints)
