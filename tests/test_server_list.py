"""The platform's list of servers: pages checked at the door, rounds kept apart, snapshots; the poller on loopback."""

import asyncio
import json
import time
from collections import deque
from types import SimpleNamespace

import cbor2
import pytest

from rampfront.lab.boxes import Fleet, Make, Work
from rampfront.lab.platform import Platform, open_platform
from rampfront.membership.endpoint_codec import decode, encode
from rampfront.membership.endpoint_list import DRAINING, READY, Endpoint, EndpointList, changes
from rampfront.membership.endpoint_list_pager import (
    FetchPage,
    ListCompleted,
    PageFailed,
    Pager,
    PageReceived,
    SetTimer,
    TimerFired,
)
from rampfront.membership.endpoint_list_poller import PollCallbacks, Poller, PollSettings
from rampfront.membership.endpoint_pages import parse_page
from rampfront.net.http_client import HttpClient, HttpRequest, send_request
from rampfront.settings.errors import FieldError
from rampfront.settings.scalars import parse_address

MS, SEC = 10**6, 10**9
ENTRY = {
    "Service": "s",
    "Address": "10.128.0.9:8080",
    "Zone": "z",
    "Revision": "v1",
    "Capacity": 2,
    "State": "ready",
    "ColdLeft": "0ms",
}


class Play:
    """A pager against the stand-in, on a clock of its own."""

    def __init__(self, servers=0, gap=500 * MS, per_s=100.0, **platform):
        self.now = SEC
        self.platform = Platform(lambda: self.now, **platform)
        self.pager = Pager(gap, per_s)
        self.due, self.lists, self.dropped, self.fetched = self.now, [], [], []
        for k in range(servers):
            self.platform.put(f"i-{k:03}", "s", f"10.0.0.{k % 200 + 1}:80", "z")

    def carry(self, effects, answer=True):
        for effect in effects:
            if type(effect) is FetchPage:
                self.fetched.append(effect)
                if answer:
                    self.answer()
            elif type(effect) is SetTimer:
                self.due = effect.until
            else:
                (self.lists if type(effect) is ListCompleted else self.dropped).append(effect)

    def answer(self):
        fetch = self.fetched[-1]
        _, _, token = fetch.target.partition("=")
        said = self.platform.servers(SimpleNamespace(query={"PageToken": token} if token else {}))
        self.carry(self.pager.take(self.now, PageReceived(fetch.round, said.status, said.body)))

    def turn(self, answer=True):
        """On to the time the pager waits for."""
        self.now = max(self.now, self.due)
        self.carry(self.pager.take(self.now, TimerFired), answer)

    def until(self, end):
        while self.due <= end:
            self.turn()
        self.now = end

    @property
    def ids(self):
        return [row.id for row in self.lists[-1].servers.endpoints]


BAD_ROWS = [
    ("Address", "host.name:80"),
    ("Address", "10.0.0.1:0"),
    ("Address", "10.0.0.1"),
    ("Address", None),
    ("Capacity", 0),
    ("Capacity", True),
    ("Capacity", "2"),
    ("Capacity", 10**9),
    ("State", "gone"),
    ("State", []),
    ("Service", ""),
    ("Service", "a\nb"),
    ("Service", "x" * 300),
    ("Zone", 7),
    ("ColdLeft", "soon"),
    ("ColdLeft", "-1s"),
    ("ColdLeft", 5),
]


def test_a_bad_row_is_dropped_and_not_the_list():
    servers = {f"bad-{k}": {**ENTRY, field: value} for k, (field, value) in enumerate(BAD_ROWS)}
    servers |= {"none": None, "": ENTRY, "good": ENTRY | {"ColdLeft": "1.5s", "New": 1}}
    rows, token, odd = parse_page(json.dumps({"Servers": servers, "NextToken": "p"}), SEC)
    assert rows == [Endpoint("good", "s", "10.128.0.9", 8080, "z", 2, READY, SEC + 1500 * MS)]
    assert token == "p" and len(odd) == len(BAD_ROWS) + 2, odd


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"[]",
        b"{}",
        b'{"Servers":[],"NextToken":null}',
        b'{"Servers":{}}',
        b'{"Servers":{},"NextToken":""}',
        b'{"Servers":{},"NextToken":3}',
        b"[" * 100000,
    ],
)
def test_a_page_that_cannot_be_read_fails_its_round(body):
    play = Play(3)
    play.turn(answer=False)
    play.carry(play.pager.take(play.now, PageReceived(1, 200, body)))
    assert len(play.dropped) == 1 and not play.lists and play.due == play.now + 250 * MS
    play.turn()
    assert len(play.ids) == 3


