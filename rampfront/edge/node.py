"""One edge node on sockets: the parts made and joined, signals, the end. Source: the platform's page of processes.

SIGTERM: serves on for a while, then takes nothing new, finishes what it took and exits 0. SIGHUP reads the
configuration again, of which the addresses of discovery and the counter are taken over. SIGUSR1 prints the
counters. A faulty configuration is named on standard error, with exit status 2.
"""

import gc
import random
import signal
import sys
from pathlib import Path

import uvloop

from ..net.clock import Clock
from ..net.decision_driver import DecisionDriver
from ..net.once_only import OnceOnlyGate
from ..net.server_connection_pool import ServerConnectionPool
from ..net.timers import TimerQueue
from ..net.transaction_gateway import TransactionGateway
from ..net.transaction_listener import TransactionListener
from .admin import Admin
from .counter import Counter
from .discovery import Discovery
from .launch import Faulty, load
from .log import Log


def start(loop, clock, launch, log, again=load):
    """Makes the parts, joins them and listens; returns the driver. `again` reads the configuration anew."""
    bounds, terms = launch.bounds, launch.terms
    driver = DecisionDriver(TimerQueue(loop, clock), terms, launch.seed, bounds, log)
    rev, _, rows = launch.known
    servers = driver.servers = ServerConnectionPool(loop, driver, bounds, launch.reports, log)
    gateway = driver.gateway = TransactionGateway(driver, bounds, launch.names, terms)
    listener = TransactionListener(loop, gateway, bounds, log)
    listeners = gateway.listeners = [listener]
    draw = random.Random(launch.seed ^ 1).uniform
    watch = Discovery(loop, driver, launch.discovery, rev, launch.names.zones, bounds, draw, log)
    parts = [listener, servers, watch, log]
    if launch.counter:
        driver.counter = Counter(loop, driver, launch.counter, terms.counter_wait, bounds, log)
        driver.counter.connect()
        parts.append(driver.counter)
    if launch.storm:
        from ..storm import Storm

        gateway.storm = driver.storm = listener.storm = Storm(draw=draw, counts=log.counts, **launch.storm)
    if launch.journal:
        from ..journal.durable_intent_journal import DurableIntentJournal
        from ..journal.journal_settings import JournalSettings

        table = launch.journal
        journal_settings = JournalSettings(
            folder=Path(table["folder"]),
            node_name=launch.name,
            batch_delay_ns=table["batch"],
            max_segment_bytes=table["segment"],
            max_total_bytes=table["most"],
            retention_s=table["keep"],
        )
        try:
            journal = DurableIntentJournal(loop, driver.timers, log, journal_settings, launch.names.products)
        except OSError as trouble:
            raise Faulty("journal.dir", "a folder that this process alone may write to", str(trouble)) from None
        gate = driver.once_only_gate = OnceOnlyGate(journal, driver.timers, servers, driver.submission_ended)
        journal.send, journal.refuse = gate.send, gate.refuse
    if launch.syslog:
        from ..syslog.decision_recorder import SyslogDecisionRecorder
        from ..syslog.syslog_sender import SyslogSender
        from ..syslog.syslog_settings import SyslogSettings

        table = launch.syslog
        sender_settings = SyslogSettings(
            collector_address=table["address"],
            node_name=launch.name,
            buffer_folder=Path(table["spill"]) if table["spill"] else None,
            max_buffer_bytes=table["spill_most"],
            max_queued_messages=table["memory"],
            enterprise_number=table["enterprise"],
            udp=table["udp"],
        )
        sender = SyslogSender(loop, driver.timers, log, sender_settings, draw)
        sender.start()
        driver.recorder = SyslogDecisionRecorder(sender, launch.names.products, table["settled"])
    if launch.mqtt:
        from ..mqtt.front import Front as Mqtt
        from ..mqtt.topics import Routes

        listeners.append(Mqtt(loop, gateway, bounds, log, launch.name, Routes(launch.mqtt["routes"]), launch.mqtt))
        parts.append(listeners[-1])
    driver.start()
    driver.update_servers(True, rows)
    watch.start()
    if launch.mqtt:  # first: `/-/ready` must not say yes while one of the fronts is not there
        loop.run_until_complete(listeners[-1].listen(*launch.mqtt["address"]))
    loop.run_until_complete(listener.listen(*launch.listen, launch.inherited))
    if launch.admin:
        admin = Admin(loop, driver, listener, bounds, launch.names, log)
        loop.run_until_complete(admin.listen(*launch.admin))
        parts.append(admin)

    def sweep():
        driver.timers.after(bounds.sweep_interval_ns, sweep)  # first, so that a defect below does not end it
        for part in parts:
            part.sweep()

    def ending():
        log.record("ending")
        driver.timers.after(bounds.shutdown_delay_ns, gateway.retire, loop.stop)
        driver.timers.after(bounds.shutdown_timeout_ns, loop.stop)

    def reread():
        """Guards the txns under way against a faulty file: it is named, and what stands goes on."""
        try:
            new = again()
        except Faulty as trouble:
            return log.record("configuration kept", why=str(trouble))
        log.record("configuration read", discovery=new.discovery, counter=new.counter)
        watch.move(new.discovery)
        if driver.counter and new.counter:
            driver.counter.move(new.counter)

    sweep()
    loop.add_signal_handler(signal.SIGHUP, reread)
    loop.add_signal_handler(signal.SIGTERM, ending)
    loop.add_signal_handler(signal.SIGINT, ending)
    loop.add_signal_handler(signal.SIGUSR1, log.record_counters, "asked")
    return driver


def serve():
    """Runs one edge node to its end; returns the exit status."""
    try:
        launch = load()
    except Faulty as trouble:
        print(f"rampfront: {trouble}", file=sys.stderr)
        return 2
    log = Log(launch.name, launch.bounds.log_quiet_ns, levels=launch.levels)
    loop = uvloop.new_event_loop()

    def fault(loop, about):
        log.counts["faults"] += 1
        log.record_limited("fault", about.get("message", ""), trouble=repr(about.get("exception")))

    loop.set_exception_handler(fault)
    try:
        driver = start(loop, Clock(), launch, log)
    except Faulty as trouble:
        print(f"rampfront: {trouble}", file=sys.stderr)
        return 2
    except OSError as trouble:
        print("rampfront: cannot listen:", trouble, file=sys.stderr)
        return 1
    log.record("serving", listen=launch.listen, app_servers=len(launch.known[2]))
    gc.freeze()  # what stands now stays; nothing that is made for a txn holds itself in a ring
    gc.set_threshold(20000, 20, 100)
    loop.run_forever()
    if driver.recorder:
        driver.recorder.close()
    if driver.once_only_gate:
        driver.once_only_gate.journal.close()
    log.record_counters("exit")
    return 0
