"""Reports decisions to the syslog collector: the decision driver's `DecisionRecorder`. It decides nothing."""

from collections.abc import Iterable
from typing import Literal

from .. import terms
from ..net.exchange import AnyExchange
from .decision_messages import Decision
from .syslog_sender import SyslogSender

_STATES: dict[int, Decision] = {terms.UP: "up", terms.DRAINING: "drain", terms.REMOVED: "removed"}


class SyslogDecisionRecorder:
    """Makes records of decisions and hands them to the sender."""

    def __init__(self, sender: SyslogSender, product_names: Iterable[str], reports_successes: bool) -> None:
        """Nothing was reported yet.

        Args:
            sender: takes the records; it is closed with the recorder.
            product_names: the names of the products, in the order of their indices.
            reports_successes: whether transactions that settled are reported too.
        """
        self._sender = sender
        self._product_names = list(product_names)
        self._reports_successes = reports_successes
        self._server_states: dict[str, int] = {}  # by uid, as last told; removed servers leave it

    def record_transaction(
        self, decision: Literal["settled", "declined", "voided"], exchange: AnyExchange, **parameters: object
    ) -> None:
        """Reports how a transaction ended. `parameters` follow those that every transaction has."""
        if decision == "settled" and not self._reports_successes:
            return
        self._sender.enqueue(
            decision,
            ("account", exchange.account),
            ("product", self._product_names[exchange.product]),
            ("txn", exchange.id.decode("latin-1")),
            ("box", exchange.server),
            *parameters.items(),
        )

    def record_counter_notice(self, notice: str, nodes: int) -> None:
        """Reports news of the counter. `nodes`: how many nodes it hears of."""
        self._sender.enqueue("counter", ("news", notice), ("heard", nodes))

    def record_server_state(self, uid: str, state: int) -> None:
        """Reports the state of a server (of `terms.py`) if it has changed; a new server that is up is no change."""
        previous = self._server_states.get(uid)
        if state == terms.REMOVED:
            self._server_states.pop(uid, None)
        else:
            self._server_states[uid] = state
        if previous != state and (previous is not None or state != terms.UP):
            self._sender.enqueue(_STATES[state], ("box", uid))

    def close(self) -> None:
        """At the end of the process: sends or stores what waits."""
        self._sender.close()
