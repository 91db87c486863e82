"""Reports decisions to the syslog collector; implements the decision driver's `DecisionRecorder`."""

from collections.abc import Iterable
from typing import Literal

from .. import terms
from ..net.exchange import AnyExchange
from .decision_messages import Decision
from .syslog_sender import SyslogSender

_STATES: dict[int, Decision] = {terms.UP: "up", terms.DRAINING: "drain", terms.REMOVED: "removed"}


class SyslogDecisionRecorder:
    """Converts decisions to records and passes them to the sender."""

    def __init__(self, sender: SyslogSender, product_names: Iterable[str], reports_successes: bool) -> None:
        """Creates a recorder that has reported nothing yet.

        Args:
            sender: receives the records; closed together with the recorder.
            product_names: the names of the products, in the order of their indices.
            reports_successes: whether settled transactions are reported too.
        """
        self._sender = sender
        self._product_names = list(product_names)
        self._reports_successes = reports_successes
        self._server_states: dict[str, int] = {}  # last known state by uid; without removed servers

    def record_transaction(
        self, decision: Literal["settled", "declined", "voided"], exchange: AnyExchange, **parameters: object
    ) -> None:
        """Reports how a transaction ended. `parameters` follow the ones common to all transactions."""
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
        """Reports a notice about the counter. `nodes` is the number of nodes that the counter knows of."""
        self._sender.enqueue("counter", ("news", notice), ("heard", nodes))

    def record_server_state(self, uid: str, state: int) -> None:
        """Reports a changed server state (a constant of `terms.py`); a new server that is up is not reported."""
        previous = self._server_states.get(uid)
        if state == terms.REMOVED:
            self._server_states.pop(uid, None)
        else:
            self._server_states[uid] = state
        if previous != state and (previous is not None or state != terms.UP):
            self._sender.enqueue(_STATES[state], ("box", uid))

    def close(self) -> None:
        """Sends or stores all queued messages when the process ends."""
        self._sender.close()
