"""The exchange of quota counts between a proxy and the counter in a whole process."""

from node_fixtures import receive_update


def test_a_counter_without_tenants_does_not_answer(node_process):
    """Proxies still send their counts to a node that has restarted. If it answered before it has a configuration, every
    tenant would appear idle, and each proxy would admit a whole quota."""
    add = {"k": "add", "m": {"l": 7, "s": 1, "a": [["ann", -1, 9, 0, 0]], "w": 1}}
    node_process.frame_dispatcher.dispatch("10.1.0.4", add)
    assert not [message for _, message in node_process.context.wire.sent if message["k"] == "sum"]
    receive_update(node_process, 5, customers=[{"Name": "ann", "ApiKeys": ["k"], "PerS": 5, "Burst": 5}])
    node_process.frame_dispatcher.dispatch("10.1.0.4", add)
    answer = [message for ip, message in node_process.context.wire.sent if ip == "10.1.0.4" and message["k"] == "sum"][
        -1
    ]
    assert [[*row[:3:2]] for row in answer["m"]["t"]] == [["ann", 9]]
