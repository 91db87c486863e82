"""Slow start of servers."""

from itertools import pairwise

import pytest
from proxy_fixtures import SEC, ProxyHarness, configuration_bytes

from rampfront.settings import configuration_reader


def test_slow_start_lasts_as_long_as_the_service_says():
    proxy = ProxyHarness()
    configuration = configuration_reader.read(configuration_bytes().replace(b'"3s"', b'"6s"')).ok_value
    proxy.client_front.apply_caps(configuration.caps)
    proxy.request_proxy.apply_configuration(configuration)
    proxy.set_servers({"s1": ("one", "a1")}, cold={"s1": 6000})
    node = proxy.request_proxy.service_pools["one"].driver.node
    (server,) = node.servers.values()
    for try_id, wait, cold in (("t1", 4000, True), ("t2", 2500, False)):
        proxy.wait(wait)
        proxy.send_request(try_id=try_id)
        assert (node.readiness(server) < 1.0) is cold, try_id


@pytest.mark.parametrize("back", (False, True))
def test_a_server_in_slow_start_gets_this_proxys_part(back):
    """It gets at most this proxy's share of its rate in any second, and its full share of requests once it is warm.

    The same holds for a server whose zone is no longer evacuated (`back`): it may have cooled down, and the server list
    reports that only with a delay.
    """
    warm = {f"s{k}": ("one", "a1") for k in range(1, 5)}
    proxy, sent_at_s = ProxyHarness(warm), []
    if back:
        proxy.request_proxy.apply_evacuations(frozenset(["a2"]))
        proxy.set_servers(warm | {"s9": ("one", "a2")})
    for k in range(400):
        if k == 100:
            proxy.request_proxy.apply_evacuations(frozenset()) if back else proxy.set_servers(
                warm | {"s9": ("one", "a1")}, cold={"s9": 3000}
            )
        proxy.send_request(try_id=f"t{k}")
        if proxy.pending_server() == "s9":
            sent_at_s.append(proxy.now / SEC)
        proxy.wait(10)
        proxy.respond_to(f"t{k}")
        proxy.wait(10)
    early = [at for at in sent_at_s if at < 5]
    assert len(early) <= 3 and all(b - a >= 1 for a, b in pairwise(early))
    assert sum(at > 5.1 for at in sent_at_s) > 15
