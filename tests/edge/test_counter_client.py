"""The counter's client: the whole program runs on a simulated clock against peers written from the protocol."""

from helper import Stage


def test_responses_come_in_order_and_silent_connections_are_replaced():
    """Replies are matched in order, and a reply after the client's timeout is dropped. A connection without data, or
    with an invalid or incomplete reply, is replaced."""
    s = Stage()
    s.ask(0, plan="held")
    s.reply("s0")
    s.ask(1, plan="held")
    s.wait(80)
    s.pipes["counter"].feed("$1\r\n2\r\n")
    s.say("times out; its late answer is dropped, the next one counts")
    for k in range(2, 5):
        s.reply("s0")
        s.ask(k, plan="held")
    s.wait(100)
    s.pipes["counter"].feed("$1\r\n4\r")
    s.pipes["counter"].feed("\n")
    s.ask(5, client="b", plan="held")
    s.say("silent: replaced")
    s.sends_heartbeats = False
    s.wait(2700)
    s.say("answers that are none, at once; one that has begun and does not go on")
    for k, text in enumerate(
        ("HTTP/1.1 400 Bad\r\n", "\x00\x01", "$3\r\nnan\r\n", "$3\r\n1_0\r\n", "$1\r\n12345", "$-1\r\n", "$90\r\n1.")
    ):
        s.driver.counter.add(50 + k, 1, 10**9)
        s.pipes["counter"].feed(text)
    s.wait(300)
    s.driver.counter.add(60, 1, 10**9)
    s.pipes["counter"].feed(":12\r\n")
    s.counts("adds", "adds_timed_out", "adds_refused", "counter_connects")
    s.check("counter")


def test_a_break_after_the_call_may_have_added():
    """BUSY and a refused connection count as not applied; a break after the call was written may have applied it."""
    s = Stage()
    reports = []
    s.driver.counted = lambda name, total, outcome, duration: reports.append((name, total, outcome))
    counter = s.driver.counter
    counter.add(1, 2.5, 4 * 10**9)
    s.pipes["counter"].feed("-BUSY later\r\n")
    counter.add(2, 1, 10**6)
    s.pipes["counter"].cut()
    s.ways["counter"] = "refuses"
    counter.add(3, 1, 10**6)
    s.settle()
    s.ways["counter"] = "silent"
    counter.add(4, 1, 10**6)
    s.wait(100)
    s.ways.clear()
    s.settle()
    counter.add(5, -1.25, 10**6)
    s.pipes["counter"].feed("$4\r\n-1.2\r\n")
    s.note(f"told {reports}")
    s.check("counter_breaks")
