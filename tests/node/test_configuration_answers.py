"""The answers to operators' configurations and evacuations at the control address."""

import json
import zlib
from collections import Counter
from types import SimpleNamespace

import cbor2
import pytest
from core_fixtures import SMALL_CONFIGURATION, compressed_configuration

from rampfront.consensus import evacuations as e
from rampfront.consensus import version_history as v
from rampfront.consensus.evacuation_claims import Claim, Delivery
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.consensus.restorations import Restoration
from rampfront.consensus.state import State
from rampfront.net.http_messages import UNKNOWN_TIMING, RequestTiming
from rampfront.net.memory_account import MemoryAccount, machine_account
from rampfront.node import control_calls
from rampfront.node.control_calls import ControlCalls
from rampfront.node.open_order import OpenOrder
from rampfront.node.order_messages import MalformedMessageError, OrderReply, OrderRequest
from rampfront.simulation.isolation import IsolationRun
from rampfront.simulation.world import MS, SEC


class FakeCall:
    """A call at the control address."""

    def __init__(self, body: bytes = b"", **query: str) -> None:
        self.body, self.query, self.answer, self.idempotency_key = body, query, None, b""

    def is_awaited(self) -> bool:
        """Returns that the caller waits for the answer."""
        return True

    def timing(self) -> RequestTiming:
        """Returns that nothing is known of when the call was sent."""
        return UNKNOWN_TIMING

    def respond(self, status: int, body: bytes = b"", headers: tuple = (), kind: bytes = b"", **_: object) -> bool:
        """Records the answer."""
        self.answer = status, json.loads(body), dict(headers)
        return True


def control(*verdicts: tuple) -> tuple[ControlCalls, list]:
    """The calls of a node whose core gives these verdicts, and the list of submitted orders."""
    orders, answers = [], list(verdicts)

    def submit(kind: str, body: object, on_done: object, identity: int = 0, caller: object = None) -> None:
        orders.append((kind, body))
        on_done(*answers.pop(0))

    core = SimpleNamespace(submit=submit, next_identity=lambda: 1, clock=lambda: 0)
    reports = SimpleNamespace(report=lambda *_: None)
    return ControlCalls(core, reports, {"hall": "north"}, machine_account(int, 200, Counter())), orders


def state_of_revision(number: int, word: str = "web") -> State:
    return State(8, 2, members={"m1": ("10.0.0.1", 1)}).next_entry(
        revision=number, body=compressed_configuration(number, word)
    )


BODY = zlib.decompress(compressed_configuration(5))


def test_a_conflict_from_the_leader_rests_on_a_state_that_is_no_older() -> None:
    order = OpenOrder(
        OrderRequest(1, 2, OrderKind.CONFIGURE, (5, compressed_configuration(5))), 0, 9, lambda *words: None
    )
    order.sent_to.add("10.0.0.1")
    reply = OrderReply(1, 2, Outcome.CONFLICT, state_of_revision(5))  # the state has index 9
    assert OrderReply.decode(cbor2.loads(cbor2.dumps(reply.encode()))).state.revision == 5
    assert order.rejection_reason("10.0.0.1", reply) is None
    order.state_index = 10
    assert order.rejection_reason("10.0.0.1", reply) and order.rejection_reason("10.0.0.2", reply)
    with pytest.raises(MalformedMessageError):
        OrderReply.decode(OrderReply(1, 2, Outcome.CONFLICT).encode())


@pytest.mark.parametrize("gap", [0, 30, 2000])
def test_two_contents_at_two_nodes_of_a_fleet(gap: int) -> None:
    """Whole processes: one node leads, the others forward orders to it, and two of them have no disk."""
    scene = IsolationRun(operators=0)
    machines = [scene.pick("follower"), scene.leader(), *scene.fleet.machines[7:9]]
    for first, second in zip(machines, machines[1:] + machines[:1], strict=True):
        body = scene.body()
        other = body.replace(b'"Caps"', b'"Note": 1, "Caps"')
        answers = [scene.order("config", first, body)]
        scene.go(gap * MS)
        answers.append(scene.order("config", second, other))
        scene.go(SEC)
        assert sorted(answer[0][0] for answer in answers) == [200, 409]
        again = [scene.order("config", machine, text) for machine in machines for text in (body, other)]
        scene.go(SEC)
        assert sorted(answer[0][0] for answer in again) == [200] * 4 + [409] * 4
        assert [answer[0][0] for answer in again[:2]] == [answer[0][0] for answer in answers]


def test_answers_to_a_configuration() -> None:
    caller = FakeCall(BODY)
    control((Outcome.DONE, state_of_revision(7)))[0].replace_configuration(caller)
    assert caller.answer == (200, {"Revision": "r5", "Holds": "r7"}, {})
    calls, orders = control((Outcome.CONFLICT, state_of_revision(5, "mail")))
    calls.replace_configuration(caller := FakeCall(BODY))
    status, fields, _ = caller.answer
    assert (status, fields["Field"]) == (409, "Revision") and "raise Revision above r5" in fields["Message"]
    assert fields["Holds"] == {"Revision": "r5", "Digest": v.content_digest(compressed_configuration(5, "mail")).hex()}
    assert (
        fields["Sent"]
        == {"Revision": "r5", "Digest": v.content_digest(compressed_configuration(5)).hex()}
        != fields["Holds"]
    )
    assert calls.counts["orders_refused"] == 1
    assert orders == [(OrderKind.CONFIGURE, (5, compressed_configuration(5)))]


