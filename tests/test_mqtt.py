"""MQTT: unit tests of the codec and the sessions, then real clients (paho) of edge nodes with emulated servers."""

import asyncio
import http.client
import signal
import socket
import threading
import time
from contextlib import contextmanager
from pathlib import Path

import msgspec
import paho.mqtt.client as paho
import pytest
import uvloop
from helper import config
from hypothesis import given, settings
from hypothesis import strategies as st
from paho.mqtt.packettypes import PacketTypes
from paho.mqtt.properties import Properties

from rampfront.config import ConfigFileError, parse_toml
from rampfront.edge.configuration import read_configuration
from rampfront.edge.configuration_checks import ConfigurationError
from rampfront.lab.emulator import Emulator
from rampfront.lab.nodes import Node
from rampfront.lab.plan import changed, read_plan
from rampfront.mqtt import codec, topics
from rampfront.mqtt import session as mqtt_session

PLAN = Path(__file__).parents[1] / "experiments/mqtt.toml"
KEY = "00000000b4d65521"


# ---- codec


def connect_packet(version=codec.V5, client_id="a", clean=True, keep_alive=0, user=KEY, more=b"\0"):
    flags = clean << 1 | (0x80 if user else 0)
    return codec.encode_packet(
        codec.CONNECT,
        0,
        codec.encode_text("MQTT")
        + bytes((version, flags))
        + keep_alive.to_bytes(2)
        + (more if version == codec.V5 else b"")
        + codec.encode_text(client_id)
        + (codec.encode_text(user) if user else b""),
    )


@pytest.mark.parametrize("version", (codec.V3_1_1, codec.V5))
def test_packets_arrive_whole_in_whatever_pieces(version):
    sent = connect_packet(version) + codec.encode_publish(
        version,
        "a/b",
        b"xyz",
        1,
        7,
        **({"correlation": b"1", "user": [("k", "v"), ("k", "w")]} if version == codec.V5 else {}),
    )
    sent += codec.encode_packet(
        codec.SUBSCRIBE, 2, b"\0\1" + (b"\0" if version == codec.V5 else b"") + codec.encode_text("a/#") + b"\1"
    )
    sent += (
        codec.encode_ack(version, codec.PUBREL, 9)
        + codec.encode_packet(codec.PINGREQ, 0, b"")
        + codec.encode_packet(codec.DISCONNECT, 0, b"")
    )
    for size in (1, 3, len(sent)):
        decoder, packets = codec.Decoder(1000), []
        for position in range(0, len(sent), size):
            packets += decoder.feed(sent[position : position + size])
        assert [packet.kind for packet in packets] == [
            codec.CONNECT,
            codec.PUBLISH,
            codec.SUBSCRIBE,
            codec.PUBREL,
            codec.PINGREQ,
            codec.DISCONNECT,
        ]
        assert decoder.error is None and packets[0].user_name == KEY and packets[0].protocol_level == version
        assert (packets[1].topic, packets[1].payload, packets[1].packet_id) == ("a/b", b"xyz", 7) and packets[
            2
        ].filters == [("a/#", 1)]
        assert version == codec.V3_1_1 or packets[1].properties["user"] == [("k", "v"), ("k", "w")]


