"""Builds the parts that only some nodes have. Only nodes that have a part import its package."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from ..net.decision_ports import DecisionRecorder, RetryStormControl
from ..net.once_only import OnceOnlyGate
from ..net.transaction_gateway import Listener
from .configuration_checks import ConfigurationError
from .node_context import NodeContext
from .optional_settings import MqttSettings, StormSettings, SyslogOptions

if TYPE_CHECKING:
    from ..journal.durable_intent_journal import DurableIntentJournal
    from ..journal.journal_settings import JournalSettings


class SweptListener(Listener, Protocol):
    """A listener that the node opens and sweeps."""

    async def listen(self, host: str, port: int) -> None:
        """Opens the listener."""
        raise NotImplementedError

    def sweep(self) -> None:
        """Closes connections that have exceeded a timeout."""
        raise NotImplementedError


def create_storm_control(context: NodeContext, settings: StormSettings) -> RetryStormControl:
    """Creates the control of retry storms."""
    from ..storm import Storm

    create: Callable[..., RetryStormControl] = Storm  # `storm.py` is untyped
    return create(
        values=settings.values,
        latency_targets=settings.sla_ns,
        draw=context.draw,
        counts=context.log.counts,
        retry_share=settings.retry_share,
        min_retries_per_s=settings.retries_per_s,
        window=settings.window_ns,
        accepts_per_s=settings.accepts_per_s,
        max_retry_after=settings.max_retry_after_ns,
    )


def create_journal(context: NodeContext, settings: "JournalSettings") -> "DurableIntentJournal":
    """Creates the journal of once-only transactions, and installs the gate that waits for it in the driver.

    Raises:
        ConfigurationError: the journal's folder cannot be written to.
    """
    from ..journal.durable_intent_journal import DurableIntentJournal

    driver = context.driver
    products = context.configuration.names.products
    try:
        journal = DurableIntentJournal(context.loop, driver.timers, context.log, settings, products)
    except OSError as error:
        expected = "a folder that this process alone may write to"
        raise ConfigurationError.for_key("journal.dir", expected, str(error)) from None
    gate = OnceOnlyGate(journal, driver.timers, driver.servers, driver.submission_ended)
    journal.send = gate.send
    journal.refuse = gate.refuse
    driver.once_only_gate = gate
    return journal


def create_recorder(context: NodeContext, options: SyslogOptions) -> DecisionRecorder:
    """Creates the recorder that sends decisions to a syslog collector, and starts connecting to the collector."""
    from ..syslog.decision_recorder import SyslogDecisionRecorder
    from ..syslog.syslog_sender import SyslogSender

    sender = SyslogSender(context.loop, context.driver.timers, context.log, options.sender, context.draw)
    sender.start()
    return SyslogDecisionRecorder(sender, context.configuration.names.products, options.reports_successes)


def create_mqtt_listener(context: NodeContext, settings: MqttSettings) -> SweptListener:
    """Creates the listener for MQTT clients, which is not open yet."""
    from ..mqtt.front import MqttListener
    from ..mqtt.topics import Routes

    # The package is untyped; `MqttListener` defines the keys of `options`.
    create: Callable[..., SweptListener] = MqttListener
    create_routes: Callable[..., Routes] = Routes
    routes = create_routes(settings.routes)
    configuration = context.configuration
    options = {
        "plan": settings.default_plan,
        "answers": settings.answer_prefix,
        "connections": settings.max_connections,
        "sessions": settings.max_sessions,
        "inflight": settings.max_in_flight,
        "expiry": settings.expiry_ns,
        "session_expiry": settings.max_session_expiry_ns,
    }
    return create(context.loop, context.gateway, configuration.limits, context.log, configuration.name, routes, options)
