"""Nodes for the scale run: real ones that count their frames, and hollow ones, many to a process, without traffic.

A hollow node is the `NodeProcess` that serves, with its own wire, disseminator, quota limiter and counter, snapshots
and timers. It lacks the sockets of clients, operators and the platform's checks, the connection pools, and a disk.
So it sends the frames of a real node without traffic, at the same times, and holds the same state and list of servers.
What it does not show is a real node's memory and its processor time: these are measured on the real ones.
"""

from asyncio import AbstractEventLoop
from collections.abc import Callable

from ...consensus.state import State
from ...membership.endpoint_list import EndpointList
from ...net.event_log import EventLog
from ...node.assembly import build_node_process
from ...node.endpoints import open_listeners
from ...node.node_process import NodeProcess
from ...node.ports import Ports
from ...proxy.request_proxy import RequestProxy
from ...settings.process_settings import ProcessSettings
from ...simulation.link_bytes import link_bytes
from ...transport.wire import Wire

SEC = 10**9


class FrameCounts:
    """Frames and bytes on the link (`link_bytes`), by the kind of message and the direction, of one node."""

    def __init__(self) -> None:
        """Starts from nothing."""
        self.sent: dict[str, list[int]] = {}  # kind to [frames, bytes]
        self.received: dict[str, list[int]] = {}

    @staticmethod
    def note(side: dict[str, list[int]], kind: str, size: int) -> None:
        """Adds one frame of `size` bytes to one side."""
        row = side.setdefault(kind, [0, 0])
        row[0] += 1
        row[1] += link_bytes(size)

    def totals(self) -> dict[str, int]:
        """Sums over all kinds."""
        return {
            "sent_frames": sum(row[0] for row in self.sent.values()),
            "sent_bytes": sum(row[1] for row in self.sent.values()),
            "received_frames": sum(row[0] for row in self.received.values()),
            "received_bytes": sum(row[1] for row in self.received.values()),
        }


class CountsFrames:
    """Put before a wire's class, it counts what that wire sends and receives. Frames to itself are not counted."""

    size = 0  # of the frame that is being read, 0: from itself
    cut = False  # frames go out to nowhere, and none come in

    def __init__(self, *about: object) -> None:
        """`about`: as the wire takes them."""
        super().__init__(*about)
        self.frame_counts = FrameCounts()
        self.hand_over, self.on_frame = self.on_frame, self.take

    def send_frame(self, ip: str, data: bytes, kind: str) -> None:
        """Counts a frame on its way out."""
        if ip != self.ip:
            self.frame_counts.note(self.frame_counts.sent, kind, len(data))
            if self.cut:
                return
        super().send_frame(ip, data, kind)

    def receive_frame(self, ip: str, data: bytes) -> None:
        """Notes the size for `take`."""
        if self.cut and ip != self.ip:
            return
        self.size = len(data) if ip != self.ip else 0
        super().receive_frame(ip, data)

    def take(self, ip: str, message: dict) -> None:
        """Counts a frame that came in whole, and hands it over."""
        if self.size:
            self.frame_counts.note(self.frame_counts.received, message["k"], self.size)
        self.hand_over(ip, message)


class CountedWire(CountsFrames, Wire):
    """The wire that serves, counted; it can be closed, so that a node of many in a process can end."""

    server = None

    async def listen(self) -> None:
        """As `Wire.listen`, but keeps the listener."""
        loop, wire = self.loop, self

        class Keeper:
            """Stands for the loop while the wire opens its sockets."""

            def __getattr__(self, name: str) -> object:
                return getattr(loop, name)

            async def create_server(self, *about: object, **more: object) -> object:
                """Keeps the listener with the wire."""
                wire.server = await loop.create_server(*about, **more)
                return wire.server

        self.loop = Keeper()
        try:
            await super().listen()
        finally:
            self.loop = loop

    def close(self) -> None:
        """Ends the sockets at once, as a kill would."""
        for connections in (self.outgoing, self.incoming):
            for connection in list(connections):
                connection.close()
        if self.datagram_transport:
            self.datagram_transport.close()
        if self.server:
            self.server.close()