@pytest.mark.parametrize(
    "raw, code",
    [
        (b"\x30\xff\xff\xff\xff\x01", codec.MALFORMED_PACKET),
        (b"\x30\xff\xff\xff\x7f", codec.PACKET_TOO_LARGE),
        (b"\x30\x80\x00", codec.MALFORMED_PACKET),
        (codec.encode_publish(codec.V5, "a/+", b""), codec.TOPIC_NAME_INVALID),
        (codec.encode_publish(codec.V5, "", b""), codec.TOPIC_NAME_INVALID),
        (b"\x36\x00", codec.MALFORMED_PACKET),
        (codec.encode_publish(codec.V5, "a", b"", 1, 0), codec.MALFORMED_PACKET),
        (b"\x38\x05\0\1a\0x", codec.MALFORMED_PACKET),
        (b"\xf1\x00", codec.MALFORMED_PACKET),
        (codec.encode_packet(codec.SUBSCRIBE, 0, b""), codec.MALFORMED_PACKET),
        (codec.encode_packet(codec.SUBSCRIBE, 2, b"\0\1\0"), codec.PROTOCOL_ERROR),
        (codec.encode_packet(codec.SUBSCRIBE, 2, b"\0\1\0\0\3a#b\0"), codec.TOPIC_FILTER_INVALID),
        (connect_packet(), codec.PROTOCOL_ERROR),
        (b"\x20\x02\0\0", codec.MALFORMED_PACKET),
        (codec.encode_packet(codec.PUBLISH, 0, codec.encode_text("a") + b"\x03\x23\0\0"), codec.TOPIC_ALIAS_INVALID),
        (b"\x30\x06\0\x04\xff\xfe\0\0", codec.MALFORMED_PACKET),
        (codec.encode_packet(codec.PUBLISH, 0, codec.encode_text("a") + b"\x04\x01\0\x01\0"), codec.PROTOCOL_ERROR),
    ],
)
def test_malformed_packets_have_a_reason(raw, code):
    decoder = codec.Decoder(1000)
    # Complete packets before it are decoded.
    assert len(decoder.feed(connect_packet() + codec.encode_packet(codec.PINGREQ, 0, b"") + raw)) == 2
    assert decoder.error.code == code and decoder.feed(codec.encode_packet(codec.PINGREQ, 0, b"")) == []


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    st.sampled_from((codec.V3_1_1, codec.V5)),
    st.binary(max_size=80),
    st.integers(0, 255),
    st.integers(0, 60),
    st.integers(1, 9),
)
def test_the_codec_bears_whatever_comes(version, noise, byte, at, size):
    good = bytearray(
        connect_packet(version)
        + codec.encode_publish(version, "a/b", b"p", 1, 3)
        + codec.encode_ack(version, codec.PUBREL, 3)
    )
    good[min(at, len(good) - 1)] = byte
    for raw in (
        bytes(noise),
        connect_packet(version) + noise,
        bytes(good),
        codec.encode_packet(noise[0] >> 4, noise[0] & 15, noise[1:]) if noise else b"",
    ):
        decoder = codec.Decoder(1000)
        for position in range(0, len(raw), size):
            for packet in decoder.feed(raw[position : position + size]):
                assert packet.kind in codec.PACKET_READERS
        assert len(decoder.buffer) <= 1005


@settings(derandomize=True)
@given(st.integers(0, 2**28 - 1))
def test_lengths_come_back(value):
    assert codec.decode_varint(codec.encode_varint(value), 0) == (value, len(codec.encode_varint(value)))


def test_topics_match_as_the_standard_has_it():
    yes = [("a/+/c", "a/b/c"), ("a/#", "a"), ("a/#", "a/b/c"), ("#", "a/b"), ("+", "a"), ("+/+", "/a"), ("/+", "/a")]
    no = [("a/+", "a"), ("+", "/a"), ("a/+", "a/b/c"), ("#", "$SYS/a"), ("+/a", "$SYS/a"), ("a", "a/b")]
    assert all(codec.matches(*row) for row in yes) and not any(codec.matches(*row) for row in no)


def test_a_topic_stays_within_its_place_in_the_path():
    routes = topics.Routes([topics.Route("l/+/#", "x", "/api/{1}?x={2}", 1, 2, 4)], 2)
    assert routes.find("l/a b/../c?d=1&e")[1] == b"/api/a%20b?x=..%2Fc%3Fd%3D1%26e" and routes.find("m/a") is None
    for k in range(9):
        routes.find(f"l/{k}/x")
    assert len(routes.cache) <= 2


