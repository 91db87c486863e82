"""MQTT: the codec and the sessions alone, then real clients (paho) at edge nodes before the laboratory's boxes."""

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
from rampfront.mqtt import codec as c
from rampfront.mqtt import session as s
from rampfront.mqtt import topics

PLAN = Path(__file__).parents[1] / "experiments/mqtt.toml"
KEY = "00000000b4d65521"


# ---- codec


def hello(version=c.V5, client_id="a", clean=True, keep_alive=0, user=KEY, more=b"\0"):
    flags = clean << 1 | (0x80 if user else 0)
    return c.packet(
        c.CONNECT,
        0,
        c.text("MQTT")
        + bytes((version, flags))
        + keep_alive.to_bytes(2)
        + (more if version == c.V5 else b"")
        + c.text(client_id)
        + (c.text(user) if user else b""),
    )


@pytest.mark.parametrize("version", (c.V4, c.V5))
def test_packets_arrive_whole_in_whatever_pieces(version):
    sent = hello(version) + c.publish(
        version,
        "a/b",
        b"xyz",
        1,
        7,
        **({"correlation": b"1", "user": [("k", "v"), ("k", "w")]} if version == c.V5 else {}),
    )
    sent += c.packet(c.SUBSCRIBE, 2, b"\0\1" + (b"\0" if version == c.V5 else b"") + c.text("a/#") + b"\1")
    sent += c.ack(version, c.PUBREL, 9) + c.packet(c.PINGREQ, 0, b"") + c.packet(c.DISCONNECT, 0, b"")
    for size in (1, 3, len(sent)):
        decoder, got = c.Decoder(1000), []
        for at in range(0, len(sent), size):
            got += decoder.feed(sent[at : at + size])
        assert [p.kind for p in got] == [c.CONNECT, c.PUBLISH, c.SUBSCRIBE, c.PUBREL, c.PINGREQ, c.DISCONNECT]
        assert decoder.broken is None and got[0].user == KEY and got[0].level == version
        assert (got[1].topic, got[1].payload, got[1].pid) == ("a/b", b"xyz", 7) and got[2].asked == [("a/#", 1)]
        assert version == c.V4 or got[1].properties["user"] == [("k", "v"), ("k", "w")]


@pytest.mark.parametrize(
    "raw, code",
    [
        (b"\x30\xff\xff\xff\xff\x01", c.MALFORMED),
        (b"\x30\xff\xff\xff\x7f", c.TOO_LARGE),
        (b"\x30\x80\x00", c.MALFORMED),
        (c.publish(c.V5, "a/+", b""), c.BAD_TOPIC),
        (c.publish(c.V5, "", b""), c.BAD_TOPIC),
        (b"\x36\x00", c.MALFORMED),
        (c.publish(c.V5, "a", b"", 1, 0), c.MALFORMED),
        (b"\x38\x05\0\1a\0x", c.MALFORMED),
        (b"\xf1\x00", c.MALFORMED),
        (c.packet(c.SUBSCRIBE, 0, b""), c.MALFORMED),
        (c.packet(c.SUBSCRIBE, 2, b"\0\1\0"), c.PROTOCOL_ERROR),
        (c.packet(c.SUBSCRIBE, 2, b"\0\1\0\0\3a#b\0"), c.BAD_FILTER),
        (hello(), c.PROTOCOL_ERROR),
        (b"\x20\x02\0\0", c.MALFORMED),
        (c.packet(c.PUBLISH, 0, c.text("a") + b"\x03\x23\0\0"), c.BAD_ALIAS),
        (b"\x30\x06\0\x04\xff\xfe\0\0", c.MALFORMED),
        (c.packet(c.PUBLISH, 0, c.text("a") + b"\x04\x01\0\x01\0"), c.PROTOCOL_ERROR),
    ],
)
def test_malformed_packets_have_a_reason(raw, code):
    decoder = c.Decoder(1000)
    assert len(decoder.feed(hello() + c.packet(c.PINGREQ, 0, b"") + raw)) == 2  # what was whole before it counts
    assert decoder.broken.code == code and decoder.feed(c.packet(c.PINGREQ, 0, b"")) == []


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    st.sampled_from((c.V4, c.V5)), st.binary(max_size=80), st.integers(0, 255), st.integers(0, 60), st.integers(1, 9)
)
def test_the_codec_bears_whatever_comes(version, noise, byte, at, size):
    good = bytearray(hello(version) + c.publish(version, "a/b", b"p", 1, 3) + c.ack(version, c.PUBREL, 3))
    good[min(at, len(good) - 1)] = byte
    for raw in (
        bytes(noise),
        hello(version) + noise,
        bytes(good),
        c.packet(noise[0] >> 4, noise[0] & 15, noise[1:]) if noise else b"",
    ):
        decoder = c.Decoder(1000)
        for k in range(0, len(raw), size):
            for packet in decoder.feed(raw[k : k + size]):
                assert packet.kind in c.READERS
        assert len(decoder.rest) <= 1005


