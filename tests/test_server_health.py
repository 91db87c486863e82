"""Servers' health by the fleet's own requests: scripted pilots and a register on a fake clock, then a pilot on its quay."""

import pytest

from rampfront.membership.health_registry import REPEAT_AFTER_NS, UNREACHABLE_WINDOW_NS, HealthRegistry
from rampfront.membership.health_reporter import MAX_PATIENCE_NS, RECENT_CONTACT_NS, HealthReporter
from rampfront.membership.messages import decode_health_reports, decode_health_verdicts
from rampfront.membership.server_health import (
    CONNECT_TIMED_OUT,
    HEALTHY,
    NO_RESPONSE,
    REQUEST_FAILED,
    UNHEALTHY,
    UNREACHABLE,
    ServerReport,
)

MS, SEC = 10**6, 10**9
T0 = 1000 * SEC


def register(**zones):
    made = HealthRegistry()
    made.set_servers((uid, zone) for zone, uids in zones.items() for uid in uids)
    return made


def test_two_bear_each_other_out():
    """One pilot alone may have lost its own link; a late answer or two make nobody dark; sightings far apart neither."""
    r = register(a=["s1", "s2"])
    assert [r.add_reports("p1", [("s1", CONNECT_TIMED_OUT)], 11, T0 + k) for k in range(5)] == [[]] * 5
    assert r.add_reports("p2", [("s1", NO_RESPONSE)], 11, T0 + 10) == [("s1", UNREACHABLE)]
    assert r.add_reports("p3", [("s1", CONNECT_TIMED_OUT)], 11, T0 + 20) == []  # told lately
    assert (
        r.add_reports("p1", [("s2", NO_RESPONSE)], 11, T0)
        == r.add_reports("p2", [("s2", NO_RESPONSE)], 11, T0 + 1)
        == []
    )
    assert r.add_reports("p3", [("s2", CONNECT_TIMED_OUT)], 11, T0 + UNREACHABLE_WINDOW_NS + 2) == []
    assert r.add_reports("p1", [("gone", CONNECT_TIMED_OUT)], 11, T0) == [] and "gone" not in r.records
    assert register(a=["s1"]).add_reports("p1", [("s1", CONNECT_TIMED_OUT), ("s1", NO_RESPONSE)], 1, T0) == [
        ("s1", UNREACHABLE)
    ]  # the only pilot there is


def test_failures_make_ill_and_answers_do_not_heal():
    """A grey server answers some and fails some: what it answers clears nothing."""
    r = register(a=["s1"])
    told = [r.add_reports(f"p{k % 2}", [("s1", REQUEST_FAILED)], 11, T0 + k * 500 * MS) for k in range(3)]
    assert told == [[], [], [("s1", UNHEALTHY)]]
    assert r.add_reports("p1", [("s1", HEALTHY)], 11, T0 + 2 * SEC) == []
    assert (
        r.add_reports("p1", [("s1", REQUEST_FAILED)], 11, T0 + SEC + REPEAT_AFTER_NS + MS) == []
    )  # long behind the others: not a spell any more


def test_a_zone_goes_dark_as_one():
    """Once a fifth of its servers, and three, went dark together, the rest need not be found out each by a request; other
    zones are left alone; the first of the rest that is heard clears them all, and not those that were seen dark."""
    r = register(a=[f"a{k}" for k in range(10)], b=["b1", "b2"])

    def dark(uid, at):
        return r.add_reports("p1", [(uid, CONNECT_TIMED_OUT)], 11, at) + r.add_reports(
            "p2", [(uid, CONNECT_TIMED_OUT)], 11, at
        )

    assert dark("a0", T0) == [("a0", UNREACHABLE)] and dark("a1", T0 + 100 * MS) == [("a1", UNREACHABLE)]
    told = dark("a2", T0 + 200 * MS)
    assert sorted(told) == [(f"a{k}", UNREACHABLE) for k in range(2, 10)]
    assert sorted(r.add_reports("p3", [("a7", HEALTHY)], 11, T0 + 300 * MS)) == [
        (f"a{k}", HEALTHY) for k in range(3, 10)
    ]
    assert (
        r.add_reports("p3", [("a0", HEALTHY)], 11, T0 + 300 * MS) == [("a0", HEALTHY)]
        and r.records["a1"].verdict == UNREACHABLE
    )
    slow = register(a=[f"a{k}" for k in range(10)])
    assert [
        len(
            slow.add_reports("p1", [(f"a{k}", CONNECT_TIMED_OUT)], 1, at := T0 + k * 2 * SEC)
            + slow.add_reports("p2", [(f"a{k}", CONNECT_TIMED_OUT)], 2, at)
        )
        for k in range(4)
    ] == [1, 1, 1, 1]  # one by one


