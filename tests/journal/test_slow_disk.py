"""Once-only transactions while the journal's writes do not complete."""

from helper import Stage

from rampfront.net.once_only import OnceOnlyGate


class StalledJournal:
    """A journal whose writes end only when the test calls `send`."""

    def __init__(self):
        self.pending, self.in_doubt_ids, self.withdrawn, self.outcomes = {}, set(), [], []

    def accepts_intents(self):
        return True

    def record_intent(self, exchange, attempt, server, pending):
        self.pending[len(self.pending)] = pending
        return len(self.pending) - 1

    def withdraw(self, number):
        self.withdrawn.append(number)
        return True

    def record_outcome(self, number, outcome):
        self.outcomes.append((number, outcome))


def test_a_transaction_that_waits_for_the_disk_is_answered_in_time_and_never_leaves_late():
    s = Stage(servers=4)
    journal = StalledJournal()
    gate = OnceOnlyGate(journal, s.driver.timers, s.driver.servers, s.driver.submission_ended)
    s.driver.once_only_gate = gate
    s.ask(1, product="ledger", expiry=400)
    s.ask(2, product="ledger", client="b")
    assert s.out() is None and len(journal.pending) == 2 and s.log.counts["submissions"] == 2
    s.ask(3, product="fetch", client="c")
    s.reply(s.out())  # other transactions do not wait for the journal
    s.pipes["b"].protocol.connection_lost(None)  # its client has disconnected, so it is withdrawn and never sent
    s.settle()
    assert 1 in journal.withdrawn
    s.wait(450)
    assert 0 in journal.withdrawn and s.log.counts["settled"] == 1
    assert s.log.counts["declined"] + s.log.counts["voided"] == 1 and s.out() is None
    s.ask(4, product="ledger", client="d")
    gate.send(*[(number, pending) for number, pending in journal.pending.items() if pending.exchange.id == b"4"][0])
    s.settle()
    s.reply(s.out())
    assert len(journal.outcomes) == 1 and not s.driver.in_flight.transactions
