"""Tests of invalid messages, and of messages that are lost, repeated and reordered."""

from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from quota_fixtures import T0, SharedCounts, transmitted

from rampfront.quota.codec import encode_deregistration
from rampfront.quota.limits import MS
from rampfront.quota.messages import Deregistration

junk = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=8) | st.dictionaries(st.sampled_from("lsgahtfwzpqb"), inner),
    max_leaves=12,
)


@settings(max_examples=200, deadline=None)
@given(junk, st.sampled_from(["l", "s", "g", "a", "h", "t", "f", "q", "b"]))
def test_invalid_messages_change_nothing(value, key):
    shared = SharedCounts("a")
    good = {"l": 5, "s": 9, "g": 7, "h": 1, "a": [["acme", 1, 1, 0, 0]], "t": [["acme", 1, 1, 0, 0, 1, 0]]}
    for message in (value, {**good, key: value}):
        for call in (
            lambda m: shared.counter.receive(shared.now, "x", m),
            lambda m: shared.limiters[0].receive(shared.now, m),
        ):
            with suppress(ValueError):
                call(message)
    assert shared.take(shared.limiters[0], 3) == 3


class CountingMachine(RuleBasedStateMachine):
    """Messages are lost, repeated and reordered, counters change or restart. Within one window the counter never counts
    more than was admitted, and once everything is exchanged it counts all of it."""

    @initialize()
    def begin(self):
        self.now = T0
        self.shared = SharedCounts("a", "b", now=T0, acme=(10**6, 50 * 10**6))  # a single window throughout
        self.admitted, self.in_flight = {t.link.incarnation: 0 for t in self.shared.limiters}, []

    @rule(i=st.integers(0, 1), n=st.integers(1, 3))
    def take(self, i, n):
        limiter = self.shared.limiters[i]
        self.admitted[limiter.link.incarnation] += self.shared.take(limiter, n)

    @rule(i=st.integers(0, 1), wait=st.integers(1, 400))
    def send(self, i, wait):
        self.shared.now += wait * MS
        if message := self.shared.limiters[i].due_update(self.shared.now):
            self.in_flight.append((i, self.shared.limiters[i], transmitted(message)))

    @rule(pick=st.integers(0, 50), keep=st.booleans(), answered=st.booleans())
    def receive(self, pick, keep, answered):
        if self.in_flight:
            i, limiter, message = self.in_flight[pick % len(self.in_flight)]
            if not keep:
                self.in_flight.remove((i, limiter, message))
            try:
                answer = self.shared.deliver(limiter.proxy_name, message)
            except ValueError:
                return
            if answered:
                limiter.receive(self.shared.now, answer)

    @rule()
    def switch_counter(self):
        self.shared.counter = self.shared.new_counter(self.shared.counter.incarnation + 1)
        self.in_flight.clear()  # they were sent to the former counter
        for limiter in self.shared.limiters:
            limiter.link.switch_counter(self.shared.now)

    @rule(i=st.integers(0, 1))
    def deregister_and_return(self, i):
        limiter = self.shared.limiters[i]
        self.shared.deliver(limiter.proxy_name, encode_deregistration(Deregistration(limiter.link.incarnation)))
        limiter.link.switch_counter(self.shared.now)

    @rule()
    def restart_counter(self):  # the counter restarts without notice
        self.shared.counter = self.shared.new_counter(self.shared.counter.incarnation + 1)

    @invariant()
    def never_counts_too_much(self):
        if hasattr(self, "shared"):
            assert self.shared.total() <= sum(self.admitted.values())

    def teardown(self):
        if hasattr(self, "shared"):
            for _ in range(60):
                self.shared.now += 100 * MS
                for limiter in self.shared.limiters:
                    self.shared.exchange(limiter)
            assert self.shared.total() == sum(self.admitted.values())


TestCounting = CountingMachine.TestCase
TestCounting.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
