"""MQTT clients: connections, sessions, PUBLISHes handed to the gateway, answers told in acknowledgements and topics.

It owns the MQTT listener, its connections and sessions. It must never decide what becomes of a txn: the gateway
takes it and `choice.py` decides, as for HTTP. By itself it answers only what cannot be followed, and a repeat that may
have run elsewhere (`doubt`).
"""

import asyncio
import re
import socket

import orjson

from .. import terms as t
from ..net.http_status import HttpStatusError
from ..net.transaction_request import TransactionRequest, parse_account
from . import codec as c
from .session import DOUBT, REFUSE, TAKE, TELL, Session, digest

MS, SEC = 10**6, 10**9
CLIENT_ID = re.compile(r"[0-9A-Za-z._:@-]{1,128}")
USER = re.compile(r"(?:([^:]{1,64}):)?([0-9a-fA-F]{16})")
# What a client is told of a txn: the word in topic and property, and the reason code.
SETTLED, DECLINED, VOIDED = (
    ("settled", c.OK),
    ("declined", c.QUOTA_EXCEEDED),
    ("voided", c.IMPLEMENTATION_SPECIFIC_ERROR),
)
REFUSED = "refused"  # with a code of its own for each reason
IN_DOUBT = "it may have run"
CODES = {
    400: c.PAYLOAD_FORMAT_INVALID,
    404: c.TOPIC_NAME_INVALID,
    405: c.PAYLOAD_FORMAT_INVALID,
    409: c.PACKET_ID_IN_USE,
    413: c.PACKET_TOO_LARGE,
}


