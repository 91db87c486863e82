"""MQTT clients: connections, sessions, PUBLISHes passed to the gateway, and their acknowledgements and answers.

This module owns the MQTT listener, its connections and sessions. It must never decide on a transaction: the gateway
accepts it and `choice.py` decides, as for HTTP. The listener itself answers only invalid input, and a repeated
delivery that another node may have executed (`is_redelivery`).
"""

import asyncio
import re
import socket

import orjson

from .. import terms as t
from ..net.http_status import HttpStatusError
from ..net.listening import open_server
from ..net.transaction_request import TransactionRequest, parse_account
from . import codec
from .session import ACKNOWLEDGE, CHECK_REDELIVERY, EXECUTE, REJECT, Session, message_digest

MS, SEC = 10**6, 10**9
CLIENT_ID_PATTERN = re.compile(r"[0-9A-Za-z._:@-]{1,128}")
USER_NAME_PATTERN = re.compile(r"(?:([^:]{1,64}):)?([0-9a-fA-F]{16})")  # optional plan, account
# Outcomes of a transaction as reported to the client: the word in topic and property, and the reason code.
SETTLED, DECLINED, VOIDED = (
    ("settled", codec.OK),
    ("declined", codec.QUOTA_EXCEEDED),
    ("voided", codec.IMPLEMENTATION_SPECIFIC_ERROR),
)
REFUSED = "refused"  # each cause has its own reason code
OUTCOME_UNKNOWN_REASON = "it may have run"
REASON_CODE_BY_STATUS = {
    400: codec.PAYLOAD_FORMAT_INVALID,
    404: codec.TOPIC_NAME_INVALID,
    405: codec.PAYLOAD_FORMAT_INVALID,
    409: codec.PACKET_ID_IN_USE,
    413: codec.PACKET_TOO_LARGE,
}


