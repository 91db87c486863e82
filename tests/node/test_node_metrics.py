"""The metrics of a node."""

from node_fixtures import build_node, receive_update
from proxy_fixtures import MS


def test_polls_leases_and_requests_are_counted(node_process):
    """Failed polls of the server list; ages of the lease, sampled ten times a second; durations of requests and
    answers."""
    loop = node_process.context.loop
    polling_node = build_node(loop, platform_address=("10.9.9.9", 80))
    polling_node.server_list.poller.callbacks.on_failure("status 429")
    assert polling_node.context.counts["server_lists_failed"] == 1 and not sum(polling_node.lease.sampled_ages.counts)
    receive_update(node_process, 1, servers=(1, ["s1"]))
    loop.wait(1000)
    assert sum(node_process.lease.sampled_ages.counts) in (10, 11) and node_process.lease.sampled_ages.counts[-1] == 0
    loop.send_request()
    loop.wait(30)
    loop.respond()
    assert (
        node_process.request_proxy.request_durations.counts[5]
        == node_process.request_proxy.response_durations.counts[5]
        == 1
    )  # 25 to 50 ms
    assert (
        sum(node_process.request_proxy.request_durations.counts) == 1
        and 30 * MS
        <= node_process.request_proxy.response_durations.total_ns
        <= node_process.request_proxy.request_durations.total_ns
    )
