"""Calls between nodes and of operators: each answer goes to the caller and request that it belongs to, once.

`Station` is one whole process on the fake loop of `proxy_fixtures`; as a leader it has a member of the core that takes
orders and answers when it is told to.
"""

import json
import random
import zlib
from types import SimpleNamespace

import cbor2
import pytest
import test_consensus as consensus
from proxy_fixtures import EPOCH, MS, SEC, Nodes, Quay, Silent, orders, rule, settings

from rampfront.consensus import events
from rampfront.consensus.election import Role
from rampfront.consensus.events import OrderKind, Outcome
from rampfront.consensus.state import State, digest
from rampfront.membership.leadership import CoreStatus
from rampfront.membership.server_health import UNHEALTHY
from rampfront.net.http_routing import endpoint
from rampfront.net.http_server import HttpServer
from rampfront.net.http_server_connection import HttpServerConnection
from rampfront.net.limits import HttpServerLimits
from rampfront.node.assembly import build_node_process
from rampfront.node.endpoints import control
from rampfront.node.order_messages import INCARNATION_BITS, MalformedMessageError, OrderReply, OrderRequest
from rampfront.node.order_table import MAX_ANSWERED, MAX_IN_FLIGHT, RETENTION_NS
from rampfront.node.ports import Ports
from rampfront.quota.counter import QuotaCounter
from rampfront.quota.limiter import Limiter
from rampfront.settings import settings_reader

HERE, LEADER, CALLER, OTHER = "10.1.0.1", "10.1.0.9", "10.1.0.7", "10.1.0.8"
BODY = zlib.compress(orders(1))


def state(index=5, zones=()):
    """A state that is in force."""
    return State(index, 1, 1, BODY, frozenset(zones), {"x": (LEADER, 1)}, None, digest(BODY))


class Ears:
    """The wire: keeps what is said to other nodes."""

    def __init__(self, *about):
        self.said = []

    def send(self, ip, message):
        self.said.append((ip, message))

    def send_all(self, ips, message):
        self.said += [(ip, message) for ip in ips]

    def sweep(self):
        pass

    def take(self, kind):
        """What was said of this kind since it was last asked for."""
        found = [row for row in self.said if row[1]["k"] == kind]
        self.said = [row for row in self.said if row[1]["k"] != kind]
        return found


class Core:
    """The member of the core: keeps the orders that it is told, and answers none by itself."""

    is_leader, quorum_confirmed_at, leader_ip = True, None, HERE

    def __init__(self):
        self.taken, self.committed, self.effects = [], state(), []

    def is_leadership_expired(self, now):
        return False

    def take(self, now, told):
        if type(told) is events.Order:
            self.taken.append(told)
        done, self.effects = self.effects, []
        return done


class Station:
    """One process. `leads`: with a member of the core that leads."""

    def __init__(self, leads=False, seed=3):
        self.loop = Quay()
        self.loop.add_signal_handler = self.loop.run_in_executor = None
        self.node = build_node_process(
            self.loop,
            settings_reader.read(settings(Grace="6s", RevokeWithin="5s")).ok_value,
            Silent(),
            seed,
            ports=Ports(clock=lambda: self.loop.clock, wire=Ears),
        )
        self.wire, self.counts = self.node.context.wire, self.node.context.counts
        self.orders, self.table = self.node.orders, self.node.order_executor.table
        self.core = self.node.core.member = Core() if leads else None
        self.ended = []
        if not leads:
            self.node.disseminator.leadership.leader = LEADER
        self.node.tick()

    def give(self, kind=OrderKind.EVACUATE, body="a1"):
        self.orders.submit(kind, body, lambda *verdict: self.ended.append(verdict))

    def asked(self, ip, number, life=5, kind=OrderKind.EVACUATE, body="a1"):
        self.node.frame_dispatcher.dispatch(ip, OrderRequest(life, number, kind, body).encode())

    def says(self, ip, number, verdict=Outcome.DONE, life=None, index=5):
        life = self.orders.incarnation if life is None else life
        self.node.frame_dispatcher.dispatch(
            ip, OrderReply(life, number, verdict, state(index) if verdict == Outcome.DONE else None).encode()
        )

    def answer(self, at=0, verdict=Outcome.DONE):
        """The core answers the order that it took so many ago."""
        told = self.core.taken[at]
        self.core.effects = [events.OrderEnded(told.ref, verdict, state() if verdict == Outcome.DONE else None)]
        self.node.core.start()

    def replies(self):
        return [(ip, m["l"], m["r"], m["v"]) for ip, m in self.wire.take("said")]


