"""MQTT packets as a server reads and writes them, versions 3.1.1 (level 4) and 5.0. No I/O.

Source: OASIS MQTT 3.1.1 and 5.0; numbers in brackets are the standard's. What cannot be followed raises `Malformed`
with the reason code of 5.0, at the first byte that shows it: an oversize packet before its body is there.
"""

from dataclasses import dataclass, field

CONNECT, CONNACK, PUBLISH, PUBACK, PUBREC, PUBREL, PUBCOMP = range(1, 8)
SUBSCRIBE, SUBACK, UNSUBSCRIBE, UNSUBACK, PINGREQ, PINGRESP, DISCONNECT, AUTH = range(8, 16)
V3_1_1, V5 = 4, 5
# Reason codes that we use.
OK, NO_SUBSCRIPTION_EXISTED, UNSPECIFIED_ERROR, MALFORMED_PACKET, PROTOCOL_ERROR = 0x00, 0x11, 0x80, 0x81, 0x82
(
    IMPLEMENTATION_SPECIFIC_ERROR,
    UNSUPPORTED_PROTOCOL_VERSION,
    CLIENT_ID_NOT_VALID,
    BAD_USER_NAME_OR_PASSWORD,
    NOT_AUTHORIZED,
    SERVER_UNAVAILABLE,
) = 0x83, 0x84, 0x85, 0x86, 0x87, 0x88
(
    SERVER_SHUTTING_DOWN,
    BAD_AUTHENTICATION_METHOD,
    KEEP_ALIVE_TIMEOUT,
    SESSION_TAKEN_OVER,
    TOPIC_FILTER_INVALID,
    TOPIC_NAME_INVALID,
) = 0x8B, 0x8C, 0x8D, 0x8E, 0x8F, 0x90
PACKET_ID_IN_USE, PACKET_ID_NOT_FOUND, TOPIC_ALIAS_INVALID, PACKET_TOO_LARGE, QUOTA_EXCEEDED, PAYLOAD_FORMAT_INVALID = (
    0x91,
    0x92,
    0x94,
    0x95,
    0x97,
    0x99,
)
RETAIN_NOT_SUPPORTED, SHARED_SUBSCRIPTIONS_NOT_SUPPORTED = 0x9A, 0x9E
CONNACK_V4 = {
    UNSUPPORTED_PROTOCOL_VERSION: 1,
    CLIENT_ID_NOT_VALID: 2,
    SERVER_UNAVAILABLE: 3,
    QUOTA_EXCEEDED: 3,
    BAD_USER_NAME_OR_PASSWORD: 4,
    NOT_AUTHORIZED: 5,
}

# Properties: identifier to name and kind ("pair" may come more than once); [2.2.2.2]
PROPERTIES = {
    0x01: ("payload_format", "byte"),
    0x02: ("expiry", "four"),
    0x03: ("content_type", "text"),
    0x08: ("response_topic", "text"),
    0x09: ("correlation", "binary"),
    0x0B: ("subscription_id", "varint"),
    0x11: ("session_expiry", "four"),
    0x12: ("assigned_id", "text"),
    0x13: ("server_keep_alive", "two"),
    0x15: ("auth_method", "text"),
    0x16: ("auth_data", "binary"),
    0x17: ("request_problem", "byte"),
    0x18: ("will_delay", "four"),
    0x19: ("request_response", "byte"),
    0x1A: ("response_information", "text"),
    0x1C: ("server_reference", "text"),
    0x1F: ("reason", "text"),
    0x21: ("receive_maximum", "two"),
    0x22: ("alias_maximum", "two"),
    0x23: ("alias", "two"),
    0x24: ("maximum_qos", "byte"),
    0x25: ("retain_available", "byte"),
    0x26: ("user", "pair"),
    0x27: ("maximum_packet", "four"),
    0x28: ("wildcard_available", "byte"),
    0x29: ("subscription_ids", "byte"),
    0x2A: ("shared_available", "byte"),
}
NUMBERS = {name: (number, kind) for number, (name, kind) in PROPERTIES.items()}
# Those that a client may send, by packet; a will has its own.
ALLOWED = {
    CONNECT: {
        "session_expiry",
        "receive_maximum",
        "maximum_packet",
        "alias_maximum",
        "request_response",
        "request_problem",
        "user",
        "auth_method",
        "auth_data",
    },
    "will": {"will_delay", "payload_format", "expiry", "content_type", "response_topic", "correlation", "user"},
    PUBLISH: {"payload_format", "expiry", "content_type", "response_topic", "correlation", "alias", "user"},
    SUBSCRIBE: {"subscription_id", "user"},
    UNSUBSCRIBE: {"user"},
    DISCONNECT: {"session_expiry", "reason", "user"},
    AUTH: {"auth_method", "auth_data", "reason", "user"},
    **dict.fromkeys((PUBACK, PUBREC, PUBREL, PUBCOMP), {"reason", "user"}),
}
FLAGS = {PUBREL: 2, SUBSCRIBE: 2, UNSUBSCRIBE: 2}  # of the first byte; all others 0, PUBLISH its own


