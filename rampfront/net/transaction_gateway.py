"""Accepts transactions on the edge node and returns their answers; shared by the listeners of all protocols.

A listener reads its protocol and calls `accept` with a `TransactionRequest` and an `AnswerReceiver`. The gateway checks
the transaction and passes it to the decision driver. The driver returns its single answer, which the gateway counts and
passes to the receiver. The gateway decides on an answer itself in two cases only: it declines a transaction that cannot
be recorded, and one whose client would time out before the counter answers.
"""

from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import NamedTuple, Protocol

from .. import terms as t
from .call_terms import CallTermsParser
from .decision_driver import DecisionDriver
from .decision_ports import RetryStormControl
from .exchange import AnswerReceiver, Exchange, ResponseBody, StreamSource
from .http_status import BAD_REQUEST, CONFLICT, HttpStatusError
from .limits import NetworkLimits
from .transaction_request import TransactionRequest, check_method, encode_head, parse_account

_NS_PER_MS = 10**6
_NO_UNITS = 1e-9  # for a retry whose units were taken by an earlier attempt
_JOURNAL_RETRY_NS = 1000 * _NS_PER_MS  # clients retry after the journal has tried to write again
_MAX_ID_BYTES = 256

TransactionExchange = Exchange[AnswerReceiver]


class OutcomeCounts:
    """The numbers of answers to clients for transactions of one product.

    Attributes:
        succeeded: answered with a server's response.
        declined: answered that the transaction has not run.
        unknown: answered that it may have run, or refused as invalid.
    """

    __slots__ = ("succeeded", "declined", "unknown")

    def __init__(self) -> None:
        """Starts at zero."""
        self.succeeded = 0
        self.declined = 0
        self.unknown = 0


class AnnouncedNames(Protocol):
    """The indices of the names that the settings define."""

    products: Mapping[str, int]
    plans: Mapping[str, int]


class Listener(Protocol):
    """Accepts clients of one protocol."""

    def drain(self) -> None:
        """Sends clients elsewhere; requests that still arrive are served."""
        raise NotImplementedError

    def activate(self) -> None:
        """Ends draining."""
        raise NotImplementedError

    def retire(self, done: Callable[[], None]) -> None:
        """Stops accepting connections, and calls `done` once all clients were answered and are disconnected."""
        raise NotImplementedError


class _Product(NamedTuple):
    """A product and its index in the decision module."""

    product_index: int
    terms: t.Product


