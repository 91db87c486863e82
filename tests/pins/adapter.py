"""Where the pins touch Python names of the system. The pins' tests and fixtures hold bytes; when a name changes, only
this module follows it.

A pin is recorded from one version of the text and must go on passing on later ones. What is compared never goes through
here unseen: frames are bytes as the network takes them, records are bytes as the disk takes them, answers are bytes as
HTTP bodies.
"""

import zlib
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, TypeAlias

import cbor2

from rampfront.consensus import validation
from rampfront.consensus.member import Member
from rampfront.node.order_messages import OrderReply, OrderRequest
from rampfront.simulation.schedule import Run
from rampfront.simulation.system_run import SystemRun

Step: TypeAlias = Callable[[str, int, str, str, bytes], None]  # kind, time (ns), from, to, bytes
COMPRESSED = b"\x78"  # the first byte of a compressed frame; no map of CBOR begins with it
CORE_KINDS = {"knock", "seek", "at", "ask", "may", "run", "aye", "nay", "beat", "full", "ack", "quit"}


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
    send, store, answer = world.send, world.store, world.told

    def sending(node: Any, ip: str, message: Any) -> None:
        step("frame", world.now, node.ip, ip, encoded(message))
        send(node, ip, message)

    def storing(node: Any, effect: Any) -> None:
        step("record", world.now, node.name, "", effect.record)
        store(node, effect)

    def answering(node: Any, effect: Any) -> None:
        call = effect.ref[0]
        step("answer", world.now, node.name, f"{call.number} {call.kind}", answer_of_core(effect))
        answer(node, effect)

    world.send, world.store, world.told = sending, storing, answering
    run.play()


def play_whole(seed: int, step: Step, nodes: int = 11) -> None:
    """Plays a run of whole nodes with clients, servers and operators; `step` gets all bytes between machines, those of
    connections to and from servers and clients too, all that is stored, and the answers to operators."""
    run = SystemRun(seed, nodes)
    fleet = run.fleet
    frame, flow, store, answer = fleet.frame, fleet.flow, fleet.store, run.said

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

    def answering(tried: Any, status: int, body: bytes, *more: Any) -> None:
        step("answer", fleet.now, tried.machine.name, f"{tried.call.kind} {status}", body)
        answer(tried, status, body, *more)

    fleet.frame, fleet.flow, fleet.store, run.said = sending, flowing, storing, answering
    run.play()


# Frames, through the checks and codecs of the packages that they belong to.


def again(data: bytes, bodies: Sequence[bytes]) -> bytes:
    """Decodes a frame (CBOR), checks it and encodes it again. `bodies`: configurations that the receiver of a reply
    holds. Raises ValueError for a frame that is not valid."""
    plain = cbor2.loads(data)
    kind = plain["k"]
    if kind in CORE_KINDS:
        validation.check(plain)
        return cbor2.dumps(plain)
    if kind == "order":
        return cbor2.dumps(OrderRequest.decode(plain).encode())
    if kind == "said":
        whole = "S" not in plain or plain["S"][3] is not None
        return cbor2.dumps(OrderReply.decode(plain, bodies)._replace(whole=whole).encode())
    return cbor2.dumps(plain)


# Stored data.


def record_again(record: bytes, name: str, ip: str) -> bytes:
    """Reads a member's record as its process does at a start, and writes the record of what was read."""
    return Member(name, ip, [ip], True, False, record, Random(1), 1, 0).record()