class MqttProtocolError(Exception):
    """What came cannot be followed; `code` is the reason as 5.0 has it."""

    def __init__(self, why, code=MALFORMED_PACKET):
        super().__init__(why)
        self.code = code


@dataclass(slots=True)
class Connect:
    """A will and a password are read and let go: nobody waits for a will's answer, and no password is asked for."""

    level: int
    client_id: str
    clean: bool
    keep_alive: int
    user: str | None = None
    properties: dict = field(default_factory=dict)
    kind = CONNECT


@dataclass(slots=True)
class Publish:
    topic: str
    payload: bytes
    qos: int = 0
    packet_id: int = 0
    dup: bool = False
    retain: bool = False
    properties: dict = field(default_factory=dict)
    kind = PUBLISH


@dataclass(slots=True)
class Ack:
    """PUBACK, PUBREC, PUBREL or PUBCOMP."""

    kind: int
    packet_id: int
    code: int = OK
    properties: dict = field(default_factory=dict)


@dataclass(slots=True)
class Subscribe:
    """SUBSCRIBE, or UNSUBSCRIBE with `asked` of filters alone."""

    kind: int
    packet_id: int
    asked: list  # (filter, QoS)
    properties: dict = field(default_factory=dict)


@dataclass(slots=True)
class Short:
    """PINGREQ, DISCONNECT or AUTH."""

    kind: int
    code: int = OK
    properties: dict = field(default_factory=dict)


class Body:
    """A packet's bytes behind its fixed header, read from the front."""

    __slots__ = ("data", "at")

    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, size):
        if self.at + size > len(self.data):
            raise MqttProtocolError("the packet ends too early")
        part = self.data[self.at : self.at + size]
        self.at += size
        return part

    def byte(self):
        return self.take(1)[0]

    def two(self):
        return int.from_bytes(self.take(2))

    def four(self):
        return int.from_bytes(self.take(4))

    def varint(self):
        value, used = decode_varint(self.data, self.at)
        if used is None:
            raise MqttProtocolError("the packet ends too early")
        self.at += used
        return value

    def binary(self):
        return self.take(self.two())

    def text(self):
        try:
            text = self.binary().decode()
        except UnicodeDecodeError:
            raise MqttProtocolError("not UTF-8") from None
        if "\0" in text:  # [1.5.4-2]
            raise MqttProtocolError("a zero character in a text")
        return text

    def pair(self):
        return self.text(), self.text()

    def rest(self):
        return self.take(len(self.data) - self.at)

    def properties(self, packet):
        length = self.varint()
        part, found = Body(self.take(length)), {}
        while part.at < length:
            name, kind = PROPERTIES.get(part.varint(), ("none", None))
            if name not in ALLOWED[packet]:
                raise MqttProtocolError("a property that this packet does not have")
            value = getattr(part, kind)()
            if kind == "pair":
                found.setdefault(name, []).append(value)
            elif name in found:
                raise MqttProtocolError(f"{name} twice", PROTOCOL_ERROR)
            else:
                found[name] = value
        for name in ("receive_maximum", "maximum_packet", "alias", "subscription_id"):
            if found.get(name) == 0:
                raise MqttProtocolError(f"{name} is 0", TOPIC_ALIAS_INVALID if name == "alias" else PROTOCOL_ERROR)
        if any(found.get(name, 0) > 1 for name in ("request_response", "request_problem", "payload_format")):
            raise MqttProtocolError("a flag that is neither 0 nor 1", PROTOCOL_ERROR)
        return found


def decode_varint(data, at):
    """A variable byte integer [1.5.5]: value and bytes used; (0, None) while it is not whole."""
    value = 0
    for k in range(4):
        if at + k >= len(data):
            return 0, None
        byte = data[at + k]
        value |= (byte & 127) << 7 * k
        if byte < 128:
            if k and not byte:
                raise MqttProtocolError("a length in more bytes than it needs")
            return value, k + 1
    raise MqttProtocolError("a length of more than four bytes")


