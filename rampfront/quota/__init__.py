"""Tenants' quotas, enforced across all proxies by shared counts (Unkey's RFC 0015).

How counting works:

1. A tenant may send `PerS` requests a second and a `Burst` above that; `limits.quota_of` turns this into a window
   length, a limit per window and the depth of a token bucket.
2. Each proxy has a `Limiter`. It counts the requests that it admits, and knows those that the others admitted, in a
   sliding window of two fixed ones: the count of the current window, plus that of the previous one weighted by the
   share of it that the sliding window still covers.
3. `Limiter.take` decides on each request from these counts alone, without a remote call.
4. Off the request path, at a jittered tick or early in a surge, the proxy sends the increase of its counts since the
   last acknowledged update (`CounterUpdate`) to the counter: one node's `QuotaCounter`, chosen by `CounterPlacement`.
5. The counter adds it to its totals, once for each sequence number, and answers with the totals of all proxies
   (`CounterTotals`).
6. The proxy raises its count of the others' admissions to the total minus its own part, if that is larger.
7. The counter also keeps a token bucket for each tenant. As one runs low, the counter announces its level to all
   proxies unsolicited.
8. Near the end of a quota a proxy admits a fraction of the requests, so that all proxies together match the rate.
9. An isolated proxy, which no counter answers, uses an even share of the quota; the counter reserves the shares of
   missing proxies for them.
10. Proxies share counts, never decisions, and only in memory: a new counter is sent the counts of both windows again.

Reading order: `limits` (the quota), `messages` and `codec` (the protocol), then the proxy's side: `tenant_counts`,
`tenant_table`, `limiter` (the decision), `counter_clock`, `update_schedule`, `counter_link` (the exchange); then the
counter's side: `slot_counts`, `tenant_totals`, `proxy_registry`, `counter`; last `counter_placement` (which node is the
counter).

No module does I/O or reads a clock: the caller passes the time, in ns of its own steady clock, and sends the returned
messages. `docs/system/quotas.md` discusses the differences from the RFC and has the measurements.
"""
