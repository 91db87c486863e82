"""A tenant's quota, derived from its configured rate and burst and from the rule QUOTA.

`window` and `limit` follow the RFC: the length of the window is burst / rate, and the limit is what the rate allows in
it. Without a burst the rule's own window (QuotaWindow) is used, so that no request within the quota is rejected.

The rule tolerates more than the quota (`slack`). One part of it is for proxies that reach the counter, so that they
reject no request while quota is left; another part is for isolated proxies. The rest covers requests that are admitted
before totals catch up.
"""

from typing import NamedTuple, Protocol

MS = 10**6  # ns
SEC = 10**9  # ns

MIN_WINDOW_NS = SEC  # with a shorter window, the ticks would be too slow
CONNECTED_SLACK_SHARE = 1 / 7  # of the slack
ISOLATED_SLACK_SHARE = 0.35  # of the slack that is left where totals lag by TOTALS_LAG_S
TOTALS_LAG_S = 0.5


class QuotaSettings(Protocol):
    """The quota settings of a tenant in a configuration."""

    @property
    def per_s(self) -> float:
        """Requests per second; 0: no limit."""

    @property
    def burst(self) -> float:
        """Additional requests at once."""


class QuotaRule(NamedTuple):
    """The tolerance of the rule QUOTA beyond a tenant's quota."""

    window_ns: int = 5 * SEC  # QuotaWindow
    excess_share: float = 0.1  # QuotaExcess
    slack_requests: float = 20.0  # QuotaSlack


DEFAULT_RULE = QuotaRule()


class Quota(NamedTuple):
    """A tenant's quota, as `quota_of` derives it. Amounts are in requests."""

    per_s: float
    burst: float
    window: int  # ns; `epoch.roll` reads it by this name
    limit: float  # per window
    depth: float  # of the token bucket
    allowance: float  # rate and burst together, in the rule's window
    slack: float  # the rule's tolerance beyond the allowance
    connected_slack: float  # the part of the slack for proxies that reach the counter
    isolated_slack: float  # the part of the slack for isolated proxies
    without_burst: bool  # the window is the rule's own, and the counter uses slots instead of a bucket


def quota_of(per_s: float, burst: float, rule: QuotaRule) -> Quota:
    """Derives the quota of a tenant.

    Args:
        per_s: requests per second, above 0.
        burst: additional requests at once; 0 for none.
        rule: the tolerance beyond the quota.
    """
    window = max(MIN_WINDOW_NS, int(burst / per_s * SEC)) if burst > 0 else rule.window_ns
    limit = per_s * window / SEC
    allowance = per_s * rule.window_ns / SEC + burst
    slack = allowance * rule.excess_share + rule.slack_requests
    return Quota(
        per_s=per_s,
        burst=burst,
        window=window,
        limit=limit,
        depth=burst or limit,
        allowance=allowance,
        slack=slack,
        connected_slack=slack * CONNECTED_SLACK_SHARE,
        isolated_slack=max(0.0, ISOLATED_SLACK_SHARE * (slack - per_s * TOTALS_LAG_S)),
        without_burst=burst <= 0,
    )
