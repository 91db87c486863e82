"""The request path of the system: clients' connections, admission, attempts at servers, responses.

A request passes through the modules in this order:

1. `client_front.RequestConnection` reads the complete request, within the configuration's limits, and passes it on as a
   `request.ReceivedRequest`.
2. `request_proxy.RequestProxy.handle_request` admits the request or responds immediately. `admission` checks the
   identifier, the route, the key and the time left; `routing` picks the service and the zones; the limiter of `quota/`
   checks the customer's quota. Each response that this proxy generates itself is one of the constants of `outcomes`,
   which state whether the request may have been executed.
3. An admitted request is a `request.ProxiedRequest`, whose state records what is known about its execution.
   `request_head` builds the head that is sent to servers.
4. The `service_pool.ServicePool` of the request's service has a `choice.Node`, which decides on every attempt: which
   server, when to retry, when to hedge, when to give up. This package supplies the inputs of its decisions: the terms
   (`attempt_policy`), the shares of the fleet's budgets (`budget_shares`), the request's rank (`priorities`), the
   locality weight (`locality`), slow start (`slow_start`), and the servers themselves (`endpoints`).
5. `server_connections.ForwardingConnection` sends an attempt and reads the response (`server_response_reader`,
   `server_response`). `idle_reuse` determines which idle connections may carry it. The outcome of the attempt is
   reported to the node, to the request's state, and by `health_observation` to the fleet's view of server health.
6. The node's effects are carried out by `RequestProxy`: `complete` forwards a server's response, `decline` and `void`
   send a response of this proxy. A client that disconnects earlier cancels its request (`ProxiedRequest.cancel`), and
   with it every attempt.

Independently of requests, `node/` passes `RequestProxy` the snapshots that it works from: configuration, server list,
evacuations, number of proxies, verdicts on server health (`apply_...`).

Read `outcomes` and `request` first, then `request_proxy`, then the step of interest. Only `client_front` and
`server_connections` do I/O.
"""
