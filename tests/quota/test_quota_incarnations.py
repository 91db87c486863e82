"""Tests of messages from or to a proxy's former incarnation, at the proxy and at the counter."""

import random
from types import SimpleNamespace

import pytest
from quota_fixtures import transmitted

from rampfront.quota.counter import QuotaCounter
from rampfront.quota.limiter import Limiter

SEC = 10**9  # ns
PROXY = "10.1.0.7"


def test_an_answer_to_the_former_incarnation_acknowledges_nothing():
    """A node restarts at once. The counter's answer to its former incarnation must not acknowledge the first counts of
    the new one, since they would then never be sent."""
    tenants = {"ann": SimpleNamespace(per_s=5.0, burst=5.0)}
    limiters, counter = [], QuotaCounter(9, 0)
    counter.set_quotas(tenants, 0)
    for seed in range(40):
        limiter = Limiter("n1", random.Random(seed))
        limiter.set_quotas(tenants, 0)
        limiter.take("ann", 0)
        limiters.append((limiter, limiter.due_update(SEC)))
    before, message = limiters[0]
    late = transmitted(counter.receive(SEC, PROXY, transmitted(message)))
    before.receive(SEC, late)
    assert before.link.pending is None
    for limiter, message in limiters[1:]:
        limiter.receive(SEC, late)
        assert limiter.link.pending is not None and limiter.due_update(2 * SEC) == message  # the update is resent


def test_a_late_update_locks_out_the_current_incarnation_only_for_a_while():
    """The counter's first update from the former incarnation arrives after one from the new incarnation. The new one is
    rejected only for as long as a frame may be late."""
    counter = QuotaCounter(9, 0)

    def add(incarnation, number, now):
        return counter.receive(now, PROXY, {"l": incarnation, "s": number, "a": []})

    assert add(2, 1, 0) and add(1, 7, 0)
    with pytest.raises(ValueError, match="former incarnation"):
        add(2, 2, 2 * SEC)
    assert add(2, 3, 4 * SEC)
    with pytest.raises(ValueError, match="former incarnation"):
        add(1, 8, 5 * SEC)
