"""Calls the nodes that serve `control`, as PROTOCOL.md ("The operator") requires.

A call is sent to one node after another, with exponential backoff, until one gives a definite answer. A failure to
connect, a status of 5xx, 408 or 429, and a time-out are not definite. Retries send the call unchanged; every call is
idempotent. A definite refusal is a `Rejection`; `NoAnswer` has the failure of each node, and tells whether the order
may have been carried out.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, TypeAlias
from urllib.parse import quote, urlsplit

from result import Err, Ok, Result

from ..net.http_client import HttpRequest, send_request
from ..net.http_response_reader import HttpResponse
from .control_answers import (
    Address,
    Answer,
    Json,
    NoAnswer,
    Rejection,
    format_address,
    parse_answer,
    rejection_reason,
)

NODE_TIMEOUT_S = 1.2  # for one node's answer
NODE_TIMEOUT_S_PER_MB = 1.0  # in addition, for each MB of the call's body
MIN_NODE_TIMEOUT_S = 0.1
DEFAULT_TIMEOUT_S = 6.0  # for a call, with its retries at all nodes
FIRST_PAUSE_S = 0.05
PAUSE_GROWTH = 1.6
MAX_PAUSE_S = 1.0
CALL_PATH = "/api/rpc?call="
MAX_REDIRECTIONS = 2
RETRIED_STATUSES = frozenset((HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS))
MAX_ANSWER_BYTES = 64 << 20
MAX_LIST_ROWS = 100_000

CallResult: TypeAlias = Result[Answer, Rejection | NoAnswer]


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """One node gave no definite answer."""

    reason: str
    may_have_run: bool


class ControlClient:
    """Calls nodes in turn. The last node that answered is called first, so that a command shows one node's view."""

    def __init__(
        self,
        addresses: Iterable[Address],
        timeout_s: float = DEFAULT_TIMEOUT_S,
        send: Callable[..., Awaitable[Any]] = send_request,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Coroutine[Any, Any, None]] = asyncio.sleep,
    ) -> None:
        """`timeout_s`: for each call; `send`, `clock` (s) and `sleep` are replaced by tests."""
        self.addresses = list(addresses)
        self.timeout_s = timeout_s
        self.send = send
        self.clock = clock
        self.sleep = sleep

    async def call(
        self, name: str, body: bytes = b"", query: Mapping[str, str] | None = None, key: bytes = b""
    ) -> CallResult:
        """Makes a call, with retries at all nodes until the time-out. `key`: the idempotency key of all attempts."""
        fields = ((b"Content-Type", b"application/json" if body else b""), (b"Idempotency-Key", key))
        headers = tuple((field, value) for field, value in fields if value)
        request = HttpRequest("POST", call_target(name, query or {}), body, headers)
        deadline = self.clock() + self.timeout_s
        pause = FIRST_PAUSE_S
        failures: dict[Address, str] = {}
        may_have_run = False
        attempt = 0
        while True:
            address = self.addresses[attempt % len(self.addresses)]
            outcome = await self.call_node(address, name, request, deadline - self.clock())
            if isinstance(outcome, Ok):
                self._prefer(attempt % len(self.addresses))
                return outcome
            failure = outcome.err_value
            if isinstance(failure, Rejection):
                return Err(failure)
            failures[address] = failure.reason
            may_have_run = may_have_run or failure.may_have_run
            attempt += 1
            if self.clock() + pause >= deadline:
                reasons = [f"{format_address(address)}: {reason}" for address, reason in failures.items()]
                return Err(NoAnswer(tuple(reasons), may_have_run))
            await self.sleep(pause)
            pause = min(MAX_PAUSE_S, pause * PAUSE_GROWTH)

    def _prefer(self, index: int) -> None:
        """Rotates the addresses so that the node at this index is called first."""
        self.addresses = self.addresses[index:] + self.addresses[:index]

    async def call_node(
        self, address: Address, name: str, request: HttpRequest, timeout_s: float = NODE_TIMEOUT_S
    ) -> Result[Answer, Rejection | FailedAttempt]:
        """Calls one node once, following redirections."""
        full_timeout_s = NODE_TIMEOUT_S + NODE_TIMEOUT_S_PER_MB * len(request.body) / 1e6
        timeout_s = max(MIN_NODE_TIMEOUT_S, min(full_timeout_s, timeout_s))
        loop = asyncio.get_running_loop()
        for _ in range(MAX_REDIRECTIONS + 1):
            outcome = await self.send(loop, address, request, timeout_s, MAX_ANSWER_BYTES)
            if outcome.is_err():
                return Err(FailedAttempt(str(outcome.err_value), outcome.err_value.may_have_run))
            response: HttpResponse = outcome.ok_value
            if response.status != HTTPStatus.TEMPORARY_REDIRECT:
                return _interpret(address, name, response)
            redirection = _redirection(response)
            if redirection is None:
                return Err(FailedAttempt("its redirection has no valid address", False))
            address, target = redirection
            request = request._replace(target=target)
        return Err(FailedAttempt(_describe(response), False))

    async def read_list(
        self, name: str, field: str, query: Mapping[str, str] | None = None
    ) -> Result[tuple[list[Json], Json], Any]:
        """Reads a paginated list. Returns all rows and the last page, or the `Rejection` or `NoAnswer`."""
        rows: list[Json] = []
        position: dict[str, str] = {}
        while True:
            outcome = await self.call(name, query={**(query or {}), **position})
            if not isinstance(outcome, Ok):
                return outcome
            page = outcome.ok_value.document
            rows += page[field]
            next_position = page.get("Next")
            if not next_position:
                return Ok((rows, page))
            if (
                len(rows) > MAX_LIST_ROWS
                or type(next_position) is not str
                or position.get("after", "") >= next_position
            ):
                reason = "its pages do not end, or go round in a circle"
                return Err(Rejection(outcome.ok_value.address, HTTPStatus.OK.value, reason))
            position = {"after": next_position}


def call_target(name: str, query: Mapping[str, str]) -> str:
    """Returns the request target of a call."""
    return CALL_PATH + name + "".join(f"&{key}={quote(value, safe='')}" for key, value in query.items())


def _interpret(address: Address, name: str, response: HttpResponse) -> Result[Answer, Rejection | FailedAttempt]:
    """Returns the result that a response other than a redirection stands for."""
    if HTTPStatus.OK <= response.status < HTTPStatus.MULTIPLE_CHOICES:
        try:
            return Ok(Answer(address, response.body, parse_answer(name, response.body)))
        except (ValueError, RecursionError) as error:
            return Err(Rejection(address, response.status, str(error)))
    if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Err(FailedAttempt(_describe(response), True))
    if response.status in RETRIED_STATUSES:
        return Err(FailedAttempt(_describe(response), False))
    return Err(Rejection(address, response.status, rejection_reason(response.body)))


def _describe(response: HttpResponse) -> str:
    return f"{response.status} {rejection_reason(response.body)}".strip()


def _redirection(response: HttpResponse) -> tuple[Address, str] | None:
    """Returns the address and target of a redirection, or None if they are missing or invalid."""
    location = urlsplit(response.headers.get(b"location", b"").decode("latin-1"))
    try:
        port = location.port  # raises ValueError if it is not a port
    except ValueError:
        return None
    if location.scheme != "http" or not location.hostname or not port:
        return None
    return (location.hostname, port), location.path + (f"?{location.query}" if location.query else "")
