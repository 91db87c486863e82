"""Builds and runs one edge node: its parts, its signals, its shutdown. Source: the platform's page of processes.

On SIGTERM the node keeps serving for a while, then accepts nothing new, finishes what it has accepted and exits with
status 0. On SIGHUP it reads the configuration again, and applies the addresses of discovery and the counter. On SIGUSR1
it prints the counters. For an invalid configuration it prints the error on standard error and exits with status 2.
"""

import asyncio
import gc
import random
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import uvloop

from ..net.clock import Clock
from ..net.decision_driver import DecisionDriver
from ..net.memory_account import machine_account
from ..net.server_connection_pool import ServerConnectionPool
from ..net.startup_signals import StartupSignals
from ..net.timers import TimerQueue
from ..net.transaction_gateway import Listener, TransactionExchange, TransactionGateway
from ..net.transaction_listener import TransactionListener
from .admin import AdminEndpoints
from .configuration import NodeConfiguration, load_configuration
from .configuration_checks import ConfigurationError
from .counter_client import QuotaCounterClient
from .discovery_client import DiscoveryClient
from .log import Log
from .node_context import NodeContext
from .optional_parts import (
    SweptListener,
    create_journal,
    create_mqtt_listener,
    create_recorder,
    create_storm_control,
)

if TYPE_CHECKING:
    from ..journal.durable_intent_journal import DurableIntentJournal

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 1
EXIT_INVALID = 2

# No object that is created for a transaction is part of a reference cycle, so garbage collections can be rare.
_GC_THRESHOLDS = (20000, 20, 100)


