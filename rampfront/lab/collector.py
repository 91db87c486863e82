"""An emulated syslog collector, which parses every message strictly and can become unavailable.

It recognises repeats by their sequenceId, counts what it could not parse, and keeps the messages in order of arrival.
`Collector.disconnect()` stops listening and closes the connections in good order; with `abort=True` it resets them.
"""

import asyncio

import orjson
import uvloop

from ..syslog.message_parser import MessageParseError, parse_message
from ..syslog.octet_counting import FrameDecoder, FramingError
from .http import Listener, reset, run_until_stopped


class CollectorConnection(asyncio.Protocol):
    """One connection from a sender, with messages framed by octet counts."""

    def __init__(self, collector):
        """`collector`: gets the messages."""
        self.collector, self.frame_decoder, self.transport = collector, FrameDecoder(), None

    def connection_made(self, transport):
        """Called by the event loop: the connection is up."""
        self.transport = transport
        self.collector.connections[self] = None
        if self.collector.paused:
            transport.pause_reading()

    def connection_lost(self, error):
        """Called by the event loop: the connection has ended. An incomplete message is counted."""
        self.collector.connections.pop(self, None)
        if self.frame_decoder.has_incomplete_frame:
            self.collector.counts["torn"] += 1

    def eof_received(self):
        """Called by the event loop: the peer sends nothing more. Returns False, so that the loop closes the
        transport."""
        return False

    def data_received(self, data):
        """Called by the event loop: bytes of messages. A framing error resets the connection."""
        try:
            for frame in self.frame_decoder.feed(data):
                self.collector.on_message(frame)
        except FramingError as error:
            self.collector.count_malformed(error)
            reset(self.transport)


class Collector:
    """The collector. `counts`: messages, repeats, malformed and incomplete (`torn`) ones; `messages`: the parsed
    messages."""

    def __init__(self, loop, host="127.0.0.1", port=0, out=None):
        """`out`: a binary file for the messages as JSON lines, or None."""
        self.loop, self.out, self.paused = loop, out, False
        self.listener = Listener(loop, lambda: CollectorConnection(self), host, port)
        self.connections, self.messages, self.seen_ids, self.errors = {}, [], {}, []
        self.counts = {"messages": 0, "repeats": 0, "malformed": 0, "torn": 0}

    async def listen(self):
        """Starts to listen and returns the collector."""
        await self.listener.open()
        return self

    def on_message(self, frame):
        """Parses one message, and keeps it unless it is a repeat."""
        try:
            message = parse_message(frame)
        except MessageParseError as error:
            return self.count_malformed(error)
        sequence_id = next(
            (int(value) for key, value in message.structured_data.get("meta", ()) if key == "sequenceId"), None
        )
        if sequence_id is not None:
            received_ids = self.seen_ids.setdefault((message.hostname, message.app_name, message.process_id), set())
            if sequence_id in received_ids:
                self.counts["repeats"] += 1
                return
            received_ids.add(sequence_id)
        self.counts["messages"] += 1
        self.messages.append(message)
        if self.out:
            self.out.write(
                orjson.dumps(
                    {
                        "at": message.timestamp_ns,
                        "msgid": message.message_id,
                        "host": message.hostname,
                        "data": message.structured_data,
                        "text": message.text,
                    }
                )
                + b"\n"
            )

    def count_malformed(self, error):
        """Counts a message that could not be parsed, and keeps the reason."""
        self.counts["malformed"] += 1
        self.errors.append(str(error))

    def missing(self):
        """Returns the number of sequence IDs below each sender's highest one that never arrived, for senders that have
        any."""
        return {
            sender: max(received_ids) - len(received_ids)
            for sender, received_ids in self.seen_ids.items()
            if len(received_ids) < max(received_ids)
        }

    def disconnect(self, abort=False):
        """Stops listening and closes all connections; `abort`: with a reset."""
        self.listener.close()
        for connection in list(self.connections):
            reset(connection.transport) if abort else connection.transport.close()

    async def listen_again(self):
        """Listens again, at the same address."""
        await self.listener.open()


def serve(address, out_path, print_line=print):
    """Collects until SIGTERM or SIGINT, then prints the counts as one JSON line."""
    host, _, port = address.rpartition(":")
    loop = uvloop.new_event_loop()
    with open(out_path, "ab") as out:
        collector = loop.run_until_complete(Collector(loop, host, int(port), out).listen())
        run_until_stopped(loop, collector.listener.address, print_line)
    print_line(orjson.dumps({**collector.counts, "missing": sum(collector.missing().values())}).decode(), flush=True)
