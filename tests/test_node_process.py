"""The node's process without a disk: messages of the leader, leases, operators' orders, settings, the end."""

import json
import zlib
from dataclasses import replace
from types import SimpleNamespace

import pytest
from proxy_fixtures import MS, SEC, Quay, Silent, orders, settings

from rampfront.consensus.state import State, digest
from rampfront.membership import endpoint_codec
from rampfront.membership.endpoint_list import Endpoint, EndpointList
from rampfront.membership.leadership import CoreStatus
from rampfront.node.assembly import build_node_process
from rampfront.node.ports import Ports
from rampfront.settings import settings_reader


class Ears:
    """The node's wire: keeps what is said to other nodes."""

    def __init__(self, *about):
        self.said = []

    def send(self, ip, message):
        self.said.append((ip, message))

    def send_all(self, ips, message):
        self.said += [(ip, message) for ip in ips]

    def sweep(self):
        pass


@pytest.fixture
def node_process():
    """A node without a disk whose loop is a `Quay`."""
    q = Quay()
    q.add_signal_handler = q.run_in_executor = None
    q.stopped = []
    q.stop = lambda: q.stopped.append(q.now)
    made = build_node_process(
        q,
        settings_reader.read(settings(Grace="6s", RevokeWithin="5s")).ok_value,
        Silent(),
        3,
        ports=Ports(clock=lambda: q.clock, wire=Ears),
    )
    made.client_front.server = q
    q.client_front, q.request_proxy, q.node_process = made.client_front, made.request_proxy, made
    made.tick()
    made.sweep()
    return made


LEADER = "10.1.0.9"


def word(node_process, index=None, revision=1, servers=None, zones=(), **conf):
    """A word from the leader, as an answer to a hail of now; `servers`: number of the list and ids on it."""
    q, message = (
        node_process.context.loop,
        {"k": "word", "l": LEADER, "e": 1, "t": node_process.context.clock(), "a": 0},
    )
    if index:
        body = zlib.compress(orders(revision, **conf))
        message["S"] = State(
            index, 1, revision, body, frozenset(zones), {"x": (LEADER, 1)}, None, digest(body)
        ).encode()
    if servers:
        rows = [
            Endpoint(uid, "one", f"10.9.0.{uid[1:]}", 9000 + int(uid[1:]), "a1", 4, "ready", 0) for uid in servers[1]
        ]
        q.places.update({(row.host, row.port): row.id for row in rows})
        message["V"] = endpoint_codec.encode(EndpointList(servers[0], tuple(rows)), q.clock())
    node_process.frame_dispatcher.dispatch(LEADER, message)


def test_what_operators_count_on_is_counted(node_process):
    """Rounds of the platform's list that bring none; ages of the word, of ten looks a second; requests and answers."""
    q = node_process.context.loop
    made = build_node_process(
        q, replace(node_process.context.process_settings, platform_address=("10.9.9.9", 80)), Silent(), 3
    )
    made.server_list.poller.callbacks.on_failure("status 429")
    assert made.context.counts["server_lists_failed"] == 1 and not sum(made.lease.sampled_ages.counts)
    word(node_process, 1, servers=(1, ["s1"]))
    q.wait(1000)
    assert sum(node_process.lease.sampled_ages.counts) in (10, 11) and node_process.lease.sampled_ages.counts[-1] == 0
    q.ask()
    q.wait(30)
    q.reply()
    assert (
        node_process.request_proxy.request_durations.counts[5]
        == node_process.request_proxy.response_durations.counts[5]
        == 1
    )  # 25 to 50 ms
    assert (
        sum(node_process.request_proxy.request_durations.counts) == 1
        and 30 * MS
        <= node_process.request_proxy.response_durations.total_ns
        <= node_process.request_proxy.request_durations.total_ns
    )


def test_the_lease(node_process):
    """Without a word for as long as `RevokeWithin` allows, less what is on its way by then: 503 here, not ready, and no
    key acts; with the next word it goes on."""
    q = node_process.context.loop
    q.ask()
    assert q.got().status == 503 and not node_process.disseminator.ready
    word(node_process, 5, servers=(7, ["s1"]))
    assert node_process.disseminator.ready
    q.wait(4200)
    q.ask()
    assert q.out()
    q.answer("t1")
    q.got()
    q.wait(300)
    q.ask()
    assert q.got().status == 503 and not q.out() and not node_process.disseminator.ready
    node_process.frame_dispatcher.dispatch(
        LEADER, {"k": "word", "l": LEADER, "e": 1, "t": node_process.context.clock() - 5 * SEC, "a": 0}
    )  # late: as old as its question
    q.ask()
    assert q.got().status == 503
    word(node_process)
    q.ask()
    assert q.out() and node_process.disseminator.ready