def test_faulty_tables_are_named():
    good = {"listen": "127.0.0.1:1883", "topics": [{"filter": "a/+", "product": "fetch", "path": "/x"}]}
    settings_tables = config()
    assert read_configuration({**settings_tables, "mqtt": good}, {}).mqtt.routes
    for invalid in (
        {**good, "listen": "x"},
        {**good, "topics": []},
        {**good, "plan": "none"},
        {**good, "inflight": 0},
        {**good, "topics": [{"filter": "a/#/b", "product": "fetch", "path": "/x"}]},
        {**good, "connections": 1000},
        {**good, "topics": [{"filter": "a", "product": "none", "path": "/x"}]},
        {**good, "topics": [3]},
        {**good, "topics": [{"filter": "a", "product": "fetch", "path": "/x y"}]},
        {**good, "topics": [{"filter": "a", "product": "fetch", "path": "/x", "units": "2"}]},
    ):
        with pytest.raises(ConfigurationError, match="mqtt"):
            read_configuration({**settings_tables, "mqtt": invalid}, {})
    text = (
        'name="n"\nlisten="h:1"\ndiscovery="h:2"\n[[products]]\nname="p"\neffect="inquiry"\nsla_ms=1.0\n'
        '[[plans]]\nname="q"\n[mqtt]\nlisten="h:3"\n[[mqtt.topics]]\nfilter="a/+"\nproduct="p"\npath="/{2}"\n'
    )
    with pytest.raises(ConfigFileError, match=r"mqtt.topics\[0\].path"):
        parse_toml(text)
    assert parse_toml(text.replace("{2}", "{1}")).mqtt.topics[0].units == 1.0


# ---- sessions


def publish_packet(packet_id=1, qos=1, dup=False, payload=b"x"):
    return codec.Publish("t", payload, qos, packet_id, dup)


def test_a_repeat_runs_never_again_and_gets_the_first_answer():
    for qos, state in ((1, mqtt_session.COMPLETED), (2, mqtt_session.AWAITING_PUBREL)):
        session = mqtt_session.Session(("plan", "acc", "id"))
        assert (
            session.receive_publish(publish_packet(qos=qos))[1] == mqtt_session.EXECUTE
            and session.receive_publish(publish_packet(qos=qos, dup=True))[1] == mqtt_session.AWAIT_ANSWER
        )
        # Another message with an open packet identifier.
        assert session.receive_publish(publish_packet(qos=qos, payload=b"y"))[1] == mqtt_session.REJECT
        flow, effect = session.complete_publish(1, codec.OK, {})
        assert (flow.state, effect) == (state, mqtt_session.ACKNOWLEDGE) and session.complete_publish(
            1, codec.QUOTA_EXCEEDED, {}
        ) is None
        # The acknowledgement was lost.
        assert session.receive_publish(publish_packet(qos=qos, dup=True))[1] == mqtt_session.ACKNOWLEDGE
        if qos == 2:
            assert session.receive_pubrel(1) == codec.OK == session.receive_pubrel(1)
            assert session.receive_publish(publish_packet(qos=2, dup=True))[1] == mqtt_session.ACKNOWLEDGE
        assert session.receive_publish(publish_packet(qos=qos, payload=b"new"))[1] == mqtt_session.EXECUTE
    assert session.receive_pubrel(9) == codec.PACKET_ID_NOT_FOUND
    # This node does not know the packet identifier.
    assert session.receive_publish(publish_packet(5, 1, True))[1] == mqtt_session.CHECK_REDELIVERY


