"""Tests of a proxy's reports on servers, and of the verdicts that it accepts."""

from rampfront.membership.health_reporter import MAX_RESPONSE_TIMEOUT_NS, RECENT_CONTACT_NS, HealthReporter
from rampfront.membership.server_health import (
    CONNECT_TIMED_OUT,
    HEALTHY,
    NO_RESPONSE,
    UNHEALTHY,
    UNREACHABLE,
    ServerReport,
)

MS, SEC = 10**6, 10**9
T0 = 1000 * SEC


def test_a_proxy_reports_missing_responses():
    """A request without a response is reported once, unless the server has answered another one since."""
    reporter = HealthReporter()
    ref = reporter.request_started("s1", 200 * MS, T0)
    assert (
        reporter.take_reports(T0 + 400 * MS) == []
        and reporter.take_reports(T0 + 500 * MS) == [("s1", NO_RESPONSE)]
        and reporter.take_reports(T0 + SEC) == []
    )
    reporter.request_ended(ref, "s1", T0 + SEC, HEALTHY)
    slow, quick = (
        reporter.request_started("s1", 200 * MS, T0 + 2 * SEC),
        reporter.request_started("s1", 200 * MS, T0 + 2 * SEC),
    )
    reporter.request_ended(quick, "s1", T0 + 2 * SEC + 100 * MS, HEALTHY)
    assert reporter.take_reports(T0 + 3 * SEC) == []
    reporter.request_ended(slow, "s1", T0 + 3 * SEC)
    reporter.request_ended(reporter.request_started("s2", 0, T0), "s2", T0 + 3 * SEC, CONNECT_TIMED_OUT)
    assert (
        reporter.take_reports(T0 + 3 * SEC) == [("s2", CONNECT_TIMED_OUT)]
        and not reporter.pending
        and not reporter.deadlines
    )
    reporter.take_reports(T0 + 3 * SEC + MAX_RESPONSE_TIMEOUT_NS + 2 * SEC)
    # Records of servers without recent contact are removed.
    assert not reporter.last_response_at_ns and not reporter.unreachable_since_ns


def test_a_proxy_that_had_an_answer_does_not_believe_a_server_unreachable():
    reporter = HealthReporter()
    reporter.request_ended(reporter.request_started("s1", 0, T0), "s1", T0, HEALTHY)
    assert reporter.accept_verdicts(
        [ServerReport("s1", UNREACHABLE), ServerReport("s2", UNREACHABLE), ServerReport("s1", UNHEALTHY)],
        T0 + RECENT_CONTACT_NS - 1,
    ) == [("s2", UNREACHABLE), ("s1", UNHEALTHY)]
    assert reporter.take_reports(T0 + RECENT_CONTACT_NS) == [("s1", HEALTHY)]  # it contradicts the verdict
    reporter.request_ended(reporter.request_started("s2", 0, T0 + RECENT_CONTACT_NS), "s2", T0 + SEC, HEALTHY)
    reporter.request_ended(reporter.request_started("s2", 0, T0 + RECENT_CONTACT_NS), "s2", T0 + SEC, HEALTHY)
    assert reporter.take_reports(T0 + SEC) == [("s2", HEALTHY)]  # reported once