# ---- at the leader


def test_two_callers_that_drew_one_number():
    """Each gets the answer to its own order, whichever is carried out first."""
    s = Station(leads=True)
    s.asked(CALLER, 1, life=5)
    s.asked(OTHER, 1, life=5, body="b1")
    s.asked(OTHER, 1, life=6, kind=OrderKind.READ, body=None)  # the same caller behind a restart
    assert [told.body for told in s.core.taken] == ["a1", "b1", None]
    for at in (1, 2, 0):
        s.answer(at)
    assert s.replies() == [(OTHER, 5, 1, "done"), (OTHER, 6, 1, "done"), (CALLER, 5, 1, "done")]
    assert not s.table.in_flight


def test_an_order_that_comes_again_is_carried_out_once():
    """While it is under way, and behind its answer, which is given again: an `empty.start` that is counted twice would
    keep a zone empty, a late `empty.start` would undo the `empty.finish` that came behind it."""
    s = Station(leads=True)
    for _ in range(3):
        s.asked(CALLER, 1, kind=OrderKind.EVACUATE)
    assert len(s.core.taken) == 1 and not s.replies()
    s.answer()
    assert s.replies() == [(CALLER, 5, 1, "done")]
    s.asked(CALLER, 1, kind=OrderKind.EVACUATE)
    s.core.leads = False  # also when another leads by now
    s.asked(CALLER, 1, kind=OrderKind.EVACUATE)
    assert s.replies() == 2 * [(CALLER, 5, 1, "done")]
    assert len(s.core.taken) == 1 and s.counts["orders_repeated"] == 4
    s.core.leads = True
    s.asked(CALLER, 2, kind=OrderKind.EVACUATE)  # another order of the same caller is another one
    assert len(s.core.taken) == 2


def test_what_was_not_taken_may_come_again():
    """AWAY and REFUSED hold nothing back: the caller asks the same node again when it leads once more."""
    s = Station(leads=True)
    for at, verdict in enumerate((Outcome.NOT_LEADER, Outcome.REJECTED)):
        s.asked(CALLER, 1)
        s.answer(at, verdict)
    s.asked(CALLER, 1)
    assert len(s.core.taken) == 3
    s.answer(2, Outcome.UNKNOWN)  # it may come into force: not a second time
    s.asked(CALLER, 1)
    assert len(s.core.taken) == 3 and [row[3] for row in s.replies()] == ["away", "refused", "doubt", "doubt"]


def test_a_second_answer_of_the_core_goes_to_nobody():
    """It was looked up among the node's own orders, of which one may bear that number."""
    s = Station(leads=True)
    s.asked(CALLER, 1)
    s.give(body="b1")  # the node's own first order: number 1, too
    s.answer(0)
    s.answer(0)
    assert not s.ended and s.replies() == [(CALLER, 5, 1, "done")]
    s.answer(1)
    assert [verdict for verdict, _ in s.ended] == ["done"]


def test_a_full_table_says_so():
    """No silence, for which the caller's operator would wait a second; with room again, it is taken."""
    s = Station(leads=True)
    for number in range(1, MAX_IN_FLIGHT + 1):
        s.asked(CALLER, number)
    s.asked(OTHER, 1)
    assert s.replies() == [(OTHER, 5, 1, "busy")] and s.counts["orders_busy"] == 1
    s.give()
    assert s.ended == [("busy", None)]
    s.answer()
    s.asked(OTHER, 1)
    assert len(s.core.taken) == MAX_IN_FLIGHT + 1