def test_rounds_do_not_mix():
    """Pages of a round that was given up, or that came twice, are not read; a round is shown only when whole."""
    play = Play(120)
    play.turn(answer=False)
    first = play.fetched[-1]
    page = play.platform.servers(SimpleNamespace(query={}))
    play.carry(play.pager.take(play.now, PageReceived(1, 200, page.body)), answer=False)
    assert play.fetched[-1].target == "/servers?PageToken=p-50" and not play.lists
    play.carry(play.pager.take(play.now, PageFailed(1, "no answer in time")))
    play.platform.remove("i-000")
    play.turn(answer=False)
    for told in (PageReceived(first.round, 200, page.body), PageFailed(first.round, "late")):
        assert play.pager.take(play.now, told) == []
    play.answer()
    assert len(play.ids) == 119 and play.pager.counts["late"] == 2
    play.pager.stop()
    assert play.pager.take(play.now, PageReceived(2, 200, page.body)) == []


def test_a_token_that_comes_again_ends_the_round():
    play = Play()
    play.turn(answer=False)
    again = json.dumps({"Servers": {}, "NextToken": "p/ 1"}).encode()
    play.carry(play.pager.take(play.now, PageReceived(1, 200, again)), answer=False)
    assert play.fetched[-1].target == "/servers?PageToken=p%2F%201"
    play.carry(play.pager.take(play.now, PageReceived(1, 200, again)))
    assert "again" in play.dropped[0].why


