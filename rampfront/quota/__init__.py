"""Tenants' quotas, enforced over all proxies together by shared counts (Unkey's RFC 0015).

How counting works:

1. A tenant may make `PerS` requests a second and `Burst` above that; `limits.quota_of` turns this into a window length,
   a limit for each window and the depth of a token bucket.
2. Each proxy has a `Limiter`. It counts what it admits itself, and knows what the others admitted, in a sliding window
   of two fixed ones: this window's counts, plus the past one's by the share of it that the sliding window still covers.
3. `Limiter.take` decides on each request by those counts alone and asks nobody.
4. Off the request path, at a jittered tick or early in a surge, the proxy sends what its counts grew by since the last
   acknowledged update (`CounterUpdate`) to the counter: one node's `QuotaCounter`, chosen by `CounterPlacement`.
5. The counter adds it up, once for each sequence number, and answers with the totals of all proxies (`CounterTotals`).
6. The proxy raises its figure of the others' admissions to the total less its own part, if that is larger.
7. The counter also keeps a bucket for each tenant; as one runs low it announces its level to all proxies unasked.
8. Near the end of a quota a proxy admits a fraction of what it is asked, so that all proxies together meet the rate.
9. A proxy that nobody answers goes by an even share of the quota; the counter leaves missing proxies' shares to them.
10. Counts are shared, never verdicts, and only in memory: a new counter is sent the counts of both windows anew.

Reading order: `limits` (the quota), `messages` and `codec` (what is exchanged), then the proxy's side: `tenant_counts`,
`tenant_table`, `limiter` (the verdict), `counter_clock`, `update_schedule`, `counter_link` (the exchange); then the
counter's side: `slot_counts`, `tenant_totals`, `proxy_registry`, `counter`; last `counter_placement` (which node is the
counter).

No module does I/O or reads a clock: the caller passes the time, in nanoseconds of its own steady clock, and sends what
is returned. `docs/system/quotas.md` weighs the differences from the RFC and has the measured figures.
"""
