"""The versions of the state and of the server list that a node holds, and their encoding as differences.

The disseminator decides which node gets which data; the data that it sends and receives are these snapshots. Both the
serving process and the model of a growing fleet (`simulation/fleet_growth.py`) use this module.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..membership import endpoint_codec
from ..membership.deltas import StateHistory

if TYPE_CHECKING:
    from ..consensus.state import State
    from ..membership.deltas import Packed
    from ..membership.endpoint_list import EndpointList


class Snapshots:
    """The newest state and list, and the earlier versions that differences are based on."""

    def __init__(self) -> None:
        """Start without a state and a list."""
        self.state: State | None = None
        self.servers: EndpointList | None = None
        self._states = StateHistory()
        self._lists = endpoint_codec.endpoint_history()

    def put_state(self, state: State) -> None:
        """Store a newer state."""
        self.state = state
        self._states.add(state)

    def put_endpoints(self, servers: EndpointList) -> None:
        """Store a newer list."""
        self.servers = servers
        self._lists.add(servers.version, servers.endpoints)

    # ---- to other nodes

    def encode_state(self, since: int) -> Packed:
        """Return the state, packed for a node that holds the state of index `since`."""
        return self._states.encode_since(since)

    def encode_endpoints(self, now: int, since: int) -> Packed:
        """Return the list, packed for a node that holds version `since`; `now` in ns."""
        assert self.servers is not None  # without a list, no other node's list is older
        return endpoint_codec.encode_since(self.servers, now, self._lists, since)

    def can_diff_state_from(self, index: int) -> bool:
        """Return whether a difference suffices for a node that holds the state of `index`."""
        return self._states.can_diff_from(index)

    def can_diff_endpoints_from(self, version: int) -> bool:
        """Return whether a difference suffices for a node that holds `version` of the list."""
        return self._lists.can_diff_from(version)

    def state_size_bytes(self) -> int:
        """Return the size of the state's body in bytes."""
        return len(self.state.body) if self.state is not None else 0

    # ---- from other nodes

    def decode_state(self, packed: Packed, current_index: int) -> State | None:
        """Return the state that another node packed, or None if it is not newer than `current_index`.

        Raises `membership.deltas.DeltaMismatchError` if the difference is based on an unknown version, and ValueError
        if it is not a valid state.
        """
        return self._states.decode_since(packed, current_index)

    def decode_endpoints(self, packed: Packed, now: int, current_version: int) -> EndpointList | None:
        """Return the list that another node packed, or None if it is not newer than `current_version`.

        Raises like `decode_state`.
        """
        return endpoint_codec.decode_since(packed, now, self._lists, current_version)
