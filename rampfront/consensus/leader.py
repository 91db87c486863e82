"""The leader role of a member: proposes entries, commits them and answers orders, for the duration of one term.

This is Raft's leader (paper, section 5.3) with a log of one entry. At most one entry is in flight, and the next one is
proposed only once it is committed; orders that arrive meanwhile are batched into the next entry. The components:
`Replication` sends entries to the other members, `HeartbeatRounds` determines whether a majority still follows,
`OrderQueue` and `OrderApplication` process orders, `MembershipChange` selects the next member to add or remove, and
`LeadershipTransfer` handles a planned handover.

Invariants:

- The entry found at the election is proposed again in the leader's own term before anything is committed or read
  (section 5.4.2).
- An entry is committed once it is on the disks of a majority; the leader counts itself only once its own write is
  durable.
- Orders and membership changes alternate, and a membership change begins only while no other one is in progress.

`Member` calls the leader and discards it when `is_expired`, `may_step_down` or `excludes_itself` is true. A leader that
is not in the member list of its own entry keeps leading until that entry is committed (section 6).
"""

from typing import Unpack

from .context import MemberContext
from .core_strength import CoreStrength, StrengthMonitor
from .electorate import Electorate
from .events import Order, OrderKind, Outcome
from .heartbeat_rounds import HeartbeatRounds
from .identifiers import SEC, MemberKey, TimeNs
from .late_orders import LATE_WINDOW_NS, LateOrderDetector
from .leader_discovery import LeaderDiscovery
from .leadership_transfer import LeadershipTransfer, most_up_to_date
from .membership_change import MembershipChange, MembershipView, Step
from .messages import AppendAcknowledged, JoinRequest, LeadershipEnded
from .order_application import OrderApplication, PendingOrder, pending_order
from .order_queue import OrderQueue
from .persistent_state import FOUNDING_TERM, PersistentState
from .replication import Replication
from .state import State, StateChanges

BOOTSTRAP_WAIT_NS = 5 * SEC  # how long an empty core waits for more members before it accepts orders