def test_the_tables_are_emptied():
    """By time where no answer comes, and answers are kept for a while, in a bounded number."""
    s = Station(leads=True)
    s.asked(CALLER, 1)
    s.loop.wait(11000)
    assert not s.table.in_flight and s.counts["orders_abandoned"] == 1
    s.answer()  # nobody is owed it any more
    assert not s.replies()
    for number in range(2, MAX_ANSWERED + 4):
        s.asked(CALLER, number)
        s.answer(number - 1)
    assert len(s.table.answered) == MAX_ANSWERED
    s.loop.wait(RETENTION_NS // MS + 200)
    assert not s.table.answered


def test_a_configuration_does_not_come_back_to_who_sent_it():
    """Its acknowledgement is small, and reads as the whole state all the same; another body goes along."""
    for body in (BODY, b"another, below the one that holds"):
        leader, node = Station(leads=True), Station()
        node.give(OrderKind.CONFIGURE, (1, body))
        ((_, order),) = node.wire.take("order")
        leader.node.frame_dispatcher.dispatch(CALLER, order)
        leader.answer()
        ((_, reply),) = leader.wire.take("said")
        assert (BODY in cbor2.dumps(reply)) == (body != BODY)
        node.node.frame_dispatcher.dispatch(LEADER, reply)
        node.node.frame_dispatcher.dispatch(LEADER, reply)  # once more
        ((verdict, held),) = node.ended
        assert (verdict, held.body, held.index) == ("done", BODY, 5) and node.counts["replies_unsolicited"] == 1


# ---- at the node that asks


def test_an_answer_counts_only_from_who_was_asked():
    """In this life, for an order that waits, from a node that it was sent to; a late one of another ends nothing."""
    s = Station()
    s.give()
    ((ip, sent),) = s.wire.take("order")
    assert (ip, sent["r"], sent["l"]) == (LEADER, 1, s.orders.incarnation)
    s.says(OTHER, 1)
    s.says(LEADER, 1, life=s.orders.incarnation ^ 1)
    s.says(LEADER, 2)
    assert not s.ended and s.counts["replies_unsolicited"] == 3
    s.says(LEADER, 1)
    s.says(LEADER, 1)
    assert [verdict for verdict, _ in s.ended] == ["done"] and s.counts["replies_unsolicited"] == 4


def test_a_late_no_of_the_former_leader():
    """Another one was asked since, and is at it: only that one may say no. A yes of the former one stands."""
    for verdict in (Outcome.REJECTED, Outcome.UNKNOWN, "busy", Outcome.NOT_LEADER):
        s = Station()
        s.give()
        s.node.disseminator.leadership.leader = OTHER
        s.loop.wait(350)
        assert [ip for ip, _ in s.wire.take("order")] == [LEADER, OTHER]
        s.says(LEADER, 1, verdict)
        assert not s.ended and s.counts["replies_unsolicited"] == 1
        s.says(LEADER, 1)
        assert [verdict for verdict, _ in s.ended] == ["done"]


def test_an_answer_older_than_what_was_held():
    """A leader that is behind what this node held when it asked has not been one for long."""
    s = Station()
    s.node.disseminator.state_index = 7
    s.give(OrderKind.READ, None)
    s.says(LEADER, 1, index=6)
    assert not s.ended
    s.node.disseminator.state_index = 9  # what came meanwhile may be newer than the answer
    s.says(LEADER, 1, index=7)
    assert s.ended[0][1].index == 7


def test_a_restart_draws_another_life():
    lives = {Station(seed=seed).orders.incarnation for seed in range(5)}
    assert len(lives) == 5


ORDER = {"k": "order", "l": 5, "r": 1, "o": "empty", "b": "a1"}
REPLY = {"k": "said", "l": 5, "r": 1, "v": "away"}


@pytest.mark.parametrize(
    "odd",
    [
        {"l": -1},
        {"l": 1 << INCARNATION_BITS},
        {"l": True},
        {"r": 0},
        {"r": "1"},
        {"r": 1 << 53},
        {"o": "rm"},
        {"o": ["empty"]},
        {"b": ""},
        {"b": "z" * 201},
        {"b": None},
        {"o": "config"},
        {"o": "config", "b": [0, b""]},
        {"o": "config", "b": [1, "text"]},
        {"o": "config", "b": [1, b"", 3]},
        {"o": "read"},
    ],
)
def test_odd_orders(odd):
    """Checked at one place, and nothing of them reaches the core."""
    s = Station(leads=True)
    with pytest.raises(MalformedMessageError):
        s.node.frame_dispatcher.dispatch(CALLER, ORDER | odd)
    assert not s.core.taken and not s.wire.take("said")


@pytest.mark.parametrize("odd", [{"l": None}, {"r": None}, {"v": "yes"}, {"v": ["done"]}, {"v": "done"}, {"S": 5}])
def test_odd_replies(odd):
    s = Station()
    s.give()
    with pytest.raises(ValueError):
        s.node.frame_dispatcher.dispatch(LEADER, REPLY | {"l": s.orders.incarnation} | odd)
    assert not s.ended


def test_messages_read_back():
    for request in (
        OrderRequest(5, 1, OrderKind.EVACUATE, "a1"),
        OrderRequest(0, 9, OrderKind.CONFIGURE, (3, b"x")),
        OrderRequest(5, 2, OrderKind.READ, None),
    ):
        assert OrderRequest.decode(request.encode()) == request
    assert OrderReply.decode(OrderReply(5, 1, Outcome.UNKNOWN).encode()) == OrderReply(5, 1, Outcome.UNKNOWN)
    assert OrderReply.decode(OrderReply(5, 1, Outcome.DONE, state(7)).encode()).state.index == 7


# ---- other pairs of request and answer


def carried(message):
    """A message of counts as it comes over the wire."""
    return cbor2.loads(cbor2.dumps(message))


def test_an_answer_to_the_life_before_is_no_answer():
    """A node starts again at once; the holder's answer to its former life must not pass for one to the first counts of
    the new one, which would then never be told."""
    tenants = {"ann": SimpleNamespace(per_s=5.0, burst=5.0)}
    lives, counter = [], QuotaCounter(9, 0)
    counter.set_quotas(tenants, 0)
    for seed in range(40):
        limiter = Limiter("n1", random.Random(seed))
        limiter.set_quotas(tenants, 0)
        limiter.take("ann", 0)
        lives.append((limiter, limiter.due_update(SEC)))
    before, message = lives[0]
    late = carried(counter.receive(SEC, CALLER, carried(message)))
    before.receive(SEC, late)
    assert before.link.pending is None
    for limiter, message in lives[1:]:
        limiter.receive(SEC, late)
        assert limiter.link.pending is not None and limiter.due_update(2 * SEC) == message  # it is told again


def test_a_late_frame_does_not_lock_out_the_life_that_goes_on():
    """An add of the former life, the first that this holder hears of it, comes behind one of the new life. The new one
    is dropped for as long as a frame may be late, and not for ever."""
    counter = QuotaCounter(9, 0)

    def add(life, number, now):
        return counter.receive(now, CALLER, {"l": life, "s": number, "a": []})

    assert add(2, 1, 0) and add(1, 7, 0)
    with pytest.raises(ValueError, match="over"):
        add(2, 2, 2 * SEC)
    assert add(2, 3, 4 * SEC)
    with pytest.raises(ValueError, match="over"):
        add(1, 8, 5 * SEC)


def hail(life, at, ready=True):
    return {"k": "hail", "n": "n7", "z": "a1", "f": "", "r": ready, "i": 0, "s": 0, "o": 0, "t": at, "b": life}


def test_a_late_hail_of_the_life_before():
    """Told as ready by a clock that stood ahead of the new life's, or as leaving behind its return: neither counts."""
    nodes = Nodes(count=1)
    look, now = nodes[1], EPOCH
    look.set_leadership(CoreStatus(True, "10.0.0.1", 1, now), now)

    def ready():
        return look.peer_table.by_ip[CALLER].entry.ready

    look.on_heartbeat(CALLER, hail(1, 900 * SEC), now)
    look.on_heartbeat(CALLER, hail(1, 901 * SEC, ready=False), now)
    look.on_heartbeat(CALLER, hail(1, 900 * SEC + 1), now)  # of the same life, late
    assert not ready()
    look.on_heartbeat(CALLER, hail(2, 5 * SEC), now + SEC)  # starts again, its clock set back
    assert ready()
    look.on_heartbeat(CALLER, hail(1, 902 * SEC, ready=False), now + SEC)
    assert ready()
    look.on_heartbeat(CALLER, hail(2, 6 * SEC, ready=False), now + SEC)
    assert not ready()
    look.on_heartbeat(
        CALLER, hail(1, 903 * SEC), now + 5 * SEC
    )  # no longer late: the same number drawn twice, or a mix-up
    assert ready()


def test_sightings_of_an_old_leader_do_not_bind():
    """Neither one at the address of the present one, in an older term, nor one elsewhere."""
    s, seen = Station(), []
    s.node.request_proxy.apply_health_reports = seen.append
    s.node.disseminator.leadership.term = 3
    s.node.frame_dispatcher.dispatch(LEADER, {"k": "dim", "e": 2, "r": [["old", UNHEALTHY]]})
    s.node.frame_dispatcher.dispatch(OTHER, {"k": "dim", "e": 4, "r": [["elsewhere", UNHEALTHY]]})
    for odd in ({}, {"e": None}):
        with pytest.raises((KeyError, ValueError)):
            s.node.frame_dispatcher.dispatch(LEADER, {"k": "dim", "r": [["odd", UNHEALTHY]]} | odd)
    assert not seen
    s.node.frame_dispatcher.dispatch(LEADER, {"k": "dim", "e": 3, "r": [["now", UNHEALTHY]]})
    assert seen == [[("now", UNHEALTHY)]]


def test_sightings_bear_the_term():
    s = Station(leads=True)
    look = s.node.disseminator
    look.leadership.is_leader, look.leadership.term = True, 4
    s.node.server_health.registry.add_reports = lambda *about: [["s1", 10]]
    s.node.server_health.on_report(CALLER, {"k": "sight", "r": []}, 0)
    assert [message["e"] for _, message in s.wire.take("dim")] == [4]


# ---- calls of operators


class Pipe:
    """The transport of one caller: keeps what was written to it."""

    def __init__(self):
        self.said, self.over = b"", False

    def write(self, data):
        assert not self.over
        self.said += data

    def close(self):
        self.over = True

    abort = close

    def get_write_buffer_size(self):
        return 0

    def can_write_eof(self):
        return False


class Desk:
    """Calls without sockets, with the control calls of a station or handlers that answer when they are told to."""

    def __init__(self, *handlers, **bounds):
        self.now, self.held = 0, []
        self.calls = HttpServer(
            None, lambda: self.now, handlers or [self], HttpServerLimits(sweep_interval_ns=0, **bounds)
        )

    @endpoint("GET", "/later")
    def later(self, asked):
        self.held.append(asked)

    def dial(self, text=b""):
        caller = HttpServerConnection(self.calls)
        caller.connection_made(Pipe())
        if text:
            caller.data_received(text)
        return caller

    def answers(self, caller):
        """(status, head, body) of each whole answer written so far."""
        rest, found = caller.transport.said, []
        while rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            found.append((int(head.split()[1]), head.decode().lower(), rest[:length]))
            rest = rest[length:]
        return found


LATER = b"GET /later HTTP/1.1\r\nHost: h\r\n\r\n"


def test_calls_that_do_not_wait_for_their_turn():
    """The one in front is answered, once, and says that the connection ends; what came behind it reaches nobody."""
    for text in (LATER + LATER, LATER + b"odd"):
        d = Desk()
        caller = d.dial(text)
        (asked,) = d.held
        caller.data_received(LATER)
        assert asked.respond(200, b"{}") and not asked.respond(200, b"{}")
        ((status, head, _),) = d.answers(caller)
        assert status == 200 and "connection: close" in head and caller.transport.over and len(d.held) == 1


def test_answers_go_to_their_own_call():
    """In order on each connection; a second answer, and one for a caller that went, go nowhere."""
    d = Desk()
    one, other = d.dial(LATER), d.dial(LATER)
    first, others = d.held
    first.respond(200, b"1")
    one.data_received(LATER)
    assert not first.respond(200, b"again") and len(d.answers(one)) == 1  # the second call still waits
    d.held[2].respond(200, b"2")
    assert [body for _, _, body in d.answers(one)] == [b"1", b"2"]
    other.connection_lost(None)
    assert not others.respond(200, b"late") and not other.transport.said and d.calls.counts["abandoned"] == 1


def test_a_full_house_says_so():
    """Where all are owed an answer the newest caller is told to come back, and no answer that is owed is lost."""
    d = Desk(max_connections=3)
    owed = [d.dial(LATER) for _ in range(3)]
    newest = d.dial()
    newest.data_received(LATER)
    ((status, head, body),) = d.answers(newest)
    assert status == 503 and "retry-after: " in head and b"callers" in body and len(d.held) == 3
    for asked, caller in zip(d.held, owed, strict=True):
        assert asked.respond(200, b"{}") and len(d.answers(caller)) == 1


def test_half_a_call_is_told():
    """Neither a head nor a body that never becomes whole ends without a word."""
    for text in (b"GET /la", b"GET /later HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"):
        d = Desk()
        caller = d.dial(text)
        d.now += 11 * SEC
        d.calls.sweep()
        ((status, _, body),) = d.answers(caller)
        assert status == 408 and b"never became whole" in body


def test_too_many_bodies_come_back():
    d = Desk(max_buffered_body_bytes=1)
    ((status, head, _),) = d.answers(d.dial(b"GET /later HTTP/1.1\r\nContent-Length: 5\r\n\r\n"))
    assert status == 503 and "retry-after: " in head


def rpc(name, body=b""):
    return b"POST /api/rpc?%s HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (name, len(body), body)


@pytest.mark.parametrize(
    ("text", "field"),
    [
        (rpc(b""), "call:"),
        (rpc(b"call=empty.start"), "of:"),
        (rpc(b"call=empty.start&of=z9"), "of:"),
        (rpc(b"call=empty.finish&of="), "of:"),
        (rpc(b"call=empty.start&of=a1&of=a2"), "of:"),
        (rpc(b"call=config.replace", b"{"), ""),
        (rpc(b"call=config.replace", b'{"Revision":"r7"}'), "Groups: missing"),
        (rpc(b"call=config.replace", orders(7).replace(b'"r7"', b'"7"')), "Revision:"),
        (rpc(b"call=config.replace", orders(3, rules=[rule("/x/", service="none")])), "Service"),
    ],
)
def test_bad_input_names_its_field(text, field):
    """A 4xx with a body of JSON; nothing of it is given to the core."""
    s = Station(leads=True)
    caller = Desk(control(s.node)).dial(text)
    ((status, head, body),) = Desk.answers(None, caller)
    assert 400 <= status < 500 and "application/json" in head and field in json.loads(body)["Message"]
    assert not s.core.taken


@pytest.mark.parametrize("name", [b"call=config.read", b"call=empty.start&of=a1", b"call=config.replace"])
def test_a_core_that_cannot_be_reached(name):
    """503 with when to come back, once, inside the second that callers wait; at once where the table is full."""
    s = Station()
    d = Desk(control(s.node))
    text = rpc(name, orders(2) if b"replace" in name else b"")
    caller = d.dial(text)
    s.loop.wait(950)
    for _ in range(257):
        last = d.dial(text)
    for told in (caller, last):
        ((status, head, _),) = d.answers(told)
        assert status == 503 and "retry-after: " in head
    s.says(LEADER, 1)
    s.loop.wait(3000)
    assert len(d.answers(caller)) == 1


# ---- members of the core


FROM = {"receiver's incarnation": {"j": 1}, "sender's incarnation": {"i": 1}, "sender": {"n": "x"}}


def odd_answers(member, name, incarnation, **more):
    """Answers to `member` that bear all that fits but one thing, by what that is; and the one that fits."""
    proper = {"n": name, "i": incarnation, "j": member.incarnation, "t": member.term, **more}
    odd = {what: {**proper, **change} for what, change in FROM.items()}
    odd["term"] = {**proper, "t": member.term - 1}
    return odd, proper


def test_acknowledgements_count_for_their_round_term_and_incarnation():
    """None of another term, of or for another incarnation, or of a round that has not begun counts as a member's."""
    core = consensus.Core()
    leader = core.leader.core_member
    core.cut([core.leader], core.others(core.leader))
    (key, peer), *_ = leader.leadership.replication.replicas.items()
    odd, proper = odd_answers(leader, *key, k="ack", s=leader.leadership.rounds.current, e=[99, 99], d=b"")
    odd["round"] = {**proper, "s": proper["s"] + 1}
    held = peer.acknowledged_round, peer.match_position
    for what, message in odd.items():
        leader.take(leader.context.now, events.MessageReceived(peer.ip, message))
        assert (peer.acknowledged_round, peer.match_position) == held, what
    leader.take(leader.context.now, events.MessageReceived(peer.ip, proper))
    assert peer.match_position == (99, 99)


@pytest.mark.parametrize(("kind", "role", "ahead"), [("may", Role.PRE_CANDIDATE, 1), ("aye", Role.CANDIDATE, 0)])
def test_votes_count_for_their_term_and_candidate(kind, role, ahead):
    """One for another term, or for one that lost its disk, is none; one of a stranger makes no majority."""
    core = consensus.Core(members=6)
    member = core.others(core.leader)[0].core_member
    others = [(name, inc) for name, (_, inc) in member.entry.members.items() if name != member.name]
    member.election.role, member.election.votes = role, {(member.name, member.incarnation)}
    for name, incarnation in others:
        odd, proper = odd_answers(member, name, incarnation, k=kind)
        for message in odd.values():
            member.take(member.context.now, events.MessageReceived("10.0.0.9", {**message, "t": message["t"] + ahead}))
    assert member.election.role == role and not {(name, inc) for name, inc in member.election.votes} & set(others)
    for name, incarnation in others[:3]:
        assert member.election.role == role
        _, proper = odd_answers(member, name, incarnation, k=kind)
        member.take(member.context.now, events.MessageReceived("10.0.0.9", {**proper, "t": proper["t"] + ahead}))
    assert member.election.role != role


def test_a_process_that_ends_answers_its_calls():
    """An order that is under way as the last client goes is answered before the process ends, within Grace anyway."""
    for answers in (True, False):
        s, d, stopped = Station(), Desk(), []
        s.loop.stop = lambda stopped=stopped, s=s: stopped.append(s.loop.now)
        s.node.client_front.server = s.loop
        s.node.shutdown.listeners.add(d.calls)
        s.node.shutdown.begin()
        s.loop.wait(2900)
        idle, caller = d.dial(), d.dial(LATER)
        s.loop.wait(300)
        assert idle.transport.over and not caller.transport.over and not stopped
        if answers:
            d.held[0].respond(200, b"{}")
            ((_, head, _),) = d.answers(caller)
            assert "connection: close" in head
        s.loop.wait(100)
        assert bool(stopped) == answers
        s.loop.wait(2500)
        assert stopped and stopped[0] <= 6 * SEC
