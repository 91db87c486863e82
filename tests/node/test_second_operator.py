"""Two operators evacuate one zone, and one operator sends an order again: told apart at the nodes, where they differ.

Whole nodes on a fake clock, with the listeners that serve; each caller has a connection of its own to some node, and
reads its whole answer or loses it. A zone that two have emptied stays so until both have taken it back, whatever the
time between their orders and between their returns; one who sends again, because an answer was lost, is one.
"""

import asyncio
import json
from collections.abc import Callable
from itertools import product
from types import SimpleNamespace
from typing import Any

import pytest

from rampfront.node import endpoints
from rampfront.simulation.fleet import Fleet, Machine

MS, SEC = 10**6, 10**9
OK = 200
ZONE = "a1"
SETTLED = 20 * SEC  # behind the start: a leader of long standing, at full strength
APPLIED = 3 * SEC  # within which all nodes go by what was acknowledged
APART = (0.8, 3.0, 5.9)  # s between the orders of two operators: less than what a repeat may take
RETURNS_APART = 60 * SEC
BEFORE, ON_ITS_WAY = "before the answer is written", "the answer is on its way"


class UnansweredError(Exception):
    """A call that must be answered at once was not: no finding about evacuations."""


class Connection:
    """A caller's connection to a node's control address, and the node's transport of it."""

    def __init__(self, system: "System", machine: Machine, request: bytes, lost: str | None) -> None:
        """`lost`: the connection is reset before the answer is written (BEFORE) or on its way (ON_ITS_WAY); None: the
        caller reads the whole answer."""
        self.system, self.machine, self.received, self.closed = system, machine, b"", False
        self.lost = lost
        self.protocol = system.listeners[machine]()
        self.protocol.connection_made(self)
        system.later(MS, self.machine, self.protocol.data_received, request)
        if lost == BEFORE:
            system.later(2 * MS, machine, self.reset)

    @property
    def answer(self) -> tuple[int, Any] | None:
        """Status and JSON of the whole answer, once it was read."""
        head, _, body = self.received.partition(b"\r\n\r\n")
        lines = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        if not head or len(body) < int(lines.get(b"Content-Length", 1 << 30)):
            return None
        return int(head[9:12]), json.loads(body)

    def reset(self) -> None:
        """The network loses the connection, and all that is on its way."""
        if not self.closed:
            self.closed = True
            self.protocol.connection_lost(ConnectionResetError())

    def receive(self, data: bytes) -> None:
        """Bytes reach the caller, who closes once the answer is whole."""
        if self.lost == ON_ITS_WAY:
            self.reset()
        if not self.closed:
            self.received += data
            if self.answer is not None:
                self.system.later(MS, self.machine, self.end)

    def end(self) -> None:
        """The caller's end of the stream reaches the node."""
        if not self.closed and not self.protocol.eof_received():
            self.close()

    # The transport, as the node sees it.

    def write(self, data: bytes) -> None:
        """Some bytes of the answer."""
        if not self.closed:
            self.system.fleet.at(self.system.fleet.now + MS, self.receive, bytes(data))

    def close(self) -> None:
        """Ends it in order."""
        if not self.closed:
            self.closed = True
            self.protocol.connection_lost(None)

    abort = close

    def get_extra_info(self, name: str) -> Any:
        """The caller's address."""
        return ("10.250.0.1", 40000 + id(self) % 20000) if name == "peername" else None

    @staticmethod
    def get_write_buffer_size() -> int:
        """The kernel has taken all."""
        return 0

    def is_closing(self) -> bool:
        """Whether it has ended."""
        return self.closed


