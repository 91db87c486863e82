"""Makes responses and pushes for nodes that hold less, and decides whether to send them. No I/O, no clock."""

from __future__ import annotations

from .dissemination_host import DisseminationHost
from .leadership import Leadership
from .messages import Heartbeat, StateResponse, encode_roster_update, new_tuple
from .roster import Roster
from .transfer_budget import MAX_FOLLOWER_FULL_TRANSFERS, TransferBudget, leader_limit
from .versions import ReplicaVersions


class Responder:
    """Makes responses and pushes; sends nothing itself."""

    def __init__(self, host: DisseminationHost, leadership: Leadership, roster: Roster) -> None:
        """Takes the parts of the node from which responses are made."""
        self._host = host
        self._leadership = leadership
        self._roster = roster
        self._budget = TransferBudget()

    def start_tick(self, now: int) -> None:
        """Resets the budget of full transfers for the next tick."""
        self._budget.start_tick(now)

    def may_send(self, ip: str, own: ReplicaVersions, receiver: ReplicaVersions, now: int) -> bool:
        """Whether a response may be sent to a node now. Reserves a full transfer if one is needed.

        Args:
            ip: address of the receiver.
            own: versions that this node holds.
            receiver: versions that the receiver holds.
            now: ns.
        """
        lacks_state = receiver.state_index < own.state_index
        lacks_endpoints = receiver.endpoints_version < own.endpoints_version
        full_state = lacks_state and not self._host.can_diff_state_from(receiver.state_index)
        full_endpoints = lacks_endpoints and not self._host.can_diff_endpoints_from(receiver.endpoints_version)
        if not full_state and not full_endpoints:
            return True
        is_leader = self._leadership.is_leader
        limit = leader_limit(len(self._roster.entries)) if is_leader else MAX_FOLLOWER_FULL_TRANSFERS
        state_bytes = self._host.state_size_bytes() if full_state else None
        return self._budget.begin(ip, now, state_bytes, full_endpoints, limit)

    def update(self, own: ReplicaVersions, receiver: ReplicaVersions, now: int) -> StateResponse:
        """Makes a push to a node that holds `receiver`. It proves no age, since it answers no request."""
        return self.response(own, Heartbeat(receiver, 0, None), now)

    def response(self, own: ReplicaVersions, heartbeat: Heartbeat, now: int) -> StateResponse:
        """Makes the response to a heartbeat: the data of `own` that its sender lacks, and its maximum age."""
        leadership = self._leadership
        leader = leadership.leader or ""
        term = leadership.term
        age_ns = leadership.age_ns(now)
        if age_ns is None:
            # Data from the disk of an earlier process may be hundreds of versions old, so it is not passed on.
            return StateResponse(leader, term, heartbeat.sent_at_ns, incarnation=heartbeat.incarnation)
        versions = heartbeat.versions
        state = endpoints = roster = None
        if versions.state_index < own.state_index:
            state = self._host.encode_state(versions.state_index)
        if versions.endpoints_version < own.endpoints_version:
            endpoints = self._host.encode_endpoints(now, versions.endpoints_version)
        if versions.roster_version < own.roster_version:
            roster = encode_roster_update(self._roster.update_since(versions.roster_version))
        if not own.state_index:
            age_ns = None  # without a state, nothing has an age
        parts = (state, endpoints, roster)
        return new_tuple(StateResponse, (leader, term, heartbeat.sent_at_ns, age_ns, *parts, heartbeat.incarnation))