@settings(derandomize=True)
@given(st.integers(0, 2**28 - 1))
def test_lengths_come_back(value):
    assert c.varint(c.length(value), 0) == (value, len(c.length(value)))


def test_topics_match_as_the_standard_has_it():
    yes = [("a/+/c", "a/b/c"), ("a/#", "a"), ("a/#", "a/b/c"), ("#", "a/b"), ("+", "a"), ("+/+", "/a"), ("/+", "/a")]
    no = [("a/+", "a"), ("+", "/a"), ("a/+", "a/b/c"), ("#", "$SYS/a"), ("+/a", "$SYS/a"), ("a", "a/b")]
    assert all(c.matches(*row) for row in yes) and not any(c.matches(*row) for row in no)


def test_a_topic_stays_within_its_place_in_the_path():
    routes = topics.Routes([topics.Route("l/+/#", "x", "/api/{1}?x={2}", 1, 2, 4)], 2)
    assert routes.find("l/a b/../c?d=1&e")[1] == b"/api/a%20b?x=..%2Fc%3Fd%3D1%26e" and routes.find("m/a") is None
    for k in range(9):
        routes.find(f"l/{k}/x")
    assert len(routes.known) <= 2


def test_faulty_tables_are_named():
    good = {"listen": "127.0.0.1:1883", "topics": [{"filter": "a/+", "product": "fetch", "path": "/x"}]}
    told = config()
    assert read_configuration({**told, "mqtt": good}, {}).mqtt.routes
    for odd in (
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
            read_configuration({**told, "mqtt": odd}, {})
    text = (
        'name="n"\nlisten="h:1"\ndiscovery="h:2"\n[[products]]\nname="p"\neffect="inquiry"\nsla_ms=1.0\n'
        '[[plans]]\nname="q"\n[mqtt]\nlisten="h:3"\n[[mqtt.topics]]\nfilter="a/+"\nproduct="p"\npath="/{2}"\n'
    )
    with pytest.raises(ConfigFileError, match=r"mqtt.topics\[0\].path"):
        parse_toml(text)
    assert parse_toml(text.replace("{2}", "{1}")).mqtt.topics[0].units == 1.0


# ---- sessions


def p(pid=1, qos=1, dup=False, payload=b"x"):
    return c.Publish("t", payload, qos, pid, dup)


def test_a_repeat_runs_never_again_and_gets_the_first_answer():
    for qos, state in ((1, s.DONE), (2, s.HELD)):
        one = s.Session(("plan", "acc", "id"))
        assert one.published(p(qos=qos))[1] == s.TAKE and one.published(p(qos=qos, dup=True))[1] == s.WAIT
        assert one.published(p(qos=qos, payload=b"y"))[1] == s.REFUSE  # another message under an open identifier
        row, effect = one.answered(1, c.OK, {})
        assert (row.state, effect) == (state, s.TELL) and one.answered(1, c.QUOTA, {}) is None
        assert one.published(p(qos=qos, dup=True))[1] == s.TELL  # its acknowledgement was lost
        if qos == 2:
            assert one.released(1) == c.OK == one.released(1)
            assert one.published(p(qos=2, dup=True))[1] == s.TELL
        assert one.published(p(qos=qos, payload=b"new"))[1] == s.TAKE
    assert one.released(9) == c.ID_UNKNOWN
    assert one.published(p(5, 1, True))[1] == s.DOUBT  # nothing is known of it here


def test_sessions_are_bounded():
    one = s.Session(("plan", "acc", "id"), remember=20, most_waiting=10)
    for pid in range(1, 500):
        one.published(p(pid, 2))
        one.answered(pid, c.OK, {})
        one.put("t", b"", {})
    assert len(one.rows) <= 20 and len(one.waiting) == 10 and one.dropped == 489
    assert one.published(p(1, 2, True))[1] == s.DOUBT  # forgotten: it may have run
    one.window = 4
    sent = [row[0] for row in one.due()]
    assert len(sent) == 4 and not list(one.due()) and one.acked(sent[0]) and not one.acked(sent[0])
    assert len(list(one.due())) == 1


# ---- real clients


class Fleet:
    def __init__(self, folder, nodes=1, **topology):
        told = read_plan(PLAN)
        self.plan = changed(told, topology=msgspec.structs.replace(told.topology, nodes=nodes, **topology))
        self.loop, up, self.clients = uvloop.new_event_loop(), threading.Event(), []

        def serve():
            self.lab = self.loop.run_until_complete(Emulator(self.loop, self.plan, 1, open("/dev/null", "wb")).listen())
            up.set()
            self.loop.run_forever()

        self.thread = threading.Thread(target=serve)
        self.thread.start()
        up.wait()
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
        client.got, client.acks, client.ups, client.gone = [], {}, [], []
        client.on_message = lambda _, __, message: client.got.append(message)
        client.on_publish = lambda _, __, mid, code, found: client.acks.setdefault(mid, (code.value, found))
        client.on_connect = lambda _, __, flags, code, found: client.ups.append((flags.session_present, code.value))
        client.on_disconnect = lambda _, __, flags, code, found: client.gone.append(code.value)
        client.reconnect_delay_set(0.1, 0.2)
        more = {}
        if version == paho.MQTTv5:
            properties = Properties(PacketTypes.CONNECT)
            properties.SessionExpiryInterval = expiry
            more = {"clean_start": clean, "properties": properties}
        self.clients.append(client)
        client.connect("127.0.0.1", port or int(self.nodes[node].mqtt.rpartition(":")[2]), keepalive=20, **more)
        client.loop_start()
        until(lambda: client.ups)
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


def until(what, most=6.0):
    end = time.monotonic() + most
    while not what():
        assert time.monotonic() < end, "it never came"
        time.sleep(0.01)


@pytest.fixture
def fleet(tmp_path):
    made = []

    def make(**more):
        made.append(Fleet(tmp_path, **more))
        return made[-1]

    yield make
    for one in made:
        one.end()


@pytest.mark.parametrize("version", (paho.MQTTv311, paho.MQTTv5))
def test_each_qos_is_answered_in_topic_and_acknowledgement(fleet, version):
    f = fleet()
    client = f.client(version)
    client.subscribe("answers/agent/#", 1)
    mids = [
        client.publish(f"{what}/0/{k}", b"entry" if what != "fetch" else b"", qos=k % 3).mid
        for k, what in enumerate(("fetch", "publish", "ledger-entry") * 4)
    ]
    mids.append(client.publish("no/such", b"", qos=1).mid)
    until(lambda: len(client.got) == 13 and len(client.acks) == 13)
    said = [message.topic.rsplit("/", 1)[1] for message in client.got]
    assert said.count("settled") == 12 and said.count("refused") == 1
    assert client.acks[mids[-1]][0] == (c.BAD_TOPIC if version == paho.MQTTv5 else 0)
    assert f.lab.state()["once_only"] == {"txns": 4, "runs": 4, "twice": {}}
    if version == paho.MQTTv5:  # a topic of the client's own choice
        properties = Properties(PacketTypes.PUBLISH)
        properties.ResponseTopic, properties.CorrelationData = "my/answers", b"77"
        client.subscribe("my/#", 0)
        client.publish("fetch/0/r", b"", qos=1, properties=properties)
        until(lambda: client.got[-1].topic == "my/answers")
        assert client.got[-1].properties.CorrelationData == b"77"
        assert ("outcome", "settled") in client.got[-1].properties.UserProperty


@contextmanager
def deaf_proxy(port, lost):
    """A relay that drops what the node says while `lost` is set, and can be cut."""
    loop, up, told = uvloop.new_event_loop(), threading.Event(), {}

    async def serve(reader, writer):
        there_in, there_out = await asyncio.open_connection("127.0.0.1", port)
        told["links"].append((writer, there_out))

        async def pump(source, sink, hears):
            while data := await source.read(65536):
                if hears or not lost.is_set():
                    sink.write(data)
            sink.close()

        await asyncio.gather(pump(reader, there_out, True), pump(there_in, writer, False), return_exceptions=True)

    async def begin():
        told["links"], told["server"] = [], await asyncio.start_server(serve, "127.0.0.1", 0)
        up.set()

    def cut():
        for pair in told["links"]:
            for writer in pair:
                loop.call_soon_threadsafe(writer.transport.abort)
        told["links"].clear()

    thread = threading.Thread(target=lambda: (loop.create_task(begin()), loop.run_forever()))
    thread.start()
    up.wait()
    yield told["server"].sockets[0].getsockname()[1], cut
    loop.call_soon_threadsafe(told["server"].close)
    cut()
    time.sleep(0.05)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()


@pytest.mark.parametrize("qos", (1, 2))
def test_a_ledger_entry_delivered_again_after_a_lost_acknowledgement_runs_once(fleet, qos):
    f, lost = fleet(), threading.Event()
    with deaf_proxy(int(f.nodes[0].mqtt.rpartition(":")[2]), lost) as (port, cut):
        client = f.client(paho.MQTTv311, clean=False, port=port)
        lost.set()
        mids = [client.publish(f"ledger-entry/0/{k}", b"x", qos=qos).mid for k in range(5)]
        until(lambda: f.lab.state()["once_only"]["runs"] == 5)
        time.sleep(0.1)
        assert not client.acks
        cut()
        lost.clear()
        until(lambda: len(client.acks) == 5)
        assert client.ups[-1] == (True, 0) and set(client.acks) == set(mids)
        client.disconnect()
    assert f.lab.state()["once_only"] == {"txns": 5, "runs": 5, "twice": {}}


def test_a_session_goes_on_at_another_node_after_the_first_one_died(fleet):
    """Nothing in flight is lost or runs twice: what may run again does, what must not is told to be in doubt."""
    f = fleet(nodes=2)
    first = int(f.nodes[0].mqtt.rpartition(":")[2])
    f.fault(hang=True)  # all run, no answer comes
    client = f.client(paho.MQTTv311, clean=False, port=first)
    mids = [
        client.publish(f"{what}/0/{k}", b"" if what == "fetch" else b"x", qos=1 + k % 2).mid
        for k, what in enumerate(("ledger-entry", "ledger-entry", "publish", "fetch"))
    ]
    until(lambda: sum(box.counts["hung"] for box in f.lab.servers) >= 4)
    f.nodes[0].process.send_signal(signal.SIGKILL)
    f.nodes[0].process.wait()
    f.fault(hang=False)
    client.connect_async("127.0.0.1", int(f.nodes[1].mqtt.rpartition(":")[2]), keepalive=20)
    client.subscribe("answers/#", 1)
    until(lambda: client.ups[-1] == (False, 0) and len(client.ups) == 2)
    client.subscribe("answers/#", 1)  # no session was there: subscribed anew, as the standard has it
    until(lambda: len(client.acks) == 4, 12)
    assert set(client.acks) == set(mids) and f.lab.state()["once_only"]["twice"] == {}
    f.nodes[1].end()
    assert f.nodes[1].totals()["mqtt_strange"] == 4 and f.nodes[1].totals()["settled"] == 2


def test_odd_clients_get_a_reason_and_trouble_nobody(fleet):
    f = fleet()
    client = f.client(paho.MQTTv5, client_id="good")
    address = ("127.0.0.1", int(f.nodes[0].mqtt.rpartition(":")[2]))

    def say(*raw):
        with socket.create_connection(address, 5) as sock:
            for part in raw:
                sock.sendall(part)
                time.sleep(0.02)
            heard = b""
            while data := sock.recv(4096):
                heard += data
            return heard

    assert say(c.packet(c.CONNECT, 0, c.text("MQTT") + b"\x03\x02\0\0" + c.text("a")))[3] == 1  # 3.1
    assert say(c.packet(c.CONNECT, 0, c.text("MQIsdp") + b"\x03\x02\0\0" + c.text("a"))) == b"\x20\x02\0\1"
    assert say(hello(user="nobody"))[3] == c.BAD_USER and say(hello(user="none:" + KEY))[3] == c.NOT_AUTHORIZED
    assert say(hello(c.V4, user=None)) == b"\x20\x02\0\4" and say(hello(client_id="a/b"))[3] == c.BAD_CLIENT_ID
    assert say(c.packet(c.PINGREQ, 0, b"")) == b"" and say(b"GET / HTTP/1.1\r\n\r\n") == b""
    for raw, code in (
        (c.publish(c.V5, "fetch/#", b""), c.BAD_TOPIC),
        (b"\x30\xff\xff\xff\x7f", c.TOO_LARGE),
        (b"\x30\x80\x80\x80\x80\x01", c.MALFORMED),
        (hello(), c.PROTOCOL_ERROR),
        (c.packet(c.PUBLISH, 1, c.text("fetch/0/1") + b"\0"), c.NO_RETAIN),
    ):
        assert say(hello(), raw)[-40:].find(bytes((c.DISCONNECT << 4,))) >= 0
        heard = say(hello(), raw)
        at = 2 + heard[1]  # behind the CONNACK
        assert heard[at] == c.DISCONNECT << 4 and heard[at + 2] == code
    assert say(hello(c.V4), c.publish(c.V4, "a/+", b""))[4:] == b""  # 3.1.1 just closes
    client.publish("fetch/0/1", b"", qos=1).wait_for_publish(5)
    assert client.acks and not client.gone


def test_one_quota_for_both_fronts_at_once(fleet):
    f, statuses, begun = fleet(), [], time.monotonic()
    client = f.client(paho.MQTTv5, user="held:" + KEY)

    def flood():
        call = http.client.HTTPConnection(f.nodes[0].listen)
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
    until(lambda: len(client.acks) == 150)
    allowed = 30 + 20 * (time.monotonic() - begun)  # a window holds one and a half bursts
    over = [code for code, _ in client.acks.values() if code]
    settled = 150 - len(over) + sum(answer.status == 200 for answer in statuses)
    assert set(over) == {c.QUOTA} and 20 <= settled <= 1.1 * allowed and len(mids) == 150
    back = dict(next(found for code, found in client.acks.values() if code).UserProperty)
    assert back["outcome"] == "declined" and int(back["retry-after-ms"]) > 0


def test_a_client_is_read_no_faster_than_its_txns_end_and_sigterm_waits_for_them(fleet):
    f = fleet(mqtt={**read_plan(PLAN).topology.mqtt, "inflight": 4})
    client = f.client(paho.MQTTv5)
    mids = [client.publish(f"ledger-entry/0/{k}", b"x", qos=k % 2).mid for k in range(300)]
    until(lambda: len(client.acks) == 300)
    assert f.lab.state()["once_only"] == {"txns": 300, "runs": 300, "twice": {}} and len(mids) == 300
    assert max(box.server_model.most_working for box in f.lab.servers) <= 4
    f.nodes[0].end()
    assert f.nodes[0].process.returncode == 0
    until(lambda: client.gone)
    assert client.gone[0] == c.SHUTTING_DOWN


def test_answers_wait_for_a_client_that_is_away_and_a_second_connection_takes_over(fleet):
    f = fleet()
    client = f.client(paho.MQTTv5, clean=False, expiry=60)
    client.subscribe("answers/#", 1)
    until(lambda: client.publish("fetch/0/1", b"", qos=1).is_published() or client.got)
    client.loop_stop()
    client.publish("ledger-entry/0/2", b"x", qos=1)
    client.loop_write()
    client.socket().shutdown(socket.SHUT_RDWR)  # it goes without a word, its txn open
    until(lambda: f.lab.state()["once_only"]["runs"] == 1)
    again = f.client(paho.MQTTv5, clean=False, expiry=60)
    until(lambda: any(b"settled" in m.topic.encode() for m in again.got))
    assert again.ups == [(True, 0)]
    third = f.client(paho.MQTTv5, clean=True)
    until(lambda: c.TAKEN_OVER in again.gone)
    assert third.ups[0] == (False, 0) and f.lab.state()["once_only"]["runs"] == 1
