"""The write-ahead rule: no submission is sent before its intent is durable."""

from rampfront.journal.write_ahead_rule import IntentEffect, WriteAheadRule, WriteResult


def test_nothing_leaves_before_its_intent_is_durable():
    rule = WriteAheadRule(max_waiting=3)
    assert [rule.add(number) for number in range(4)] == [True, True, True, False]  # at most `max_waiting`
    assert rule.withdraw(1) and not rule.withdraw(1)
    assert rule.write_ended(WriteResult.DURABLE, [0, 1, 2]) == (
        [(0, IntentEffect.SEND), (1, IntentEffect.RECORD_NOT_RUN), (2, IntentEffect.SEND)],
        False,
    )
    assert not rule.withdraw(0) and len(rule) == 0
    rule.add(5)
    rule.add(6)
    rule.withdraw(6)
    assert rule.write_ended(WriteResult.FAILED, [5, 6]) == ([(5, IntentEffect.REFUSE)], True)
    assert not rule.accepts_intents() and not rule.add(7)
    assert rule.write_ended(WriteResult.FAILED, []) == ([], False)
    assert rule.write_ended(WriteResult.DURABLE, []) == ([], True)
    assert rule.accepts_intents()
