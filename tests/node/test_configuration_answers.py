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
from rampfront.consensus.events import OrderKind, Outcome
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
        core.identities.append(identity)
        on_done(*answers.pop(0))

    core = SimpleNamespace(submit=submit, next_identity=lambda: 1, clock=lambda: 0, identities=[])
    return ControlCalls(core, {"hall": "north"}, machine_account(int, 200, Counter())), orders


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


HALL = frozenset({"hall"})
NAMED = e.EXPLICIT_IDENTITY + 0x2A


def state_with(*evacuations: e.Evacuation) -> State:
    """A state in which the zone is evacuated so, as another node reads it; open without an evacuation."""
    if not evacuations:
        return state_of_revision(5)
    table = e.with_zone({}, "hall", evacuations[0])
    state = state_of_revision(5).next_entry(evacuated_zones=HALL, evacuations=table)
    return OrderReply.decode(OrderReply(1, 2, Outcome.DONE, state).encode()).state


@pytest.mark.parametrize(
    "call, outcome, state, status",
    [
        ("start_evacuation", Outcome.DONE, state_with(e.REGISTER_SET), 200),
        ("start_evacuation", Outcome.DONE, state_with(), 503),  # taken back since: the caller's order is not in force
        ("start_evacuation", Outcome.DONE, state_with(e.Evacuation(1, (NAMED,))), 503),
        ("finish_evacuation", Outcome.DONE, state_with(), 200),
        ("finish_evacuation", Outcome.DONE, state_with(e.Evacuation(2)), 503),  # a leader of an older version
        ("finish_evacuation", Outcome.CONFLICT, state_with(e.Evacuation(1, (NAMED,))), 409),
        ("finish_evacuation", Outcome.DONE, state_with(e.Evacuation(1, (NAMED,))), 409),
        ("finish_evacuation", Outcome.NEEDS_REPEAT, None, 503),
    ],
)
def test_a_200_to_an_order_on_a_zone_is_true(call: str, outcome: str, state: State, status: int) -> None:
    """Guards against the 200 to a restoration that took nothing back (review case 6)."""
    getattr(control((outcome, state))[0], call)(caller := FakeCall(of="hall"))
    assert caller.answer[0] == status
    if status == 200:
        assert caller.answer[1]["Emptied"] is (call == "start_evacuation") and "Hold" not in caller.answer[1]


def test_an_answer_names_the_holds_that_keep_a_zone_evacuated_and_the_caller_s_own() -> None:
    key = control_calls.explicit_identity(b"ann")
    state = state_with(e.Evacuation(3, (NAMED, key)))
    calls, _ = control((Outcome.DONE, state), (Outcome.CONFLICT, state_with(e.Evacuation(1, (NAMED,)))))
    start, finish = FakeCall(of="hall"), FakeCall(of="hall")
    start.idempotency_key = finish.idempotency_key = b"ann"
    calls.start_evacuation(start)
    calls.finish_evacuation(finish)
    assert calls._orders.identities == [key, key]
    held_by = [{"Hold": f"{NAMED:x}"}, {"Hold": f"{key:x}"}]
    assert (start.answer[1]["Hold"], start.answer[1]["HeldBy"], start.answer[1]["Operators"]) == (
        f"{key:x}",
        held_by,
        3,
    )
    assert finish.answer[0] == 409 and finish.answer[1]["HeldBy"] == held_by[:1]
    assert f"{NAMED:x}" in finish.answer[1]["Message"]


def test_a_hold_is_ended_by_its_name() -> None:
    ended, held = state_with(e.REGISTER_SET), state_with(e.Evacuation(1, (NAMED,)))
    calls, orders = control((Outcome.DONE, ended), (Outcome.DONE, held), (None, None))
    callers = [FakeCall(of="hall", hold=f"{NAMED:x}") for _ in range(3)]
    for caller in callers:
        calls.finish_evacuation(caller)
    assert orders == [(OrderKind.END_HOLD, ("hall", NAMED))] * 3
    assert [caller.answer[0] for caller in callers] == [200, 503, 503] and callers[0].answer[1]["Emptied"]
    request = OrderRequest(1, 2, OrderKind.END_HOLD, ("hall", NAMED))
    assert OrderRequest.decode(request.encode()) == request


def test_a_key_that_is_too_long_is_refused_with_its_field() -> None:
    calls, orders = control()
    caller = FakeCall(of="hall")
    caller.idempotency_key = b"k" * (control_calls.MAX_KEY_BYTES + 1)
    answer = calls.start_evacuation(caller)
    assert answer.status == 400 and json.loads(answer.body)["Field"] == "Idempotency-Key" and not orders


@pytest.mark.parametrize("hold", ["", "0", "2a", "2A", "hall", "f" * 14, "f" * 400])
def test_an_invalid_hold_is_400_and_names_the_field(hold: str) -> None:
    calls, orders = control()
    answer = calls.finish_evacuation(FakeCall(of="hall", hold=hold))
    assert (answer.status, json.loads(answer.body)["Field"]) == (400, "hold") and not orders


@pytest.mark.parametrize("body", [("hall",), ("hall", 0), ("hall", True), (7, 1)])
def test_an_order_that_ends_a_malformed_hold_is_refused(body: tuple) -> None:
    with pytest.raises(MalformedMessageError):
        OrderRequest.decode(OrderRequest(1, 2, OrderKind.END_HOLD, body).encode())


def test_an_unknown_zone_is_400_and_names_the_field() -> None:
    for caller in (FakeCall(of="cellar"), FakeCall()):
        answer = control()[0].start_evacuation(caller)
        assert (answer.status, json.loads(answer.body)["Field"]) == (400, "of")


def test_a_configuration_that_finds_no_memory_is_not_read(monkeypatch):
    """413 if it could never be read on this machine, 503 if others hold the memory now; neither submits an order."""
    monkeypatch.setattr(control_calls.configuration_reader, "read", lambda body: pytest.fail("it was read"))
    memory = MemoryAccount(int, 10_000, Counter())
    calls = ControlCalls(None, {}, memory)
    request = SimpleNamespace(body=b"[" + b"{}," * 40 + b"{}]")
    assert calls.replace_configuration(request).status == 413
    memory.capacity_bytes = 20_000
    memory.open().set(12_000)
    assert calls.replace_configuration(request).status == 503 and memory.used_bytes == 12_000