def test_a_station_does_not_go_back(node_process):
    """Late and repeated words change nothing: not a route, not a key, not an evacuation, not a server."""
    q = node_process.context.loop
    word(
        node_process,
        5,
        revision=3,
        servers=(7, ["s1", "s2"]),
        tenants=[{"Name": "ann", "ApiKeys": ["new"]}],
        zones=["b1"],
    )
    for index in (4, 5):
        word(node_process, index, revision=2, servers=(index, ["s3"]))
    q.ask(key="ann-key")
    assert (
        q.got().status == 401
        and node_process.replicated_state.state.revision == 3
        and node_process.request_proxy.evacuated_zones == {"b1"}
    )
    q.ask(key="new")
    assert q.where() != "s3"
    word(node_process, 6, revision=3, zones=["a1"])  # the same configuration, another evacuation
    q.ask(key="new", client="d", tag="t2")
    assert q.got("d").status == 503


def test_a_list_that_an_old_leader_numbered_higher_is_given_anew(node_process):
    """The platform says what it said, yet somebody holds another list under a higher number of an older term."""
    look = node_process.disseminator
    word(node_process, 5, servers=(7, ["s1"]))
    status = CoreStatus(True, node_process.context.process_settings.ip, 2, node_process.context.clock())
    look.set_leadership(status, node_process.context.clock())
    same = node_process.request_proxy.servers
    node_process.server_list.on_polled(same)
    assert look.endpoints_version == 7
    node_process.frame_dispatcher.dispatch(
        "10.1.0.4",
        {
            "k": "hail",
            "n": "n4",
            "z": "a1",
            "f": "",
            "r": True,
            "i": 5,
            "s": 8,
            "o": 0,
            "t": node_process.context.clock(),
        },
    )
    node_process.server_list.on_polled(same)
    assert look.endpoints_version == node_process.request_proxy.servers.version > 8
    node_process.server_list.on_polled(same)
    assert look.endpoints_version == node_process.request_proxy.servers.version == (2 << 20) + 1


def test_a_holder_without_tenants_says_nothing(node_process):
    """A leader that starts again is still named as the holder: as long as it has no configuration it would answer that
    every tenant is idle, and each pilot would let in a whole quota."""
    add = {"k": "add", "m": {"l": 7, "s": 1, "a": [["ann", -1, 9, 0, 0]], "w": 1}}
    node_process.frame_dispatcher.dispatch("10.1.0.4", add)
    assert not [message for _, message in node_process.context.wire.said if message["k"] == "sum"]
    word(node_process, 5, tenants=[{"Name": "ann", "ApiKeys": ["k"], "PerS": 5, "Burst": 5}])
    node_process.frame_dispatcher.dispatch("10.1.0.4", add)
    told = [message for ip, message in node_process.context.wire.said if ip == "10.1.0.4" and message["k"] == "sum"][-1]
    assert [[*row[:3:2]] for row in told["m"]["t"]] == [["ann", 9]]


def test_odd_words_at_the_station(node_process):
    """A state whose body is not what its mark says, or a list that cannot be read: nothing of it comes into force."""
    q = node_process.context.loop
    word(node_process, 5, servers=(7, ["s1"]))
    body = zlib.compress(orders(9))
    state = State(9, 1, 9, body, frozenset(), {"x": (LEADER, 1)}, None, digest(b"other")).encode()
    for more in ({"S": state}, {"S": state[:-1]}, {"S": 5}, {"V": 5}, {"V": [99, [["s1"]]]}, {"V": None}):
        with pytest.raises((ValueError, TypeError, KeyError, IndexError, AttributeError)):
            node_process.frame_dispatcher.dispatch(LEADER, {"k": "word", "l": LEADER, "e": 1, "t": 0} | more)
    assert node_process.replicated_state.state.revision == 1 and node_process.disseminator.endpoints_version == 7
    q.ask()
    assert q.where() == "s1"