def topic_name(text):
    if not text or "+" in text or "#" in text:
        raise MqttProtocolError("no topic name", TOPIC_NAME_INVALID)
    return text


def topic_filter(text):
    levels = text.split("/")
    if (
        not text
        or any("#" in level and (level != "#" or k < len(levels) - 1) for k, level in enumerate(levels))
        or any("+" in level and level != "+" for level in levels)
    ):
        raise MqttProtocolError("no topic filter", TOPIC_FILTER_INVALID)
    return text


def matches(filter, topic):
    """Whether a topic name is under a filter [4.7]; names that begin with $ are under no leading wildcard."""
    wanted, levels = filter.split("/"), topic.split("/")
    if topic[:1] == "$" and wanted[0] in ("+", "#"):
        return False
    for k, level in enumerate(wanted):
        if level == "#":
            return True
        if k >= len(levels) or level != "+" and level != levels[k]:
            return False
    return len(wanted) == len(levels)


class Decoder:
    """Bytes of one connection in, packets out. `version` is set by the CONNECT that it read; `most`: bytes of a packet;
    `broken`: what could not be followed, behind which nothing is read any more."""

    def __init__(self, most, version=None):
        self.most, self.version, self.rest, self.broken = most, version, bytearray(), None

    def feed(self, data):
        """The packets that are whole now, up to a malformed one."""
        found = []
        if self.broken is None:
            self.rest += data
            try:
                while packet := self.one():
                    found.append(packet)
            except MqttProtocolError as trouble:
                self.broken = trouble
                self.rest.clear()
        return found

    def one(self):
        rest = self.rest
        if not rest:
            return None
        kind, flags = rest[0] >> 4, rest[0] & 15
        if kind != PUBLISH and flags != FLAGS.get(kind, 0) or kind not in PACKET_READERS:
            raise MqttProtocolError("no packet of a client" if kind not in PACKET_READERS else "reserved flags")
        if self.version is None and kind != CONNECT:
            raise MqttProtocolError("CONNECT comes first", PROTOCOL_ERROR)
        length, used = decode_varint(rest, 1)
        if used is None:
            return None
        if 1 + used + length > self.most:
            raise MqttProtocolError("the packet is too large", PACKET_TOO_LARGE)
        if len(rest) < 1 + used + length:
            return None
        body = Body(bytes(rest[1 + used : 1 + used + length]))
        packet = PACKET_READERS[kind](self, kind, flags, body)
        if body.at < len(body.data):
            raise MqttProtocolError("bytes left over")
        del rest[: 1 + used + length]
        return packet

    def connect(self, kind, flags, body):
        if self.version is not None:
            raise MqttProtocolError("CONNECT twice", PROTOCOL_ERROR)
        if body.binary() != b"MQTT":
            raise MqttProtocolError("not MQTT", UNSUPPORTED_PROTOCOL_VERSION)
        level, flags = body.byte(), None
        if level not in (V3_1_1, V5):
            raise MqttProtocolError("neither 3.1.1 nor 5.0", UNSUPPORTED_PROTOCOL_VERSION)
        self.version = level  # from here on errors are told in its words
        flags, keep_alive = body.byte(), body.two()
        will, will_qos, will_retain = flags & 4, flags >> 3 & 3, bool(flags & 32)
        if flags & 1 or will_qos == 3 or not will and (will_qos or will_retain):
            raise MqttProtocolError("odd CONNECT flags")
        if level == V3_1_1 and flags & 0x40 and not flags & 0x80:  # [3.1.1: MQTT-3.1.2-22]
            raise MqttProtocolError("a password without a user")
        properties = body.properties(CONNECT) if level == V5 else {}
        packet = Connect(level, body.text(), bool(flags & 2), keep_alive, properties=properties)
        if will:
            if level == V5:
                body.properties("will")
            topic_name(body.text())
            body.binary()
        if flags & 0x80:
            packet.user = body.text()
        if flags & 0x40:
            body.binary()
        return packet

    def publish(self, kind, flags, body):
        qos, dup = flags >> 1 & 3, bool(flags & 8)
        if qos == 3 or dup and not qos:
            raise MqttProtocolError("odd PUBLISH flags")
        topic = body.text()
        packet_id = self.packet_id(body) if qos else 0
        properties = body.properties(PUBLISH) if self.version == V5 else {}
        if topic or "alias" not in properties:
            topic_name(topic)
        if "response_topic" in properties:
            topic_name(properties["response_topic"])
        return Publish(topic, body.rest(), qos, packet_id, dup, bool(flags & 1), properties)

    def ack(self, kind, flags, body):
        packet = Ack(kind, self.packet_id(body))
        if self.version == V5 and body.at < len(body.data):
            packet.code = body.byte()
            if body.at < len(body.data):
                packet.properties = body.properties(kind)
        return packet

    def subscribe(self, kind, flags, body):
        packet_id = self.packet_id(body)
        properties, asked = body.properties(kind) if self.version == V5 else {}, []
        while body.at < len(body.data):
            name = topic_filter(body.text())
            options = body.byte() if kind == SUBSCRIBE else 0
            if options & 3 == 3 or options & (0xC0 if self.version == V5 else 0xFC) or options >> 4 & 3 == 3:
                raise MqttProtocolError("odd options of a subscription", PROTOCOL_ERROR)
            asked.append((name, options & 3))
        if not asked:
            raise MqttProtocolError("no topic filter", PROTOCOL_ERROR)
        return Subscribe(kind, packet_id, asked, properties)

    def short(self, kind, flags, body):
        packet = Short(kind)
        if self.version == V5 and kind != PINGREQ and body.at < len(body.data):
            packet.code = body.byte()
            if body.at < len(body.data):
                packet.properties = body.properties(kind)
        return packet

    @staticmethod
    def packet_id(body):
        if not (packet_id := body.two()):
            raise MqttProtocolError("packet identifier 0")
        return packet_id


