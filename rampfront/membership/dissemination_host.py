"""The interface that the dissemination requires of the process around it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

from .deltas import Packed


class DisseminationHost(Protocol):
    """The process around a `Disseminator`: its network, and its replicas of the state and the endpoint list."""

    def send(self, ip: str, message: dict[str, Any]) -> None:
        """Sends a frame, which may be lost."""

    def send_all(self, ips: Sequence[str], message: dict[str, Any]) -> None:
        """Sends the same frame to several nodes."""

    def can_diff_state_from(self, index: int) -> bool:
        """Whether a node that holds the state of `index` can be sent less than the complete state."""

    def can_diff_endpoints_from(self, version: int) -> bool:
        """Whether a node that holds the endpoint list `version` can be sent less than the complete list."""

    def state_size_bytes(self) -> int:
        """Size of the complete state's body, in bytes."""

    def encode_state(self, since: int) -> Packed:
        """Encodes the state for a node that holds the one of index `since`."""

    def encode_endpoints(self, now: int, since: int) -> Packed:
        """Encodes the endpoint list for a node that holds version `since`."""

    def on_state(self, packed: Packed, now: int) -> None:
        """Applies a state if it is newer. Raises DeltaMismatchError, and ValueError if it is not valid."""

    def on_endpoints(self, packed: Packed, now: int) -> None:
        """Applies an endpoint list if it is newer. Raises DeltaMismatchError, and ValueError if it is not valid."""

    def on_roster(self) -> None:
        """Notifies the host that the roster has changed."""
