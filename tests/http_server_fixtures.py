"""The HTTP server without sockets: connections with a fake transport, and a handler that responds later."""

from rampfront.net.http_routing import endpoint
from rampfront.net.http_server import HttpServer
from rampfront.net.http_server_connection import HttpServerConnection
from rampfront.net.limits import HttpServerLimits

LATER = b"GET /later HTTP/1.1\r\nHost: h\r\n\r\n"


class FakeTransport:
    """The transport of one connection: records the written bytes."""

    def __init__(self):
        self.written, self.closed = b"", False

    def write(self, data):
        assert not self.closed
        self.written += data

    def close(self):
        self.closed = True

    abort = close

    def get_write_buffer_size(self):
        return 0

    def can_write_eof(self):
        return False

    def get_extra_info(self, name):
        return None  # it has no socket


class HttpCalls:
    """A server with the given handlers, or else with `/later`, to whose requests the test responds.

    `limits` are the limits of the server that differ from the defaults.
    """

    def __init__(self, *handlers, **limits):
        self.now, self.pending = 0, []
        limits = HttpServerLimits(sweep_interval_ns=0, **limits)
        self.server = HttpServer(None, lambda: self.now, handlers or [self], limits)

    @endpoint("GET", "/later")
    def later(self, request):
        self.pending.append(request)

    def connect(self, text=b""):
        caller = HttpServerConnection(self.server)
        caller.connection_made(FakeTransport())
        if text:
            caller.data_received(text)
        return caller

    @staticmethod
    def responses(caller):
        """Returns (status, head, body) of each complete response written so far."""
        rest, found = caller.transport.written, []
        while rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            found.append((int(head.split()[1]), head.decode().lower(), rest[:length]))
            rest = rest[length:]
        return found
