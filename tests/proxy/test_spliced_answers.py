"""The first bytes of a copy of an earlier answer come directly in front of the next answer on a connection.

Guards against a head that is made of two: the Not-Run of an earlier rejection refused a request that had run (review
case 5), and the status of an earlier success made a success of a failure (case 7).
"""

import pytest
from proxy_fixtures import WRITE, ProxyHarness

MAY_HAVE_RUN = 502
REJECTIONS = {
    "Not-Run first": b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nTry-Id: t1\r\nContent-Length: 0\r\n\r\n",
    "Try-Id first": b"HTTP/1.1 503 Full\r\nTry-Id: t1\r\nNot-Run: 1\r\nX-Note: a b c\r\nContent-Length: 0\r\n\r\n",
    "421": b"HTTP/1.1 421 Not me\r\nTry-Id: t1\r\nContent-Length: 0\r\n\r\n",
}
SUCCESS = b"HTTP/1.1 200 OK\r\nX-Note: a b c\r\nTry-Id: t1\r\nServer-Seal: s1\r\nContent-Length: 3\r\n\r\nyes"
FAILURE = b"HTTP/1.1 500 Broken\r\nTry-Id: t2\r\nServer-Seal: s2\r\nContent-Length: 6\r\n\r\nbroken"
SOUND = b"HTTP/1.1 200 OK\r\nTry-Id: t2\r\nServer-Seal: s2\r\nContent-Length: 4\r\n\r\ndone"


def answer_behind(broken_off: bytes, sound: bytes, parts: int = 1) -> int:
    """Sends a request that may run only once on a connection that was used before; the first bytes of a copy of an
    earlier answer come in front of its answer. Returns the status that the client gets, after one run."""
    proxy = ProxyHarness({"s1": ("one", "a1")})
    proxy.send_request(WRITE, try_id="t1")
    (connection,) = proxy.pending_connections()
    connection.take()
    connection.feed(SUCCESS)
    proxy.response()
    proxy.send_request(WRITE, try_id="t2")
    assert proxy.pending_connections() == [connection]
    connection.take()
    data = broken_off + sound
    middle = len(data) // parts
    connection.feed(data[:middle])
    if data[middle:] and not connection.closed:
        connection.feed(data[middle:])
    proxy.wait(6000)
    assert not proxy.pending_connections(), "it ran again"
    return proxy.response().status


@pytest.mark.parametrize("parts", [1, 2])
@pytest.mark.parametrize("earlier", REJECTIONS.values(), ids=REJECTIONS)
def test_a_broken_off_rejection_refuses_no_request_that_has_run(earlier: bytes, parts: int) -> None:
    for end in range(1, len(earlier)):
        assert answer_behind(earlier[:end], SOUND, parts) == MAY_HAVE_RUN, earlier[:end]


@pytest.mark.parametrize("parts", [1, 2])
def test_a_broken_off_success_makes_no_success_of_a_failure(parts: int) -> None:
    for end in range(1, len(SUCCESS)):
        assert answer_behind(SUCCESS[:end], FAILURE, parts) == MAY_HAVE_RUN, SUCCESS[:end]


@pytest.mark.parametrize("field", [b"Try-Id: t2", b"Server-Seal: s2", b"Not-Run: 1"])
def test_a_second_field_that_says_whose_answer_it_is_makes_the_answer_odd(field: bytes) -> None:
    head = b"HTTP/1.1 200 OK\r\nTry-Id: t2\r\nServer-Seal: s2\r\n%s\r\nNot-Run: 0\r\nContent-Length: 0\r\n\r\n"
    assert answer_behind(b"", head % field) == MAY_HAVE_RUN


def test_a_field_that_names_the_protocol_is_no_status_line() -> None:
    sound = SOUND.replace(b"Content-Length", b"Via: HTTP/1.1 gateway, 1.1 HTTP/1.0\r\nContent-Length")
    assert answer_behind(b"", sound) == 200
