"""The budget of retries."""

from proxy_fixtures import TWO_SERVERS, ProxyHarness, reset


def test_retries_stay_within_the_budget():
    """However many fail, repeats stay within what they earn and a part of what the fleet may save up."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.refill_retry_budget = False
    for k in range(400):  # calm: what is saved up has an end
        proxy.send_request(try_id=f"c{k}")
        proxy.respond(try_id=f"c{k}")
        proxy.wait(20)
    for k in range(100):
        proxy.send_request(client=f"f{k}", try_id=f"f{k}")
        while proxy.pending():
            reset(proxy)
        proxy.wait(20)
    terms, again = proxy.process_settings.guarantees, proxy.log.counts["resent"] + proxy.log.counts["copies"]
    assert 10 < again <= terms.retry_ratio * 100 + terms.extra_tries / 8
