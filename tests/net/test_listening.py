"""Listening sockets of which another process takes the port between bind and listen."""

import errno
import socket
from types import SimpleNamespace

import pytest
import uvloop
from proxy_fixtures import SilentEventLog

from rampfront.mqtt.front import MqttListener
from rampfront.net.client_listener import ClientListener
from rampfront.net.http_server import HttpServer
from rampfront.net.memory_account import machine_account
from rampfront.node.limits import network_limits
from rampfront.transport.wire import Wire

HOST = "127.0.0.1"
LIMITS = network_limits(SimpleNamespace(open_files=1024))


class ContestedLoop(uvloop.Loop):
    """Another socket, which is bound to the port as well, listens between the bind and the listen of each server."""

    def __init__(self):
        super().__init__()
        self.competitor = bound_socket()
        self.port = self.competitor.getsockname()[1]

    async def create_server(self, factory, host=None, port=None, **options):
        server = await super().create_server(factory, host, port, start_serving=False, **options)
        self.competitor.listen()
        await server.start_serving()
        return server

    def close(self):
        self.competitor.close()
        super().close()


class Listener(ClientListener):
    """A listener of clients that accepts no requests."""

    ready = request_received = client_left = None


def bound_socket(port=0):
    """Returns a socket that is bound, as the event loop binds it, and does not listen."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((HOST, port))
    return bound


def client_listener(loop):
    return Listener(loop, int, LIMITS, machine_account(int, 200, {}), SilentEventLog())


def mqtt_listener(loop):
    gateway = SimpleNamespace(clock=int, driver=None)
    options = dict.fromkeys(("connections", "sessions", "inflight", "expiry", "session_expiry"), 1)
    options.update(plan="", answers="")
    return MqttListener(loop, gateway, LIMITS, SilentEventLog(), "n0", None, options)


@pytest.fixture
def loop():
    loop = ContestedLoop()
    yield loop
    loop.close()


@pytest.mark.parametrize(
    "listen",
    [
        lambda loop: HttpServer(loop, int, []).listen(HOST, loop.port),
        lambda loop: client_listener(loop).listen(HOST, loop.port),
        lambda loop: client_listener(loop).listen(HOST, 0, bound_socket(loop.port).detach()),
        lambda loop: mqtt_listener(loop).listen(HOST, loop.port),
        lambda loop: Wire(loop, int, (HOST, loop.port), SilentEventLog(), print).listen(),
    ],
    ids=["calls", "clients", "inherited", "mqtt", "wire"],
)
def test_a_node_does_not_serve_without_a_listening_socket(loop, listen):
    """Guards against a node that reports that it serves although another process took its port between bind and
    listen."""
    with pytest.raises(OSError) as raised:
        loop.run_until_complete(listen(loop))
    assert raised.value.errno == errno.EADDRINUSE
