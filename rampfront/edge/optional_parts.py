"""Makes the parts that only some nodes have. Their packages are imported only by nodes that have them."""

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
    """A listener as the node needs it."""

    async def listen(self, host: str, port: int) -> None:
        """Opens the listener."""
        raise NotImplementedError

    def sweep(self) -> None:
        """Ends connections that are too slow."""
        raise NotImplementedError


def create_storm_control(context: NodeContext, settings: StormSettings) -> RetryStormControl:
    """The control of retry storms."""
    from ..storm import Storm

    create: Callable[..., RetryStormControl] = Storm  # it has no types
    return create(
        values=settings.values,
        slas=settings.sla_ns,
        draw=context.draw,
        counts=context.log.counts,
        share=settings.retry_share,
        least=settings.retries_per_s,
        window=settings.window_ns,
        accepts=settings.accepts_per_s,
        longest=settings.max_retry_after_ns,
    )


def create_journal(context: NodeContext, settings: "JournalSettings") -> "DurableIntentJournal":
    """The journal of once-only transactions. The driver's gate waits for it from now on.

    Raises:
        ConfigurationError: its folder cannot be written to.
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
    """The recorder that sends decisions to a syslog collector, to which it begins to connect."""
    from ..syslog.decision_recorder import SyslogDecisionRecorder
    from ..syslog.syslog_sender import SyslogSender

    sender = SyslogSender(context.loop, context.driver.timers, context.log, options.sender, context.draw)
    sender.start()
    return SyslogDecisionRecorder(sender, context.configuration.names.products, options.reports_successes)


def create_mqtt_listener(context: NodeContext, settings: MqttSettings) -> SweptListener:
    """The listener of MQTT clients, which does not listen yet."""
    from ..mqtt.front import MqttListener
    from ..mqtt.topics import Routes

    # The package has no types; the keys are those that `MqttListener` reads.
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
