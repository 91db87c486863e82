"""Applies the core's committed states at this node: configuration, members of the core, evacuated zones."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from result import Err

from ..settings import configuration_reader
from . import log_events

if TYPE_CHECKING:
    from ..consensus.state import State
    from ..membership.deltas import Packed
    from ..membership.dissemination import Disseminator
    from ..proxy.client_front import ClientFront
    from ..proxy.request_proxy import RequestProxy
    from .context import NodeContext
    from .quota_exchange import QuotaExchange


class ReplicatedState:
    """The state in force at this node. It is only ever replaced by a newer one."""

    def __init__(
        self,
        context: NodeContext,
        disseminator: Disseminator,
        request_proxy: RequestProxy,
        client_front: ClientFront,
        quota_exchange: QuotaExchange,
    ) -> None:
        """Build it with the parts that use the state."""
        self._clock = context.clock
        self._log = context.log
        self._snapshots = context.snapshots
        self._disseminator = disseminator
        self._request_proxy = request_proxy
        self._client_front = client_front
        self._quota_exchange = quota_exchange

    @property
    def state(self) -> State | None:
        """The state in force; None until the first state arrives."""
        return self._snapshots.state

    def receive(self, packed: Packed) -> None:
        """Apply a state received from another node. Raises like `Snapshots.decode_state`."""
        state = self._snapshots.decode_state(packed, self._disseminator.state_index)
        if state is not None:
            self.apply(state)

    def apply(self, state: State) -> None:
        """Apply a state, unless it or a newer one is in force: a late or repeated update changes nothing."""
        old = self._snapshots.state
        if old is not None and state.index <= old.index:
            return
        self._snapshots.put_state(state)
        self._disseminator.state_changed(state.index)
        if state.revision and (old is None or state.revision != old.revision):
            self._apply_configuration(state)
        if old is None or old.members != state.members:
            self._log.record(log_events.CORE_MEMBERS_CHANGED, members=sorted(state.members))
            self._quota_exchange.update_placement()
        if old is None or old.evacuated_zones != state.evacuated_zones:
            self._log.record(log_events.EVACUATIONS_CHANGED, zones=sorted(state.evacuated_zones))
            self._request_proxy.apply_evacuations(state.evacuated_zones)
        if self._disseminator.is_leader:
            self._disseminator.push_updates(self._clock())

    def _apply_configuration(self, state: State) -> None:
        found = configuration_reader.read(zlib.decompress(state.body))
        if isinstance(found, Err):
            self._log.record(log_events.CONFIGURATION_UNREADABLE, revision=state.revision, error=found.err_value)
            return
        configuration = found.ok_value
        self._log.record(log_events.CONFIGURATION_APPLIED, revision=state.revision)
        self._client_front.apply_caps(configuration.caps)
        self._check_memory(configuration.caps.body_bytes)
        self._request_proxy.apply_configuration(configuration)
        self._quota_exchange.apply_limits(configuration.customers_by_name)

    def _check_memory(self, max_body_bytes: int) -> None:
        """Log that the configuration allows larger bodies than the machine has memory for."""
        memory_bytes = self._client_front.memory.largest_charge_bytes
        if max_body_bytes > memory_bytes:
            self._log.record(log_events.BODIES_TOO_LARGE, max_body_bytes=max_body_bytes, memory_bytes=memory_bytes)
