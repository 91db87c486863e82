"""Sockets and timers of both programs: the edge node (`edge/`, `mqtt/`) and the system (`node/`, `proxy/`).

The package takes requests from clients and passes them to servers as `choice.Node` decides; it decides nothing itself.
Everything runs on one event loop. Parsers and readers do no I/O; connections are `asyncio` protocols. Times are
nanoseconds of one clock; a transaction is a client's request that has one answer.

To read, in this order:

1. `clock`, `timers`, `limits`, `event_log`, `latency_histogram` - what everything else stands on.
2. The way of a transaction. `exchange` is one transaction on its way. `client_listener` and `client_connection` take
   clients, and `transaction_listener` reads the edge node's transactions from them. `transaction_gateway` (with
   `transaction_request` and `call_terms`) accepts transactions and hands their answers back. `decision_driver` (with
   `decision_ports`) feeds the decision module and carries its effects out; `once_only` records what may run once
   before it leaves.
3. The way to servers. `server_connection_pool` has the servers (`server`) and the connections to them,
   `server_connection` is one of them, with `server_response_reader`, `server_response` and `socket_calls`.
   `streaming_connection` and `response_stream` pass on responses that are too large to keep. The pool sends the
   health checks, too.
4. Calls between nodes, operators and the platform. `http_server` serves them, with `http_server_connection`,
   `http_request_reader`, `http_routing` and `http_messages`; `http_client` makes them, with `http_response_reader`.
5. Shared by these: `connection_timeouts` ends connections of both listeners that are too slow, `http_status` has the
   codes, `http_parsing` the errors of the parser.

A request that is given up may have run. Every error says whether it may: `http_client.RequestError`, the ends of
submissions in `server_connection`, and the three answers of `exchange.AnswerReceiver`.
"""