class PublishTransaction:
    """The transaction that a PUBLISH requests; it receives the transaction's answer."""

    __slots__ = ("listener", "session", "packet_id", "qos", "response_topic", "correlation_data", "exchange")
    accepts_streams = False  # an MQTT packet starts with its length, so a response too large to buffer is void
    throttled = False  # a connection beyond the accept rate is refused at its CONNECT

    def __init__(self, listener, session, packet):
        """`packet`: the PUBLISH."""
        self.listener, self.session = listener, session
        self.packet_id, self.qos, self.exchange = packet.packet_id, packet.qos, None
        self.response_topic = packet.properties.get("response_topic")
        self.correlation_data = packet.properties.get("correlation")

    def accepted(self, exchange):
        """Called by the gateway when it has accepted the transaction."""
        self.exchange = exchange
        self.session.open_transactions[self] = None

    def succeeded(self, body):
        """Reports a server's response, `body`."""
        self.listener.send_answer(self, SETTLED, body)

    def declined(self, retry_after_ns):
        """Reports that the transaction was not executed; `retry_after_ns` 0: no advice."""
        self.listener.send_answer(
            self,
            DECLINED,
            orjson.dumps({"retry_after_ms": retry_after_ns // MS} if retry_after_ns else {}),
            retry_after_ns,
        )

    def outcome_unknown(self):
        """Reports that the transaction may have been executed."""
        self.listener.send_answer(
            self, VOIDED, orjson.dumps({"why": OUTCOME_UNKNOWN_REASON}), reason=OUTCOME_UNKNOWN_REASON
        )


class MqttConnection(asyncio.Protocol):
    """One connection of a client.

    `last_activity_at_ns`: when data last arrived, writing was paused or resumed, or the connection was closed;
    `idle_timeout_ns`: 0 for none; `throttled`: it exceeds the accept rate; `max_packet_bytes`: of packets to the
    client;
    `packets`: decoded and not handled yet.
    """

    __slots__ = (
        "listener",
        "transport",
        "decoder",
        "session",
        "version",
        "last_activity_at_ns",
        "idle_timeout_ns",
        "closed",
        "write_paused",
        "packets",
        "throttled",
        "max_packet_bytes",
        "read_paused",
    )

    def __init__(self, listener):
        """Waits for a CONNECT."""
        self.listener, self.session, self.version, self.packets = listener, None, None, []
        self.closed = self.write_paused = self.throttled = self.read_paused = False
        self.idle_timeout_ns, self.max_packet_bytes = listener.bounds.first_request_timeout_ns, 1 << 28
        self.decoder = codec.Decoder(listener.max_packet_bytes)

    def connection_made(self, transport):
        """Called by the event loop when the connection is established."""
        self.transport, self.last_activity_at_ns = transport, self.listener.clock()
        if sock := transport.get_extra_info("socket"):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)  # a client may disable MQTT's own keep alive
        self.listener.connection_opened(self)

    def connection_lost(self, error):
        """Called by the event loop when the connection has ended."""
        self.closed = True
        self.listener.connection_closed(self)

    def data_received(self, data):
        """Called by the event loop with bytes of the client."""
        self.last_activity_at_ns = self.listener.clock()
        if not self.closed:
            self.packets += self.decoder.feed(data)
            self.handle_packets()

    def handle_packets(self):
        """Handles the decoded packets.

        Reading pauses while the session has its maximum of open transactions, to protect the node from a client that
        publishes faster than they end.
        """
        packets, is_at_limit = self.packets, self.listener.is_at_limit
        while packets and not self.closed and not is_at_limit(self):
            try:
                self.listener.handle_packet(self, packets.pop(0))
            except codec.MqttProtocolError as error:
                self.refuse(error)
        if self.closed:
            return
        if packets != [] or self.write_paused:
            return self.set_read_paused(True)
        if self.decoder.error:
            return self.refuse(self.decoder.error)
        self.set_read_paused(False)

    def set_read_paused(self, paused):
        """Pauses or resumes reading."""
        if paused != self.read_paused:
            self.read_paused = paused
            self.transport.pause_reading() if paused else self.transport.resume_reading()

    def pause_writing(self):
        """Called by the event loop when the client reads too slowly."""
        self.write_paused, self.last_activity_at_ns = True, self.listener.clock()
        self.set_read_paused(True)

    def resume_writing(self):
        """Called by the event loop when the client has read enough."""
        self.write_paused, self.last_activity_at_ns = False, self.listener.clock()
        self.handle_packets()

    def write(self, data):
        """Writes a packet, unless the connection is closed or the client accepts none so large."""
        if not self.closed and len(data) <= self.max_packet_bytes:
            self.transport.write(data)

    def refuse(self, error):
        """Reports a protocol error, if the version can express it, and closes only this connection."""
        self.listener.counts["mqtt_malformed"] += 1
        if self.session is None:
            # Only a CONNECT is answered, because the client may speak another protocol.
            if self.decoder.version or error.code == codec.UNSUPPORTED_PROTOCOL_VERSION:
                self.write(codec.encode_connack(self.decoder.version or codec.V3_1_1, False, error.code))
            self.close()
        else:
            self.close(error.code, str(error))

    def close(self, code=None, reason=""):
        """Closes the connection, after a DISCONNECT if a reason code is given."""
        if not self.closed:
            if code is not None:
                self.write(codec.encode_disconnect(self.version, code, reason))
            self.closed, self.last_activity_at_ns = True, self.listener.clock()
            self.transport.close()


class MqttListener:
    """The MQTT listener of a node, with its connections and sessions."""

    def __init__(self, loop, gateway, bounds, log, name, routes, options):
        """`routes`: maps topics to transactions; `options`: the settings that `create_mqtt_listener` passes."""
        self.loop, self.gateway, self.driver, self.bounds = loop, gateway, gateway.driver, bounds
        self.log, self.routes = log, routes
        self.counts, self.clock, self.name = log.counts, gateway.clock, f"{name}-m{gateway.clock() // MS:x}".encode()
        self.max_connections, self.max_sessions, self.max_in_flight = (
            options["connections"],
            options["sessions"],
            options["inflight"],
        )
        self.default_expiry_ns, self.max_session_expiry_ns, self.default_plan = (
            options["expiry"],
            options["session_expiry"],
            options["plan"].encode(),
        )
        self.answer_prefix = options["answers"]
        self.max_packet_bytes = bounds.max_body_bytes + bounds.max_head_bytes
        self.server, self.closing, self.draining, self.on_retired, self.last_number = None, False, False, None, 0
        self.connections = {}  # removed when they end
        # (plan, account, client id) to Session. Removed by a clean start, by expiry, or to make room for a new one.
        self.sessions = {}

    async def listen(self, host, port):
        """Starts to accept connections. Raises OSError if the address cannot be listened on."""
        backlog = self.bounds.listen_backlog
        self.server = await open_server(self.loop, lambda: MqttConnection(self), host, port, backlog)

    # ---- connections

    def connection_opened(self, connection):
        """Registers a new connection, or aborts it if there are too many."""
        self.counts["mqtt_clients"] += 1
        self.connections[connection] = None
        if self.gateway.storm and not self.gateway.storm.connected(self.clock()):
            connection.throttled = True
        if len(self.connections) > self.max_connections + self.bounds.overflow_clients:
            connection.closed = True
            connection.transport.abort()

    def connection_closed(self, connection):
        """Removes a connection; its session continues until it expires."""
        self.connections.pop(connection, None)
        session, connection.session = connection.session, None
        if session and session.connection is connection:
            session.connection, session.disconnected_at_ns = None, self.clock()
            if not session.expiry_ns:
                self.end_session(session)
        self.finish_retirement()

    def end_session(self, session):
        """Removes a session and cancels its open transactions, as when an HTTP client disconnects."""
        if self.sessions.get(session.key) is session:
            del self.sessions[session.key]
        transactions, session.open_transactions = session.open_transactions, {}
        for transaction in transactions:
            exchange = transaction.exchange
            if exchange.client is transaction:
                exchange.detach_client()
                self.counts["left"] += 1
                self.driver.client_left(exchange)

    def sweep(self):
        """Ends connections that are too slow or idle for too long, and expired sessions."""
        now = self.clock()
        for connection in list(self.connections):
            idle_ns = now - connection.last_activity_at_ns
            if connection.closed or connection.write_paused:
                if idle_ns > self.bounds.write_timeout_ns:
                    self.counts["slow"] += 1
                    connection.transport.abort()
            elif connection.idle_timeout_ns and idle_ns > connection.idle_timeout_ns and not connection.read_paused:
                connection.close(codec.KEEP_ALIVE_TIMEOUT if connection.session else None, "nothing came")
            elif (self.draining or self.closing) and not (connection.session and connection.session.open_transactions):
                connection.close(codec.SERVER_SHUTTING_DOWN if connection.session else None)
        for session in list(self.sessions.values()):
            if session.connection is None and now - session.disconnected_at_ns > session.expiry_ns:
                self.end_session(session)

    def is_at_limit(self, connection):
        """Whether the connection's session has its maximum of open transactions."""
        return connection.session is not None and len(connection.session.open_transactions) >= self.max_in_flight

    def drain(self):
        """Refuses new clients, and closes connections as their transactions end."""
        self.draining = True

    def activate(self):
        """Accepts new clients again."""
        self.draining = False

    def retire(self, done):
        """Stops listening and closes the connections as their transactions end; then calls `done`."""
        self.closing, self.on_retired = True, done
        self.server.close()
        self.sweep()
        self.finish_retirement()

    def finish_retirement(self):
        """Calls `on_retired` once, when the listener is closing and no connection is left."""
        if self.closing and not self.connections and self.on_retired:
            on_retired, self.on_retired = self.on_retired, None
            on_retired()

    # ---- packets

    def handle_packet(self, connection, packet):
        """Handles one packet; the first is a CONNECT. Raises MqttProtocolError."""
        if connection.session is None:
            return self.handle_connect(connection, packet)
        PACKET_HANDLERS[packet.kind](self, connection, packet)

    def handle_connect(self, connection, packet):
        """Attaches the connection to a session, or refuses it."""
        connection.version, properties = packet.protocol_level, packet.properties
        user_name = USER_NAME_PATTERN.fullmatch(packet.user_name or "")
        code = codec.OK
        if self.draining or self.closing:
            code = codec.SERVER_UNAVAILABLE
        elif connection.throttled or len(self.connections) > self.max_connections:
            code = codec.QUOTA_EXCEEDED
        elif "auth_method" in properties:
            code = codec.BAD_AUTHENTICATION_METHOD
        elif not user_name:
            code = codec.BAD_USER_NAME_OR_PASSWORD
        elif (
            not packet.client_id
            and not packet.clean_start
            and packet.protocol_level == codec.V3_1_1
            or packet.client_id
            and not (CLIENT_ID_PATTERN.fullmatch(packet.client_id))
        ):
            code = codec.CLIENT_ID_NOT_VALID
        else:
            plan = (user_name[1] or "").encode() or self.default_plan
            try:
                account = parse_account(user_name[2].encode())
                code = codec.OK if self.gateway.has_plan(plan) else codec.NOT_AUTHORIZED
            except HttpStatusError:
                code = codec.BAD_USER_NAME_OR_PASSWORD
        if code:
            self.counts["mqtt_refused"] += 1
            reply = {}
            if connection.throttled and self.gateway.storm:
                retry_after_ms = self.gateway.storm.advice(0, self.clock()) // MS
                reply["user"] = [("retry-after-ms", str(retry_after_ms))]
            connection.write(codec.encode_connack(connection.version, False, code, **reply))
            return connection.close()
        reply = {}
        self.last_number += 1
        client_id = packet.client_id
        if not client_id:
            client_id = reply["assigned_id"] = "auto-%s-%d" % (self.name.decode(), self.last_number)
        key = plan, account, client_id
        session, present = self.open_session(key, packet.clean_start)
        if session is None:
            connection.write(codec.encode_connack(connection.version, False, codec.QUOTA_EXCEEDED))
            return connection.close()
        connection.session, session.connection = session, connection
        connection.max_packet_bytes = properties.get("maximum_packet", connection.max_packet_bytes)
        session.receive_maximum = min(self.max_in_flight, properties.get("receive_maximum", 65535))
        if packet.protocol_level == codec.V5:
            session.expiry_ns = min(self.max_session_expiry_ns, properties.get("session_expiry", 0) * SEC)
            if properties.get("session_expiry", 0) * SEC > self.max_session_expiry_ns:
                reply["session_expiry"] = self.max_session_expiry_ns // SEC
            keep_alive_s = packet.keep_alive_s
            if not 0 < keep_alive_s <= 300:
                keep_alive_s = reply["server_keep_alive"] = 300
            reply.update(
                receive_maximum=self.max_in_flight,
                maximum_packet=self.max_packet_bytes,
                retain_available=0,
                subscription_ids=0,
                shared_available=0,
            )
        else:
            session.expiry_ns, keep_alive_s = (
                0 if packet.clean_start else self.max_session_expiry_ns,
                packet.keep_alive_s,
            )
        connection.idle_timeout_ns = keep_alive_s * 3 * SEC // 2
        connection.write(codec.encode_connack(connection.version, present, codec.OK, **reply))
        for packet_id, (topic, payload, answer_properties) in session.unacknowledged.items():
            connection.write(
                codec.encode_publish(connection.version, topic, payload, 1, packet_id, True, **answer_properties)
            )
        self.send_waiting_answers(session)

    def open_session(self, key, clean_start):
        """Returns (session, whether it existed before); the session is None if there is no room for it."""
        session = self.sessions.get(key)
        if session and session.connection:
            session.connection.close(codec.SESSION_TAKEN_OVER, "the client connected again")
            session.connection.session, session.connection = None, None
        if session and clean_start:
            self.end_session(session)
            session = None
        if session:
            return session, True
        if len(self.sessions) >= self.max_sessions:
            # Bounds the memory: ends the session that has been without a connection for the longest time.
            disconnected = [other for other in self.sessions.values() if other.connection is None]
            if not disconnected:
                return None, False
            self.end_session(min(disconnected, key=lambda other: other.disconnected_at_ns))
        session = self.sessions[key] = Session(key)
        return session, False

    def handle_publish(self, connection, packet):
        """Submits a new PUBLISH, and recognises repeated deliveries."""
        session = connection.session
        self.counts["mqtt_publishes"] += 1
        if "alias" in packet.properties:
            raise codec.MqttProtocolError("topic aliases are not taken", codec.TOPIC_ALIAS_INVALID)
        if packet.retain and connection.version == codec.V5:
            raise codec.MqttProtocolError("nothing is retained", codec.RETAIN_NOT_SUPPORTED)
        if not packet.qos:
            return self.submit(connection, packet)
        flow, effect = session.receive_publish(packet)
        if effect == EXECUTE:
            self.submit(connection, packet)
        elif effect == CHECK_REDELIVERY:
            self.counts["mqtt_strange"] += 1
            self.submit(connection, packet, is_redelivery=True)
        elif effect == ACKNOWLEDGE:
            self.counts["mqtt_repeats"] += 1
            self.acknowledge_publish(session, packet.packet_id, flow)
        elif effect == REJECT:
            raise codec.MqttProtocolError("its packet identifier is in use", codec.PACKET_ID_IN_USE)
        else:
            self.counts["mqtt_repeats"] += 1

    def submit(self, connection, packet, is_redelivery=False):
        """Submits a PUBLISH that this node does not know. `is_redelivery`: the client marked it as delivered before."""
        session, transaction = connection.session, PublishTransaction(self, connection.session, packet)
        found = self.routes.find(packet.topic)
        if found is None:
            return self.send_answer(
                transaction,
                (REFUSED, codec.TOPIC_NAME_INVALID),
                orjson.dumps({"why": "no txn under this topic"}),
                reason="no txn under this topic",
            )
        route, target = found
        if is_redelivery and route.kind == t.ONCE_ONLY:
            # Rule 2: the client cannot know whether the node of the first delivery executed it. Nor can this node find
            # out: the counter keeps names for one minute only, so the absence of a name proves nothing.
            self.gateway.count_unknown(route.product)
            return transaction.outcome_unknown()
        plan, account, client_id = session.key
        self.last_number += 1
        properties, key = packet.properties, None
        if route.kind == t.DEDUPLICATED:
            key = next((value for name, value in properties.get("user", ()) if name.lower() == "idempotency-key"), None)
            # Without a key from the client, it is derived such that a repeated delivery has the same key at every node.
            key = (
                key
                or "m"
                + message_digest(f"{account}/{client_id}/{packet.packet_id}/{packet.topic}", packet.payload, 0).hex()
            )
        expires_in_ns = properties["expiry"] * SEC if "expiry" in properties else self.default_expiry_ns
        content_type = properties.get("content_type") if route.method == b"POST" else None
        try:
            if any(text and not (text.isascii() and text.isprintable()) for text in (key, content_type)):
                raise HttpStatusError(400, "a key or content type that is not printable ASCII")
            request = TransactionRequest(
                id=b"%s-%d" % (self.name, self.last_number),
                product=route.product,
                plan=plan,
                idempotency_key=key and key.encode(),
                account_key=account.encode(),
                expires_in_ns=min(expires_in_ns, self.bounds.max_expiry_ns),
                call_terms=route.call_terms,
                method=route.method,
                target=target,
                content_type=content_type and content_type.encode(),
                body=packet.payload,
                is_retry=packet.dup,
            )
            self.gateway.accept(transaction, request)
        except HttpStatusError as error:
            self.counts["malformed"] += 1
            self.send_answer(
                transaction,
                (REFUSED, REASON_CODE_BY_STATUS.get(error.status, codec.IMPLEMENTATION_SPECIFIC_ERROR)),
                orjson.dumps({"why": str(error)}),
                reason=str(error),
            )

    def handle_pubrel(self, connection, packet):
        """Responds to a PUBREL with a PUBCOMP."""
        code = connection.session.receive_pubrel(packet.packet_id)
        connection.write(codec.encode_ack(connection.version, codec.PUBCOMP, packet.packet_id, code))

    def handle_puback(self, connection, packet):
        """Sends further answers once the client has acknowledged one."""
        if connection.session.receive_puback(packet.packet_id):
            self.send_waiting_answers(connection.session)

    def handle_subscribe(self, connection, packet):
        """Adds subscriptions. Any filter is accepted, but only the client's own answers are published."""
        session, codes = connection.session, []
        for name, qos in packet.filters:
            if name.startswith("$share/"):
                codes.append(
                    codec.SHARED_SUBSCRIPTIONS_NOT_SUPPORTED
                    if connection.version == codec.V5
                    else codec.UNSPECIFIED_ERROR
                )
            elif len(session.subscriptions) >= 16 and name not in session.subscriptions:
                codes.append(codec.QUOTA_EXCEEDED if connection.version == codec.V5 else codec.UNSPECIFIED_ERROR)
            else:
                session.subscriptions[name] = min(1, qos)
                codes.append(min(1, qos))
        connection.write(codec.encode_suback(connection.version, codec.SUBACK, packet.packet_id, codes))

    def handle_unsubscribe(self, connection, packet):
        """Removes subscriptions."""
        codes = [
            codec.OK if connection.session.subscriptions.pop(name, None) is not None else codec.NO_SUBSCRIPTION_EXISTED
            for name, _ in packet.filters
        ]
        connection.write(codec.encode_suback(connection.version, codec.UNSUBACK, packet.packet_id, codes))

    def handle_pingreq(self, connection, packet):
        """Responds to a PINGREQ."""
        connection.write(codec.PINGRESP_PACKET)

    def handle_disconnect(self, connection, packet):
        """Closes the connection; the client may change the session's expiry."""
        session = connection.session
        if "session_expiry" in packet.properties:
            wanted_ns = packet.properties["session_expiry"] * SEC
            if wanted_ns and not session.expiry_ns:
                raise codec.MqttProtocolError("a session that was to end with its connection", codec.PROTOCOL_ERROR)
            session.expiry_ns = min(self.max_session_expiry_ns, wanted_ns)
        connection.close()

    def handle_unexpected(self, connection, packet):
        """Refuses a packet that a client may not send in an established session."""
        raise codec.MqttProtocolError("not expected here", codec.PROTOCOL_ERROR)

    # ---- answers

    def send_answer(self, transaction, outcome, payload, retry_after_ns=0, reason=""):
        """Sends the final answer of a PUBLISH: its acknowledgement, and a message if the client subscribed to it."""
        session, (word, code) = transaction.session, outcome
        session.open_transactions.pop(transaction, None)
        ack_properties = {"reason": reason} if reason else {}
        ack_properties["user"] = [("outcome", word)] + (
            [("retry-after-ms", str(retry_after_ns // MS))] if retry_after_ns else []
        )
        topic = transaction.response_topic or f"{self.answer_prefix}/{session.client_id}/{transaction.packet_id}/{word}"
        if (qos := session.subscribed_qos(topic)) is not None:
            answer_properties = {"user": ack_properties["user"]}
            if transaction.correlation_data is not None:
                answer_properties["correlation"] = transaction.correlation_data
            if qos:
                session.enqueue_answer(topic, payload, answer_properties)
                self.send_waiting_answers(session)
            elif session.connection:
                session.connection.write(
                    codec.encode_publish(session.connection.version, topic, payload, **answer_properties)
                )
        if transaction.qos and (completed := session.complete_publish(transaction.packet_id, code, ack_properties)):
            self.acknowledge_publish(session, transaction.packet_id, completed[0])
        if session.connection and session.connection.read_paused:
            self.loop.call_soon(session.connection.handle_packets)

    def acknowledge_publish(self, session, packet_id, flow):
        """Acknowledges a PUBLISH that was answered. In 3.1.1 an acknowledgement cannot report a failure."""
        if connection := session.connection:
            code, ack_properties = flow.acknowledgement
            kind = codec.PUBACK if flow.qos == 1 else codec.PUBREC
            sent_properties = ack_properties if connection.version == codec.V5 and code else {}
            connection.write(codec.encode_ack(connection.version, kind, packet_id, code, **sent_properties))

    def send_waiting_answers(self, session):
        """Sends the waiting answers that the client has room for, and counts the dropped ones."""
        if session.dropped_answers:
            self.counts["mqtt_answers_dropped"] += session.dropped_answers
            session.dropped_answers = 0
        if connection := session.connection:
            for packet_id, topic, payload, answer_properties in session.next_answers():
                data = codec.encode_publish(connection.version, topic, payload, 1, packet_id, **answer_properties)
                if len(data) > connection.max_packet_bytes:  # `write` drops it, so it would never be acknowledged
                    session.receive_puback(packet_id)
                    self.counts["mqtt_answers_dropped"] += 1
                connection.write(data)


PACKET_HANDLERS = {
    codec.PUBLISH: MqttListener.handle_publish,
    codec.PUBACK: MqttListener.handle_puback,
    codec.PUBREL: MqttListener.handle_pubrel,
    codec.SUBSCRIBE: MqttListener.handle_subscribe,
    codec.UNSUBSCRIBE: MqttListener.handle_unsubscribe,
    codec.PINGREQ: MqttListener.handle_pingreq,
    codec.DISCONNECT: MqttListener.handle_disconnect,
    **dict.fromkeys((codec.CONNECT, codec.PUBREC, codec.PUBCOMP, codec.AUTH), MqttListener.handle_unexpected),
}