class EdgeNode:
    """An edge node: builds its parts and connects them.

    Attributes:
        driver: the decision driver.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        configuration: NodeConfiguration,
        log: Log,
        reload: Callable[[], NodeConfiguration],
    ) -> None:
        """Builds the parts; `start` opens the listeners.

        Args:
            loop: the event loop.
            clock: returns the time in ns.
            configuration: the node's configuration.
            log: the event log.
            reload: reads the configuration again.

        Raises:
            ConfigurationError: the journal's folder cannot be written to.
        """
        limits = configuration.limits
        self.driver: DecisionDriver[TransactionExchange]
        self.driver = DecisionDriver(TimerQueue(loop, clock), configuration.terms, configuration.seed, limits, log)
        memory = machine_account(clock, configuration.memory_mb, log.counts)
        servers = ServerConnectionPool(loop, self.driver, memory, configuration.reports_load, log)
        gateway = TransactionGateway(self.driver, limits, configuration.names, configuration.terms)
        self.driver.servers = servers
        self.driver.gateway = gateway
        draw = random.Random(configuration.seed ^ 1).uniform
        self._context = NodeContext(loop, configuration, self.driver, gateway, draw, log)
        self._reload = reload
        self._listener = TransactionListener(loop, gateway, limits, memory, log)
        self._discovery = DiscoveryClient(self._context)
        self._counter: QuotaCounterClient | None = None
        self._mqtt_listener: SweptListener | None = None
        self._journal: DurableIntentJournal | None = None
        self._listeners: list[Listener] = [self._listener]
        gateway.listeners = self._listeners
        sweeps = [self._listener.sweep, servers.sweep, self._discovery.sweep, log.sweep]
        self._sweeps: list[Callable[[], None]] = sweeps
        self._add_optional_parts()

    def start(self) -> None:
        """Starts the decision module and opens the listeners.

        The clients' HTTP listener, which reports whether the node is ready, opens after the MQTT listener.

        Raises:
            OSError: an address cannot be listened on.
        """
        configuration = self._context.configuration
        loop = self._context.loop
        log = self._context.log
        self.driver.start()
        self.driver.update_servers(True, configuration.known_servers.rows)
        self._discovery.start()
        if self._mqtt_listener and configuration.mqtt:
            loop.run_until_complete(self._mqtt_listener.listen(*configuration.mqtt.address))
        inherited = configuration.inherited_listener
        loop.run_until_complete(self._listener.listen(*configuration.listen_address, inherited))
        if configuration.admin_address:
            admin = AdminEndpoints(self._context, self._listener)
            loop.run_until_complete(admin.listen(*configuration.admin_address))
            self._sweeps.append(admin.sweep)
        self._sweep()
        loop.add_signal_handler(signal.SIGHUP, self.reload_addresses)
        loop.add_signal_handler(signal.SIGTERM, self._shut_down)
        loop.add_signal_handler(signal.SIGINT, self._shut_down)
        loop.add_signal_handler(signal.SIGUSR1, log.record_counters, "asked")

    def close(self) -> None:
        """Flushes the recorder and the journal; called after the event loop has stopped."""
        if self.driver.recorder:
            self.driver.recorder.close()
        if self._journal:
            self._journal.close()

    # ---- parts

    def _add_optional_parts(self) -> None:
        """Builds the parts that the configuration enables. Raises ConfigurationError."""
        context = self._context
        configuration = context.configuration
        if configuration.counter_address:
            self._counter = QuotaCounterClient(context, configuration.counter_address)
            self._counter.connect()
            self._sweeps.append(self._counter.sweep)
            self.driver.counter = self._counter
        if configuration.storm:
            storm = create_storm_control(context, configuration.storm)
            self.driver.storm = storm
            context.gateway.storm = storm
            self._listener.storm = storm
        if configuration.journal:
            self._journal = create_journal(context, configuration.journal)
        if configuration.syslog:
            self.driver.recorder = create_recorder(context, configuration.syslog)
        if configuration.mqtt:
            self._mqtt_listener = create_mqtt_listener(context, configuration.mqtt)
            self._listeners.append(self._mqtt_listener)
            self._sweeps.append(self._mqtt_listener.sweep)

    # ---- timers and signals

    def _sweep(self) -> None:
        """Sweeps all parts, and schedules the next sweep."""
        # The timer is set first, so that an exception in a part does not end the sweeps.
        self.driver.timers.after(self._context.configuration.limits.sweep_interval_ns, self._sweep)
        for sweep in self._sweeps:
            sweep()

    def _shut_down(self) -> None:
        """Shuts the node down.

        The node keeps serving for the shutdown delay, then accepts nothing new. It stops once every transaction is
        answered, at the latest after the shutdown timeout.
        """
        limits = self._context.configuration.limits
        timers = self.driver.timers
        loop = self._context.loop
        self._context.log.record("ending")
        timers.after(limits.shutdown_delay_ns, self._context.gateway.retire, loop.stop)
        timers.after(limits.shutdown_timeout_ns, loop.stop)

    def reload_addresses(self) -> None:
        """Applies new addresses of discovery and the counter. An invalid file is logged and changes nothing."""
        log = self._context.log
        try:
            configuration = self._reload()
        except ConfigurationError as error:
            log.record("configuration kept", why=str(error))
            return
        discovery_address = configuration.discovery_address
        counter_address = configuration.counter_address
        log.record("configuration read", discovery=discovery_address, counter=counter_address)
        self._discovery.change_address(discovery_address)
        if self._counter and counter_address:
            self._counter.change_address(counter_address)


def start(
    loop: asyncio.AbstractEventLoop,
    clock: Callable[[], int],
    configuration: NodeConfiguration,
    log: Log,
    reload: Callable[[], NodeConfiguration] = load_configuration,
) -> EdgeNode:
    """Builds an edge node and starts it.

    Args:
        loop: the event loop, which the caller runs.
        clock: returns the time in ns.
        configuration: the node's configuration.
        log: the event log.
        reload: reads the configuration again.

    Raises:
        ConfigurationError: the journal's folder cannot be written to.
        OSError: an address cannot be listened on.
    """
    node = EdgeNode(loop, clock, configuration, log, reload)
    node.start()
    return node


def serve() -> int:
    """Runs one edge node until it shuts down. Returns the exit status."""
    startup_signals = StartupSignals()
    try:
        configuration = load_configuration()
    except ConfigurationError as error:
        return _print_configuration_error(error)
    limits = configuration.limits
    log = Log(configuration.name, limits.log_quiet_ns, levels=configuration.log_levels)
    loop = uvloop.new_event_loop()
    loop.set_exception_handler(lambda _, context: _record_fault(log, context))
    try:
        node = start(loop, Clock(), configuration, log)
    except ConfigurationError as error:
        return _print_configuration_error(error)
    except OSError as error:
        print("rampfront: cannot listen:", error, file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    app_servers = len(configuration.known_servers.rows)
    log.record("serving", listen=configuration.listen_address, app_servers=app_servers)
    if startup_signals.reload_requested:
        node.reload_addresses()
    gc.freeze()  # objects that exist now live as long as the process
    gc.set_threshold(*_GC_THRESHOLDS)
    loop.run_forever()
    node.close()
    log.record_counters("exit")
    return EXIT_OK


def _print_configuration_error(error: ConfigurationError) -> int:
    """Prints the error in the configuration. Returns the exit status."""
    print(f"rampfront: {error}", file=sys.stderr)
    return EXIT_INVALID


def _record_fault(log: Log, context: dict[str, Any]) -> None:
    """Counts and logs an uncaught exception. `context`: from the event loop's exception handler."""
    log.counts["faults"] += 1
    log.record_limited("fault", context.get("message", ""), trouble=repr(context.get("exception")))
