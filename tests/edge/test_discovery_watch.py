"""The watch on discovery: plays of the whole program against parties written from the protocol, without waiting."""

from helper import Stage, target


def test_the_node_serves_on_while_discovery_is_broken():
    """Cut off mid-line, silent, or odd: the node serves on from what it knows and joins again."""
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
    s.beats = False
    s.wait(8000)
    s.told(target(2), whole=True, rev=9)
    s.ask(1)
    s.check("discovery")


def test_a_full_discovery_is_polled_ever_more_rarely():
    """Discovery turns every watch away, as when most nodes come at once: the node serves on from its last list and
    asks ever more rarely, at drawn moments; what is told again ends that."""
    s = Stage(servers=1)
    s.beats = False
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