def test_a_pilot_reports_what_it_waits_for():
    """A request that hears nothing for long, once; not where the server answered another since."""
    g = HealthReporter()
    ref = g.request_started("s1", 200 * MS, T0)
    assert (
        g.take_reports(T0 + 400 * MS) == []
        and g.take_reports(T0 + 500 * MS) == [("s1", NO_RESPONSE)]
        and g.take_reports(T0 + SEC) == []
    )
    g.request_ended(ref, "s1", T0 + SEC, HEALTHY)
    slow, quick = g.request_started("s1", 200 * MS, T0 + 2 * SEC), g.request_started("s1", 200 * MS, T0 + 2 * SEC)
    g.request_ended(quick, "s1", T0 + 2 * SEC + 100 * MS, HEALTHY)
    assert g.take_reports(T0 + 3 * SEC) == []
    g.request_ended(slow, "s1", T0 + 3 * SEC)
    g.request_ended(g.request_started("s2", 0, T0), "s2", T0 + 3 * SEC, CONNECT_TIMED_OUT)
    assert g.take_reports(T0 + 3 * SEC) == [("s2", CONNECT_TIMED_OUT)] and not g.pending and not g.deadlines
    g.take_reports(T0 + 3 * SEC + MAX_PATIENCE_NS + 2 * SEC)
    assert (
        not g.last_response_at_ns and not g.unreachable_since_ns
    )  # nothing is kept of those that it has not met lately


def test_a_pilot_that_hears_it_does_not_believe_it_dark():
    g = HealthReporter()
    g.request_ended(g.request_started("s1", 0, T0), "s1", T0, HEALTHY)
    assert g.accept_verdicts(
        [ServerReport("s1", UNREACHABLE), ServerReport("s2", UNREACHABLE), ServerReport("s1", UNHEALTHY)],
        T0 + RECENT_CONTACT_NS - 1,
    ) == [("s2", UNREACHABLE), ("s1", UNHEALTHY)]
    assert g.take_reports(T0 + RECENT_CONTACT_NS) == [("s1", HEALTHY)]  # and says so
    g.request_ended(g.request_started("s2", 0, T0 + RECENT_CONTACT_NS), "s2", T0 + SEC, HEALTHY)
    g.request_ended(g.request_started("s2", 0, T0 + RECENT_CONTACT_NS), "s2", T0 + SEC, HEALTHY)
    assert g.take_reports(T0 + SEC) == [("s2", HEALTHY)]  # once


@pytest.mark.parametrize(
    "odd",
    [
        None,
        [["s1"]],
        [["s1", 77]],
        [[1, CONNECT_TIMED_OUT]],
        [["x" * 201, CONNECT_TIMED_OUT]],
        [["s1", CONNECT_TIMED_OUT]] * 65,
        [["s1", True]],
    ],
)
def test_odd_rows_change_nothing(odd):
    r = register(a=["s1"])
    with pytest.raises(ValueError):
        r.add_reports("p1", decode_health_reports({"r": odd}).reports, 11, T0)
    with pytest.raises(ValueError):
        HealthReporter().accept_verdicts(decode_health_verdicts({"e": 1, "r": odd}).verdicts, T0)
    assert not r.records
