"""Rounds of pages: never mixed, within the rate, and a list from each that is complete."""

import json
from types import SimpleNamespace

import pytest

from rampfront.lab.platform import Platform
from rampfront.membership.endpoint_list import DRAINING, READY
from rampfront.membership.endpoint_list_pager import (
    FetchPage,
    ListCompleted,
    PageFailed,
    Pager,
    PageReceived,
    SetTimer,
    TimerFired,
)

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


class PagerRun:
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
        self.carry(self.pager.handle_event(self.now, PageReceived(fetch.round, said.status, said.body)))

    def turn(self, answer=True):
        """On to the time the pager waits for."""
        self.now = max(self.now, self.due)
        self.carry(self.pager.handle_event(self.now, TimerFired), answer)

    def until(self, end):
        while self.due <= end:
            self.turn()
        self.now = end

    @property
    def ids(self):
        return [row.id for row in self.lists[-1].servers.endpoints]


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
def test_an_unreadable_page_fails_its_round(body):
    run = PagerRun(3)
    run.turn(answer=False)
    run.carry(run.pager.handle_event(run.now, PageReceived(1, 200, body)))
    assert len(run.dropped) == 1 and not run.lists and run.due == run.now + 250 * MS
    run.turn()
    assert len(run.ids) == 3


def test_rounds_do_not_mix():
    """Pages of a round that was given up, or that came twice, are ignored; a round is shown only when complete."""
    run = PagerRun(120)
    run.turn(answer=False)
    first = run.fetched[-1]
    page = run.platform.servers(SimpleNamespace(query={}))
    run.carry(run.pager.handle_event(run.now, PageReceived(1, 200, page.body)), answer=False)
    assert run.fetched[-1].target == "/servers?PageToken=p-50" and not run.lists
    run.carry(run.pager.handle_event(run.now, PageFailed(1, "no answer in time")))
    run.platform.remove("i-000")
    run.turn(answer=False)
    for told in (PageReceived(first.round, 200, page.body), PageFailed(first.round, "late")):
        assert run.pager.handle_event(run.now, told) == []
    run.answer()
    assert len(run.ids) == 119 and run.pager.counts["stale_responses"] == 2
    run.pager.stop()
    assert run.pager.handle_event(run.now, PageReceived(2, 200, page.body)) == []


def test_a_repeated_token_fails_the_round():
    run = PagerRun()
    run.turn(answer=False)
    again = json.dumps({"Servers": {}, "NextToken": "p/ 1"}).encode()
    run.carry(run.pager.handle_event(run.now, PageReceived(1, 200, again)), answer=False)
    assert run.fetched[-1].target == "/servers?PageToken=p%2F%201"
    run.carry(run.pager.handle_event(run.now, PageReceived(1, 200, again)))
    assert "again" in run.dropped[0].reason


def test_pauses_double_up_to_a_limit():
    run = PagerRun(3)
    waits = []
    for ill in (503, 503, "cut", 503, 503, 503, None):
        run.platform.ill = ill
        run.turn()
        waits.append((run.due - run.now) // MS)
    assert waits == [250, 500, 1000, 1000, 1000, 1000, 500] and len(run.dropped) == 6
    run.platform.ill = 429  # of which each counts for two
    run.turn()
    assert run.due - run.now == 500 * MS


def test_the_rate_of_calls_is_kept():
    """281 servers, 6 pages a round: however short the interval, no second sees more calls than the rate and its bucket
    allow, and the platform never has to answer 429."""
    run = PagerRun(281, gap=100 * MS, per_s=20.0)
    run.platform.per_s = run.platform.left = 20.0
    run.until(11 * SEC)
    assert 200 <= run.platform.counts["calls"] <= 10 * 20 + 10 and not run.platform.counts["over"]
    assert len(run.lists) == run.platform.counts["calls"] // 6 and len(run.ids) == 281


def test_a_platform_that_lags():
    """A change is there within lag and interval; a server that is gone without having drained is kept for one round."""
    run = PagerRun(2, lag=800 * MS)
    run.until(3 * SEC)
    assert run.lists[-1].servers.version == 2  # empty, then two; no news, no new number
    run.platform.state("i-000", "emptying")
    run.until(3 * SEC + 1301 * MS)
    assert [row.state for row in run.lists[-1].servers.endpoints] == [DRAINING, READY]
    run.platform.remove("i-000")
    run.platform.remove("i-001")
    run.until(run.now + 1301 * MS)
    assert run.ids == ["i-001"]
    run.until(run.now + 500 * MS)
    assert run.ids == [] and run.lists[-1].servers.version == 5
    run.pager.skip_versions(40)  # another node's lists went up to there: nothing of ours may pass for one of them
    run.until(run.now + 1000 * MS)
    assert run.lists[-1].servers.version == 41


def test_good_news_needs_two_rounds():
    """An older view behind a newer one: draining and warming up are not taken back at once; bad news counts at once,
    and a warm-up that reads a little earlier is the same one.
    """
    run = PagerRun(1, gap=500 * MS)
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
        run.now = max(run.now, run.due)
        run.carry(run.pager.handle_event(run.now, TimerFired), answer=False)
        body = json.dumps({"Servers": {"i": ENTRY | entry}, "NextToken": None}).encode()
        run.carry(run.pager.handle_event(run.now, PageReceived(run.pager.round, 200, body)))
        row = run.lists[-1].servers.endpoints[0]
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
