"""Tests of the leader's verdicts on servers, from the reports of all proxies."""

from rampfront.membership.health_registry import UNREACHABLE_WINDOW_NS, VERDICT_REPEAT_INTERVAL_NS, HealthRegistry
from rampfront.membership.server_health import (
    CONNECT_TIMED_OUT,
    HEALTHY,
    NO_RESPONSE,
    REQUEST_FAILED,
    UNHEALTHY,
    UNREACHABLE,
)

MS, SEC = 10**6, 10**9
T0 = 1000 * SEC


def registry_of(**zones):
    registry = HealthRegistry()
    registry.set_servers((server_id, zone) for zone, server_ids in zones.items() for server_id in server_ids)
    return registry


def test_two_proxies_must_agree():
    """A single proxy may have lost its own link, so two must agree. One or two missing responses make no server
    unreachable, nor do observations far apart.
    """
    registry = registry_of(a=["s1", "s2"])
    assert [registry.add_reports("p1", [("s1", CONNECT_TIMED_OUT)], 11, T0 + k) for k in range(5)] == [[]] * 5
    assert registry.add_reports("p2", [("s1", NO_RESPONSE)], 11, T0 + 10) == [("s1", UNREACHABLE)]
    assert registry.add_reports("p3", [("s1", CONNECT_TIMED_OUT)], 11, T0 + 20) == []  # the verdict was sent recently
    assert (
        registry.add_reports("p1", [("s2", NO_RESPONSE)], 11, T0)
        == registry.add_reports("p2", [("s2", NO_RESPONSE)], 11, T0 + 1)
        == []
    )
    assert registry.add_reports("p3", [("s2", CONNECT_TIMED_OUT)], 11, T0 + UNREACHABLE_WINDOW_NS + 2) == []
    assert registry.add_reports("p1", [("gone", CONNECT_TIMED_OUT)], 11, T0) == [] and "gone" not in registry.records
    assert registry_of(a=["s1"]).add_reports("p1", [("s1", CONNECT_TIMED_OUT), ("s1", NO_RESPONSE)], 1, T0) == [
        ("s1", UNREACHABLE)
    ]  # the only proxy that serves


def test_failures_make_unhealthy_and_answers_do_not_heal():
    """A server that answers some requests and fails others stays unhealthy; its successes clear nothing."""
    registry = registry_of(a=["s1"])
    verdicts = [registry.add_reports(f"p{k % 2}", [("s1", REQUEST_FAILED)], 11, T0 + k * 500 * MS) for k in range(3)]
    assert verdicts == [[], [], [("s1", UNHEALTHY)]]
    assert registry.add_reports("p1", [("s1", HEALTHY)], 11, T0 + 2 * SEC) == []
    assert (
        registry.add_reports("p1", [("s1", REQUEST_FAILED)], 11, T0 + SEC + VERDICT_REPEAT_INTERVAL_NS + MS) == []
    )  # outside the window of the other failures


def test_a_zone_becomes_unreachable_as_one():
    """Once a fifth of a zone's servers, and at least three, become unreachable together, the whole zone is unreachable.

    Other zones are not affected. The first inferred server that answers clears all inferred verdicts, but not those on
    servers that were observed as unreachable.
    """
    registry = registry_of(a=[f"a{k}" for k in range(10)], b=["b1", "b2"])

    def unreachable(server_id, at):
        return registry.add_reports("p1", [(server_id, CONNECT_TIMED_OUT)], 11, at) + registry.add_reports(
            "p2", [(server_id, CONNECT_TIMED_OUT)], 11, at
        )

    assert unreachable("a0", T0) == [("a0", UNREACHABLE)] and unreachable("a1", T0 + 100 * MS) == [("a1", UNREACHABLE)]
    verdicts = unreachable("a2", T0 + 200 * MS)
    assert sorted(verdicts) == [(f"a{k}", UNREACHABLE) for k in range(2, 10)]
    assert sorted(registry.add_reports("p3", [("a7", HEALTHY)], 11, T0 + 300 * MS)) == [
        (f"a{k}", HEALTHY) for k in range(3, 10)
    ]
    assert (
        registry.add_reports("p3", [("a0", HEALTHY)], 11, T0 + 300 * MS) == [("a0", HEALTHY)]
        and registry.records["a1"].verdict == UNREACHABLE
    )
    slow = registry_of(a=[f"a{k}" for k in range(10)])
    assert [
        len(
            slow.add_reports("p1", [(f"a{k}", CONNECT_TIMED_OUT)], 1, at := T0 + k * 2 * SEC)
            + slow.add_reports("p2", [(f"a{k}", CONNECT_TIMED_OUT)], 2, at)
        )
        for k in range(4)
    ] == [1, 1, 1, 1]  # each server gets its own verdict
