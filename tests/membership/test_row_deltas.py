"""Tests of deltas of rows that arrive late, repeated, out of order or not at all."""

from operator import itemgetter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant
from hypothesis.stateful import rule as step

from rampfront.membership.deltas import DeltaHistory, DeltaMismatchError


class Replica(RuleBasedStateMachine):
    """A leader's changing rows, and a node that receives them late, repeated, out of order or not at all, as deltas to
    any of its versions. The replica is always a complete version of some leader, under its number, and never goes back.
    """

    @initialize()
    def begin(self):
        self.number, self.rows, self.leader, self.sent = 1, (("a", 1),), DeltaHistory(itemgetter(0), 2), []
        self.published = {}
        self.publish()
        self.replica, self.history = (0, ()), DeltaHistory(itemgetter(0), 2)

    def publish(self):
        self.leader.add(self.number, self.rows)
        self.published.setdefault(self.number, set()).add(self.rows)

    def changes(self, name, value, by):
        rows = {row[0]: row for row in self.rows}
        rows.pop(name, None) if value == 0 else rows.update({name: (name, value)})
        self.number, self.rows = self.number + by, tuple(sorted(rows.values()))
        self.publish()

    @step(name=st.sampled_from("abc"), value=st.integers(0, 2), by=st.integers(1, 2))
    def changes_a_row(self, name, value, by):
        self.changes(name, value, by)

    @step(number=st.sampled_from((0, 0, 1, 2, 9)))
    def another_leads(self, number):
        """The new leader continues from an older number, may reuse a number, and knows no older versions."""
        self.number, self.leader = max(1, self.number - number), DeltaHistory(itemgetter(0), 2)
        self.rows = (("y", 0), ("z", number))
        self.publish()
        self.changes("a", 1, 1)

    @step(back=st.integers(0, 1), now=st.booleans())
    def sends_an_update(self, back, now):
        base = max(0, self.replica[0] - back)
        delta = self.leader.delta_since(base)
        self.sent.append((self.number, base, delta) if delta else (self.number, None, self.rows))
        self.receive(0) if now else None

    @step(which=st.integers(0, 5))
    def receives_an_update(self, which):
        self.receive(which) if self.sent else None

    def receive(self, which):
        number, base, delta = self.sent[-1 - which % len(self.sent)]
        if number <= self.replica[0]:
            return
        try:
            rows = delta if base is None else self.history.apply(self.replica[0], delta)
        except DeltaMismatchError:
            return
        self.replica = number, rows
        self.history.add(number, rows)

    @step()
    def restarts(self):
        self.replica, self.history = (0, ()), DeltaHistory(itemgetter(0), 2)

    @invariant()
    def replica_is_a_published_version(self):
        number, rows = self.replica
        assert not number or rows in self.published[number]


Replica.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True)


TestReplica = Replica.TestCase
