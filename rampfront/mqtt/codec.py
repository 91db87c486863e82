"""Decodes and encodes MQTT packets for a server, versions 3.1.1 (protocol level 4) and 5.0. No I/O.

Source: OASIS MQTT 3.1.1 and 5.0; numbers in brackets refer to the standard. Invalid input raises `MqttProtocolError`
with the reason code of 5.0, at the first byte that shows the error. An oversize packet is detected before its body
arrives.
"""

from dataclasses import dataclass, field

CONNECT, CONNACK, PUBLISH, PUBACK, PUBREC, PUBREL, PUBCOMP = range(1, 8)
SUBSCRIBE, SUBACK, UNSUBSCRIBE, UNSUBACK, PINGREQ, PINGRESP, DISCONNECT, AUTH = range(8, 16)
V3_1_1, V5 = 4, 5  # protocol levels
# The reason codes of 5.0 that are used here.
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
# The return codes of a CONNACK of 3.1.1, by reason code of 5.0.
CONNACK_RETURN_CODES = {
    UNSUPPORTED_PROTOCOL_VERSION: 1,
    CLIENT_ID_NOT_VALID: 2,
    SERVER_UNAVAILABLE: 3,
    QUOTA_EXCEEDED: 3,
    BAD_USER_NAME_OR_PASSWORD: 4,
    NOT_AUTHORIZED: 5,
}