class System:
    """Nodes on a fake clock, with their listeners."""

    def __init__(self, seed: int = 1) -> None:
        """Settled."""
        self.fleet = fleet = Fleet(seed, nodes=5, disks=4)
        fleet.rule_checker = SimpleNamespace(attach=self.join)
        fleet.loss = fleet.repeat = 0
        self.listeners: dict[Machine, Callable[[], Any]] = {}  # of the control addresses
        for machine in fleet.machines:
            fleet.start(machine)
        fleet.run(SETTLED)

    def join(self, machine: Machine) -> None:
        """Opens the listeners of a node that starts."""

        async def create_server(factory: Callable[[], Any], host: str, port: int, **_: object) -> Any:
            if (host, port) == (machine.ip, 82):
                self.listeners[machine] = factory
            address = SimpleNamespace(getsockname=lambda: (host, port))
            return SimpleNamespace(sockets=[address], close=lambda: None)

        machine.loop.create_server = create_server
        asyncio.run(endpoints.open_call_listeners(machine.node_process))

    def later(self, delay: int, machine: Machine, act: Callable[..., object], *args: object) -> None:
        """Something reaches a node, in the life that it has now."""
        self.fleet.at(self.fleet.now + delay, self.fleet.do, machine, machine.life, act, *args)

    def wait(self, span: int) -> None:
        """Lets so many ns pass."""
        self.fleet.run(self.fleet.now + span)

    def call(self, node: int, name: str, lost: str | None = None) -> Connection:
        """A call over a connection of its own."""
        request = f"POST /api/rpc?call={name}&of={ZONE} HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n".encode()
        return Connection(self, self.fleet.machines[node], request, lost)

    def answered(self, node: int, name: str) -> dict[str, Any]:
        """What a caller reads, who gets the whole answer at once."""
        connection = self.call(node, name)
        self.wait(100 * MS)
        if connection.answer is None or connection.answer[0] != OK:
            raise UnansweredError(f"{name} at node {node}: {connection.answer}")
        return connection.answer[1]

    def emptied_at(self) -> list[bool]:
        """Of each node, whether it goes by the zone as emptied."""
        return [ZONE in self.answered(node, "state.read")["Emptied"] for node in range(len(self.fleet.machines))]


def stays_emptied(system: System, span: int) -> float | None:
    """Looks at all nodes over the span (ns); None, or behind how many s the zone was open at one of them."""
    began = system.fleet.now
    while system.fleet.now - began < span:
        if not all(system.emptied_at()):
            return (system.fleet.now - began) / SEC
    return None


@pytest.mark.parametrize("node", [0, 4])
def test_one_operator_empties_a_zone_and_opens_it_at_once(node: int) -> None:
    system = System()
    assert system.answered(node, "empty.start")["Emptied"]
    system.wait(APPLIED)
    assert all(system.emptied_at())
    system.wait(8 * SEC)
    assert not system.answered(node, "empty.finish")["Emptied"]
    system.wait(APPLIED)
    assert not any(system.emptied_at())


def test_two_operators_far_apart_take_a_zone_back_each() -> None:
    system = System()
    system.answered(1, "empty.start")
    system.wait(20 * SEC)
    system.answered(3, "empty.start")
    assert system.answered(1, "empty.finish")["Emptied"]
    assert stays_emptied(system, RETURNS_APART) is None
    assert not system.answered(3, "empty.finish")["Emptied"]
    system.wait(APPLIED)
    assert not any(system.emptied_at())


def test_two_who_empty_one_zone_take_it_back_each() -> None:
    """Both were answered, 0.8, 3 and 5.9 s apart. The first to take it back leaves it emptied until the second does."""
    opened = {}
    for apart in APART:
        system = System()
        assert system.answered(1, "empty.start")["Emptied"]
        system.wait(int(apart * SEC) - 100 * MS)
        assert system.answered(3, "empty.start")["Emptied"]
        system.wait(8 * SEC - int(apart * SEC))
        system.answered(1, "empty.finish")
        opened[apart] = stays_emptied(system, RETURNS_APART)
        system.answered(3, "empty.finish")
        system.wait(APPLIED)
        assert not any(system.emptied_at())
    assert opened == dict.fromkeys(APART), "s behind the first return at which the zone was open, by s between orders"


def test_one_whose_answer_was_lost_and_who_sends_again_opens_the_zone_by_one_return() -> None:
    """At once, as each return does that is the last one; sent again to the same node, and to another one."""
    still_emptied = {}
    for lost, again_at in product((BEFORE, ON_ITS_WAY), (1, 2)):
        system = System()
        first = system.call(1, "empty.start", lost)
        system.wait(SEC)
        if first.answer is not None or not first.closed:
            raise UnansweredError("the answer was not lost")
        assert system.answered(again_at, "empty.start")["Emptied"]
        system.wait(8 * SEC)
        told = system.answered(again_at, "empty.finish")
        system.wait(APPLIED)
        still_emptied[lost, again_at] = told["Emptied"] or any(system.emptied_at())
    assert not any(still_emptied.values()), still_emptied


@pytest.mark.parametrize("lost", [BEFORE, ON_ITS_WAY])
def test_one_whose_answer_was_lost_and_who_sends_again_leaves_no_zone_emptied_for_ever(lost: str) -> None:
    system = System()
    system.call(1, "empty.start", lost)
    system.wait(SEC)
    assert system.answered(2, "empty.start")["Emptied"]
    system.wait(8 * SEC)
    system.answered(2, "empty.finish")
    system.wait(10 * SEC)
    assert not any(system.emptied_at())
