"""Fixtures of the tests of `rampfront/node`."""

import pytest
from node_fixtures import build_node
from proxy_fixtures import ProxyHarness


@pytest.fixture
def node_process():
    """A node without a disk on a `ProxyHarness` with clients and servers."""
    loop = ProxyHarness()
    loop.stopped = []
    loop.stop = lambda: loop.stopped.append(loop.now)
    node = build_node(loop)
    node.client_front.server = loop
    loop.client_front, loop.request_proxy, loop.node_process = node.client_front, node.request_proxy, node
    node.tick()
    node.sweep()
    return node
