"""Discovery: the watch on the server list, read line by line, and joined anew when it breaks or falls silent.

It owns that one connection and the version last read. It must never drop what is known of the list because
discovery is ill: the node serves on from what it last heard.
"""

import asyncio

import httptools
import orjson

from .. import terms as t
from ..announced import Odd
from ..net.decision_ports import ServerRow

STATES = {"in_service": t.UP, "terminating": t.DRAINING, "terminated": t.REMOVED}


def address(text):
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no host:port")
    return host, int(port)


def read_list(said, zones):
    """One object of discovery: its version, whether it is the whole list, its rows as the driver wants them."""
    rows = []
    for row in said["targets"]:
        leads = "endpoint" in row or row["state"] != "terminated"
        rows.append(
            ServerRow(
                row["uid"],
                STATES[row["state"]],
                zones.get(row.get("az"), -1),
                int(row.get("pod_group", 0)),
                float(row.get("capacity_hint", 1.0)),
                int(row.get("boot_ms", 0)) * 10**6,
                address(row["endpoint"]) if leads else None,
            )
        )
    return int(said["rev"]), bool(said.get("all", False)), rows


class Watch(asyncio.Protocol):
    """One connection to discovery."""

    def __init__(self, discovery):
        self.discovery, self.transport, self.task, self.rest, self.lines = discovery, None, None, b"", []
        self.parser = httptools.HttpResponseParser(self)

    def opened(self, task):
        self.task = None
        if not task.cancelled() and task.exception() is not None:
            self.discovery.lost(self, "no connection")

    def connection_made(self, transport):
        self.transport = transport
        if self.discovery.watch is not self:
            return transport.abort()
        transport.write(
            b"GET /api/targets?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n"
            % (self.discovery.rev, b"%s:%d" % (self.discovery.address[0].encode(), self.discovery.address[1]))
        )

    def connection_lost(self, trouble):
        self.discovery.lost(self, "connection ended")

    def data_received(self, data):
        if self.discovery.watch is not self:
            return
        self.discovery.heard = self.discovery.clock()
        trouble = None
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as odd:
            trouble = odd.__context__ or odd
        lines, self.lines = self.lines, []
        for line in lines:  # not within the parser's callback, where a fault of ours would pass for theirs
            try:
                self.discovery.read(line)
            except Odd as odd:
                trouble = trouble or odd
                break
        if trouble:
            self.discovery.lost(self, f"odd answer: {trouble}")

    def on_headers_complete(self):
        if self.parser.get_status_code() != 200:
            raise ValueError(f"status {self.parser.get_status_code()}")

    def on_body(self, part):
        *lines, self.rest = (self.rest + part).split(b"\n")
        self.lines += [line for line in lines if line.strip()]
        if len(self.rest) > self.discovery.bounds.max_list_line_bytes:
            raise ValueError("a line too long")

    def on_message_complete(self):
        raise ValueError("the watch ended")


class Discovery:
    def __init__(self, loop, driver, address, rev, zones, bounds, draw, log):
        self.loop, self.driver, self.rev, self.zones = loop, driver, rev, zones
        self.address = address
        self.bounds, self.draw, self.log, self.counts = bounds, draw, log, log.counts
        self.clock, self.timers = driver.clock, driver.timers
        self.watch, self.heard, self.stopped = None, self.clock(), False
        self.failed = 0  # joins in a row that brought nothing

    def start(self):
        if self.stopped or self.watch:
            return
        self.counts["watches"] += 1
        self.heard = self.clock()
        self.watch = watch = Watch(self)
        watch.task = self.loop.create_task(self.loop.create_connection(lambda: watch, *self.address))
        watch.task.add_done_callback(watch.opened)

    def move(self, address):
        """Discovery is elsewhere from now on: what the old one still says would be old news."""
        if address == self.address:
            return
        self.address, old = address, self.watch
        if old:
            self.end(old)
        self.start()

    def read(self, line):
        try:
            rev, whole, rows = read_list(orjson.loads(line), self.zones)
        except (ValueError, KeyError, TypeError, AttributeError) as trouble:
            raise Odd(f"{type(trouble).__name__} {trouble}") from None
        self.rev, self.failed = rev, 0
        self.counts["lists"] += 1
        self.driver.update_servers(whole, rows)

    def lost(self, watch, why):
        """Joins again after a drawn time, so that nodes cut off together do not come back together."""
        if self.end(watch):
            self.log.record_limited("watch lost", why)
            most = min(self.bounds.reconnect_delay_cap_ns, self.bounds.max_reconnect_delay_ns << min(self.failed, 8))
            self.failed += 1
            self.timers.after(
                int(self.draw(most * self.bounds.min_reconnect_delay_ns // self.bounds.max_reconnect_delay_ns, most)),
                self.start,
            )

    def end(self, watch):
        """True if it was the one that is read."""
        if watch.task:
            watch.task.cancel()
        if watch.transport:
            watch.transport.abort()
        was, self.watch = self.watch is watch, None if self.watch is watch else self.watch
        return was

    def sweep(self):
        if self.watch and self.clock() - self.heard > self.bounds.discovery_silence_timeout_ns:
            self.lost(self.watch, "silent")
