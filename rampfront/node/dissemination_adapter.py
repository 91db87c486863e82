"""Connects the disseminator to the node's other parts.

`membership.dissemination.Disseminator` is a protocol without I/O. It asks its host for the data to send, and passes it
the data that was received; this adapter is that host.
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
        """Build the adapter. `attach` adds the disseminator, which depends on it, and the other parts."""
        self.send = context.wire.send  # assigned directly to save a call: used for every heartbeat
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
        """Set the disseminator, and the parts that receive its events."""
        self._disseminator = disseminator
        self._replicated_state = replicated_state
        self._server_list = server_list
        self._quota_exchange = quota_exchange
        self._readiness = readiness

    def set_core(self, core: CoreDriver) -> None:
        """Set the driver of this node's core member, which stores the addresses of all nodes on disk."""
        self._core = core

    # ---- frames to the disseminator (heartbeats go to it directly)

    def on_state_response(self, ip: str, frame: Message, now: int) -> None:
        """Handle another node's answer with missing data, which may make this node ready."""
        self._disseminator.on_state_response(ip, frame, now)
        self._readiness.update(now)

    # ---- data to send

    def encode_state(self, since: int) -> Packed:
        """Return the state, packed for a node that holds the state of index `since`."""
        return self._snapshots.encode_state(since)

    def encode_endpoints(self, now: int, since: int) -> Packed:
        """Return the server list, packed for a node that holds version `since`."""
        return self._snapshots.encode_endpoints(now, since)

    def can_diff_state_from(self, index: int) -> bool:
        """Return whether a difference suffices for a node that holds the state of `index`."""
        return self._snapshots.can_diff_state_from(index)

    def can_diff_endpoints_from(self, version: int) -> bool:
        """Return whether a difference suffices for a node that holds `version` of the list."""
        return self._snapshots.can_diff_endpoints_from(version)

    def state_size_bytes(self) -> int:
        """Return the size of the state's body in bytes."""
        return self._snapshots.state_size_bytes()

    # ---- received data

    def on_state(self, packed: Packed, now: int) -> None:
        """Handle a state. Raises `membership.deltas.DeltaMismatchError`, and ValueError if it is not valid."""
        self._replicated_state.receive(packed)

    def on_endpoints(self, packed: Packed, now: int) -> None:
        """Handle a server list. Raises like `on_state`."""
        self._server_list.receive(packed, now)

    def on_roster(self) -> None:
        """Handle a change of the roster.

        Updates the number of proxies and the placement of the quota counter, and stores the nodes' addresses, which
        this node contacts after a restart, and the leader if they fall silent.
        """
        count = max(1, sum(entry.ready for entry in self._disseminator.roster))
        self._quota_exchange.update_proxy_count(count)
        if self._core.has_member:
            self._core.remember_nodes([entry.ip for entry in self._disseminator.roster])
            self._disseminator.remember_nodes(self._core.remembered_nodes)
