"""Servers that send an answer twice, the second copy some milliseconds late. Answers on this wire have no ids."""

from helper import Stage

COPY_DELAY_MS = 5
ACCOUNT_TERMS = {"product": "ledger", "plan": "open"}
REJECTION = "HTTP/1.1 503 Said\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
ANSWER = "HTTP/1.1 200 Said\r\nContent-Length: 5\r\n\r\nfirst"


def copy_to_next_submission(first_answer):
    """Answers a transaction; the copy of the answer comes while the next submission is in flight."""
    stage = Stage()
    stage.ask(1, **ACCOUNT_TERMS)
    connection = stage.pipes["s0"]
    connection.feed(first_answer)
    if not stage.driver.in_flight:  # it was not sent again
        stage.ask(2, client="b", **ACCOUNT_TERMS)
    stage.lines.clear()
    stage.wait(COPY_DELAY_MS)
    if not connection.closed:
        connection.feed(first_answer)
    return stage


def test_a_late_copy_of_a_rejection_refuses_no_transaction_that_runs():
    stage = copy_to_next_submission(REJECTION)
    assert stage.log.counts["declined"] == 0 and stage.log.counts["submissions"] == 2, stage.lines


def test_a_late_copy_of_an_answer_is_not_returned_to_another_client():
    stage = copy_to_next_submission(ANSWER)
    assert stage.log.counts["settled"] == 1, stage.lines


def test_a_connection_is_used_again_once_a_copy_of_a_rejection_would_have_come():
    stage = Stage()
    stage.ask(1, **ACCOUNT_TERMS)
    connection = stage.pipes["s0"]
    connection.feed(REJECTION)
    stage.reply("s0")
    stage.wait(100)
    stage.ask(2, **ACCOUNT_TERMS)
    stage.ask(3, client="b", **ACCOUNT_TERMS)
    assert stage.log.counts["connects"] == 2 and connection.protocol.exchange
