"""The load that servers report with their responses."""

import pytest
from proxy_fixtures import ProxyHarness


@pytest.mark.parametrize("load", ("3,0,8", "3,0", "3,0,0", "a,b,c", "-1,0,8", "1e9,0,8", "99999999,0,8", "", "3, 0, 8"))
def test_an_invalid_load_report_is_ignored(load):
    """The response is still returned, and later requests are served."""
    proxy = ProxyHarness({"s1": ("one", "a1")})
    for k in range(3):
        proxy.send_request(try_id=f"t{k}")
        proxy.respond(try_id=f"t{k}", more=f"Server-Load: {load}\r\n")
        assert proxy.response().status == 200
    assert not proxy.log.counts["faults"] and not proxy.log.counts["odd_answers"]
