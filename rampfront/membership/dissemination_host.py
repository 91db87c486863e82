"""What the dissemination needs of the process around it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

from .deltas import Packed


class DisseminationHost(Protocol):
    """The process around a `Disseminator`: its network, and the state and the endpoint list that it holds."""

    def send(self, ip: str, message: dict[str, Any]) -> None:
        """Sends a frame; it may be lost."""

    def send_all(self, ips: Sequence[str], message: dict[str, Any]) -> None:
        """Sends the same frame to many."""

    def can_diff_state_from(self, index: int) -> bool:
        """Whether a node that holds the state of `index` can be sent less than the complete state."""

    def can_diff_endpoints_from(self, version: int) -> bool:
        """Whether a node that holds the endpoint list `version` can be sent less than the complete list."""

    def state_size_bytes(self) -> int:
        """Size of the complete state's body."""

    def encode_state(self, since: int) -> Packed:
        """The state, for a node that holds the one of index `since`."""

    def encode_endpoints(self, now: int, since: int) -> Packed:
        """The endpoint list, for a node that holds version `since`."""

    def on_state(self, packed: Packed, now: int) -> None:
        """Takes over a state if it is newer. Raises DeltaMismatchError, and ValueError for what is none."""

    def on_endpoints(self, packed: Packed, now: int) -> None:
        """Takes over an endpoint list if it is newer. Raises DeltaMismatchError, and ValueError for what is none."""

    def on_roster(self) -> None:
        """The roster has changed."""