@pytest.mark.parametrize("verdict", [None, Outcome.UNKNOWN, Outcome.REJECTED])
def test_an_unknown_outcome_is_503_with_a_retry_after(verdict: str | None) -> None:
    for call, body in (
        ("replace_configuration", BODY),
        ("read_configuration", b""),
        ("start_evacuation", b""),
        ("finish_evacuation", b""),
    ):
        caller = FakeCall(body, of="hall")
        getattr(control((verdict, None))[0], call)(caller)
        status, fields, headers = caller.answer
        assert status == 503 and "Message" in fields and headers[b"Retry-After"] == b"0.3"


@pytest.mark.parametrize(
    "body, field",
    [
        (b"{", ""),
        (json.dumps({**SMALL_CONFIGURATION, "Revision": "five"}).encode(), "Revision"),
        (json.dumps({**SMALL_CONFIGURATION, "Groups": [{"Name": 5}]}).encode(), "Groups[0].Name"),
    ],
)
def test_an_invalid_configuration_is_400_and_names_the_field(body: bytes, field: str) -> None:
    calls, orders = control()
    answer = calls.replace_configuration(FakeCall(body))
    fields = json.loads(answer.body)
    assert answer.status == 400 and fields["Field"] == field and fields["Message"] and not orders


def test_answers_to_an_evacuation_say_whether_the_zone_is_evacuated_and_by_whom() -> None:
    shared = state_of_revision(5).next_entry(
        evacuated_zones=frozenset({"hall"}), evacuations={"hall": e.Evacuation(1, returned=True)}
    )
    views = []
    for call, state in (
        ("start_evacuation", state_of_revision(5).next_entry(evacuated_zones=frozenset({"hall"}))),
        ("finish_evacuation", shared),
        ("finish_evacuation", state_of_revision(5)),
    ):
        getattr(control((Outcome.DONE, state))[0], call)(caller := FakeCall(of="hall"))
        assert caller.answer[0] == 200 and caller.answer[1]["Zone"] == "hall"
        views.append([caller.answer[1][key] for key in ("Emptied", "Operators", "Returned")])
    assert views == [[True, 1, False], [True, 1, True], [False, 0, False]]


def test_an_answer_names_the_holds_that_keep_a_zone_evacuated_and_the_caller_s_own() -> None:
    claims = (Claim(1, Delivery.DELIVERED), Claim(0x2A))
    state = state_of_revision(5).next_entry(
        evacuated_zones=frozenset({"hall"}),
        evacuations={"hall": e.Evacuation(2, claims=claims)},
        restorations={"hall": (Restoration(7), Restoration(1, newest_claim=0x2A))},
    )
    reply = OrderReply.decode(OrderReply(1, 2, Outcome.DONE, state).encode())
    held_by = [{"Hold": "1", "Answer": "delivered"}, {"Hold": "2a", "Answer": "unknown"}]
    control((Outcome.DONE, reply.state))[0].start_evacuation(start := FakeCall(of="hall"))
    calls = control((Outcome.DONE, reply.state))[0]
    calls.finish_evacuation(finish := FakeCall(of="hall"))
    assert start.answer[1]["Hold"] == "1" and start.answer[1]["HeldBy"] == finish.answer[1]["HeldBy"] == held_by
    assert "taken for a repeat" in finish.answer[1]["Message"] and calls.counts["restorations_pending"] == 1


def test_a_hold_is_ended_by_its_name() -> None:
    calls, orders = control((Outcome.DONE, state_of_revision(5)))
    calls.finish_evacuation(caller := FakeCall(of="hall", hold="2a"))
    assert orders == [(OrderKind.END_CLAIM, ("hall", 0x2A))] and not caller.answer[1]["Emptied"]
    request = OrderRequest(1, 2, OrderKind.END_CLAIM, ("hall", 0x2A))
    assert OrderRequest.decode(request.encode()) == request


@pytest.mark.parametrize("hold", ["", "0", "2A", "hall", "f" * 14, "f" * 400])
def test_an_invalid_hold_is_400_and_names_the_field(hold: str) -> None:
    calls, orders = control()
    answer = calls.finish_evacuation(FakeCall(of="hall", hold=hold))
    assert (answer.status, json.loads(answer.body)["Field"]) == (400, "hold") and not orders


@pytest.mark.parametrize("body", [("hall",), ("hall", 0), ("hall", True), (7, 1)])
def test_an_order_that_ends_a_malformed_hold_is_refused(body: tuple) -> None:
    with pytest.raises(MalformedMessageError):
        OrderRequest.decode(OrderRequest(1, 2, OrderKind.END_CLAIM, body).encode())


def test_an_unknown_zone_is_400_and_names_the_field() -> None:
    for caller in (FakeCall(of="cellar"), FakeCall()):
        answer = control()[0].start_evacuation(caller)
        assert (answer.status, json.loads(answer.body)["Field"]) == (400, "of")


def test_a_configuration_that_finds_no_memory_is_not_read(monkeypatch):
    """413 if it could never be read on this machine, 503 if others hold the memory now; neither submits an order."""
    monkeypatch.setattr(control_calls.configuration_reader, "read", lambda body: pytest.fail("it was read"))
    memory = MemoryAccount(int, 10_000, Counter())
    calls = ControlCalls(None, None, {}, memory)
    request = SimpleNamespace(body=b"[" + b"{}," * 40 + b"{}]")
    assert calls.replace_configuration(request).status == 413
    memory.capacity_bytes = 20_000
    memory.open().set(12_000)
    assert calls.replace_configuration(request).status == 503 and memory.used_bytes == 12_000