class Measured(NodeProcess):
    """A node that tells when it took a state, a list or its readiness, and can ask for quotas without any request.

    `on_event(node name, what, value)` is called for each change; `asks_per_s` is the rate of quota questions."""

    on_event: Callable[[str, str, int], None] | None = None
    asks_per_s = 0.0

    def __init__(self, **parts: object) -> None:
        """`parts`: as `NodeProcess` has them."""
        super().__init__(**parts)
        self.drawn_from, self.tenant_names = None, ()
        self.watch_states()
        self.watch_lists()
        self.watch_readiness()

    def tell_event(self, what: str, value: int) -> None:
        """Reports one change."""
        if self.on_event:
            self.on_event(self.context.process_settings.name, what, value)

    def watch_states(self) -> None:
        """Reports a state's revision and index once both are in force here."""
        apply = self.replicated_state.apply

        def applied(state: State) -> None:
            held = self.replicated_state.state
            apply(state)
            taken = self.replicated_state.state
            if taken is not held:
                self.tell_event("index", taken.index)
                if held is None or held.revision != taken.revision:
                    self.tell_event("revision", taken.revision)

        self.replicated_state.apply = applied

    def watch_lists(self) -> None:
        """Reports the number of a list of servers once it is in force here."""
        install = self.server_list.install

        def installed(servers: EndpointList) -> None:
            install(servers)
            self.tell_event("servers", servers.version)

        self.server_list.install = installed

    def watch_readiness(self) -> None:
        """Reports when the node becomes ready, or no longer is."""
        update = self.readiness.update

        def updated(now: int) -> None:
            ready = self.readiness.announced
            update(now)
            if self.readiness.announced != ready:
                self.tell_event("ready", int(self.readiness.announced))

        self.readiness.update = updated

    async def listen(self) -> None:
        """Opens all that a node listens at."""
        await open_listeners(self)

    def start(self) -> None:
        """Starts, and asks for quotas if told to."""
        super().start()
        if self.asks_per_s:
            self.ask_quota_later()

    def ask_quota_later(self) -> None:
        """Sets the time of the next question."""
        gap = int(self.context.rng.expovariate(self.asks_per_s) * SEC)
        self.context.scheduler.call_after(gap, self.ask_quota)

    def ask_quota(self) -> None:
        """One question to the limiter, of a tenant drawn evenly, as a request of that tenant would put it."""
        self.ask_quota_later()
        limiter = self.quota_exchange.limiter
        if tenants := limiter.tenants:
            if self.drawn_from is not tenants:
                self.drawn_from, self.tenant_names = tenants, tuple(tenants)
            limiter.take(self.context.rng.choice(self.tenant_names), self.context.clock())
            self.quota_exchange.schedule_flush()


class HollowProxy(RequestProxy):
    """Holds a request proxy's snapshots, and no connection pools."""

    def update_endpoints(self) -> None:
        """No pools to lay out."""

    def ready(self) -> bool:
        """Ready as a real one whose pools have a server that is up."""
        return (
            self.configuration is not None
            and self.is_fresh(self.clock())
            and self.servers is not None
            and any(row.state == "ready" for row in self.servers.endpoints)
        )


class HollowNode(Measured):
    """A node without its client front, its other listeners, its pools and a disk."""

    async def listen(self) -> None:
        """Opens the wire alone."""
        await self.context.wire.listen()

    def kill(self) -> None:
        """Ends at once: no word to anybody, as after a kill."""
        self.context.wire.close()
        self.close()


def build_measured_node(
    loop: AbstractEventLoop, settings: ProcessSettings, log: EventLog, seed: int, ports: Ports
) -> Measured:
    """A real node that tells of its changes."""
    return build_node_process(loop, settings, log, seed, ports._replace(node_process=Measured))


def build_hollow_node(
    loop: AbstractEventLoop, settings: ProcessSettings, log: EventLog, seed: int, ports: Ports
) -> HollowNode:
    """A hollow one."""
    ports = ports._replace(node_process=HollowNode, request_proxy=HollowProxy)
    return build_node_process(loop, settings, log, seed, ports)
