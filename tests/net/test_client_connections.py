"""Valid and invalid clients: runs of the whole program against simulated peers, with a simulated clock."""

from helper import Stage, target


def test_a_client_that_leaves_cancels_its_submissions():
    """The submissions of a disconnected client are cancelled, also while the connect to the server is pending."""
    s = Stage()
    s.ask(1)
    s.pipes["a"].cut()
    s.ways["s0"] = "silent"
    s.ask(2, client="b")
    s.pipes["b"].cut()
    s.ways.clear()
    s.settle()
    assert not s.driver.in_flight and not s.driver.servers.connections
    s.check("leaves")


def test_malformed_requests_are_refused_alone():
    """A malformed request gets a 4xx response and its connection is closed; other connections are not affected."""
    s = Stage()
    s.ask(0, client="b")
    malformed = [
        dict(X_Class="none"),
        dict(X_Tier=None),
        dict(Cookie="key=12"),
        dict(Cookie=None),
        dict(Cookie="key=0x00000000000012"),
        dict(X_Deadline_Ms=0),
        dict(X_Deadline_Ms="soon"),
        dict(X_Call_Terms="units=2"),
        dict(X_Call_Terms="units=9,spread=2,first=1"),
        dict(X_Call_Terms="units=1,spread=3,first=1"),
        dict(X_Request_Id=None),
        dict(X_Request_Id="i" * 300),
        dict(product="publish", Idempotency_Key=None),
        dict(more="X-Class: fetch\r\n"),
        dict(more="X: 1\r\n" * 4000),
        dict(more="X\r\n"),
        dict(more="X: " + "x" * 90000 + "\r\n"),
        dict(product="ledger", body="x" * 70000),
    ]
    for txn, fields in enumerate(malformed, 1):
        s.ask(txn, **fields)
    for raw in ("\x16\x03\x01", "PUT /api HTTP/1.1\r\nX-Request-Id: 9\r\n\r\n", "GET /-/other HTTP/1.1\r\n\r\n"):
        s.client().feed(raw)
    s.reply("s0")
    assert s.log.counts["malformed"] == len(malformed) + 2
    s.check("malformed")


def test_bad_clients_reach_no_server():
    """Requests with the id of an open transaction, an endless head, a wrong length or both framings are refused
    immediately, and nothing of them reaches a server. Connections that send nothing are closed, and idle ones later."""
    s = Stage()
    s.ask(1)
    s.ask(1, client="twin", product="publish")
    s.ask(2, client="b", product="ledger", more="Content-Length: 60000000\r\n")
    s.ask(3, client="b", product="ledger", more="Content-Length: -5\r\n")
    s.ask(4, client="b", product="ledger", more="Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
    s.ask(5, client="b", more="Content-Length: 3\r\n\r\nyes")
    for part in range(6):
        s.client("b").feed("GET /api HTTP/1.1\r\nX: " + "x" * 20000 if part == 0 else "x" * 20000)
    s.ask(6, client="b", X_Call_Terms="units=1,spread=2,first=2")
    s.ask(7, client="b", X_Call_Terms="units=nan,spread=2,first=1")
    s.ask(8, client="b", Cookie="key=0000000200000000")
    s.ask(9, client="b", X_Deadline_Ms="999999999")
    s.reply("s0")
    s.say("answered: its id may come again; a client that left frees it too")
    s.ask(1)
    s.pipes["a"].cut()
    s.ask(1, client="c")
    s.reply("s0")
    s.client("silent")
    s.client("slow").feed("GET /api HTTP/1.1\r\n")
    s.wait(6000)
    s.check("bad_clients")


def test_pipelined_and_incomplete_requests_are_refused():
    """Bytes after a request cause its refusal: it is cancelled if they arrive later, and not sent to a server if they
    arrive with it. An incomplete request is refused after its timeout."""
    s = Stage()
    s.ask(1)
    s.ask(2)
    s.ask(3, client="c", product="ledger", more="Content-Length: 2\r\n", body="")
    s.client("c").feed("no")
    s.reply("s0")
    s.ask(4, client="d", product="ledger", more="Content-Length: 2\r\n\r\nnot two")
    s.client("b").feed("POST /api HTTP/1.1\r\nX-Req")
    s.wait(11500)
    s.check("pipelined")


def test_a_slow_reader_is_closed():
    """A client that does not read its answer cannot send another request, and is disconnected after the timeout."""
    s = Stage()
    s.ask(1)
    s.reply("s0")
    s.pipes["a"].protocol.pause_writing()
    s.wait(11500)
    s.check("slow_reader")


def test_a_request_before_the_answer_is_read_is_refused():
    """Its input is read and discarded: bytes that wait in the kernel would count as memory of the machine."""
    s = Stage()
    s.ask(1)
    s.reply("s0")
    s.pipes["a"].protocol.pause_writing()
    s.ask(2)
    s.check("read_before_asking")


def test_idle_clients_make_room_before_newcomers_are_rejected():
    """At the limit of descriptors idle connections are closed first; if none is idle, the newest are rejected."""
    s = Stage(servers=22, limits={"sockets": 128})
    s.driver.servers.limits = s.driver.servers.limits._replace(max_server_connections=22)
    for k in range(22):
        s.ask(k, client=f"c{k}")
    s.lines.clear()
    s.ask(22, client="late")
    s.say("an idle one makes room; so it goes with connections to app servers")
    s.reply("s3")
    s.ask(23, client="later")
    s.say("hundreds that say nothing make room before an idle one, and are closed in the end")
    s.reply("s4")
    for k in range(8):
        s.wait(110)
        s.client(f"silent{k}")
    s.counts("clients_shed", "turned_away", "links_shed", "links_short")
    s.check("crowd")


def test_clients_that_stay_idle_make_room():
    """If more than a quarter of the descriptors are active clients, the connection idle longest is closed. The load
    balancer in front may hold a third of them and needs some for the next request. A connection with a pending request
    is never closed."""
    s = Stage(servers=9, limits={"sockets": 128})
    s.ask(0, client="first")
    first = s.pipes[s.out()]
    for k in range(1, 36):
        s.ask(k, client=f"c{k}")
        s.reply(s.out())
        s.wait(10)
    s.lines = [line for line in s.lines if "closed" in line]
    first.feed("HTTP/1.1 200 Said\r\nContent-Length: 5\r\n\r\nfirst")
    s.counts("clients", "clients_shed", "settled")
    s.check("ask_once")


def test_ready_only_with_a_server_list():
    """The node is ready only once it has a server list."""
    s = Stage(servers=0)
    s.client().feed("GET /-/ready HTTP/1.1\r\n\r\n")
    s.told(target(0))
    s.client().feed("GET /-/ready HTTP/1.1\r\n\r\n")
    s.check("ready")


def test_a_short_expiry_is_answered_before_the_counter():
    """A client whose deadline is shorter than the timeout of the counter is still answered in time."""
    s = Stage(
        Packages=[{"Name": "open"}, {"Name": "held", "PerSecond": 0.1, "StoreSize": 1.0}],
        Domain={"HasCounter": True, "CountWait": 400.0, "Largest": 4},
    )
    s.ask(1, plan="held", expiry=900)
    s.ask(2, client="b", plan="held", expiry=300)
    s.wait(1000)
    s.check("short_expiry")
