"""A `Wire` without sockets, and connections with fake transports."""

from types import SimpleNamespace

import cbor2
from proxy_fixtures import SEC, SilentEventLog

from rampfront.transport.frames import LENGTH_PREFIX_BYTES
from rampfront.transport.incoming import IncomingConnection
from rampfront.transport.outgoing import OutgoingConnection
from rampfront.transport.transfer_scheduler import Transfer
from rampfront.transport.wire import Wire

OWN_IP, SENDER, OTHER_SENDER = "10.1.0.1", "10.1.0.7", "10.1.0.8"
START_NS = 10**15


class SocketlessWire(Wire):
    """Records received messages as (sender, message), unless a handler is given."""

    def __init__(self, on_frame=None):
        self.now_ns = START_NS
        self.received = []
        super().__init__(None, lambda: self.now_ns, (OWN_IP, 7000), SilentEventLog(), on_frame or self.record)

    def record(self, ip, message):
        self.received.append((ip, message))

    def wait(self, seconds):
        """Advances the clock and calls `sweep`."""
        self.now_ns += round(seconds * SEC)
        self.sweep()

    def accept(self, ip=SENDER):
        """Simulates a connection from a peer; returns the receiver's end."""
        connection = IncomingConnection(self.incoming, self.memory, self.counts, self.receive_frame)
        return connect(connection, ip)

    def open(self, data):
        """Starts to send a large frame; returns the sender's end, connected."""
        transfer = Transfer(SENDER, "said", data)
        connection = OutgoingConnection(transfer, self.outgoing, self.counts, self.finish_transfer)
        self.outgoing.add(connection)
        return connect(connection, SENDER)


def connect(connection, ip):
    """Gives the connection a fake transport; `pipe.written` has the bytes written, `pipe.aborted` tells of an abort."""
    pipe = SimpleNamespace(written=b"", aborted=False, get_extra_info=lambda name: (ip, 5000))

    def write(data):
        pipe.written += data

    def abort():
        if not pipe.aborted:
            pipe.aborted = True
            connection.connection_lost(None)

    pipe.write, pipe.abort = write, abort
    connection.pipe = pipe
    connection.connection_made(pipe)
    return connection


def framed(message):
    """Returns a message in the form sent over a connection: a frame with its length prefix."""
    data = cbor2.dumps(message)
    return len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data