class Leader:
    """One member's leadership in one term. Its components are public only for tests."""

    def __init__(
        self,
        context: MemberContext,
        persistent: PersistentState,
        electorate: Electorate,
        discovery: LeaderDiscovery,
        join_token: int,
    ) -> None:
        """`join_token`: must be in join requests, so that delayed requests from earlier terms are ignored."""
        self.context = context
        self.persistent = persistent
        self._electorate = electorate
        self._discovery = discovery
        self.join_token = join_token
        self._began_at = context.now
        self._own = persistent.key
        self._term = persistent.term
        survive = context.settings.survive
        self.rounds = HeartbeatRounds(context.now)
        self.membership = MembershipChange(self._own, self._term, survive)
        self.replication = Replication(context, persistent, self.rounds, self.membership)
        self.strength_monitor = StrengthMonitor(self.membership, self.replication, survive)
        self._orders = OrderQueue(context, persistent)
        late_orders = LateOrderDetector(self._known_since(), context.settings.order_repeat_ns)
        self._application = OrderApplication(late_orders)
        self._transfer = LeadershipTransfer()
        self._last_entry_had_orders = False  # if so, a membership change goes before further orders

    def _known_since(self) -> TimeNs:
        """Returns since when this leader knows all accepted orders: the first one of a new core always did."""
        is_first = self._entry().term == FOUNDING_TERM
        return self._began_at - LATE_WINDOW_NS - 1 if is_first else self._began_at

    # Status.

    @property
    def quorum_confirmed_at(self) -> TimeNs | None:
        """Time up to which the local committed state contains everything that any member acknowledged.

        None until this leader has committed an entry and confirmed a round.
        """
        return self.rounds.confirmed_at if self.replication.commit_index and self.rounds.confirmed else None

    @property
    def may_step_down(self) -> bool:
        """Whether a leadership transfer has begun and the leader may step down now."""
        return self._transfer.has_begun and self._transfer.is_due(self._is_entry_committed(), self.context.now)

    @property
    def excludes_itself(self) -> bool:
        """Whether this leader's removal is committed; it may be elected while the change is still in progress."""
        return self.excludes(self._own)

    def is_expired(self, now: TimeNs) -> bool:
        """Whether no round has been confirmed for so long that another member may have become the leader."""
        return self.rounds.is_expired(now)

    def excludes(self, key: MemberKey) -> bool:
        """Whether it is committed that this incarnation is not a member, so that it may discard its votes and entry."""
        committed = self.persistent.committed
        if committed is None or self.quorum_confirmed_at is None:
            return False
        return not committed.has_member(*key) and not self._entry().has_member(*key)

    def _entry(self) -> State:
        """Returns the newest entry; a leader always has one."""
        entry = self.persistent.entry
        assert entry is not None
        return entry

    def _is_entry_committed(self) -> bool:
        """Whether the newest entry is committed."""
        return self.replication.commit_index == self._entry().index

    # Beginning and end.

    def begin(self) -> None:
        """Proposes the existing entry again in this term: a leader may commit only entries of its own term directly."""
        self.replication.remember_versions(self._entry())
        found = self._electorate.state()
        target_size = found.target_size or len(found.members)  # an older record has none
        self._propose(members=found.members, previous_members=found.previous_members, target_size=target_size)

    def begin_transfer(self) -> None:
        """Stops accepting orders; the leader steps down once its entry is committed, or after `HANDOVER_NS`."""
        self._transfer.begin(self.context.now)

    def close(self) -> None:
        """Announces the end of the leadership to all members and answers pending orders."""
        successor = self._successor()
        for key, replica in self.replication.replicas.items():
            hands_over = None if successor is None else key == successor
            message = LeadershipEnded(self._own, key.incarnation, self._term, hands_over)
            self.context.send(replica.ip, message)
        self._orders.abandon()

    def _successor(self) -> MemberKey | None:
        """Returns the member that is to start an election at once; None unless this is an orderly handover."""
        if not self.context.is_shutting_down and not self.excludes_itself:
            return None
        silent = self.replication.silent_keys()
        replicas = self.replication.replicas
        answering = {key: replica for key, replica in replicas.items() if key not in silent}
        return most_up_to_date(self._entry(), answering)

    # Rounds and acknowledgements.

    def tick(self) -> None:
        """Sends heartbeats and handles timeouts; called about ten times a second."""
        now = self.context.now
        if self.rounds.is_due(now) or self._orders.needs_round(self.rounds.current):
            self._start_round()
        self.membership.expire(now)
        self.replication.resend_overdue()
        self._orders.expire()
        self.advance_commit()
        self.strength_monitor.watch(self._entry(), self._is_entry_committed(), now)

    def acknowledged(self, message: AppendAcknowledged) -> None:
        """Handles the answer of a member or learner to a round."""
        if self.replication.acknowledged(message):
            self._confirm_rounds()
            self.advance_commit()

    def _start_round(self) -> None:
        self.rounds.start(self.context.now)
        self.replication.send_heartbeats()
        self._confirm_rounds()

    def _confirm_rounds(self) -> None:
        """Confirms the newest round that a majority answered; this leader counts as one of the majority."""
        electorate = self._electorate.state()
        self.rounds.confirm(lambda number: electorate.has_quorum({self._own, *self.replication.keys_in_round(number)}))

    # Entries.

    def _propose(self, **changes: Unpack[StateChanges]) -> None:
        """Proposes the next entry; unless `changes` has `previous_members`, it has no membership change in progress."""
        proposal: StateChanges = {"previous_members": None, **changes, "term": self._term}
        entry = self._entry().next_entry(**proposal)
        self.persistent.append(entry)
        self.replication.remember_versions(entry)
        had_replicas = self.replication.set_replicas(entry)
        self.rounds.start(self.context.now)
        self.replication.broadcast_entry(entry, is_first=not had_replicas)
        self._confirm_rounds()
        self.advance_commit()

    def advance_commit(self) -> None:
        """Commits the entry if a majority has it on disk; if it is committed, proposes the next one if there is one."""
        entry = self._entry()
        if self._is_entry_committed():
            self._answer()
            self._propose_next()
        elif not entry.has_quorum(self._keys_holding(entry)):
            self._answer()
        else:
            self.replication.commit(entry)
            self.persistent.commit(entry)
            self._answer()
            if not self._propose_next():
                self._start_round()  # sends the new commit index to the other members

    def _keys_holding(self, entry: State) -> set[MemberKey]:
        """Returns the keys of the members that have the entry on disk, including this leader if it has."""
        keys = self.replication.keys_holding(entry.position)
        durable = self.persistent.durable.entry
        if durable is not None and durable.position == entry.position:
            keys.add(self._own)
        return keys

    def _answer(self) -> None:
        self._orders.answer(self.replication.commit_index, self.rounds.confirmed)

    def _propose_next(self) -> bool:
        """Proposes the next entry if there is a reason for one; returns whether it did.

        Orders and membership changes alternate. An entry that only drops the previous member list has the lowest
        priority, since any other entry drops it as well.
        """
        if not self._is_entry_committed() or self._transfer.has_begun:
            return False
        entry = self._entry()
        orders = self._orders.waiting() if self._takes_orders() else []
        is_changing = entry.previous_members is not None
        step = self._next_step() if not orders or self._last_entry_had_orders or is_changing else None
        if step is not None:
            self._last_entry_had_orders = False
            self._propose(members=step.members, previous_members=step.previous_members, target_size=step.target_size)
        elif orders:
            self._last_entry_had_orders = True
            self._propose_orders(orders)
        elif is_changing:
            self._propose()
        else:
            return False
        return True

    def _next_step(self) -> Step | None:
        replication = self.replication
        assert replication.first_committed_at is not None
        view = MembershipView(
            self._entry(), replication.replicas, self.rounds.confirmed_at, replication.first_committed_at
        )
        return self.membership.next_step(view)

    # Orders.

    def submit(self, order: Order) -> None:
        """Accepts or rejects an operator's order; any node may have forwarded it."""
        entry, now = self._entry(), self.context.now
        pending = None if self._orders.is_full else pending_order(order, entry, now)
        if pending is None:
            self.context.end_order(order.ref, Outcome.REJECTED)
            return
        is_first = (
            not self._orders.waiting()
        )  # otherwise an earlier order may change the state that this one is based on
        self._orders.add(pending)
        is_read = pending.kind is OrderKind.READ
        if is_read or (is_first and self._is_applied_by_pending_entry(pending)):
            pending.set_outcome(self._application.outcome(entry, pending))
            self._application.note(pending, now)
            self._await_round([pending], 0 if is_read else entry.index)
        else:
            self._propose_next()

    def _takes_orders(self) -> bool:
        """Whether orders are accepted: a core too small to tolerate a loss must not acknowledge its first ones."""
        entry = self._entry()
        has_orders = entry.revision > 0 or bool(entry.evacuated_zones)
        tolerates_loss = len(entry.members) > 2 * self.context.settings.survive
        return has_orders or tolerates_loss or self.context.now - self._began_at >= BOOTSTRAP_WAIT_NS

    def _is_applied_by_pending_entry(self, order: PendingOrder) -> bool:
        """Whether the entry in flight already contains the result of the order."""
        if self._is_entry_committed() or not self.replication.commit_index:
            return False
        entry = self._entry()
        return self._application.apply(entry, order) is entry

    def _await_round(self, orders: list[PendingOrder], index: int) -> None:
        """Answers orders that change nothing once a round that begins after them is confirmed.

        A CONFLICT also waits for such a round: a leader that has been deposed without noticing may hold an entry that
        is never committed, and the order that conflicts with it may still be committed by the new leader.
        """
        self._orders.await_round(orders, index, self.rounds.current + 1)
        if self.rounds.may_start(self.context.now):
            self._start_round()
            self._answer()

    def _propose_orders(self, orders: list[PendingOrder]) -> None:
        """Proposes one entry for as many of the waiting orders as may share one."""
        entry = self._entry()
        batch = self._application.batch(entry, orders, self.context.now)
        state = batch.state
        if state is not entry:
            self._orders.await_entry(batch.carried, entry.index + 1)
            self._propose(
                revision=state.revision,
                body=state.body,
                evacuated_zones=state.evacuated_zones,
                evacuations=state.evacuations,
                versions=state.versions,
            )
        if batch.unchanged:
            self._await_round(batch.unchanged, 0)

    # Joining members.

    def receive_join_request(self, ip: str, request: JoinRequest) -> None:
        """Handles a non-member's request to join: it becomes a learner and is sent the newest entry."""
        sender = request.sender
        if not self.membership.admits(sender):
            if self.membership.is_retired(sender.incarnation) and self.excludes(sender):
                # The sender may have been partitioned before it learned that it was added, and been removed since.
                self._discovery.send_hint(ip, excluded=sender.incarnation)
            return
        if request.join_token != self.join_token:
            self._discovery.send_hint(ip)
            return
        learner = self.membership.add_learner(sender, ip, request.is_initial_member)
        learner.replica.record_join_request(ip, self.context.now)
        if not learner.replica.sent_at:
            self.replication.send_entry(learner.key, learner.replica)
        self._propose_next()

    # Operator status.

    def strength(self, now: TimeNs) -> CoreStrength:
        """Returns the membership status of the core at time `now`."""
        return self.strength_monitor.strength(self._entry(), now)
