"""Where the pins touch Python names of the system. The pins' tests and fixtures hold bytes; when a name changes, only
this module follows it.

A pin is recorded from one version of the text and must go on passing on later ones. What is compared never goes through
here unseen: frames are bytes as the network takes them, records are bytes as the disk takes them, answers are bytes as
HTTP bodies.
"""

import zlib
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any, NamedTuple, TypeAlias

import cbor2

from rampfront.consensus.context import MemberSettings
from rampfront.consensus.frame_decoder import decode
from rampfront.consensus.frame_encoder import encode
from rampfront.consensus.member import Member
from rampfront.consensus.record_store import RecordStore
from rampfront.membership import endpoint_codec, messages
from rampfront.net.http_messages import UNKNOWN_TIMING, RequestTiming
from rampfront.net.http_routing import RoutingTable
from rampfront.node import quota_frames
from rampfront.node.endpoints import ReadyCheck, build_control_calls, build_directory
from rampfront.node.order_messages import OrderReply, OrderRequest
from rampfront.node.status_views import StatusViews
from rampfront.operator_cli import explanation, snapshot_file, system_status
from rampfront.quota import codec as quota_codec
from rampfront.quota.messages import CounterUpdate, Deregistration, Probe
from rampfront.settings import configuration_reader
from rampfront.simulation.schedule import Run
from rampfront.simulation.system_run import SystemRun

Step: TypeAlias = Callable[[str, int, str, str, bytes], None]  # kind, time (ns), from, to, bytes
COMPRESSED = b"\x78"  # the first byte of a compressed frame; no map of CBOR begins with it
CORE_KINDS = {"knock", "seek", "at", "ask", "may", "run", "aye", "nay", "beat", "full", "ack", "quit"}
COMPLETE_LIST_PARTS = 4  # of a packed endpoint list; a difference has more
DECODED_AT = 10**18  # ns


def plain_frame(data: bytes) -> bytes:
    """The CBOR of a frame as it went over the network. Compressed bytes may differ between versions of zlib."""
    return zlib.decompress(data) if data[:1] == COMPRESSED else data


def encoded(message: Any) -> bytes:
    """The CBOR of a message that the core's member sends."""
    return cbor2.dumps(message if isinstance(message, dict) else message.encode())


def answer_of_core(ended: Any) -> bytes:
    """An answer of the core's member to an order: the outcome, and the state or the leader's address beside it."""
    beside = ended.leader_ip if ended.state is None else ended.state.encode(False)
    return cbor2.dumps([str(ended.outcome), beside])


# The simulations, looked at where the simulated network, disk and operator take over.


def play_core(seed: int, members: int, step: Step) -> None:
    """Plays a run of the core alone; `step` gets all that members send, store and answer."""
    run = Run(seed, members)
    world = run.world
    send, store, answer = world.send, world.store, world.on_order_ended

    def sending(node: Any, ip: str, message: Any) -> None:
        step("frame", world.now, node.ip, ip, encoded(message))
        send(node, ip, message)

    def storing(node: Any, effect: Any) -> None:
        step("record", world.now, node.name, "", effect.record)
        store(node, effect)

    def answering(node: Any, effect: Any) -> None:
        step("answer", world.now, node.name, call_name(effect.ref[0]), answer_of_core(effect))
        answer(node, effect)

    world.send, world.store, world.on_order_ended = sending, storing, answering
    run.play()


def call_name(call: Any) -> str:
    """Of an operator's order."""
    return f"{call.number} {call.kind}"


