"""Counts of quotas between a proxy and the counter, as the process carries them."""

from node_fixtures import receive_update


def test_a_counter_without_tenants_does_not_answer(node_process):
    """A leader that starts again is still named as the holder: as long as it has no configuration it would answer that
    every tenant is idle, and each pilot would let in a whole quota."""
    add = {"k": "add", "m": {"l": 7, "s": 1, "a": [["ann", -1, 9, 0, 0]], "w": 1}}
    node_process.frame_dispatcher.dispatch("10.1.0.4", add)
    assert not [message for _, message in node_process.context.wire.sent if message["k"] == "sum"]
    receive_update(node_process, 5, customers=[{"Name": "ann", "ApiKeys": ["k"], "PerS": 5, "Burst": 5}])
    node_process.frame_dispatcher.dispatch("10.1.0.4", add)
    told = [message for ip, message in node_process.context.wire.sent if ip == "10.1.0.4" and message["k"] == "sum"][-1]
    assert [[*row[:3:2]] for row in told["m"]["t"]] == [["ann", 9]]