def test_sessions_are_bounded():
    session = mqtt_session.Session(("plan", "acc", "id"), max_flows=20, max_waiting=10)
    for packet_id in range(1, 500):
        session.receive_publish(publish_packet(packet_id, 2))
        session.complete_publish(packet_id, codec.OK, {})
        session.enqueue_answer("t", b"", {})
    assert len(session.inbound_flows) <= 20 and len(session.waiting) == 10 and session.dropped_answers == 489
    # Its flow was evicted: it may have been executed.
    assert session.receive_publish(publish_packet(1, 2, True))[1] == mqtt_session.CHECK_REDELIVERY
    session.receive_maximum = 4
    sent = [row[0] for row in session.next_answers()]
    assert (
        len(sent) == 4
        and not list(session.next_answers())
        and session.receive_puback(sent[0])
        and not session.receive_puback(sent[0])
    )
    assert len(list(session.next_answers())) == 1


# ---- real clients


class Fleet:
    def __init__(self, folder, nodes=1, **topology):
        plan = read_plan(PLAN)
        self.plan = changed(plan, topology=msgspec.structs.replace(plan.topology, nodes=nodes, **topology))
        self.loop, started, self.clients = uvloop.new_event_loop(), threading.Event(), []

        def serve():
            self.lab = self.loop.run_until_complete(Emulator(self.loop, self.plan, 1, open("/dev/null", "wb")).listen())
            started.set()
            self.loop.run_forever()

        self.thread = threading.Thread(target=serve)
        self.thread.start()
        started.wait()
        self.nodes = [Node(self.plan, k, self.lab.addresses(), 1, folder) for k in range(nodes)]
        for node in self.nodes:
            node.start().wait_until_ready()

    def fault(self, **more):
        for box in self.lab.servers:
            for key, value in more.items():
                self.loop.call_soon_threadsafe(setattr, box, key, value)

    def client(self, version, node=0, client_id="agent", clean=True, user=KEY, port=None, expiry=0):
        client = paho.Client(
            paho.CallbackAPIVersion.VERSION2,
            client_id,
            protocol=version,
            **({} if version == paho.MQTTv5 else {"clean_session": clean}),
        )
        client.username_pw_set(user)
        client.messages, client.acknowledgements, client.connects, client.disconnect_codes = [], {}, [], []
        client.on_message = lambda _, __, message: client.messages.append(message)
        client.on_publish = lambda _, __, mid, code, found: client.acknowledgements.setdefault(mid, (code.value, found))
        client.on_connect = lambda _, __, flags, code, found: client.connects.append(
            (flags.session_present, code.value)
        )
        client.on_disconnect = lambda _, __, flags, code, found: client.disconnect_codes.append(code.value)
        client.reconnect_delay_set(0.1, 0.2)
        more = {}
        if version == paho.MQTTv5:
            properties = Properties(PacketTypes.CONNECT)
            properties.SessionExpiryInterval = expiry
            more = {"clean_start": clean, "properties": properties}
        self.clients.append(client)
        client.connect("127.0.0.1", port or int(self.nodes[node].mqtt.rpartition(":")[2]), keepalive=20, **more)
        client.loop_start()
        wait_until(lambda: client.connects)
        return client

    def end(self):
        for client in self.clients:
            client.disconnect()
            client.loop_stop()
        for node in self.nodes:
            node.end()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


def wait_until(condition, timeout_s=6.0):
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "the condition was not fulfilled in time"
        time.sleep(0.01)


@pytest.fixture
def fleet(tmp_path):
    fleets = []

    def make(**more):
        fleets.append(Fleet(tmp_path, **more))
        return fleets[-1]

    yield make
    for running_fleet in fleets:
        running_fleet.end()


