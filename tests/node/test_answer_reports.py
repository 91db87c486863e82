"""Reports to the core whether callers read the answers to their orders on zones."""

from collections import Counter
from types import SimpleNamespace

import pytest
from test_configuration_answers import FakeCall, state_of_revision

from rampfront.consensus.events import OrderKind, Outcome
from rampfront.net.http_messages import Delivery
from rampfront.net.memory_account import machine_account
from rampfront.node.answer_reports import CALLER_PATIENCE_NS, MAX_PENDING, RETRY_NS, AnswerReports
from rampfront.node.control_calls import MAX_KEY_BYTES, ControlCalls, explicit_identity

ZONE = "hall"
IDENTITY = 77
DONE = Outcome.DONE


class Node:
    """A node whose core answers with the given outcomes; the test advances its clock and timers."""

    def __init__(self, *outcomes: str | None) -> None:
        self.now = 0
        self.outcomes = list(outcomes)
        self.submitted: list[tuple[str, object, int]] = []
        self.timers: list[tuple[int, object, tuple[object, ...]]] = []
        self.counts: Counter[str] = Counter()
        scheduler = SimpleNamespace(call_at=lambda due, act, *given: self.timers.append((due, act, given)))
        context = SimpleNamespace(counts=self.counts, clock=lambda: self.now, scheduler=scheduler)
        orders = SimpleNamespace(submit=self.submit, next_identity=lambda: IDENTITY, clock=lambda: self.now)
        self.reports = AnswerReports(context, orders)
        self.calls = ControlCalls(orders, self.reports, {ZONE: "north"}, machine_account(int, 200, self.counts))

    def submit(self, kind: str, body: object, on_done: object, identity: int = 0, caller: object = None) -> None:
        self.submitted.append((kind, body, identity))
        outcome = self.outcomes.pop(0) if self.outcomes else DONE
        on_done(outcome, state_of_revision(5) if outcome == DONE else None)

    def advance(self, span: int) -> None:
        self.now += span
        due = [timer for timer in self.timers if timer[0] <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, act, given in due:
            act(*given)

    @property
    def reported(self) -> list[tuple[str, object]]:
        return [(kind, body) for kind, body, _ in self.submitted if kind in ("got", "lost")]


@pytest.mark.parametrize(
    "delivery, kind", [(Delivery.DELIVERED, OrderKind.ANSWER_DELIVERED), (Delivery.LOST, OrderKind.ANSWER_LOST)]
)
def test_a_report_is_submitted_until_the_core_has_taken_it(delivery: Delivery, kind: OrderKind) -> None:
    node = Node(None, Outcome.NOT_LEADER, "busy", DONE)
    node.reports.report(ZONE, IDENTITY, delivery, node.now)
    for _ in range(6):
        node.advance(RETRY_NS)
    assert node.reported == [(kind, (ZONE, IDENTITY))] * 4 and not node.timers


def test_a_report_that_nobody_takes_is_never_dropped() -> None:
    """Guards against a zone that stays evacuated, as a core that was away for long never learned of a lost answer."""
    node = Node(*[None] * 1000, DONE)
    node.reports.report(ZONE, IDENTITY, Delivery.LOST, node.now)
    while node.timers:
        node.advance(RETRY_NS)
    assert node.reported == [(OrderKind.ANSWER_LOST, (ZONE, IDENTITY))] * 1001


@pytest.mark.parametrize("waited, is_read", [(CALLER_PATIENCE_NS - 1, True), (CALLER_PATIENCE_NS, False)])
def test_a_reset_behind_an_answer_proves_it_read_only_if_the_caller_cannot_have_given_up(
    waited: int, is_read: bool
) -> None:
    node = Node()
    node.now = waited
    node.reports.report(ZONE, IDENTITY, Delivery.RESET, 0)
    assert node.reported == ([(OrderKind.ANSWER_DELIVERED, (ZONE, IDENTITY))] if is_read else [])
    assert node.counts["answers_delivered" if is_read else "answers_unknown"] == 1


def test_reports_under_way_are_bounded() -> None:
    node = Node(*[None] * 1000)
    for identity in range(1, 2 * MAX_PENDING):
        node.reports.report(ZONE, identity, Delivery.LOST, 0)
    assert len(node.timers) == MAX_PENDING


def test_nothing_is_reported_of_an_answer_whose_fate_is_not_known() -> None:
    node = Node()
    node.reports.report(ZONE, IDENTITY, Delivery.UNKNOWN, 0)
    assert not node.submitted and node.counts["answers_unknown"] == 1


class Caller(FakeCall):
    """A caller whose answer has the given delivery."""

    def __init__(self, delivery: Delivery, key: bytes = b"") -> None:
        super().__init__(of=ZONE)
        self.delivery, self.idempotency_key = delivery, key

    def respond(self, *answer: object, on_delivery: object = None, **_: object) -> bool:
        super().respond(*answer)
        if on_delivery is not None:
            on_delivery(self.delivery)
        return True


@pytest.mark.parametrize("call", ["start_evacuation", "finish_evacuation"])
@pytest.mark.parametrize("delivery, kind", [(Delivery.DELIVERED, "got"), (Delivery.LOST, "lost")])
def test_the_fate_of_an_acknowledgement_is_reported_under_the_order_s_identity(
    call: str, delivery: Delivery, kind: str
) -> None:
    node = Node()
    getattr(node.calls, call)(Caller(delivery))
    assert node.submitted[0][1:] == (ZONE, IDENTITY) and node.reported == [(kind, (ZONE, IDENTITY))]


@pytest.mark.parametrize("outcome", [None, Outcome.UNKNOWN, "busy"])
def test_an_order_that_was_answered_503_holds_no_acknowledgement(outcome: str | None) -> None:
    """The order may still take effect. Its caller repeats it, which must not count as a second operator."""
    node = Node(outcome)
    caller = Caller(Delivery.DELIVERED)
    node.calls.start_evacuation(caller)
    assert caller.answer[0] == 503 and node.reported == [("lost", (ZONE, IDENTITY))]


def test_an_order_that_its_caller_named_keeps_its_name_through_lost_answers() -> None:
    node = Node(DONE, DONE, DONE, None)  # the third outcome is that of the report
    for delivery in (Delivery.LOST, Delivery.DELIVERED, Delivery.DELIVERED):
        node.calls.start_evacuation(Caller(delivery, b"one key"))
    named = explicit_identity(b"one key")
    assert {identity for kind, _, identity in node.submitted if kind == "empty"} == {named}
    assert node.reported == [("got", (ZONE, named))] and named != explicit_identity(b"other key")


def test_a_key_that_is_too_long_is_refused_with_its_field() -> None:
    node = Node()
    answer = node.calls.start_evacuation(Caller(Delivery.DELIVERED, b"k" * (MAX_KEY_BYTES + 1)))
    assert answer.status == 400 and b'"Field":"Idempotency-Key"' in answer.body and not node.submitted
