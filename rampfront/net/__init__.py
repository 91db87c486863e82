"""Sockets and timers of both programs: the edge node (`edge/`, `mqtt/`) and the system (`node/`, `proxy/`).

The package receives requests from clients and forwards them to servers as `choice.Node` decides; it makes no decisions
itself. Everything runs on one event loop. Parsers and readers do no I/O; connections are `asyncio` protocols. Times are
nanoseconds of one clock. A transaction is a client's request that has exactly one answer.

Modules, in reading order:

1. Foundations: `clock`, `timers`, `limits`, `event_log`, `latency_histogram`, `listening`.
2. The path of a transaction from and to its client. `exchange` is the state of one transaction in progress.
   `client_listener` and `client_connection` accept clients, and `transaction_listener` reads the edge node's
   transactions from them. `transaction_gateway` (with `transaction_request` and `call_terms`) accepts transactions and
   returns their answers. `decision_driver` (with `decision_ports`) passes inputs to the decision module and executes
   its effects; `once_only` records once-only submissions before they are sent.
3. The path to servers. `server_connection_pool` holds the servers (`server`) and the connections to them.
   `server_connection` is one connection; it uses `server_response_reader`, `server_response` and `socket_calls`.
   `streaming_connection` and `response_stream` forward responses that are too large to buffer. The pool also sends the
   health checks.
4. Calls between nodes, operators and the platform. `http_server` serves them, with `http_server_connection`,
   `http_request_reader`, `http_routing` and `http_messages`; `http_client` makes them, with `http_response_reader`.
5. Shared by the above: `connection_timeouts` ends slow connections of both listeners, `http_status` has the status
   codes, `http_parsing` translates the errors of the parser.

A request that is abandoned may have run. Every error says whether this is possible: `http_client.RequestError`, the
outcomes of submissions in `server_connection`, and the three answers of `exchange.AnswerReceiver`.
"""
