"""The decision driver in runs of the whole program: reminders, exceptions and the size of tables."""

from typing import get_args

from helper import Stage

from rampfront import choice
from rampfront import terms as t
from rampfront.net.decision_driver import Effect, Input


def test_reminders_share_an_activation():
    """A reminder is delivered with the next input, and causes a wake-up only if there is none soon.

    The first read of a count is not delayed, since an account is limited to its split of the quota before it.
    """
    for other_inputs in (False, True):
        s = Stage()
        for txn in (0, 1):
            s.ask(txn, plan="held")
            s.reply("s0")
        s.wait(60)
        s.pipes["counter"].feed("$1\r\n2\r\n")
        s.ask(2, plan="held")
        s.reply("s0")
        for _ in range(140):
            s.wait(10)
            if other_inputs:
                s.driver.post(t.Probed(99, t.DONE, 0, {}))
        s.lines = [line for line in s.lines if "counter" in line]
        s.check("ride_along" if other_inputs else "ride_alone")


def test_a_fault_costs_the_transaction_that_it_struck():
    """After an exception in the node one transaction is voided and a line is logged; others are not affected."""
    s = Stage()
    s.ask(1)
    take, s.driver.node.take = s.driver.node.take, lambda now, told: 1 // 0
    s.reply("s0", 500)
    s.ask(2, client="b")
    s.driver.node.take = take
    s.ask(3)
    s.reply("s0")
    assert len(s.driver.in_flight) == 0 and s.log.counts["faults"] == 2
    s.check("fault")


def test_tables_do_not_grow_with_transactions():
    """No table grows with the number of transactions: timers, indices and names of ended ones are removed."""
    s = Stage()
    for k in range(3000):
        s.ask(k, expiry=9000)
        s.reply("s0")
    assert not s.driver.in_flight and s.driver.in_flight.transactions.capacity == 1 and not s.driver.waiting_inputs
    assert len(s.driver.timers) < 300 and s.log.counts["connects"] == 1


def test_inputs_and_effects_are_complete():
    """The driver executes every effect of `terms.py`, and the node accepts every input."""
    driver = Stage().driver
    assert set(driver._effect_handlers) == set(get_args(Effect))
    assert set(choice.HANDLERS) == {*get_args(Input), type(None)}
