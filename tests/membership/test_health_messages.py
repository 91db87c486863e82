"""Tests of invalid health reports and verdicts."""

import pytest

from rampfront.membership.health_registry import HealthRegistry
from rampfront.membership.health_reporter import HealthReporter
from rampfront.membership.messages import decode_health_reports, decode_health_verdicts
from rampfront.membership.server_health import (
    CONNECT_TIMED_OUT,
)

MS, SEC = 10**6, 10**9
T0 = 1000 * SEC


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
def test_invalid_reports_change_nothing(odd):
    registry = HealthRegistry()
    registry.set_servers([("s1", "a")])
    with pytest.raises(ValueError):
        registry.add_reports("p1", decode_health_reports({"r": odd}).reports, 11, T0)
    with pytest.raises(ValueError):
        HealthReporter().accept_verdicts(decode_health_verdicts({"e": 1, "r": odd}).verdicts, T0)
    assert not registry.records
