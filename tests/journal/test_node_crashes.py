"""The journal of node processes that are killed, or whose disk is full."""

import http.client
import resource
import threading
import time

import pytest

from rampfront.journal.journal_reader import read_journal
from rampfront.lab.crash import Harness


@pytest.mark.slow(33)
def test_killed_nodes_and_servers_agree_on_every_once_only_transaction(tmp_path):
    report = Harness(tmp_path, 7).play(50)
    assert report["disagreements"] == [] and report["in_doubt"] > 20 and report["refused_again"] > 20
    assert report["settled"] > 500


def send_transaction(connection, transaction_id, product="ledger-entry"):
    """Sends one transaction, reads the response and returns it."""
    connection.request(
        "POST",
        f"/api?a=0&u=1&p=0&x={transaction_id}",
        headers={
            "X-Request-Id": transaction_id,
            "X-Class": product,
            "X-Tier": "open",
            "Cookie": "key=00000000b4d65521",
            "X-Deadline-Ms": "2000",
            "X-Call-Terms": "units=1,spread=1,first=0",
        },
    )
    response = connection.getresponse()
    response.read()
    return response


@pytest.mark.slow(3)
def test_a_full_disk_declines_once_only_transactions_serves_the_others_and_recovers(tmp_path):
    harness = Harness(tmp_path, 3)
    thread = threading.Thread(target=harness.loop.run_forever)
    node = harness.node.start().wait_until_ready()
    thread.start()
    try:
        connection = http.client.HTTPConnection(node.listen, timeout=5)
        assert send_transaction(connection, "a").status == 200
        resource.prlimit(node.process.pid, resource.RLIMIT_FSIZE, (4096, resource.RLIM_INFINITY))
        responses = [send_transaction(connection, f"b{number}") for number in range(60)]
        declined = [response for response in responses if response.status == 429]
        assert len(declined) > 10 and {response.status for response in responses} == {200, 429}
        assert responses[-1].getheader("Retry-After") and responses[-1].status == 429
        ran = dict(harness.emulator.executions.once_only_counts)
        assert all(f"b{number}" not in ran for number, response in enumerate(responses) if response.status == 429)
        resource.prlimit(node.process.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
        deadline = time.monotonic() + 5
        while send_transaction(connection, f"c{deadline - time.monotonic():.3f}").status != 200:
            assert time.monotonic() < deadline
            time.sleep(0.1)
        node.end()
        assert max(harness.emulator.executions.once_only_counts.values()) == 1 and node.totals()["journal_refused"] >= 1
        found = read_journal(tmp_path / "journal-0")
        assert not found.damage
        recorded = {entry.intent.transaction_id for entry in found.entries.values()}
        assert recorded >= set(harness.emulator.executions.once_only_counts)
    finally:
        node.end()
        harness.loop.call_soon_threadsafe(harness.loop.stop)
        thread.join()
