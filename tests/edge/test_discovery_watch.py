"""The watch on discovery: the whole program runs on a simulated clock against peers written from the protocol."""

from helper import Stage, target


def test_the_node_serves_on_while_discovery_is_broken():
    """When the watch breaks within a line, becomes silent or sends invalid data, the node continues to serve with the
    last list, and reconnects."""
    s = Stage(servers=2)
    s.told(target(0, "terminating"), rev=2)
    s.pipes["discovery"].feed('40\r\n{"rev":3,"all":tr')
    s.pipes["discovery"].cut()
    s.wait(600)
    s.told(target(0, "terminated"), target(1), rev=5)
    s.pipes["discovery"].feed('6\r\n{"re"\n\r\n')
    s.wait(600)
    s.say("beats, then silence")
    s.wait(4000)
    s.sends_heartbeats = False
    s.wait(8000)
    s.told(target(2), whole=True, rev=9)
    s.ask(1)
    s.check("discovery")


def test_a_full_discovery_is_polled_ever_more_rarely():
    """Discovery rejects every watch, as when most nodes connect at once. The node continues to serve with its last list
    and retries with a growing, random delay."""
    s = Stage(servers=1)
    s.sends_heartbeats = False
    s.pipes["discovery"].cut()
    for _ in range(200):
        s.wait(100)
        pipe = s.pipes["discovery"]
        if not pipe.closed:
            pipe.feed("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
    s.lines = [line for line in s.lines if "<" in line]
    s.ask(1)
    s.reply("s0")
    s.check("discovery_full")
