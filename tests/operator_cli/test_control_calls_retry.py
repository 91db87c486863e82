"""The retries of a call at several nodes, and the messages when none answers."""

import pytest
from cli_fixtures import SILENT, UNREACHABLE, A, B, C, configuration, node_row


def test_a_call_is_retried_at_other_nodes_past_failures_time_outs_and_busy_nodes(scripted_nodes, file):
    scripted_nodes.put(A, config_replace=UNREACHABLE).put(B, config_replace=[SILENT, (429, {"Message": "later"})])
    scripted_nodes.put(C, config_replace=[(503, {}), (200, {})], config_read=(200, configuration()))
    assert "r1 is acknowledged by 127.0.0.3:1" in scripted_nodes.run("apply", file(configuration()), at=(A, B, C))
    calls = [row for row in scripted_nodes.received_calls if row[1] == "config.replace"]
    assert [row[0] for row in calls] == [A, B, C, A, B, C] and len(
        {row[3] for row in calls}
    ) == 1  # every attempt sends the same body


def test_redirections_are_followed_up_to_a_limit(scripted_nodes):
    redirection = {b"location": f"http://{B}/api/rpc?call=nodes.read".encode()}
    scripted_nodes.put(A, nodes_read=(307, {}, redirection)).put(
        B, nodes_read=(200, {"Nodes": [node_row("n2", "127.0.0.2", B)]})
    )
    assert "n2" in scripted_nodes.run("nodes")
    scripted_nodes.put(B, nodes_read=(307, {}, redirection))
    assert "307" in scripted_nodes.run("nodes", code=3)


def test_without_an_answer_it_prints_why_for_each_node_and_whether_the_order_may_have_run(scripted_nodes):
    scripted_nodes.put(A, empty_start=UNREACHABLE).put(B, empty_start=UNREACHABLE)
    output = scripted_nodes.run("evacuate", "z1", at=(A, B), code=3)
    assert (
        f"{A}: {UNREACHABLE}; {B}: {UNREACHABLE}" in output
        and "it was not taken" in output
        and scripted_nodes.now <= 6.0
    )
    scripted_nodes.put(B, empty_start=SILENT)
    assert "may have been taken; order it again" in scripted_nodes.run("evacuate", "z1", at=(A, B), code=3)


@pytest.mark.parametrize(
    "at, message", [((), "--at host:port, or set RAMPFRONT_CONTROL"), (("host",), "127.0.0.1:8381")]
)
def test_without_an_address_it_prints_what_to_do(scripted_nodes, at, message):
    assert message in scripted_nodes.run("nodes", at=at, code=2)


def test_an_answer_without_a_required_field_is_reported(scripted_nodes):
    scripted_nodes.put(A, nodes_read=(200, {"Nodes": [{"Name": "n1"}]}))
    assert "Ip is missing" in scripted_nodes.run("nodes", code=1)
    scripted_nodes.put(A, nodes_read=(200, b"<html>"))
    assert "127.0.0.1:1 says 200" in scripted_nodes.run("nodes", code=1)
    scripted_nodes.put(A, nodes_read=(404, {"Message": "call: 'nodes.read' is not known"}))
    assert "a version without this call" in scripted_nodes.run("nodes", code=1)
