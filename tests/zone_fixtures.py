"""Fixtures for tests of orders on one zone, at a core on a simulated clock."""

from core_fixtures import Core, PlacedOrder, run_until

from rampfront.consensus import evacuations as e
from rampfront.consensus import events
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.simulation.world import MS, SEC

ZONE = "hall"
RETRY_WINDOW_MS = 7300  # callers retry for less than this time
EXPLICIT = e.EXPLICIT_IDENTITY
ONE, TWO, THREE, FOUR, FIVE, SIX = range(11, 17)
EVACUATE, RESTORE, END_HOLD = OrderKind.EVACUATE, OrderKind.RESTORE, OrderKind.END_HOLD
NEXT_ATTEMPT = 1000  # added to the identity of an attempt that is not the first one of its order


class Scene(Core):
    """A core, and orders on one zone."""

    def submit(self, kind: OrderKind, identity: int) -> Outcome:
        """Submits an order to the leader until it has a clear outcome, and returns that.

        An order that must be repeated is: the next attempt has another identity, unless the caller supplied it.
        """
        outcome = self.attempt(kind, identity)
        if outcome == Outcome.NEEDS_REPEAT:
            outcome = self.attempt(kind, identity + (0 if e.is_explicit(identity) else NEXT_ATTEMPT))
        assert outcome in (Outcome.DONE, Outcome.CONFLICT)
        return outcome

    def attempt(self, kind: OrderKind, identity: int) -> Outcome:
        """Submits an order to the leader once, and waits for its outcome."""
        body = (ZONE, identity) if kind is END_HOLD else ZONE
        call = PlacedOrder(kind, body, self.safety_checker.newest_acknowledged())
        self.deliver(self.leader, events.Order((call, 0), kind, body, 0 if kind is END_HOLD else identity))
        run_until(self, lambda: call.verdict is not None)
        return call.verdict

    def evacuate(self, identity: int = ONE) -> Outcome:
        return self.submit(EVACUATE, identity)

    def restore(self, identity: int = TWO) -> Outcome:
        return self.submit(RESTORE, identity)

    def wait(self, ms: int) -> None:
        self.advance(ms * MS)

    @property
    def is_evacuated(self) -> bool:
        return ZONE in self.leader.core_member.committed.evacuated_zones

    @property
    def evacuation(self) -> e.Evacuation:
        return self.leader.core_member.committed.evacuation_of(ZONE)

    def stays_evacuated(self, seconds: int = 20) -> bool:
        end = self.now + seconds * SEC
        while self.is_evacuated and self.now < end:
            self.wait(100)
        return self.is_evacuated

    def change_leader(self) -> None:
        old = self.leader
        self.stop(old, power=True)
        self.wait(3000)
        self.start(old, False)
        self.wait(500)

    def restart_all(self) -> None:
        """All members lose power at the same moment and return."""
        for node in self.nodes:
            self.stop(node, power=True)
        for node in self.nodes:
            self.start(node, False)
        self.wait(2500)

    def disturb(self, change: str) -> None:
        """Another member leads ("leader"), all lose power ("power"), or nothing happens."""
        if change == "leader":
            self.change_leader()
        elif change == "power":
            self.restart_all()