def test_an_order_finds_the_leader(node_process):
    """Told again while nothing is heard, at once to the next leader, answered once and always within what operators
    wait."""
    q, said, done = node_process.context.loop, node_process.context.wire.said, []

    def sent():
        return [(ip, m["r"]) for ip, m in said if m["k"] == "order"]

    def says(ip, number, verdict, state=None):
        node_process.frame_dispatcher.dispatch(
            ip, {"k": "said", "l": node_process.orders.incarnation, "r": number, "v": verdict, "S": state}
        )

    word(node_process, 5)
    node_process.orders.submit("empty", "a1", lambda *verdict: done.append(verdict))
    ((first, number),) = sent()
    assert first == LEADER
    says(LEADER, number, "away")
    q.wait(10)
    node_process.frame_dispatcher.dispatch(
        "10.1.0.8", {"k": "word", "l": "10.1.0.8", "e": 2, "t": node_process.context.clock(), "a": 0}
    )
    q.wait(250)
    assert sent()[1:] == [("10.1.0.8", number)]
    says("10.1.0.8", number, "done", node_process.replicated_state.state.encode())
    says("10.1.0.8", number, "done", node_process.replicated_state.state.encode())
    assert len(done) == 1 and done[0][0] == "done" and done[0][1].index == 5
    assert node_process.context.counts["replies_unsolicited"] == 1
    node_process.orders.submit("empty", "a1", lambda *verdict: done.append(verdict))
    q.wait(1000)
    assert done[1] == (None, None) and 3 <= len(sent()) - 2 <= 4 and not node_process.orders.open
    for _ in range(300):  # nothing grows without bound
        node_process.orders.submit("empty", "a1", lambda *verdict: done.append(verdict))
    assert len(node_process.orders.open) == 256 and done[2:] == 44 * [("busy", None)]


def test_foreign_orders(node_process):
    """Who does not lead says so at once, and takes no order on; odd ones are refused at the door."""
    order = {"k": "order", "l": 5, "r": 77, "o": "empty", "b": "a1"}
    node_process.frame_dispatcher.dispatch("10.1.0.7", order)
    assert (
        node_process.context.wire.said[-1] == ("10.1.0.7", {"k": "said", "l": 5, "r": 77, "v": "away"})
        and not node_process.order_executor.table.in_flight
    )
    for odd in ({"o": "rm"}, {"r": "7"}, {"l": None}, {"b": 5}, {"o": "config"}, {"o": "read"}):
        with pytest.raises(ValueError):
            node_process.frame_dispatcher.dispatch("10.1.0.7", order | odd)


def test_settings_read_again(node_process, tmp_path):
    """SIGHUP: new seeds are taken over; a faulty file changes nothing; nothing is cut."""
    q = node_process.context.loop
    word(node_process, 5, servers=(7, ["s1"]))
    q.ask()
    path = tmp_path / "local.json"
    path.write_text("{")
    node_process.core.member = SimpleNamespace(seeds=[])
    node_process.settings_reloader.reload(str(path))
    assert node_process.disseminator.schedule.seeds == ["10.1.0.1", "10.1.0.2"]
    new = settings()
    new["Network"]["SeedNodes"] = ["10.1.0.5:82"]
    path.write_text(json.dumps(new))
    node_process.settings_reloader.reload(str(path))
    core_member, node_process.core.member = node_process.core.member, None
    assert node_process.disseminator.schedule.seeds == core_member.seeds == ["10.1.0.5"]
    q.answer("t1")
    assert q.got().status == 200


def test_leaving_in_order(node_process):
    """SIGTERM: out of the roster at once, serves on while clients still come, with `Connection: close`, ends within
    Grace."""
    q = node_process.context.loop
    word(node_process, 5, servers=(7, ["s1"]))
    assert node_process.disseminator.ready and node_process.client_front.ready()
    q.ask(client="running", tag="t0")
    q.ask(client="idle")
    node_process.context.wire.said.clear()
    node_process.shutdown.begin()
    assert not node_process.client_front.ready()
    assert [m["r"] for ip, m in node_process.context.wire.said if ip == LEADER and m["k"] == "hail"] == [False]
    began = q.now
    q.ask(client="late", tag="t2")
    for name, tag in (("running", "t0"), ("idle", "t1"), ("late", "t2")):
        q.answer(tag)
        got = q.got(name)
        assert got.status == 200 and got["connection"] == "close" and q.pipes[name].closed
    node_process.shutdown.begin()  # a second one changes nothing
    q.wait(20000)
    assert q.stopped and q.stopped[0] - began < 6 * SEC
