"""Ranks of requests by the priorities of customers and routes."""

from types import SimpleNamespace

from rampfront.proxy.priorities import PriorityRanks


def test_a_customers_priority_goes_before_its_routes():
    routes = {b"/a/": SimpleNamespace(priority=1), b"/b/": SimpleNamespace(priority=2)}
    customers = {name: SimpleNamespace(priority=priority) for name, priority in (("x", 0), ("y", 1), ("z", 1))}
    hosts = {b"h": SimpleNamespace(routes=routes)}
    rank = PriorityRanks(SimpleNamespace(hosts=hosts, customers_by_name=customers)).rank
    assert [rank(1, 0), rank(2, 0), rank(1, 1), rank(2, 1)] == [0.0, 1 / 3, 2 / 3, 1.0]
    assert rank(1, None) == rank(1, 1) and rank(7, 7) == 0.0  # unknown priorities get the highest rank
    assert PriorityRanks(SimpleNamespace(hosts={}, customers_by_name={})).rank(0, None) == 0.0