PACKET_READERS = {
    CONNECT: Decoder.connect,
    PUBLISH: Decoder.publish,
    SUBSCRIBE: Decoder.subscribe,
    UNSUBSCRIBE: Decoder.subscribe,
    PINGREQ: Decoder.short,
    DISCONNECT: Decoder.short,
    AUTH: Decoder.short,
    **dict.fromkeys((PUBACK, PUBREC, PUBREL, PUBCOMP), Decoder.ack),
}


# ---- out


def encode_varint(value):
    out = bytearray()
    while True:
        value, low = value >> 7, value & 127
        out.append(low | 128 if value else low)
        if not value:
            return bytes(out)


def encode_text(value):
    return encode_binary(value.encode())


def encode_binary(value):
    return len(value).to_bytes(2) + value


WRITERS = {
    "byte": lambda v: v.to_bytes(1),
    "two": lambda v: v.to_bytes(2),
    "four": lambda v: v.to_bytes(4),
    "varint": encode_varint,
    "text": encode_text,
    "binary": encode_binary,
    "pair": lambda v: encode_text(v[0]) + encode_text(v[1]),
}


def encode_properties(found):
    out = b""
    for name, value in found.items():
        number, kind = NUMBERS[name]
        for each in value if kind == "pair" else (value,):
            out += number.to_bytes(1) + WRITERS[kind](each)
    return encode_varint(len(out)) + out


def encode_packet(kind, flags, body):
    return (kind << 4 | flags).to_bytes(1) + encode_varint(len(body)) + body


def encode_connack(version, present, code, **found):
    """`code` as 5.0 has it; 3.1.1 gets the nearest of its five."""
    if version == V5:
        return encode_packet(CONNACK, 0, bytes((present, code)) + encode_properties(found))
    return encode_packet(CONNACK, 0, bytes((present, CONNACK_V4.get(code, 5) if code else 0)))


def encode_publish(version, topic, payload, qos=0, packet_id=0, dup=False, **found):
    head = (
        encode_text(topic)
        + (packet_id.to_bytes(2) if qos else b"")
        + (encode_properties(found) if version == V5 else b"")
    )
    return encode_packet(PUBLISH, dup << 3 | qos << 1, head + payload)


def encode_ack(version, kind, packet_id, code=OK, **found):
    if version == V5 and (code or found):
        return encode_packet(
            kind, FLAGS.get(kind, 0), packet_id.to_bytes(2) + bytes((code,)) + encode_properties(found)
        )
    return encode_packet(kind, FLAGS.get(kind, 0), packet_id.to_bytes(2))


def encode_suback(version, kind, packet_id, codes):
    head = packet_id.to_bytes(2) + (b"\0" if version == V5 else b"")
    return encode_packet(kind, 0, head + (bytes(codes) if version == V5 or kind == SUBACK else b""))


def encode_disconnect(version, code, why=""):
    """Nothing for 3.1.1, whose server just closes."""
    return (
        encode_packet(DISCONNECT, 0, bytes((code,)) + encode_properties({"reason": why} if why else {}))
        if version == V5
        else b""
    )


PINGRESP_PACKET = encode_packet(PINGRESP, 0, b"")
