"""The retry budget."""

from proxy_fixtures import TWO_SERVERS, ProxyHarness, reset


def test_retries_stay_within_the_budget():
    """Retries stay within the ratio that requests earn, plus this proxy's share of the fleet's savings."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.refill_retry_budget = False
    for k in range(400):  # without failures: the savings reach their bound
        proxy.send_request(try_id=f"c{k}")
        proxy.respond(try_id=f"c{k}")
        proxy.wait(20)
    for k in range(100):
        proxy.send_request(client=f"f{k}", try_id=f"f{k}")
        while proxy.pending():
            reset(proxy)
        proxy.wait(20)
    terms, extra_attempts = proxy.process_settings.guarantees, proxy.log.counts["resent"] + proxy.log.counts["copies"]
    assert 10 < extra_attempts <= terms.retry_ratio * 100 + terms.extra_tries / 8