# Properties: identifier to name and type [2.2.2.2]; only a property of type "pair" may occur more than once.
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
PROPERTY_IDENTIFIERS = {name: (identifier, kind) for identifier, (name, kind) in PROPERTIES.items()}
# The properties that a client may send, by packet type; the will has its own.
ALLOWED_PROPERTIES = {
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
# Required flags of the first byte; 0 for all other packets, except PUBLISH, whose flags vary.
RESERVED_FLAGS = {PUBREL: 2, SUBSCRIBE: 2, UNSUBSCRIBE: 2}


class MqttProtocolError(Exception):
    """The client's input is invalid; `code` is the reason code of 5.0."""

    def __init__(self, reason, code=MALFORMED_PACKET):
        """`reason`: text for the client."""
        super().__init__(reason)
        self.code = code


@dataclass(slots=True)
class Connect:
    """CONNECT. Will and password are discarded: no client receives a will's answer, and no password is required."""

    protocol_level: int
    client_id: str
    clean_start: bool
    keep_alive_s: int
    user_name: str | None = None
    properties: dict = field(default_factory=dict)
    kind = CONNECT


@dataclass(slots=True)
class Publish:
    """PUBLISH. The packet identifier is 0 at QoS 0."""

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
    """SUBSCRIBE or UNSUBSCRIBE; the QoS of the latter's filters is 0."""

    kind: int
    packet_id: int
    filters: list  # (filter, QoS)
    properties: dict = field(default_factory=dict)


@dataclass(slots=True)
class SimplePacket:
    """PINGREQ, DISCONNECT or AUTH."""

    kind: int
    code: int = OK
    properties: dict = field(default_factory=dict)


class PacketReader:
    """Reads a packet's content, the bytes after its fixed header, from front to back.

    The methods that read a property are named after its type in `PROPERTIES`.
    """

    __slots__ = ("data", "position")

    def __init__(self, data):
        """`data`: the content, or a part of it."""
        self.data, self.position = data, 0

    def read(self, size):
        """Reads this number of bytes."""
        if self.position + size > len(self.data):
            raise MqttProtocolError("the packet ends too early")
        part = self.data[self.position : self.position + size]
        self.position += size
        return part

    def byte(self):
        """Reads a one-byte integer."""
        return self.read(1)[0]

    def two(self):
        """Reads a two-byte integer."""
        return int.from_bytes(self.read(2))

    def four(self):
        """Reads a four-byte integer."""
        return int.from_bytes(self.read(4))

    def varint(self):
        """Reads a variable byte integer [1.5.5]."""
        value, used = decode_varint(self.data, self.position)
        if used is None:
            raise MqttProtocolError("the packet ends too early")
        self.position += used
        return value

    def binary(self):
        """Reads binary data with a length prefix [1.5.6]."""
        return self.read(self.two())

    def text(self):
        """Reads a UTF-8 string with a length prefix [1.5.4]."""
        try:
            text = self.binary().decode()
        except UnicodeDecodeError:
            raise MqttProtocolError("not UTF-8") from None
        if "\0" in text:  # [1.5.4-2]
            raise MqttProtocolError("a zero character in a text")
        return text

    def pair(self):
        """Reads a pair of UTF-8 strings [1.5.7]."""
        return self.text(), self.text()

    def remaining(self):
        """Reads the rest of the content."""
        return self.read(len(self.data) - self.position)

    def properties(self, packet):
        """Reads the properties of a packet as values by name. `packet`: a key of `ALLOWED_PROPERTIES`."""
        length = self.varint()
        reader, found = PacketReader(self.read(length)), {}
        while reader.position < length:
            name, kind = PROPERTIES.get(reader.varint(), ("none", None))
            if name not in ALLOWED_PROPERTIES[packet]:
                raise MqttProtocolError("a property that this packet does not have")
            value = getattr(reader, kind)()
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


def decode_varint(data, position):
    """Decodes a variable byte integer [1.5.5]. Returns its value and size, or (0, None) while it is incomplete."""
    value = 0
    for index in range(4):
        if position + index >= len(data):
            return 0, None
        byte = data[position + index]
        value |= (byte & 127) << 7 * index
        if byte < 128:
            if index and not byte:
                raise MqttProtocolError("a length in more bytes than it needs")
            return value, index + 1
    raise MqttProtocolError("a length of more than four bytes")


def check_topic_name(text):
    """Returns the text if it is a valid topic name [4.7], which has no wildcards; else raises MqttProtocolError."""
    if not text or "+" in text or "#" in text:
        raise MqttProtocolError("no topic name", TOPIC_NAME_INVALID)
    return text


def check_topic_filter(text):
    """Returns the text if it is a valid topic filter [4.7]; else raises MqttProtocolError."""
    levels = text.split("/")
    if (
        not text
        or any("#" in level and (level != "#" or index < len(levels) - 1) for index, level in enumerate(levels))
        or any("+" in level and level != "+" for level in levels)
    ):
        raise MqttProtocolError("no topic filter", TOPIC_FILTER_INVALID)
    return text


def matches(filter, topic):
    """Whether a topic name matches a filter [4.7]. A leading wildcard does not match names that begin with $."""
    filter_levels, levels = filter.split("/"), topic.split("/")
    if topic[:1] == "$" and filter_levels[0] in ("+", "#"):
        return False
    for index, level in enumerate(filter_levels):
        if level == "#":
            return True
        if index >= len(levels) or level != "+" and level != levels[index]:
            return False
    return len(filter_levels) == len(levels)


class Decoder:
    """Decodes the byte stream of one connection into packets.

    `version` is the protocol level of the client's CONNECT, None before it; `max_packet_bytes` bounds a packet's size;
    `error` is the first protocol error, after which nothing more is decoded.
    """

    def __init__(self, max_packet_bytes, version=None):
        """`version`: given if the CONNECT is not part of the stream."""
        self.max_packet_bytes, self.version, self.buffer, self.error = max_packet_bytes, version, bytearray(), None

    def feed(self, data):
        """Returns the packets that are complete now, up to the first protocol error."""
        packets = []
        if self.error is None:
            self.buffer += data
            try:
                while packet := self.next_packet():
                    packets.append(packet)
            except MqttProtocolError as error:
                self.error = error
                self.buffer.clear()
        return packets

    def next_packet(self):
        """Decodes and removes the first packet of the buffer; None while it is incomplete."""
        buffer = self.buffer
        if not buffer:
            return None
        kind, flags = buffer[0] >> 4, buffer[0] & 15
        if kind != PUBLISH and flags != RESERVED_FLAGS.get(kind, 0) or kind not in PACKET_READERS:
            raise MqttProtocolError("no packet of a client" if kind not in PACKET_READERS else "reserved flags")
        if self.version is None and kind != CONNECT:
            raise MqttProtocolError("CONNECT comes first", PROTOCOL_ERROR)
        length, used = decode_varint(buffer, 1)
        if used is None:
            return None
        if 1 + used + length > self.max_packet_bytes:
            raise MqttProtocolError("the packet is too large", PACKET_TOO_LARGE)
        if len(buffer) < 1 + used + length:
            return None
        reader = PacketReader(bytes(buffer[1 + used : 1 + used + length]))
        packet = PACKET_READERS[kind](self, kind, flags, reader)
        if reader.position < len(reader.data):
            raise MqttProtocolError("bytes left over")
        del buffer[: 1 + used + length]
        return packet

    def read_connect(self, kind, flags, reader):
        """Reads a CONNECT, which determines the version."""
        if self.version is not None:
            raise MqttProtocolError("CONNECT twice", PROTOCOL_ERROR)
        if reader.binary() != b"MQTT":
            raise MqttProtocolError("not MQTT", UNSUPPORTED_PROTOCOL_VERSION)
        level, flags = reader.byte(), None
        if level not in (V3_1_1, V5):
            raise MqttProtocolError("neither 3.1.1 nor 5.0", UNSUPPORTED_PROTOCOL_VERSION)
        self.version = level  # from here on errors are reported in this version's format
        flags, keep_alive = reader.byte(), reader.two()
        will, will_qos, will_retain = flags & 4, flags >> 3 & 3, bool(flags & 32)
        if flags & 1 or will_qos == 3 or not will and (will_qos or will_retain):
            raise MqttProtocolError("odd CONNECT flags")
        if level == V3_1_1 and flags & 0x40 and not flags & 0x80:  # [3.1.1: MQTT-3.1.2-22]
            raise MqttProtocolError("a password without a user")
        properties = reader.properties(CONNECT) if level == V5 else {}
        packet = Connect(level, reader.text(), bool(flags & 2), keep_alive, properties=properties)
        if will:
            if level == V5:
                reader.properties("will")
            check_topic_name(reader.text())
            reader.binary()
        if flags & 0x80:
            packet.user_name = reader.text()
        if flags & 0x40:
            reader.binary()
        return packet

    def read_publish(self, kind, flags, reader):
        """Reads a PUBLISH."""
        qos, dup = flags >> 1 & 3, bool(flags & 8)
        if qos == 3 or dup and not qos:
            raise MqttProtocolError("odd PUBLISH flags")
        topic = reader.text()
        packet_id = self.read_packet_id(reader) if qos else 0
        properties = reader.properties(PUBLISH) if self.version == V5 else {}
        if topic or "alias" not in properties:
            check_topic_name(topic)
        if "response_topic" in properties:
            check_topic_name(properties["response_topic"])
        return Publish(topic, reader.remaining(), qos, packet_id, dup, bool(flags & 1), properties)

    def read_ack(self, kind, flags, reader):
        """Reads a PUBACK, PUBREC, PUBREL or PUBCOMP."""
        packet = Ack(kind, self.read_packet_id(reader))
        if self.version == V5 and reader.position < len(reader.data):
            packet.code = reader.byte()
            if reader.position < len(reader.data):
                packet.properties = reader.properties(kind)
        return packet

    def read_subscribe(self, kind, flags, reader):
        """Reads a SUBSCRIBE or UNSUBSCRIBE."""
        packet_id = self.read_packet_id(reader)
        properties, filters = reader.properties(kind) if self.version == V5 else {}, []
        while reader.position < len(reader.data):
            name = check_topic_filter(reader.text())
            options = reader.byte() if kind == SUBSCRIBE else 0
            if options & 3 == 3 or options & (0xC0 if self.version == V5 else 0xFC) or options >> 4 & 3 == 3:
                raise MqttProtocolError("odd options of a subscription", PROTOCOL_ERROR)
            filters.append((name, options & 3))
        if not filters:
            raise MqttProtocolError("no topic filter", PROTOCOL_ERROR)
        return Subscribe(kind, packet_id, filters, properties)

    def read_simple(self, kind, flags, reader):
        """Reads a PINGREQ, DISCONNECT or AUTH."""
        packet = SimplePacket(kind)
        if self.version == V5 and kind != PINGREQ and reader.position < len(reader.data):
            packet.code = reader.byte()
            if reader.position < len(reader.data):
                packet.properties = reader.properties(kind)
        return packet

    @staticmethod
    def read_packet_id(reader):
        """Reads a packet identifier, which must not be 0 [2.2.1]."""
        if not (packet_id := reader.two()):
            raise MqttProtocolError("packet identifier 0")
        return packet_id


PACKET_READERS = {
    CONNECT: Decoder.read_connect,
    PUBLISH: Decoder.read_publish,
    SUBSCRIBE: Decoder.read_subscribe,
    UNSUBSCRIBE: Decoder.read_subscribe,
    PINGREQ: Decoder.read_simple,
    DISCONNECT: Decoder.read_simple,
    AUTH: Decoder.read_simple,
    **dict.fromkeys((PUBACK, PUBREC, PUBREL, PUBCOMP), Decoder.read_ack),
}


# ---- encoding


def encode_varint(value):
    """Encodes a variable byte integer [1.5.5]."""
    encoded = bytearray()
    while True:
        value, low_bits = value >> 7, value & 127
        encoded.append(low_bits | 128 if value else low_bits)
        if not value:
            return bytes(encoded)


def encode_text(value):
    """Encodes a UTF-8 string with its length prefix [1.5.4]."""
    return encode_binary(value.encode())


def encode_binary(value):
    """Encodes binary data with its length prefix [1.5.6]."""
    return len(value).to_bytes(2) + value


PROPERTY_ENCODERS = {
    "byte": lambda value: value.to_bytes(1),
    "two": lambda value: value.to_bytes(2),
    "four": lambda value: value.to_bytes(4),
    "varint": encode_varint,
    "text": encode_text,
    "binary": encode_binary,
    "pair": lambda pair: encode_text(pair[0]) + encode_text(pair[1]),
}


def encode_properties(properties):
    """Encodes properties, given by name, with their total length; a pair property has a list of values."""
    encoded = b""
    for name, value in properties.items():
        identifier, kind = PROPERTY_IDENTIFIERS[name]
        for item in value if kind == "pair" else (value,):
            encoded += identifier.to_bytes(1) + PROPERTY_ENCODERS[kind](item)
    return encode_varint(len(encoded)) + encoded


def encode_packet(kind, flags, body):
    """Encodes a packet with its fixed header."""
    return (kind << 4 | flags).to_bytes(1) + encode_varint(len(body)) + body


def encode_connack(version, session_present, code, **properties):
    """Encodes a CONNACK. `code`: a reason code of 5.0; 3.1.1 gets the nearest of its five return codes."""
    if version == V5:
        return encode_packet(CONNACK, 0, bytes((session_present, code)) + encode_properties(properties))
    return encode_packet(CONNACK, 0, bytes((session_present, CONNACK_RETURN_CODES.get(code, 5) if code else 0)))


def encode_publish(version, topic, payload, qos=0, packet_id=0, dup=False, **properties):
    """Encodes a PUBLISH. 3.1.1 has no `properties`."""
    header = (
        encode_text(topic)
        + (packet_id.to_bytes(2) if qos else b"")
        + (encode_properties(properties) if version == V5 else b"")
    )
    return encode_packet(PUBLISH, dup << 3 | qos << 1, header + payload)


def encode_ack(version, kind, packet_id, code=OK, **properties):
    """Encodes a PUBACK, PUBREC, PUBREL or PUBCOMP. 3.1.1 has neither `code` nor `properties`."""
    if version == V5 and (code or properties):
        return encode_packet(
            kind, RESERVED_FLAGS.get(kind, 0), packet_id.to_bytes(2) + bytes((code,)) + encode_properties(properties)
        )
    return encode_packet(kind, RESERVED_FLAGS.get(kind, 0), packet_id.to_bytes(2))


def encode_suback(version, kind, packet_id, codes):
    """Encodes a SUBACK or UNSUBACK; the latter has no codes in 3.1.1."""
    header = packet_id.to_bytes(2) + (b"\0" if version == V5 else b"")
    return encode_packet(kind, 0, header + (bytes(codes) if version == V5 or kind == SUBACK else b""))


def encode_disconnect(version, code, reason=""):
    """Encodes a DISCONNECT; empty for 3.1.1, whose server only closes the connection."""
    return (
        encode_packet(DISCONNECT, 0, bytes((code,)) + encode_properties({"reason": reason} if reason else {}))
        if version == V5
        else b""
    )


PINGRESP_PACKET = encode_packet(PINGRESP, 0, b"")