class TransactionGateway:
    """Accepts transactions, and returns answers to their clients.

    Attributes:
        driver: the decision driver.
        clock: returns the time in ns.
        listeners: the listeners of all protocols; set by the program.
        storm: throttles retries and reconnects; set by the program if the configuration enables it.
        outcomes: the numbers of answers by product index. They are counted when answers are returned to clients, so
            that the operators' figures match what clients received.
    """

    def __init__(
        self, driver: DecisionDriver[TransactionExchange], limits: NetworkLimits, names: AnnouncedNames, terms: t.Terms
    ) -> None:
        """Creates a gateway that accepts transactions immediately.

        Args:
            driver: the decision driver.
            limits: the limits of the process.
            names: the defined names of products and plans.
            terms: the terms that the node starts with.
        """
        self.driver = driver
        self.clock = driver.clock
        self.listeners: Iterable[Listener] = ()
        self.storm: RetryStormControl | None = None
        self.outcomes = [OutcomeCounts() for _ in terms.products]
        self._counts = driver.counts
        self._limits = limits
        self._products = {name.encode(): _Product(k, terms.products[k]) for name, k in names.products.items()}
        self._plans = {name.encode(): index for name, index in names.plans.items()}
        self._has_ceiling = [plan.ceiling_rate > 0 for plan in terms.plans]  # by plan index
        self._call_terms = CallTermsParser(terms.max_units, terms.nodes, limits.max_cached_call_terms)
        # A call to the counter may outlast a shorter expiry.
        self._short_expiry_ns = terms.counter_timeout + 2 * terms.min_input_gap + 2 * limits.answer_margin_ns

    # ---- for the operators

    def drain(self) -> None:
        """Drains all listeners."""
        for listener in self.listeners:
            listener.drain()

    def activate(self) -> None:
        """Ends draining of all listeners."""
        for listener in self.listeners:
            listener.activate()

    def retire(self, done: Callable[[], None]) -> None:
        """Retires all listeners, and calls `done` once their clients were answered and are disconnected."""
        remaining = set(self.listeners)

        def retired(listener: Listener) -> None:
            """Notes that one listener has no clients any more."""
            remaining.discard(listener)
            if not remaining:
                done()

        for listener in self.listeners:
            listener.retire(partial(retired, listener))

    # ---- for listeners

    def has_plan(self, name: bytes) -> bool:
        """Whether the settings define a plan with this name."""
        return name in self._plans

    def count_declined(self, product: bytes | None) -> None:
        """Counts a transaction that a listener declined itself. Unknown products are not counted."""
        if known := self._products.get(product or b""):
            self.outcomes[known.product_index].declined += 1

    def count_unknown(self, product: bytes | None) -> None:
        """Counts a transaction that a listener refused, or answered itself that it may have run."""
        if known := self._products.get(product or b""):
            self.outcomes[known.product_index].unknown += 1

    def accept(self, client: AnswerReceiver, request: TransactionRequest) -> None:
        """Accepts a transaction: calls `client.accepted`, and answers immediately or later.

        Raises:
            HttpStatusError: the request is invalid and was not accepted.
        """
        product, plan = self._check_names(request)
        check_method(request, product.terms)
        account = parse_account(request.account_key)
        if not 0 < request.expires_in_ns <= self._limits.max_expiry_ns:
            raise HttpStatusError(BAD_REQUEST, "X-Deadline-Ms is no time ahead")
        units, spread = self._call_terms.parse(request.call_terms)
        exchange = Exchange(client, request.id, encode_head(request), request.body, product.product_index)
        exchange.account = account
        once_only = product.terms.kind == t.ONCE_ONLY
        self._check_not_open(exchange, once_only)
        gate = self.driver.once_only_gate
        if gate and once_only and not gate.accepts_intents():
            client.accepted(exchange)
            self.decline(exchange, _JOURNAL_RETRY_NS)
            return
        if self.storm:
            retry_after_ns, units_taken = self._check_storm(self.storm, exchange, request)
            if retry_after_ns is not None:
                client.accepted(exchange)
                self.decline(exchange, retry_after_ns)
                return
            if units_taken and not self._has_ceiling[plan]:  # a ceiling counts every attempt
                units = _NO_UNITS
        client.accepted(exchange)
        expires_in_ns = request.expires_in_ns - self._limits.answer_margin_ns
        txn = self.driver.open(exchange)
        timeout_ns = max(_NS_PER_MS, expires_in_ns)
        self.driver.post(t.Arrival(txn, product.product_index, plan, account, units, timeout_ns, spread))
        if exchange.client is client and expires_in_ns < self._short_expiry_ns:
            self.driver.timers.after(max(0, expires_in_ns), self._decline_unsent, exchange)

    # ---- for the driver

    def complete(self, exchange: TransactionExchange, body: ResponseBody, stream: StreamSource | None) -> None:
        """Answers with a server's response: its body, None if it was discarded, or the connection that streams it."""
        self._counts["settled"] += 1
        if self.storm and exchange.fingerprint:
            self.storm.settled(exchange.fingerprint, self.clock())
        client = exchange.detach_client()
        if client is None:
            return
        if stream is None and body is None:
            self.outcomes[exchange.product].unknown += 1
            client.outcome_unknown()
            return
        self.outcomes[exchange.product].succeeded += 1
        if stream is None:
            client.succeeded(body)
        else:
            client.stream(stream)

    def decline(self, exchange: TransactionExchange, retry_after_ns: int) -> None:
        """Answers that the transaction has not run. `retry_after_ns`: when to retry; 0 for no advice."""
        self._counts["declined"] += 1
        if client := exchange.detach_client():
            self.outcomes[exchange.product].declined += 1
            client.declined(retry_after_ns)

    def void(self, exchange: TransactionExchange) -> None:
        """Answers that the transaction may have run."""
        self._counts["voided"] += 1
        if client := exchange.detach_client():
            self.outcomes[exchange.product].unknown += 1
            client.outcome_unknown()

    # ---- checks

    def _check_names(self, request: TransactionRequest) -> tuple[_Product, int]:
        """Returns the product and the index of the plan. Raises HttpStatusError."""
        if not 0 < len(request.id) <= _MAX_ID_BYTES:
            raise HttpStatusError(BAD_REQUEST, "X-Request-Id is missing or too long")
        product = self._products.get(request.product or b"")
        plan = self._plans.get(request.plan or b"")
        if product is None or plan is None:
            raise HttpStatusError(BAD_REQUEST, "unknown X-Class or X-Tier")
        return product, plan

    def _check_not_open(self, exchange: TransactionExchange, once_only: bool) -> None:
        """Refuses a duplicate of an open transaction, which must not run twice. Raises HttpStatusError."""
        if exchange in self.driver.in_flight.transactions:
            raise HttpStatusError(CONFLICT, "its X-Request-Id is open")
        gate = self.driver.once_only_gate
        if gate and once_only and gate.may_have_run(exchange.id):
            raise HttpStatusError(CONFLICT, "its X-Request-Id may have run before this node's last start")

    def _check_storm(
        self, storm: RetryStormControl, exchange: TransactionExchange, request: TransactionRequest
    ) -> tuple[int | None, bool]:
        """Returns when to retry if the transaction is declined for a retry storm, and whether its units were taken."""
        now_ns = self.clock()
        fingerprint = storm.mark(
            exchange.account, exchange.product, request.idempotency_key, request.target, request.body
        )
        exchange.fingerprint = fingerprint
        units_taken, retry_after_ns = storm.arrived(fingerprint, exchange.product, request.is_retry, now_ns)
        client = exchange.client
        if retry_after_ns is None and client is not None and client.throttled:
            retry_after_ns = storm.advice(0, now_ns)
        return retry_after_ns, units_taken

    def _decline_unsent(self, exchange: TransactionExchange) -> None:
        """Declines a transaction that still waits for the counter when its client is about to time out."""
        if exchange.client and not exchange.submissions:
            self.driver.client_left(exchange)
            self.decline(exchange, 0)