class Asked:
    """One txn that a PUBLISH asked for: the receiver of its answer."""

    __slots__ = ("front", "session", "packet_id", "qos", "response", "correlation", "exchange")
    accepts_streams = False  # an MQTT packet tells its length first: what cannot be held is void
    damped = False  # a connection past the accept rate never gets past its CONNECT

    def __init__(self, front, session, packet):
        self.front, self.session = front, session
        self.packet_id, self.qos, self.exchange = packet.packet_id, packet.qos, None
        self.response = packet.properties.get("response_topic")
        self.correlation = packet.properties.get("correlation")

    def accepted(self, exchange):
        self.exchange = exchange
        self.session.open[self] = None

    def succeeded(self, body):
        self.front.answered(self, SETTLED, body)

    def declined(self, back_in):
        self.front.answered(self, DECLINED, orjson.dumps({"retry_after_ms": back_in // MS} if back_in else {}), back_in)

    def outcome_unknown(self):
        self.front.answered(self, VOIDED, orjson.dumps({"why": IN_DOUBT}), why=IN_DOUBT)


class Link(asyncio.Protocol):
    """One connection."""

    __slots__ = (
        "front",
        "transport",
        "decoder",
        "session",
        "version",
        "heard",
        "alive",
        "over",
        "stuck",
        "packets",
        "damped",
        "largest",
        "held",
    )

    def __init__(self, front):
        self.front, self.session, self.version, self.packets = front, None, None, []
        self.over = self.stuck = self.damped = self.held = False
        self.alive, self.largest = front.bounds.first_request_timeout_ns, 1 << 28
        self.decoder = c.Decoder(front.most)

    def connection_made(self, transport):
        self.transport, self.heard = transport, self.front.clock()
        if sock := transport.get_extra_info("socket"):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)  # a client may ask for no keep alive
        self.front.joined(self)

    def connection_lost(self, trouble):
        self.over = True
        self.front.parted(self)

    def data_received(self, data):
        self.heard = self.front.clock()
        if not self.over:
            self.packets += self.decoder.feed(data)
            self.work()

    def work(self):
        """Guards the node against a client that publishes faster than txns end: it is read no further."""
        packets, full = self.packets, self.front.full
        while packets and not self.over and not full(self):
            try:
                self.front.read(self, packets.pop(0))
            except c.MqttProtocolError as trouble:
                self.refuse(trouble)
        if self.over:
            return
        if packets != [] or self.stuck:
            return self.hold(True)
        if self.decoder.broken:
            return self.refuse(self.decoder.broken)
        self.hold(False)

    def hold(self, held):
        if held != self.held:
            self.held = held
            self.transport.pause_reading() if held else self.transport.resume_reading()

    def pause_writing(self):
        self.stuck, self.heard = True, self.front.clock()
        self.hold(True)

    def resume_writing(self):
        self.stuck, self.heard = False, self.front.clock()
        self.work()

    def write(self, data):
        if not self.over and len(data) <= self.largest:
            self.transport.write(data)

    def refuse(self, trouble):
        """A reason where the version has one, then the end; nothing else is affected."""
        self.front.counts["mqtt_malformed"] += 1
        if self.session is None:
            # Guards against words in a protocol that the far end never spoke: only a CONNECT is answered.
            if self.decoder.version or trouble.code == c.UNSUPPORTED_PROTOCOL_VERSION:
                self.write(c.encode_connack(self.decoder.version or c.V3_1_1, False, trouble.code))
            self.end()
        else:
            self.end(trouble.code, str(trouble))

    def end(self, code=None, why=""):
        if not self.over:
            if code is not None:
                self.write(c.encode_disconnect(self.version, code, why))
            self.over, self.heard = True, self.front.clock()
            self.transport.close()


class MqttListener:
    """`routes`: topics to txns; `told`: what the configuration says of it, as `create_mqtt_listener` passes it."""

    def __init__(self, loop, gateway, bounds, log, name, routes, told):
        self.loop, self.gateway, self.driver, self.bounds = loop, gateway, gateway.driver, bounds
        self.log, self.routes = log, routes
        self.counts, self.clock, self.name = log.counts, gateway.clock, f"{name}-m{gateway.clock() // MS:x}".encode()
        self.connections, self.sessions_most, self.inflight = told["connections"], told["sessions"], told["inflight"]
        self.expiry, self.session_most, self.plan = told["expiry"], told["session_expiry"], told["plan"].encode()
        self.answers = told["answers"]
        self.most = bounds.max_body_bytes + bounds.max_head_bytes
        self.server, self.closing, self.draining, self.done, self.number = None, False, False, None, 0
        self.links = {}  # connections; emptied as they end
        self.sessions = {}  # (plan, account, client id) to Session; emptied by clean ends, age, and past their most

    async def listen(self, host, port):
        self.server = await self.loop.create_server(lambda: Link(self), host, port, backlog=self.bounds.listen_backlog)

    # ---- connections

    def joined(self, link):
        self.counts["mqtt_clients"] += 1
        self.links[link] = None
        if self.gateway.storm and not self.gateway.storm.connected(self.clock()):
            link.damped = True
        if len(self.links) > self.connections + self.bounds.overflow_clients:
            link.over = True
            link.transport.abort()

    def parted(self, link):
        self.links.pop(link, None)
        session, link.session = link.session, None
        if session and session.link is link:
            session.link, session.since = None, self.clock()
            if not session.expiry:
                self.drop(session)
        self.ended()

    def drop(self, session):
        """The session is over: nobody is left for what is open, as behind an HTTP connection that ended."""
        if self.sessions.get(session.key) is session:
            del self.sessions[session.key]
        opened, session.open = session.open, {}
        for asked in opened:
            exchange = asked.exchange
            if exchange.client is asked:
                exchange.detach_client()
                self.counts["left"] += 1
                self.driver.client_left(exchange)

    def sweep(self):
        now = self.clock()
        for link in list(self.links):
            silent = now - link.heard
            if link.over or link.stuck:
                if silent > self.bounds.write_timeout_ns:
                    self.counts["slow"] += 1
                    link.transport.abort()
            elif link.alive and silent > link.alive and not link.held:
                link.end(c.KEEP_ALIVE_TIMEOUT if link.session else None, "nothing came")
            elif (self.draining or self.closing) and not (link.session and link.session.open):
                link.end(c.SERVER_SHUTTING_DOWN if link.session else None)
        for session in list(self.sessions.values()):
            if session.link is None and now - session.since > session.expiry:
                self.drop(session)

    def full(self, link):
        return link.session is not None and len(link.session.open) >= self.inflight

    def drain(self):
        self.draining = True

    def activate(self):
        self.draining = False

    def retire(self, done):
        self.closing, self.done = True, done
        self.server.close()
        self.sweep()
        self.ended()

    def ended(self):
        if self.closing and not self.links and self.done:
            done, self.done = self.done, None
            done()

    # ---- packets

    def read(self, link, packet):
        if link.session is None:
            return self.connect(link, packet)
        READ[packet.kind](self, link, packet)

    def connect(self, link, packet):
        link.version, properties = packet.level, packet.properties
        user = USER.fullmatch(packet.user or "")
        code = c.OK
        if self.draining or self.closing:
            code = c.SERVER_UNAVAILABLE
        elif link.damped or len(self.links) > self.connections:
            code = c.QUOTA_EXCEEDED
        elif "auth_method" in properties:
            code = c.BAD_AUTHENTICATION_METHOD
        elif not user:
            code = c.BAD_USER_NAME_OR_PASSWORD
        elif (
            not packet.client_id
            and not packet.clean
            and packet.level == c.V3_1_1
            or packet.client_id
            and not (CLIENT_ID.fullmatch(packet.client_id))
        ):
            code = c.CLIENT_ID_NOT_VALID
        else:
            plan = (user[1] or "").encode() or self.plan
            try:
                account = parse_account(user[2].encode())
                code = c.OK if self.gateway.has_plan(plan) else c.NOT_AUTHORIZED
            except HttpStatusError:
                code = c.BAD_USER_NAME_OR_PASSWORD
        if code:
            self.counts["mqtt_refused"] += 1
            more = {}
            if link.damped and self.gateway.storm:
                back = self.gateway.storm.advice(0, self.clock()) // MS
                more["user"] = [("retry-after-ms", str(back))]
            link.write(c.encode_connack(link.version, False, code, **more))
            return link.end()
        more = {}
        self.number += 1
        client_id = packet.client_id
        if not client_id:
            client_id = more["assigned_id"] = "auto-%s-%d" % (self.name.decode(), self.number)
        key = plan, account, client_id
        session, present = self.session(key, packet.clean)
        if session is None:
            link.write(c.encode_connack(link.version, False, c.QUOTA_EXCEEDED))
            return link.end()
        link.session, session.link = session, link
        link.largest = properties.get("maximum_packet", link.largest)
        session.window = min(self.inflight, properties.get("receive_maximum", 65535))
        if packet.level == c.V5:
            session.expiry = min(self.session_most, properties.get("session_expiry", 0) * SEC)
            if properties.get("session_expiry", 0) * SEC > self.session_most:
                more["session_expiry"] = self.session_most // SEC
            alive = packet.keep_alive
            if not 0 < alive <= 300:
                alive = more["server_keep_alive"] = 300
            more.update(
                receive_maximum=self.inflight,
                maximum_packet=self.most,
                retain_available=0,
                subscription_ids=0,
                shared_available=0,
            )
        else:
            session.expiry, alive = 0 if packet.clean else self.session_most, packet.keep_alive
        link.alive = alive * 3 * SEC // 2
        link.write(c.encode_connack(link.version, present, c.OK, **more))
        for packet_id, (topic, payload, found) in session.unacked.items():
            link.write(c.encode_publish(link.version, topic, payload, 1, packet_id, True, **found))
        self.deliver(session)

    def session(self, key, clean):
        """(the session that this client goes on with or a new one, whether it was there); None: no room for it."""
        session = self.sessions.get(key)
        if session and session.link:
            session.link.end(c.SESSION_TAKEN_OVER, "the client connected again")
            session.link.session, session.link = None, None
        if session and clean:
            self.drop(session)
            session = None
        if session:
            return session, True
        if len(self.sessions) >= self.sessions_most:
            # Guards memory: the one that has been without a connection longest makes room.
            away = [s for s in self.sessions.values() if s.link is None]
            if not away:
                return None, False
            self.drop(min(away, key=lambda s: s.since))
        session = self.sessions[key] = Session(key)
        return session, False

    def publish(self, link, packet):
        session = link.session
        self.counts["mqtt_publishes"] += 1
        if "alias" in packet.properties:
            raise c.MqttProtocolError("topic aliases are not taken", c.TOPIC_ALIAS_INVALID)
        if packet.retain and link.version == c.V5:
            raise c.MqttProtocolError("nothing is retained", c.RETAIN_NOT_SUPPORTED)
        if not packet.qos:
            return self.ask(link, packet)
        row, effect = session.published(packet)
        if effect == TAKE:
            self.ask(link, packet)
        elif effect == DOUBT:
            self.counts["mqtt_strange"] += 1
            self.ask(link, packet, doubt=True)
        elif effect == TELL:
            self.counts["mqtt_repeats"] += 1
            self.tell(session, packet.packet_id, row)
        elif effect == REFUSE:
            raise c.MqttProtocolError("its packet identifier is in use", c.PACKET_ID_IN_USE)
        else:
            self.counts["mqtt_repeats"] += 1

    def ask(self, link, packet, doubt=False):
        """A PUBLISH that is not known here. `doubt`: it says itself that it was delivered before."""
        session, asked = link.session, Asked(self, link.session, packet)
        found = self.routes.find(packet.topic)
        if found is None:
            return self.answered(
                asked,
                (REFUSED, c.TOPIC_NAME_INVALID),
                orjson.dumps({"why": "no txn under this topic"}),
                why="no txn under this topic",
            )
        route, url = found
        if doubt and route.kind == t.ONCE_ONLY:
            # Guards rule 2: who delivers again cannot say whether the node that had it first ran it. What another
            # node knows is nowhere: the counter's names live a minute, so their absence proves nothing.
            self.gateway.count_unknown(route.product)
            return asked.outcome_unknown()
        plan, account, client_id = session.key
        self.number += 1
        properties, key = packet.properties, None
        if route.kind == t.DEDUPLICATED:
            key = next((value for name, value in properties.get("user", ()) if name.lower() == "idempotency-key"), None)
            # Without one: what delivers the same message again, to whichever node, gives the same key.
            key = (
                key or "m" + digest(f"{account}/{client_id}/{packet.packet_id}/{packet.topic}", packet.payload, 0).hex()
            )
        expires_in = properties["expiry"] * SEC if "expiry" in properties else self.expiry
        kind = properties.get("content_type") if route.method == b"POST" else None
        try:
            if any(text and not (text.isascii() and text.isprintable()) for text in (key, kind)):
                raise HttpStatusError(400, "a key or content type that is not printable ASCII")
            request = TransactionRequest(
                id=b"%s-%d" % (self.name, self.number),
                product=route.product,
                plan=plan,
                idempotency_key=key and key.encode(),
                account_key=account.encode(),
                expires_in_ns=min(expires_in, self.bounds.max_expiry_ns),
                call_terms=route.said,
                method=route.method,
                target=url,
                content_type=kind and kind.encode(),
                body=packet.payload,
                is_retry=packet.dup,
            )
            self.gateway.accept(asked, request)
        except HttpStatusError as trouble:
            self.counts["malformed"] += 1
            self.answered(
                asked,
                (REFUSED, CODES.get(trouble.status, c.IMPLEMENTATION_SPECIFIC_ERROR)),
                orjson.dumps({"why": str(trouble)}),
                why=str(trouble),
            )

    def released(self, link, packet):
        code = link.session.released(packet.packet_id)
        link.write(c.encode_ack(link.version, c.PUBCOMP, packet.packet_id, code))

    def acked(self, link, packet):
        if link.session.acked(packet.packet_id):
            self.deliver(link.session)

    def subscribe(self, link, packet):
        """Nothing but a client's own answers is published here, whatever it subscribes to."""
        session, codes = link.session, []
        for name, qos in packet.asked:
            if name.startswith("$share/"):
                codes.append(c.SHARED_SUBSCRIPTIONS_NOT_SUPPORTED if link.version == c.V5 else c.UNSPECIFIED_ERROR)
            elif len(session.filters) >= 16 and name not in session.filters:
                codes.append(c.QUOTA_EXCEEDED if link.version == c.V5 else c.UNSPECIFIED_ERROR)
            else:
                session.filters[name] = min(1, qos)
                codes.append(min(1, qos))
        link.write(c.encode_suback(link.version, c.SUBACK, packet.packet_id, codes))

    def unsubscribe(self, link, packet):
        codes = [
            c.OK if link.session.filters.pop(name, None) is not None else c.NO_SUBSCRIPTION_EXISTED
            for name, _ in packet.asked
        ]
        link.write(c.encode_suback(link.version, c.UNSUBACK, packet.packet_id, codes))

    def ping(self, link, packet):
        link.write(c.PINGRESP_PACKET)

    def leave(self, link, packet):
        session = link.session
        if "session_expiry" in packet.properties:
            wanted = packet.properties["session_expiry"] * SEC
            if wanted and not session.expiry:
                raise c.MqttProtocolError("a session that was to end with its connection", c.PROTOCOL_ERROR)
            session.expiry = min(self.session_most, wanted)
        link.end()

    def odd(self, link, packet):
        raise c.MqttProtocolError("not expected here", c.PROTOCOL_ERROR)

    # ---- answers

    def answered(self, asked, outcome, payload, back_in=0, why=""):
        """The final answer of a PUBLISH: its acknowledgement, and the answer's topic for who subscribed to it."""
        session, (word, code) = asked.session, outcome
        session.open.pop(asked, None)
        told = {"reason": why} if why else {}
        told["user"] = [("outcome", word)] + ([("retry-after-ms", str(back_in // MS))] if back_in else [])
        topic = asked.response or f"{self.answers}/{session.client_id}/{asked.packet_id}/{word}"
        if (qos := session.wants(topic)) is not None:
            more = {"user": told["user"]}
            if asked.correlation is not None:
                more["correlation"] = asked.correlation
            if qos:
                session.put(topic, payload, more)
                self.deliver(session)
            elif session.link:
                session.link.write(c.encode_publish(session.link.version, topic, payload, **more))
        if asked.qos and (done := session.answered(asked.packet_id, code, told)):
            self.tell(session, asked.packet_id, done[0])
        if session.link and session.link.held:
            self.loop.call_soon(session.link.work)

    def tell(self, session, packet_id, row):
        """The acknowledgement of a PUBLISH that was answered; 3.1.1 has none that says no."""
        if link := session.link:
            code, told = row.told
            kind = c.PUBACK if row.qos == 1 else c.PUBREC
            more = told if link.version == c.V5 and code else {}
            link.write(c.encode_ack(link.version, kind, packet_id, code, **more))

    def deliver(self, session):
        if session.dropped:
            self.counts["mqtt_answers_dropped"] += session.dropped
            session.dropped = 0
        if link := session.link:
            for packet_id, topic, payload, more in session.due():
                data = c.encode_publish(link.version, topic, payload, 1, packet_id, **more)
                if len(data) > link.largest:  # the client told that it takes none so large, and would never confirm it
                    session.acked(packet_id)
                    self.counts["mqtt_answers_dropped"] += 1
                link.write(data)


READ = {
    c.PUBLISH: MqttListener.publish,
    c.PUBACK: MqttListener.acked,
    c.PUBREL: MqttListener.released,
    c.SUBSCRIBE: MqttListener.subscribe,
    c.UNSUBSCRIBE: MqttListener.unsubscribe,
    c.PINGREQ: MqttListener.ping,
    c.DISCONNECT: MqttListener.leave,
    **dict.fromkeys((c.CONNECT, c.PUBREC, c.PUBCOMP, c.AUTH), MqttListener.odd),
}
