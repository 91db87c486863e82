"""A relay between the nodes of a run, for faults of links: it listens at an additional port of each node's address.

A node of the laboratory (`machine.py`) sends its frames to this port of the other node's address instead of the port at
which that node listens. The relay forwards them from the sender's address, so that nodes still identify each other by
address. A cut link is silent: datagrams are dropped; connections are accepted, but carry no data. The relay must never
parse a frame.
"""

import asyncio
import socket
from collections import Counter
from random import Random

SEC = 10**9


class DatagramRelay(asyncio.DatagramProtocol):
    """Forwards the datagrams to one node."""

    def __init__(self, relay, ip):
        """`ip`: the address of the node."""
        self.relay, self.ip = relay, ip

    def datagram_received(self, data, address):
        """Forwards a datagram from the sender's address, unless the link drops it."""
        if self.relay.admits(address[0], self.ip):
            self.relay.counts["datagrams"] += 1
            if (sender := self.relay.sockets.get(address[0])) is not None:
                sender.sendto(data, (self.ip, self.relay.target_port))


class ConnectionEnd(asyncio.Protocol):
    """One end of a relayed connection; received data is sent at the other end, `peer`, unless the link is cut."""

    def __init__(self, relay, ip=None):
        """`ip`: the address at which the relay accepted the connection, None for the end that the relay opened."""
        self.relay, self.ip, self.peer, self.buffered, self.transport = relay, ip, None, [], None

    def connection_made(self, transport):
        """Begins to open the connection's other end, if a node opened this one."""
        self.transport = transport
        self.relay.connection_ends[self] = None
        if self.peer is None:  # a node opened this end, to the address at which the relay accepted it
            peer = transport.get_extra_info("peername")
            self.link = (peer[0], self.ip) if peer else ("", self.ip)
            if self.relay.admits(*self.link):
                self.relay.counts["carried"] += 1
                self.task = self.relay.loop.create_task(self.connect_onward())

    async def connect_onward(self):
        """Opens the connection to the target node and sends it the buffered data."""
        onward = ConnectionEnd(self.relay)
        onward.peer, onward.link = self, self.link
        try:
            await self.relay.loop.create_connection(
                lambda: onward, self.ip, self.relay.target_port, local_addr=(self.link[0], 0)
            )
        except OSError:
            return self.transport.abort()
        self.peer = onward
        for data in self.buffered:
            onward.transport.write(data)
        self.buffered = []

    def data_received(self, data):
        """Sends or buffers data for the other end; drops it while the link is cut."""
        if self.relay.is_cut(*self.link):
            return
        if self.peer is None or self.peer.transport is None:
            self.buffered.append(data)
        elif not self.peer.transport.is_closing():
            self.peer.transport.write(data)

    def connection_lost(self, error):
        """Closes the other end."""
        self.relay.connection_ends.pop(self, None)
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


class Relay:
    """The relay of a run: its sockets at all nodes' addresses, and the state of the links."""

    def __init__(self, loop, ips, listen_port, target_port, seed=0):
        """`listen_port`: the relay's port; `target_port`: the port of the nodes; both are the same at all `ips`."""
        self.loop, self.ips, self.listen_port, self.target_port = loop, ips, listen_port, target_port
        self.cuts = {}  # number of the fault to the addresses on one side
        self.losses = {}  # key of the fault to (addresses, share of lost frames)
        self.sockets, self.listeners, self.connection_ends, self.counts, self.rng = {}, [], {}, Counter(), Random(seed)

    async def listen(self):
        """Opens the sockets at all addresses."""
        for ip in self.ips:
            self.sockets[ip], _ = await self.loop.create_datagram_endpoint(
                lambda ip=ip: DatagramRelay(self, ip), local_addr=(ip, self.listen_port), family=socket.AF_INET
            )
            self.listeners.append(
                await self.loop.create_server(lambda ip=ip: ConnectionEnd(self, ip), ip, self.listen_port)
            )

    def is_cut(self, source, target):
        """Returns whether a cut separates two addresses."""
        return any((source in side) != (target in side) for side in self.cuts.values())

    def admits(self, source, target):
        """Returns whether the link from `source` to `target` forwards a frame now, and counts those that it drops."""
        if self.is_cut(source, target):
            self.counts["cut"] += 1
            return False
        for side, share in self.losses.values():
            if (source in side or target in side) and self.rng.random() < share:
                self.counts["lost"] += 1
                return False
        return True

    def close(self):
        """Closes the sockets and aborts the connections."""
        for endpoint in [*self.sockets.values(), *self.listeners]:
            endpoint.close()
        for end in list(self.connection_ends):
            end.transport.abort()