@pytest.mark.parametrize("version", (paho.MQTTv311, paho.MQTTv5))
def test_each_qos_is_answered_in_topic_and_acknowledgement(fleet, version):
    running_fleet = fleet()
    client = running_fleet.client(version)
    client.subscribe("answers/agent/#", 1)
    mids = [
        client.publish(f"{what}/0/{k}", b"entry" if what != "fetch" else b"", qos=k % 3).mid
        for k, what in enumerate(("fetch", "publish", "ledger-entry") * 4)
    ]
    mids.append(client.publish("no/such", b"", qos=1).mid)
    wait_until(lambda: len(client.messages) == 13 and len(client.acknowledgements) == 13)
    outcomes = [message.topic.rsplit("/", 1)[1] for message in client.messages]
    assert outcomes.count("settled") == 12 and outcomes.count("refused") == 1
    assert client.acknowledgements[mids[-1]][0] == (codec.TOPIC_NAME_INVALID if version == paho.MQTTv5 else 0)
    assert running_fleet.lab.state()["once_only"] == {"txns": 4, "runs": 4, "twice": {}}
    if version == paho.MQTTv5:  # a response topic chosen by the client
        properties = Properties(PacketTypes.PUBLISH)
        properties.ResponseTopic, properties.CorrelationData = "my/answers", b"77"
        client.subscribe("my/#", 0)
        client.publish("fetch/0/r", b"", qos=1, properties=properties)
        wait_until(lambda: client.messages[-1].topic == "my/answers")
        assert client.messages[-1].properties.CorrelationData == b"77"
        assert ("outcome", "settled") in client.messages[-1].properties.UserProperty


@contextmanager
def lossy_relay(port, lost):
    """A relay that drops the node's packets while `lost` is set, and whose connections can be cut."""
    loop, started, relay = uvloop.new_event_loop(), threading.Event(), {}

    async def serve(reader, writer):
        node_reader, node_writer = await asyncio.open_connection("127.0.0.1", port)
        relay["links"].append((writer, node_writer))

        async def pump(source, sink, lossless):
            while data := await source.read(65536):
                if lossless or not lost.is_set():
                    sink.write(data)
            sink.close()

        await asyncio.gather(pump(reader, node_writer, True), pump(node_reader, writer, False), return_exceptions=True)

    async def begin():
        relay["links"], relay["server"] = [], await asyncio.start_server(serve, "127.0.0.1", 0)
        started.set()

    def cut():
        for pair in relay["links"]:
            for writer in pair:
                loop.call_soon_threadsafe(writer.transport.abort)
        relay["links"].clear()

    thread = threading.Thread(target=lambda: (loop.create_task(begin()), loop.run_forever()))
    thread.start()
    started.wait()
    yield relay["server"].sockets[0].getsockname()[1], cut
    loop.call_soon_threadsafe(relay["server"].close)
    cut()
    time.sleep(0.05)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()


@pytest.mark.parametrize("qos", (1, 2))
def test_a_ledger_entry_delivered_again_after_a_lost_acknowledgement_runs_once(fleet, qos):
    running_fleet, lost = fleet(), threading.Event()
    with lossy_relay(int(running_fleet.nodes[0].mqtt.rpartition(":")[2]), lost) as (port, cut):
        client = running_fleet.client(paho.MQTTv311, clean=False, port=port)
        lost.set()
        mids = [client.publish(f"ledger-entry/0/{k}", b"x", qos=qos).mid for k in range(5)]
        wait_until(lambda: running_fleet.lab.state()["once_only"]["runs"] == 5)
        time.sleep(0.1)
        assert not client.acknowledgements
        cut()
        lost.clear()
        wait_until(lambda: len(client.acknowledgements) == 5)
        assert client.connects[-1] == (True, 0) and set(client.acknowledgements) == set(mids)
        client.disconnect()
    assert running_fleet.lab.state()["once_only"] == {"txns": 5, "runs": 5, "twice": {}}


