"""Records for the tests of `rampfront/journal`."""

from rampfront.journal.records import Ending, Intent, Outcome

NOW_NS = 10**18


def intent(number, server="s1"):
    return Intent(number, NOW_NS + number, f"id{number}", "ledger-entry", "a", server, 0)


def outcome(number, ending=Ending.SUCCEEDED):
    return Outcome(number, NOW_NS + number + 10**6, ending)
