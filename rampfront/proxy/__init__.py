"""The request path of the system: clients' connections, admission, attempts at servers, responses.

How a request goes through the modules:

1. `client_front.RequestConnection` reads it completely, within the configuration's limits, and hands it on as a
   `request.ReceivedRequest`.
2. `request_proxy.RequestProxy.handle_request` admits it or responds at once. `admission` checks identifier, route, key
   and time left; `routing` picks the service and the zones; the limiter of `quota/` judges the customer's quota. What
   this proxy answers by itself is one of the constants of `outcomes`, each of which says whether the request may have
   run.
3. An admitted request is a `request.ProxiedRequest`, whose state says what is known of its execution. `request_head`
   builds what servers get of it.
4. The `service_pool.ServicePool` of its service has a `choice.Node`, which decides on every attempt: which server, when
   to retry, when to hedge, when to give up. It decides by what it is given here: the terms (`attempt_policy`), the
   parts of the fleet's budgets (`budget_shares`), the rank (`priorities`), the weight of the path (`locality`), slow
   start (`slow_start`), and the servers themselves (`endpoints`).
5. `server_connections.ForwardingConnection` sends an attempt and reads the response (`server_response_reader`,
   `server_response`). `idle_reuse` says which idle connections may carry it. How it ended goes three ways: to the node,
   to the request's state, and by `health_observation` to the fleet's view of the servers' health.
6. The node's effects come back to `RequestProxy`: `complete` forwards a server's response, `decline` and `void` respond
   for the proxy. A client that goes before that cancels its request (`ProxiedRequest.cancel`), and with it every
   attempt.

Beside the requests, `node/` hands `RequestProxy` the snapshots that it goes by: configuration, server list,
evacuations, number of proxies, verdicts on servers' health (`apply_...`).

Read `outcomes` and `request` first, then `request_proxy`, then whichever step is of interest. Only `client_front` and
`server_connections` do I/O.
"""