def test_pauses_grow_and_end():
    play = Play(3)
    waits = []
    for ill in (503, 503, "cut", 503, 503, 503, None):
        play.platform.ill = ill
        play.turn()
        waits.append((play.due - play.now) // MS)
    assert waits == [250, 500, 1000, 1000, 1000, 1000, 500] and len(play.dropped) == 6
    play.platform.ill = 429  # of which each counts for two
    play.turn()
    assert play.due - play.now == 500 * MS


def test_the_rate_is_kept():
    """281 servers, 6 pages a round: however short the gap, no second sees more calls than the share allows beyond its
    bucket, and the platform never has to say 429."""
    play = Play(281, gap=100 * MS, per_s=20.0)
    play.platform.per_s = play.platform.left = 20.0
    play.until(11 * SEC)
    assert 200 <= play.platform.counts["calls"] <= 10 * 20 + 10 and not play.platform.counts["over"]
    assert len(play.lists) == play.platform.counts["calls"] // 6 and len(play.ids) == 281


def test_the_platform_lags():
    """News is there within lag and gap; a server that is gone without having been emptying is held one round."""
    play = Play(2, lag=800 * MS)
    play.until(3 * SEC)
    assert play.lists[-1].servers.version == 2  # empty, then two; no news, no new number
    play.platform.state("i-000", "emptying")
    play.until(3 * SEC + 1301 * MS)
    assert [row.state for row in play.lists[-1].servers.endpoints] == [DRAINING, READY]
    play.platform.remove("i-000")
    play.platform.remove("i-001")
    play.until(play.now + 1301 * MS)
    assert play.ids == ["i-001"]
    play.until(play.now + 500 * MS)
    assert play.ids == [] and play.lists[-1].servers.version == 5
    play.pager.skip_versions(40)  # another node's lists went up to there: nothing of ours may pass for one of them
    play.until(play.now + 1000 * MS)
    assert play.lists[-1].servers.version == 41


def test_good_news_needs_two_rounds():
    """An older view behind a newer one: emptying and cold are not taken back at once; bad news holds at once, and a
    cold spell that reads a little earlier is the same spell."""
    play = Play(1, gap=500 * MS)
    said = []
    cold = ({"ColdLeft": text} for text in ("3s", "3s", "2.4s", "0ms", "0ms"))
    for entry in (
        {},
        {"State": "emptying"},
        {},
        {},
        *cold,
        {"Address": "10.0.0.9:81", "State": "emptying"},
        {"Address": "10.0.0.8:81"},
    ):
        play.now = max(play.now, play.due)
        play.carry(play.pager.take(play.now, TimerFired), answer=False)
        body = json.dumps({"Servers": {"i": ENTRY | entry}, "NextToken": None}).encode()
        play.carry(play.pager.take(play.now, PageReceived(play.pager.round, 200, body)))
        row = play.lists[-1].servers.endpoints[0]
        said.append((row.state[0], row.warming_until_ns // MS))
    assert said == [
        ("r", 0),
        ("e", 0),
        ("e", 0),
        ("r", 0),
        ("r", 6000),
        ("r", 6500),
        ("r", 6500),
        ("r", 6500),
        ("r", 0),
        ("e", 0),
        ("r", 0),
    ]


def test_snapshots():
    one, two, three = (Endpoint(uid, "s", "10.0.0.1", 80, "z", 2, READY, 0) for uid in "abc")
    changed = Endpoint("b", "s", "10.0.0.1", 80, "z", 2, DRAINING, 7 * SEC)
    old, new = EndpointList(1, (one, two), SEC), EndpointList(2, (changed, three), 5 * SEC)
    said = changes(old, new)
    assert (said.added, said.changed, said.gone) == ((three,), (changed,), (one,))
    assert changes(None, old).added == old.endpoints
    there = decode(cbor2.loads(cbor2.dumps(encode(new, 6 * SEC))), 100 * SEC)  # the clock of another node
    assert there.version == 2 and there.read_at_ns == 99 * SEC
    assert (
        there.endpoints[0] == Endpoint("b", "s", "10.0.0.1", 80, "z", 2, DRAINING, 101 * SEC)
        and there.endpoints[1] == three
    )
    good = encode(new, 6 * SEC)
    for odd in (
        None,
        [],
        good[:3],
        [-1, *good[1:]],
        [1, 0, ["s"], good[3]],
        [1, 0, good[2], [["a"]]],
        [1, 0, 5, [1]],
        [1, 0, good[2], [["a", 0, "host", 80, 1, 2, False, 0]]],
        [1, 0, good[2], [["a", -1, "10.0.0.1", 80, 1, 2, False, 0]]],
        [1, 0, good[2], [["a", 0, "10.0.0.1", 80, 1, 2, False, -5]]],
    ):
        with pytest.raises(FieldError):
            decode(odd, SEC)


def test_the_poller_on_sockets(loop):
    """Whole lists only; a platform that moved is asked at its new place, and the old one's answers are not read; one
    that says odd things is asked again; stopped, it asks nothing."""
    run = loop.run_until_complete
    clock = time.monotonic_ns
    one, two = Platform(clock, page=2), Platform(clock, page=2)
    for k in range(5):
        one.put(f"i-{k}", "s", f"10.0.0.{k + 1}:80", "z")
    two.put("j", "s", "10.0.0.1:80", "z")
    doors = [run(open_platform(loop, p)) for p in (one, two)]
    lists, drops, news = [], [], asyncio.Event()

    def told(to, what):
        to.append(what)
        news.set()

    async def until(true):
        while not true():
            news.clear()
            await asyncio.wait_for(news.wait(), 5)

    callbacks = PollCallbacks(lambda s: told(lists, s), lambda why: told(drops, why))
    poller = Poller(loop, clock, PollSettings(doors[0].address, 1000.0, 2 * MS), callbacks)
    poller.start()
    run(until(lambda: len(lists) >= 2))
    assert [row.id for row in lists[-1].endpoints] == [f"i-{k}" for k in range(5)]
    assert doors[0].counts["connections"] == 1
    assert poller.failing_ns(poller.since_ns + SEC) == SEC and poller.since_ns > lists[0].read_at_ns
    one.ill = "garbled"
    run(until(lambda: drops))
    one.ill = "silent"
    run(asyncio.wait_for(poll(lambda: one.held), 5))
    poller.change_address(doors[1].address)
    held = len(one.held)
    one.ill, count = None, len(lists)
    run(until(lambda: len(lists) > count))
    assert lists[count].endpoints[0].id == "i-0"  # a move does not forget: five are held for a round, then gone
    run(until(lambda: len(lists) > count + 1))
    assert [row.id for row in lists[count + 1].endpoints] == ["j"] and len(one.held) == held
    poller.stop()
    calls = two.counts["calls"]
    run(asyncio.wait_for(poll(lambda: not doors[1].connections), 5))
    assert two.counts["calls"] == calls and poller.timer is None
    for door in doors:
        door.close()


async def poll(true):
    while not true():
        await asyncio.sleep(0)


def test_stand_in_servers(loop):
    """They speak as the protocol says, spoil answers as told, and count what ran."""
    run, clock = loop.run_until_complete, time.monotonic_ns
    fleet = Fleet(loop, clock, Platform(clock), seed=1)
    spoils = deque([None, "cut", "garbled", "reset", "late", None, "chunked", "extra", "close", "error"])
    box = run(fleet.start(Make("s", latency=Work(1.0), queue=1), "z", spoil=spoils))
    client = HttpClient(loop, parse_address(box.address))

    def tell(method="GET", target="/x?a=b", client=client, **fields):
        rows = tuple((name.replace("_", "-").encode(), value.encode()) for name, value in fields.items())
        return client.request(HttpRequest(method, target, b"", rows), 5)

    said = [run(tell(Try_Id=f"{k:016x}")) for k in range(10)]
    assert [str(r.err_value) if r.is_err() else r.ok_value.status for r in said] == [
        200,
        "the connection ended",
        "no HTTP/1.1",
        "the connection ended",
        200,
        "bytes behind the answer",
        200,
        "bytes behind the answer",
        200,
        500,
    ]
    assert all(
        r.ok_value.headers[b"try-id"] == b"%016x" % k and b"server-seal" in r.ok_value.headers
        for k, r in enumerate(said)
        if r.is_ok()
    )
    assert len(box.runs) == 10 and not fleet.twice() and box.runs[0].url == "/x?a=b"
    assert run(tell(Wanted_Server="i-other", Try_Id="a")).ok_value.status == 421
    assert run(tell()).ok_value.headers[b"not-run"] == b"1" and len(box.runs) == 10
    assert run(tell(target="/health")).ok_value.headers[b"server-id"] == box.uid.encode()

    box.station.draw = lambda: 100 * SEC

    async def crowd(count, turned):
        calls = [
            tell("POST", client=HttpClient(loop, parse_address(box.address)), Try_Id=f"c{k}") for k in range(count)
        ]
        calls = asyncio.gather(*calls)
        await asyncio.wait_for(poll(lambda: box.counts["turned_away"] == turned or not box.well), 5)
        return calls

    calls = run(crowd(6, 3))  # two slots, one waits, the rest has not run
    assert len(box.runs) == 12
    fleet.empty(box.uid)
    assert run(tell(target="/health")).ok_value.status == 503 and not client.connected
    box.chill(5 * SEC)
    more = run(crowd(20, -1))
    assert box.most_cold == 12 and not box.well  # far above its rate it falls over
    said = [r.ok_value.status if r.is_ok() else 0 for r in run(calls) + run(more)]
    assert sorted(set(said)) == [0, 503] and said[:6].count(503) == 3 and not fleet.twice()
    fleet.end(box.uid)
    assert (
        run(send_request(loop, parse_address(box.address), HttpRequest("GET", "/x"))).is_err()
        and not fleet.platform.versions[-1][1]
    )
    client.close()
