"""Differences between versions of rows, late, twice, out of order or lost."""

from operator import itemgetter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant
from hypothesis.stateful import rule as step

from rampfront.membership.deltas import DeltaHistory, DeltaMismatchError


class Replica(RuleBasedStateMachine):
    """A leader's rows as they change, and a node that is sent them late, twice, out of order or not at all, as
    differences to whatever it held. What it holds is always a complete version of some leader, under its number,
    and never an older one.
    """

    @initialize()
    def begin(self):
        self.number, self.rows, self.leader, self.sent = 1, (("a", 1),), DeltaHistory(itemgetter(0), 2), []
        self.made = {}
        self.put()
        self.held, self.history = (0, ()), DeltaHistory(itemgetter(0), 2)

    def put(self):
        self.leader.add(self.number, self.rows)
        self.made.setdefault(self.number, set()).add(self.rows)

    def changes(self, name, value, by):
        rows = {row[0]: row for row in self.rows}
        rows.pop(name, None) if value == 0 else rows.update({name: (name, value)})
        self.number, self.rows = self.number + by, tuple(sorted(rows.values()))
        self.put()

    @step(name=st.sampled_from("abc"), value=st.integers(0, 2), by=st.integers(1, 2))
    def changes_a_row(self, name, value, by):
        self.changes(name, value, by)

    @step(number=st.sampled_from((0, 0, 1, 2, 9)))
    def another_leads(self, number):
        """It numbers from where it stood, may use a number that the other one used, and knows no older versions."""
        self.number, self.leader = max(1, self.number - number), DeltaHistory(itemgetter(0), 2)
        self.rows = (("y", 0), ("z", number))
        self.put()
        self.changes("a", 1, 1)

    @step(back=st.integers(0, 1), now=st.booleans())
    def tells(self, back, now):
        held = max(0, self.held[0] - back)
        since = self.leader.delta_since(held)
        self.sent.append((self.number, held, since) if since else (self.number, None, self.rows))
        self.hear(0) if now else None

    @step(which=st.integers(0, 5))
    def hears(self, which):
        self.hear(which) if self.sent else None

    def hear(self, which):
        number, base, delta = self.sent[-1 - which % len(self.sent)]
        if number <= self.held[0]:
            return
        try:
            whole = delta if base is None else self.history.apply(self.held[0], delta)
        except DeltaMismatchError:
            return
        self.held = number, whole
        self.history.add(number, whole)

    @step()
    def starts_again(self):
        self.held, self.history = (0, ()), DeltaHistory(itemgetter(0), 2)

    @invariant()
    def it_holds_a_whole_that_was_made(self):
        number, whole = self.held
        assert not number or whole in self.made[number]


Replica.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True)


TestReplica = Replica.TestCase
