"""Whether the sender of a request still waits, and how long the request lay unread, on loopback.

Guards against requests that are taken for fresh ones although their senders have gone: the event loop was late, or the
network.
"""

import socket
import time

import pytest
from test_response_delivery import CALL, RESET, Stage

from rampfront.net.http_messages import UNKNOWN_TIMING, IncomingRequest
from rampfront.net.http_routing import endpoint
from rampfront.net.tcp_state import TcpState

NS_PER_MS = 10**6


class ObservedStage(Stage):
    """A server that calls `on_request` when it reads a request."""

    on_request = staticmethod(lambda request: None)

    @endpoint("GET", "/later")
    def later(self, request: IncomingRequest) -> None:
        self.on_request(request)
        super().later(request)


@pytest.fixture
def stage(any_loop):
    stage = ObservedStage(any_loop)
    yield stage
    stage.caller.close()
    stage.server.close()


def test_the_age_of_a_request_includes_the_time_in_which_it_lay_unread(stage: Stage) -> None:
    stage.caller.sendall(CALL % b"")
    time.sleep(0.3)  # the loop does not run
    stage.until(lambda: stage.pending)
    request = stage.pending.pop()
    assert request.is_awaited() and request.timing().max_age_ns >= 250 * NS_PER_MS
    stage.respond(request)
    assert stage.call().timing().max_age_ns < 250 * NS_PER_MS


def test_a_request_is_no_older_than_the_last_bytes_of_this_machine(stage: Stage) -> None:
    """The network may have held it up on an open connection; a response or a new connection bounds the delay again."""
    time.sleep(0.3)
    request = stage.call()
    assert request.timing().gap_ns >= 250 * NS_PER_MS and request.timing().max_age_ns >= 250 * NS_PER_MS
    stage.respond(request)
    assert stage.call().timing().gap_ns < 250 * NS_PER_MS


@pytest.mark.parametrize("round_trip_ns", [0, NS_PER_MS])
def test_a_retransmission_bounds_no_delay(round_trip_ns: int) -> None:
    """Guards against an order that was sent behind the first copy of a response, and arrives behind the second one."""
    state = TcpState(True, sent_age_ns=0, received_age_ns=0, round_trip_ns=round_trip_ns, retransmissions=1)
    assert not state.is_delay_bounded and state._replace(retransmissions=0).is_delay_bounded


def test_a_response_closes_its_connection_if_its_handler_wants_that(stage: Stage) -> None:
    request = stage.call()
    request.closes_connection = True
    stage.respond(request)
    stage.until(lambda: all(connection.closing for connection in stage.server.connections))
    assert b"\r\nConnection: close\r\n" in stage.caller.recv(4096) and not stage.caller.recv(1)


@pytest.mark.parametrize("reset", [False, True])
def test_a_request_whose_sender_has_gone_is_not_awaited(stage: Stage, reset: bool) -> None:
    """The end of its stream is not read yet when the request is."""
    seen = []
    stage.on_request = lambda request: seen.append(request.is_awaited())
    stage.caller.sendall(CALL % b"")
    if reset:
        stage.caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    stage.caller.close()
    stage.until(lambda: seen or not stage.server.connections)
    assert not any(seen)


def test_a_request_that_has_its_response_is_not_awaited(stage: Stage) -> None:
    request = stage.call()
    assert request.is_awaited()
    stage.respond(request)
    assert not request.is_awaited() and request.timing() == UNKNOWN_TIMING
