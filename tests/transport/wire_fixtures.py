"""A `Wire` without sockets, and stand-ins of the connections to it."""

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
    """Keeps the messages that come in as (sender, message), unless a handler is given."""

    def __init__(self, on_frame=None):
        self.now_ns = START_NS
        self.received = []
        super().__init__(None, lambda: self.now_ns, (OWN_IP, 7000), SilentEventLog(), on_frame or self.keep)

    def keep(self, ip, message):
        self.received.append((ip, message))

    def wait(self, seconds):
        """Lets time pass, and sweeps."""
        self.now_ns += round(seconds * SEC)
        self.sweep()

    def accept(self, ip=SENDER):
        """A peer connects: returns the receiver's end."""
        connection = IncomingConnection(self.incoming, self.clock, self.counts, self.receive_frame)
        return connect(connection, ip)

    def open(self, data):
        """A large frame goes out: returns the sender's end, connected."""
        transfer = Transfer(SENDER, "said", data)
        connection = OutgoingConnection(transfer, self.outgoing, self.counts, self.finish_transfer)
        self.outgoing.add(connection)
        return connect(connection, SENDER)


def connect(connection, ip):
    """Gives the connection a transport: `pipe.written` is what was written to it, `pipe.aborted` whether it ended."""
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
    """A message as it goes over a connection."""
    data = cbor2.dumps(message)
    return len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data