def play_whole(seed: int, step: Step, nodes: int = 11) -> None:
    """Plays a run of whole nodes with clients, servers and operators; `step` gets all bytes between machines, those of
    connections to and from servers and clients too, all that is stored, and the answers to operators."""
    run = SystemRun(seed, nodes)
    fleet = run.fleet
    frame, flow, store, answer = fleet.transmit_frame, fleet.transmit_bytes, fleet.store, run.node_answered

    def sending(wire: Any, ip: str, data: bytes) -> None:
        step("frame", fleet.now, wire.ip, ip, plain_frame(data))
        frame(wire, ip, data)

    def flowing(pair: tuple[str, str], conn: Any, what: Callable[..., Any], *args: Any) -> None:
        for data in args:
            if isinstance(data, bytes):
                step("stream", fleet.now, *pair, data)
        flow(pair, conn, what, *args)

    def storing(loop: Any, record: bytes) -> Any:
        step("record", fleet.now, loop.machine.name, "", record)
        return store(loop, record)

    def answering(attempt: Any, status: int, body: bytes, *more: Any, **delivery: Any) -> None:
        step("answer", fleet.now, attempt.machine.name, f"{attempt.call.kind} {status}", body)
        answer(attempt, status, body, *more, **delivery)

    fleet.transmit_frame, fleet.transmit_bytes, fleet.store, run.node_answered = sending, flowing, storing, answering
    run.play()


# Frames, through the checks and codecs of the packages that they belong to.


def heartbeat_again(plain: dict[str, Any]) -> dict[str, Any]:
    """A node's heartbeat, as the leader reads it."""
    return messages.encode_heartbeat(messages.decode_heartbeat(plain, with_sender=True))


def response_again(plain: dict[str, Any]) -> dict[str, Any]:
    """A state response, its roster and endpoint list decoded too; its state may need the one before, and stays."""
    response = messages.decode_state_response(plain)
    if response.roster is not None:
        update = messages.decode_roster_update(response.roster, 0)
        response = response._replace(roster=messages.encode_roster_update(update))
    if response.endpoints is not None:
        complete, delta = response.endpoints[:COMPLETE_LIST_PARTS], response.endpoints[COMPLETE_LIST_PARTS:]
        endpoints = endpoint_codec.decode(complete, DECODED_AT)
        response = response._replace(endpoints=[*endpoint_codec.encode(endpoints, DECODED_AT), *delta])
    return messages.encode_state_response(response)


def reports_again(plain: dict[str, Any]) -> dict[str, Any]:
    """A node's health reports."""
    return messages.encode_health_reports(messages.decode_health_reports(plain))


def verdicts_again(plain: dict[str, Any]) -> dict[str, Any]:
    """The leader's health verdicts."""
    return messages.encode_health_verdicts(messages.decode_health_verdicts(plain))


def add_again(plain: dict[str, Any]) -> dict[str, Any]:
    """What a proxy sends to the counter of quotas."""
    match request := quota_codec.decode_request(plain["m"]):
        case CounterUpdate():
            return quota_frames.quota_add(quota_codec.encode_update(request))
        case Probe():
            return quota_frames.quota_add(quota_codec.encode_probe(request))
        case Deregistration():
            return quota_frames.quota_add(quota_codec.encode_deregistration(request))


def sum_again(plain: dict[str, Any]) -> dict[str, Any]:
    """What the counter of quotas sends to a proxy."""
    if probe := quota_codec.decode_probe_answer(plain["m"]):
        return quota_frames.quota_sum(quota_codec.encode_probe(probe))
    return quota_frames.quota_sum(quota_codec.encode_totals(quota_codec.decode_totals(plain["m"])))


MAP_CODECS: dict[str, Callable[[dict[str, Any]], dict[str, Any]]] = {
    "hail": heartbeat_again,
    "word": response_again,
    "sight": reports_again,
    "dim": verdicts_again,
    "add": add_again,
    "sum": sum_again,
}


def again(data: bytes, bodies: Sequence[bytes]) -> bytes:
    """Decodes a frame (CBOR), checks it and encodes it again. `bodies`: configurations that the receiver of a reply
    holds. Raises ValueError for a frame that is not valid."""
    plain = cbor2.loads(data)
    kind = plain["k"]
    if kind in CORE_KINDS:
        return cbor2.dumps(encode(decode(plain)))
    if kind in MAP_CODECS:
        return cbor2.dumps(MAP_CODECS[kind](plain))
    if kind == "order":
        return cbor2.dumps(OrderRequest.decode(plain).encode())
    if kind == "said":
        whole = "S" not in plain or plain["S"][3] is not None
        return cbor2.dumps(OrderReply.decode(plain, bodies)._replace(with_body=whole).encode())
    raise ValueError(f"no codec of kind {kind}")