def test_a_session_goes_on_at_another_node_after_the_first_one_died(fleet):
    """No transaction in progress is lost or executed twice.

    Repeatable ones are executed again; for the others the outcome is reported as unknown.
    """
    running_fleet = fleet(nodes=2)
    first = int(running_fleet.nodes[0].mqtt.rpartition(":")[2])
    running_fleet.fault(hang=True)  # all are executed, but no response is sent
    client = running_fleet.client(paho.MQTTv311, clean=False, port=first)
    mids = [
        client.publish(f"{what}/0/{k}", b"" if what == "fetch" else b"x", qos=1 + k % 2).mid
        for k, what in enumerate(("ledger-entry", "ledger-entry", "publish", "fetch"))
    ]
    wait_until(lambda: sum(box.counts["hung"] for box in running_fleet.lab.servers) >= 4)
    running_fleet.nodes[0].process.send_signal(signal.SIGKILL)
    running_fleet.nodes[0].process.wait()
    running_fleet.fault(hang=False)
    client.connect_async("127.0.0.1", int(running_fleet.nodes[1].mqtt.rpartition(":")[2]), keepalive=20)
    client.subscribe("answers/#", 1)
    wait_until(lambda: client.connects[-1] == (False, 0) and len(client.connects) == 2)
    client.subscribe("answers/#", 1)  # the node had no session, so the client must subscribe again
    wait_until(lambda: len(client.acknowledgements) == 4, 12)
    assert set(client.acknowledgements) == set(mids) and running_fleet.lab.state()["once_only"]["twice"] == {}
    running_fleet.nodes[1].end()
    assert running_fleet.nodes[1].totals()["mqtt_strange"] == 4 and running_fleet.nodes[1].totals()["settled"] == 2


def test_odd_clients_get_a_reason_and_trouble_nobody(fleet):
    running_fleet = fleet()
    client = running_fleet.client(paho.MQTTv5, client_id="good")
    address = ("127.0.0.1", int(running_fleet.nodes[0].mqtt.rpartition(":")[2]))

    def exchange(*raw):
        with socket.create_connection(address, 5) as sock:
            for part in raw:
                sock.sendall(part)
                time.sleep(0.02)
            received = b""
            while data := sock.recv(4096):
                received += data
            return received

    # Version 3.1 is refused.
    assert (
        exchange(
            codec.encode_packet(codec.CONNECT, 0, codec.encode_text("MQTT") + b"\x03\x02\0\0" + codec.encode_text("a"))
        )[3]
        == 1
    )
    assert (
        exchange(
            codec.encode_packet(
                codec.CONNECT, 0, codec.encode_text("MQIsdp") + b"\x03\x02\0\0" + codec.encode_text("a")
            )
        )
        == b"\x20\x02\0\1"
    )
    assert (
        exchange(connect_packet(user="nobody"))[3] == codec.BAD_USER_NAME_OR_PASSWORD
        and exchange(connect_packet(user="none:" + KEY))[3] == codec.NOT_AUTHORIZED
    )
    assert (
        exchange(connect_packet(codec.V3_1_1, user=None)) == b"\x20\x02\0\4"
        and exchange(connect_packet(client_id="a/b"))[3] == codec.CLIENT_ID_NOT_VALID
    )
    assert exchange(codec.encode_packet(codec.PINGREQ, 0, b"")) == b"" and exchange(b"GET / HTTP/1.1\r\n\r\n") == b""
    for raw, code in (
        (codec.encode_publish(codec.V5, "fetch/#", b""), codec.TOPIC_NAME_INVALID),
        (b"\x30\xff\xff\xff\x7f", codec.PACKET_TOO_LARGE),
        (b"\x30\x80\x80\x80\x80\x01", codec.MALFORMED_PACKET),
        (connect_packet(), codec.PROTOCOL_ERROR),
        (codec.encode_packet(codec.PUBLISH, 1, codec.encode_text("fetch/0/1") + b"\0"), codec.RETAIN_NOT_SUPPORTED),
    ):
        assert exchange(connect_packet(), raw)[-40:].find(bytes((codec.DISCONNECT << 4,))) >= 0
        received = exchange(connect_packet(), raw)
        at = 2 + received[1]  # after the CONNACK
        assert received[at] == codec.DISCONNECT << 4 and received[at + 2] == code
    # In 3.1.1 the server only closes the connection.
    assert exchange(connect_packet(codec.V3_1_1), codec.encode_publish(codec.V3_1_1, "a/+", b""))[4:] == b""
    client.publish("fetch/0/1", b"", qos=1).wait_for_publish(5)
    assert client.acknowledgements and not client.disconnect_codes


