"""Operators' calls over HTTP: invalid calls, and calls that the core does not answer."""

import json

import pytest
from http_server_fixtures import HttpCalls
from node_fixtures import LEADER, NodeHarness
from proxy_fixtures import configuration_bytes, rule

from rampfront.node.endpoints import build_control_calls


def rpc(name, body=b""):
    return b"POST /api/rpc?%s HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (name, len(body), body)


@pytest.mark.parametrize(
    ("text", "field"),
    [
        (rpc(b""), "call:"),
        (rpc(b"call=empty.start"), "of:"),
        (rpc(b"call=empty.start&of=z9"), "of:"),
        (rpc(b"call=empty.finish&of="), "of:"),
        (rpc(b"call=empty.start&of=a1&of=a2"), "of:"),
        (rpc(b"call=config.replace", b"{"), ""),
        (rpc(b"call=config.replace", b'{"Revision":"r7"}'), "Groups: missing"),
        (rpc(b"call=config.replace", configuration_bytes(7).replace(b'"r7"', b'"7"')), "Revision:"),
        (rpc(b"call=config.replace", configuration_bytes(3, rules=[rule("/x/", service="none")])), "Service"),
    ],
)
def test_a_faulty_call_is_rejected_by_its_field(text, field):
    """The answer is a 4xx with a JSON body, and no order reaches the core."""
    node = NodeHarness(leads=True)
    calls = HttpCalls(build_control_calls(node.process))
    ((status, head, body),) = calls.responses(calls.connect(text))
    assert 400 <= status < 500 and "application/json" in head and field in json.loads(body)["Message"]
    assert not node.core.orders


@pytest.mark.parametrize("name", [b"call=config.read", b"call=empty.start&of=a1", b"call=config.replace"])
def test_an_unreachable_core_is_answered_once_with_503(name):
    """The caller gets one 503 with a Retry-After within a second, or at once if the table of orders is full."""
    node = NodeHarness()
    calls = HttpCalls(build_control_calls(node.process))
    text = rpc(name, configuration_bytes(2) if b"replace" in name else b"")
    caller = calls.connect(text)
    node.loop.wait(950)
    for _ in range(257):
        last = calls.connect(text)
    for each in (caller, last):
        ((status, head, _),) = calls.responses(each)
        assert status == 503 and "retry-after: " in head
    node.receive_reply(LEADER, 1)
    node.loop.wait(3000)
    assert len(calls.responses(caller)) == 1
