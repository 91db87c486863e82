"""Tests of the rounds of pages: they are never mixed, keep to the rate, and yield a list if they are complete."""

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
    """Runs a pager against the fake platform, with a fake clock."""

    def __init__(self, servers=0, interval=500 * MS, per_s=100.0, **platform):
        self.now = SEC
        self.platform = Platform(lambda: self.now, **platform)
        self.pager = Pager(interval, per_s)
        self.due, self.lists, self.failures, self.fetched = self.now, [], [], []
        for k in range(servers):
            self.platform.put(f"i-{k:03}", "s", f"10.0.0.{k % 200 + 1}:80", "z")

    def apply(self, effects, answer=True):
        for effect in effects:
            if type(effect) is FetchPage:
                self.fetched.append(effect)
                if answer:
                    self.answer()
            elif type(effect) is SetTimer:
                self.due = effect.until
            else:
                (self.lists if type(effect) is ListCompleted else self.failures).append(effect)

    def answer(self):
        fetch = self.fetched[-1]
        _, _, token = fetch.target.partition("=")
        response = self.platform.servers(SimpleNamespace(query={"PageToken": token} if token else {}))
        self.apply(self.pager.handle_event(self.now, PageReceived(fetch.round, response.status, response.body)))

    def fire_timer(self, answer=True):
        """Advances to the time of the pager's timer, and fires it."""
        self.now = max(self.now, self.due)
        self.apply(self.pager.handle_event(self.now, TimerFired), answer)

    def until(self, end):
        while self.due <= end:
            self.fire_timer()
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
    run.fire_timer(answer=False)
    run.apply(run.pager.handle_event(run.now, PageReceived(1, 200, body)))
    assert len(run.failures) == 1 and not run.lists and run.due == run.now + 250 * MS
    run.fire_timer()
    assert len(run.ids) == 3


def test_rounds_do_not_mix():
    """Pages of an abandoned round, and repeated pages, are ignored; only a complete round yields a list."""
    run = PagerRun(120)
    run.fire_timer(answer=False)
    first = run.fetched[-1]
    page = run.platform.servers(SimpleNamespace(query={}))
    run.apply(run.pager.handle_event(run.now, PageReceived(1, 200, page.body)), answer=False)
    assert run.fetched[-1].target == "/servers?PageToken=p-50" and not run.lists
    run.apply(run.pager.handle_event(run.now, PageFailed(1, "no answer in time")))
    run.platform.remove("i-000")
    run.fire_timer(answer=False)
    for event in (PageReceived(first.round, 200, page.body), PageFailed(first.round, "late")):
        assert run.pager.handle_event(run.now, event) == []
    run.answer()
    assert len(run.ids) == 119 and run.pager.counts["stale_responses"] == 2
    run.pager.stop()
    assert run.pager.handle_event(run.now, PageReceived(2, 200, page.body)) == []


def test_a_repeated_token_fails_the_round():
    run = PagerRun()
    run.fire_timer(answer=False)
    again = json.dumps({"Servers": {}, "NextToken": "p/ 1"}).encode()
    run.apply(run.pager.handle_event(run.now, PageReceived(1, 200, again)), answer=False)
    assert run.fetched[-1].target == "/servers?PageToken=p%2F%201"
    run.apply(run.pager.handle_event(run.now, PageReceived(1, 200, again)))
    assert "again" in run.failures[0].reason


def test_pauses_double_up_to_a_limit():
    run = PagerRun(3)
    waits = []
    for fault in (503, 503, "cut", 503, 503, 503, None):
        run.platform.fault = fault
        run.fire_timer()
        waits.append((run.due - run.now) // MS)
    assert waits == [250, 500, 1000, 1000, 1000, 1000, 500] and len(run.failures) == 6
    run.platform.fault = 429  # each of these counts as two failures
    run.fire_timer()
    assert run.due - run.now == 500 * MS


def test_the_rate_of_calls_is_kept():
    """With 281 servers and 6 pages a round, calls stay within the rate and its bucket however short the interval is,
    and the platform never has to answer 429."""
    run = PagerRun(281, interval=100 * MS, per_s=20.0)
    run.platform.per_s = run.platform.tokens = 20.0
    run.until(11 * SEC)
    assert 200 <= run.platform.counts["calls"] <= 10 * 20 + 10 and not run.platform.counts["over"]
    assert len(run.lists) == run.platform.counts["calls"] // 6 and len(run.ids) == 281


def test_a_platform_that_lags():
    """A change appears within lag and interval; a server that is removed without draining is kept for one round."""
    run = PagerRun(2, lag_ns=800 * MS)
    run.until(3 * SEC)
    # First an empty list, then two servers; a list without changes gets no new version.
    assert run.lists[-1].servers.version == 2
    run.platform.set_state("i-000", "emptying")
    run.until(3 * SEC + 1301 * MS)
    assert [row.state for row in run.lists[-1].servers.endpoints] == [DRAINING, READY]
    run.platform.remove("i-000")
    run.platform.remove("i-001")
    run.until(run.now + 1301 * MS)
    assert run.ids == ["i-001"]
    run.until(run.now + 500 * MS)
    assert run.ids == [] and run.lists[-1].servers.version == 5
    run.pager.skip_versions(40)  # another node's lists reached this version, so new lists need higher ones
    run.until(run.now + 1000 * MS)
    assert run.lists[-1].servers.version == 41


def test_good_news_needs_two_rounds():
    """The list may show an older view after a newer one, so the end of draining or warming up needs two rounds. A
    change for the worse counts at once, and a warm-up that reads a little shorter is the same one.
    """
    run = PagerRun(1, interval=500 * MS)
    states = []
    warm_ups = ({"ColdLeft": text} for text in ("3s", "3s", "2.4s", "0ms", "0ms"))
    for entry in (
        {},
        {"State": "emptying"},
        {},
        {},
        *warm_ups,
        {"Address": "10.0.0.9:81", "State": "emptying"},
        {"Address": "10.0.0.8:81"},
    ):
        run.now = max(run.now, run.due)
        run.apply(run.pager.handle_event(run.now, TimerFired), answer=False)
        body = json.dumps({"Servers": {"i": ENTRY | entry}, "NextToken": None}).encode()
        run.apply(run.pager.handle_event(run.now, PageReceived(run.pager.round, 200, body)))
        row = run.lists[-1].servers.endpoints[0]
        states.append((row.state[0], row.warming_until_ns // MS))
    assert states == [
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
