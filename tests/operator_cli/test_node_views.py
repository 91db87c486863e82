"""The commands that print one node's view of servers, nodes and quotas."""

import pytest
from cli_fixtures import UNREACHABLE, A, B, quota_row, server_row


def test_servers_are_read_in_pages_from_one_node(scripted_nodes):
    scripted_nodes.put(A, servers_read=UNREACHABLE).put(
        B,
        servers_read=[
            (200, {"Servers": [server_row("i-1")], "ChangedMs": 5, "Next": "i-1"}),
            (200, {"Servers": [server_row("i-2", Emptied=True, ColdMs=2500)], "ChangedMs": 5, "Next": None}),
        ],
    )
    output = scripted_nodes.run("servers", "--of", "reads", at=(A, B))
    assert "i-1" in output and "zone emptied" in output and "2500 ms" in output and "2 servers" in output
    assert [row[0::2][:2] for row in scripted_nodes.received_calls] == [
        (A, {"of": "reads"}),
        (B, {"of": "reads"}),
        (B, {"of": "reads", "after": "i-1"}),
    ]


def test_pages_that_go_round_in_a_circle_end(scripted_nodes):
    scripted_nodes.put(A, servers_read=(200, {"Servers": [server_row("i-1")], "ChangedMs": 5, "Next": "i-1"}))
    assert "circle" in scripted_nodes.run("servers", code=1)


def test_quotas_report_a_node_that_counts_alone(scripted_nodes):
    scripted_nodes.put(A, quotas_read=(200, {"Quotas": [quota_row()], "Holder": None, "Alone": True}))
    output = scripted_nodes.run("quotas")
    assert "acme" in output and "held by nobody" in output and "its even part" in output


@pytest.mark.parametrize(
    ("command", "call", "field"), [("nodes", "nodes_read", "Nodes"), ("servers", "servers_read", "Servers")]
)
def test_a_view_of_a_node_that_is_out_of_touch_is_marked_as_stale(scripted_nodes, command, call, field):
    view = {field: [], "Next": None, "ChangedMs": 0}
    scripted_nodes.put(A, **{call: (200, {**view, "OutOfTouchMs": 20000})})
    assert "! this node is out of touch with the core for 20 s" in scripted_nodes.run(command)
    scripted_nodes.put(A, **{call: (200, {**view, "OutOfTouchMs": None})})
    assert "out of touch" not in scripted_nodes.run(command)
