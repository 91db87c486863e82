"""A tenant's quota: what the rule QUOTA and the configuration make of a rate and a burst.

`window` and `limit` are the design's: the window is burst / rate long, the limit is what the rate allows in it. Without
a burst the window is the rule's own (QuotaWindow), so that nothing within quota is rejected.

The rule tolerates more than the quota (`slack`). A part of it is used by proxies that reach the counter, so that none
rejects while there is room; another by proxies that nobody answers; the rest covers what is admitted before totals
catch up.
"""

from typing import NamedTuple, Protocol

MS = 10**6  # ns
SEC = 10**9  # ns

MIN_WINDOW_NS = SEC  # below it, the ticks could not keep up
CONNECTED_SLACK_SHARE = 1 / 7  # of the slack
ISOLATED_SLACK_SHARE = 0.35  # of what is left of the slack where totals lag by TOTALS_LAG_S
TOTALS_LAG_S = 0.5


class QuotaSettings(Protocol):
    """A tenant of a configuration, as far as its quota goes."""

    @property
    def per_s(self) -> float:
        """Requests a second; 0: no limit."""

    @property
    def burst(self) -> float:
        """Requests above that at once."""


class QuotaRule(NamedTuple):
    """What the rule QUOTA allows beyond a tenant's quota."""

    window_ns: int = 5 * SEC  # QuotaWindow
    excess_share: float = 0.1  # QuotaExcess
    slack_requests: float = 20.0  # QuotaSlack


DEFAULT_RULE = QuotaRule()


class Quota(NamedTuple):
    """A tenant's quota, as `quota_of` works it out. Amounts are requests."""

    per_s: float
    burst: float
    window: int  # ns; `epoch.roll` reads it by this name
    limit: float  # in one window
    depth: float  # of the token bucket
    allowance: float  # in the rule's window: rate and burst together
    slack: float  # that the rule tolerates beyond the allowance
    connected_slack: float  # the part of it that proxies use which reach the counter
    isolated_slack: float  # the part of it for proxies that nobody answers
    without_burst: bool  # the window is the rule's own, and the counter has slots in place of a bucket


def quota_of(per_s: float, burst: float, rule: QuotaRule) -> Quota:
    """Works out the quota of a tenant.

    Args:
        per_s: requests a second, above 0.
        burst: requests above that at once; 0 for none.
        rule: what is tolerated beyond.
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