def test_one_quota_for_both_fronts_at_once(fleet):
    running_fleet, statuses, begun = fleet(), [], time.monotonic()
    client = running_fleet.client(paho.MQTTv5, user="held:" + KEY)

    def flood():
        call = http.client.HTTPConnection(running_fleet.nodes[0].listen)
        for k in range(150):
            call.request(
                "GET",
                f"/api?a=0&u=1&p=0&x=h{k}",
                headers={
                    "X-Request-Id": f"h{k}",
                    "X-Class": "fetch",
                    "X-Tier": "held",
                    "Cookie": f"key={KEY}",
                    "X-Deadline-Ms": "2000",
                    "X-Call-Terms": "units=1,spread=1,first=0",
                },
            )
            statuses.append(call.getresponse())
            statuses[-1].read()

    thread = threading.Thread(target=flood)
    thread.start()
    mids = [client.publish(f"fetch/0/m{k}", b"", qos=1).mid for k in range(150)]
    thread.join()
    wait_until(lambda: len(client.acknowledgements) == 150)
    allowed = 30 + 20 * (time.monotonic() - begun)  # a quota window allows one and a half bursts
    over = [code for code, _ in client.acknowledgements.values() if code]
    settled = 150 - len(over) + sum(answer.status == 200 for answer in statuses)
    assert set(over) == {codec.QUOTA_EXCEEDED} and 20 <= settled <= 1.1 * allowed and len(mids) == 150
    back = dict(next(found for code, found in client.acknowledgements.values() if code).UserProperty)
    assert back["outcome"] == "declined" and int(back["retry-after-ms"]) > 0


def test_a_client_is_read_no_faster_than_its_txns_end_and_sigterm_waits_for_them(fleet):
    running_fleet = fleet(mqtt={**read_plan(PLAN).topology.mqtt, "inflight": 4})
    client = running_fleet.client(paho.MQTTv5)
    mids = [client.publish(f"ledger-entry/0/{k}", b"x", qos=k % 2).mid for k in range(300)]
    wait_until(lambda: len(client.acknowledgements) == 300)
    assert running_fleet.lab.state()["once_only"] == {"txns": 300, "runs": 300, "twice": {}} and len(mids) == 300
    assert max(box.server_model.most_working for box in running_fleet.lab.servers) <= 4
    running_fleet.nodes[0].end()
    assert running_fleet.nodes[0].process.returncode == 0
    wait_until(lambda: client.disconnect_codes)
    assert client.disconnect_codes[0] == codec.SERVER_SHUTTING_DOWN


def test_answers_wait_for_a_client_that_is_away_and_a_second_connection_takes_over(fleet):
    running_fleet = fleet()
    client = running_fleet.client(paho.MQTTv5, clean=False, expiry=60)
    client.subscribe("answers/#", 1)
    wait_until(lambda: client.publish("fetch/0/1", b"", qos=1).is_published() or client.messages)
    client.loop_stop()
    client.publish("ledger-entry/0/2", b"x", qos=1)
    client.loop_write()
    client.socket().shutdown(socket.SHUT_RDWR)  # it disconnects without DISCONNECT while its transaction is open
    wait_until(lambda: running_fleet.lab.state()["once_only"]["runs"] == 1)
    second = running_fleet.client(paho.MQTTv5, clean=False, expiry=60)
    wait_until(lambda: any(b"settled" in message.topic.encode() for message in second.messages))
    assert second.connects == [(True, 0)]
    third = running_fleet.client(paho.MQTTv5, clean=True)
    wait_until(lambda: codec.SESSION_TAKEN_OVER in second.disconnect_codes)
    assert third.connects[0] == (False, 0) and running_fleet.lab.state()["once_only"]["runs"] == 1