# Stored data.


def record_again(record: bytes, name: str) -> bytes:
    """Reads a member's record as its process does at a start, and writes the record of what was read."""
    settings = MemberSettings(name, "10.0.0.1", ["10.0.0.1"], survive=1)
    return Member(settings, record, Random(1), 0).roles.persistent.encode()


def load_folder(folder: Path) -> bytes | None:
    """The record in a data folder."""
    return RecordStore(str(folder)).load()


def save_into_folder(folder: Path, record: bytes) -> None:
    """Saves a record into a data folder as a process does, which loads first."""
    store = RecordStore(str(folder))
    store.load()
    store.save(record)


def snapshot_of(body: bytes, head: dict[str, Any]) -> bytes:
    """The file of a snapshot."""
    return snapshot_file.pack(body, head)


# Answers to operators' calls.


class _OverError(Exception):
    """All that is to be asked has been asked."""


class Ask(NamedTuple):
    """A call to a node. `at`: ms of the run; `node`: number of the machine, from 1."""

    at: int
    node: int
    method: str
    path: str
    call: str | None = None
    query: dict[str, str] = {}
    body: str = ""


Answered: TypeAlias = Callable[[Ask, int, bytes, tuple[tuple[bytes, bytes], ...]], None]


class _Call:
    """What a handler is given: the call, and where its answer goes."""

    def __init__(self, ask: Ask, answered: Answered) -> None:
        self.ask, self.answered = ask, answered
        self.query, self.body, self.path = dict(ask.query), ask.body.encode(), ask.path
        self.idempotency_key = b""

    def is_awaited(self) -> bool:
        """Whether the caller still waits."""
        return True

    def timing(self) -> RequestTiming:
        """When the caller can have sent the call."""
        return UNKNOWN_TIMING

    def respond(self, status: int, body: bytes = b"", headers: tuple = (), *_: object, **__: object) -> bool:
        """The answer."""
        self.answered(self.ask, status, body, headers)
        return True


def ask_nodes(seed: int, plan: list[tuple], asks: Sequence[Ask], answered: Answered) -> None:
    """Plays a run of whole nodes, and calls them by the handlers that their listeners call."""
    run = SystemRun(seed, plan=plan, length=max(ask.at for ask in asks) + 2000)
    fleet = run.fleet
    run.probe = fleet.discard  # those clients know the revisions of the run's own operators alone

    def hand(ask: Ask) -> None:
        process = fleet.machines[ask.node - 1].node_process
        handlers = [
            ReadyCheck(process.readiness),
            build_directory(process),
            build_control_calls(process),
            StatusViews(process),
        ]
        handler = RoutingTable(handlers, 0).handler(ask.method, ask.path, ask.call)
        at_once = handler(_Call(ask, answered))
        if at_once is not None:
            answered(ask, at_once.status, at_once.body, at_once.headers)

    def end() -> None:
        raise _OverError

    for ask in asks:
        fleet.at(ask.at * 10**6, hand, ask)
    fleet.at((max(ask.at for ask in asks) + 1000) * 10**6, end)
    with suppress(_OverError):
        run.play()


# What the operators' program makes of them.


def status_of(states: list[dict[str, Any]]) -> dict[str, Any]:
    """`rampfront status --json`, of the answers to state.read of all nodes."""
    rows = [{**state, "Control": f"{state['Ip']}:82", "Answers": True} for state in states]
    return system_status.assess(rows, states[0])


def explain_of(configuration: bytes, told: dict[str, Any], url: str, key: str) -> dict[str, Any]:
    """`rampfront explain URL --key KEY --json`. `told`: what a node said, by call."""
    held = configuration_reader.read(configuration).ok_value
    rows, quotas = told["servers.read"]["Servers"], told["quotas.read"]["Quotas"]
    return explanation.explain(held, explanation.NodeView(told["state.read"], rows, quotas), url, key)
