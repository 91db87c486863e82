"""Joins the disseminator to the node: its frames and its news come and go through here.

`membership.dissemination.Disseminator` is a protocol without I/O. It asks its host for what is passed on and gives it
what arrived; this adapter is that host.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..membership.deltas import Packed
    from ..membership.dissemination import Disseminator
    from ..transport.frames import Message
    from .context import NodeContext
    from .core_driver import CoreDriver
    from .quota_exchange import QuotaExchange
    from .readiness import Readiness
    from .replicated_state import ReplicatedState
    from .server_list_service import ServerListService


class DisseminationAdapter:
    """The host of this node's disseminator (`DisseminationHost`)."""

    def __init__(self, context: NodeContext) -> None:
        """The disseminator needs its host to be built, and the other parts need the disseminator: see `attach`."""
        self.send = context.wire.send  # a frame to one node, and to many: as often as heartbeats, so without a detour
        self.send_all = context.wire.send_all
        self._snapshots = context.snapshots
        self._disseminator: Disseminator
        self._core: CoreDriver
        self._replicated_state: ReplicatedState
        self._server_list: ServerListService
        self._quota_exchange: QuotaExchange
        self._readiness: Readiness

    def attach(
        self,
        disseminator: Disseminator,
        replicated_state: ReplicatedState,
        server_list: ServerListService,
        quota_exchange: QuotaExchange,
        readiness: Readiness,
    ) -> None:
        """Name the disseminator, and the parts that get its news."""
        self._disseminator = disseminator
        self._replicated_state = replicated_state
        self._server_list = server_list
        self._quota_exchange = quota_exchange
        self._readiness = readiness

    def use_core(self, core: CoreDriver) -> None:
        """Name the member of the core beside this node, which keeps the addresses of all nodes on its disk."""
        self._core = core

    # ---- frames to the disseminator (heartbeats go to it directly)

    def on_state_response(self, ip: str, frame: Message, now: int) -> None:
        """Another node answers with what we lack, which may make this node ready."""
        self._disseminator.on_state_response(ip, frame, now)
        self._readiness.update(now)

    # ---- what it passes on

    def encode_state(self, since: int) -> Packed:
        """Return the state, packed for a node that holds the one of index `since`."""
        return self._snapshots.encode_state(since)

    def encode_endpoints(self, now: int, since: int) -> Packed:
        """Return the list of servers, packed for a node that holds version `since`."""
        return self._snapshots.encode_endpoints(now, since)

    def can_diff_state_from(self, index: int) -> bool:
        """Return whether a node that holds the state of `index` needs less than the complete one."""
        return self._snapshots.can_diff_state_from(index)

    def can_diff_endpoints_from(self, version: int) -> bool:
        """Return whether a node that holds `version` of the list needs less than the complete one."""
        return self._snapshots.can_diff_endpoints_from(version)

    def state_size_bytes(self) -> int:
        """Return the bytes of the state's body."""
        return self._snapshots.state_size_bytes()

    # ---- what it takes in

    def on_state(self, packed: Packed, now: int) -> None:
        """Take a state. Raises `membership.deltas.DeltaMismatchError`, and ValueError for what is no state."""
        self._replicated_state.receive(packed)

    def on_endpoints(self, packed: Packed, now: int) -> None:
        """Take a list of servers. Raises like `on_state`."""
        self._server_list.receive(packed, now)

    def on_roster(self) -> None:
        """Take over how many proxies serve, where the counter of quotas is, and whom to look for behind a restart."""
        count = max(1, sum(entry.ready for entry in self._disseminator.roster))
        self._quota_exchange.update_proxy_count(count)
        if self._core.has_member:
            self._core.remember_nodes([entry.ip for entry in self._disseminator.roster])
