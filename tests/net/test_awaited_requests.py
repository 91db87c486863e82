"""Whether the sender of a request still waits, and how long the request lay unread, on loopback.

Guards against requests that a late event loop takes for fresh ones, although their senders have gone.
"""

import socket
import time

import pytest
from test_response_delivery import CALL, RESET, Stage

from rampfront.net.http_messages import IncomingRequest
from rampfront.net.http_routing import endpoint

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
    assert request.is_awaited() and request.age_ns() >= 250 * NS_PER_MS
    stage.respond(request)
    assert stage.call().age_ns() < 250 * NS_PER_MS


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
    assert not request.is_awaited() and request.age_ns() == 0
