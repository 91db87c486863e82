"""Every limit of the network code: sizes, counts and times, set once at start and handed down.

`NetworkLimits` are those of clients and servers, `HttpServerLimits` those of the calls of nodes and operators.
The limits keep the process inside its memory and its file descriptors. Figures that decide about a transaction do not
belong here: those stand in `choice.py`.
"""

from typing import NamedTuple

_MS = 10**6  # ns
_S = 10**9  # ns
_KIB = 1 << 10
_MIB = 1 << 20


class NetworkLimits(NamedTuple):
    """The limits of one process. Times are ns, sizes bytes."""

    # ---- connections

    max_clients: int
    """Client connections; past it idle ones are closed, and with none idle transactions are declined."""
    overflow_clients: int
    """Client connections past `max_clients` that are still answered."""
    max_active_clients: int
    """Client connections that brought a transaction; past it the one idle longest is closed."""
    max_server_connections: int
    """Connections to servers; past it idle ones are closed."""
    connect_timeout_ns: int
    """A connection to a server that is not up by then could not be made."""
    server_idle_timeout_ns: int
    """An idle connection to a server is closed by then, well before the server closes it."""
    listen_backlog: int = 1024

    # ---- messages

    max_head_bytes: int = 16 * _KIB
    max_body_bytes: int = 64 * _KIB
    max_response_bytes: int = 256 * _KIB
    """Of a server's response as it comes, with chunk framing and the 1xx responses in front of it."""
    max_streamed_bytes: int = 64 * _MIB
    """Of a response that is streamed to its client; larger ones are refused."""
    max_list_line_bytes: int = 4 * _MIB
    """Of one line of the server list."""
    read_buffer_bytes: int = 64 * _KIB
    """Of the one buffer that all connections are read into."""
    max_cached_call_terms: int = 1024
    """Texts of X-Call-Terms whose parsed form is kept."""

    # ---- clients

    answer_margin_ns: int = 5 * _MS
    """An answer is written this long before its client gives up."""
    client_idle_timeout_ns: int = 2 * _S
    """A client connection idle behind an answer is closed. The load balancer in front of us has a bounded number of
    connections, and clients that send once and stay would use them up."""
    first_request_timeout_ns: int = 2 * _S
    """A client connection that has brought no complete transaction since it was made is closed."""
    draining_first_request_timeout_ns: int = _S
    """The same while the node drains."""
    new_client_grace_ns: int = 100 * _MS
    """Past `max_clients`, a connection that has brought nothing for so long makes room."""
    request_read_timeout_ns: int = 2 * _S
    """A transaction that has begun and is not complete by then is given up."""
    write_timeout_ns: int = 5 * _S
    """An answer that its client does not take is given up."""
    max_expiry_ns: int = 600 * _S
    """No client waits longer."""

    # ---- servers

    health_check_timeout_ns: int = 250 * _MS
    response_read_timeout_ns: int = 150 * _MS
    """A response that has begun is complete by then, or broken."""
    stream_stall_timeout_ns: int = _S
    """A streamed response that makes no progress for so long is cut, with its client."""

    # ---- decisions

    reminder_slack_ns: int = 20 * _MS
    """A reminder of the decision module waits at most so long for another wake-up to share,"""
    reminder_slack_divisor: int = 50
    """and no longer than its own delay divided by this."""

    # ---- the counter and discovery

    counter_response_timeout_ns: int = _S
    """A counter's connection that owes a response for so long is replaced,"""
    counter_partial_timeout_ns: int = 100 * _MS
    """and one whose response has begun and does not go on."""
    counter_ping_interval_ns: int = 2 * _S
    """An idle counter connection is used this often, so that it is not closed."""
    max_pending_counter_calls: int = 4096
    """Calls that may wait on one counter connection."""
    discovery_silence_timeout_ns: int = 4500 * _MS
    """Discovery sends a heartbeat every 2 s, and regards its updates as delivered after 6 s."""
    min_reconnect_delay_ns: int = 50 * _MS
    """Before another connection to discovery; the delay is drawn between this and the next."""
    max_reconnect_delay_ns: int = 500 * _MS
    reconnect_delay_cap_ns: int = 4 * _S
    """Both double with each failure in a row, up to here."""

    # ---- the process

    shutdown_delay_ns: int = 500 * _MS
    """After SIGTERM: serve on as before."""
    shutdown_timeout_ns: int = 12 * _S
    """After SIGTERM: end whatever is left."""
    sweep_interval_ns: int = 250 * _MS
    """How often idle and stuck connections are looked for."""
    log_quiet_ns: int = 10 * _S
    """One log line for each event and subject in this time."""
    admin_timeout_ns: int = _S
    """An operator's call that is not complete by then is cut off: answers are due within a second."""
    max_admin_connections: int = 16
    """Operators' connections held at once; the oldest makes room."""


_RESERVED_DESCRIPTORS = 32  # for the listener, the loop, standard streams, counter and discovery
_OVERFLOW_DESCRIPTORS = 16


def compute_limits(descriptors: int, connect_timeout_ns: int, server_keepalive_ns: int) -> NetworkLimits:
    """Divides the file descriptors of an edge node among its connections.

    Servers get a third of the descriptors, as clients hold a third at most for transactions, and a few more for health
    checks. Client connections get the rest, since most of them are idle or bring nothing valid. At most a quarter may
    be active at once, which leaves some of the clients' third for newcomers.

    Args:
        descriptors: how many the process may have open.
        connect_timeout_ns: as in `NetworkLimits`.
        server_keepalive_ns: after how long a server closes an idle connection.
    """
    server_connections = descriptors // 3 + _OVERFLOW_DESCRIPTORS
    return NetworkLimits(
        max_clients=descriptors - _RESERVED_DESCRIPTORS - _OVERFLOW_DESCRIPTORS - server_connections,
        overflow_clients=_OVERFLOW_DESCRIPTORS,
        max_active_clients=descriptors // 4,
        max_server_connections=server_connections,
        connect_timeout_ns=connect_timeout_ns,
        server_idle_timeout_ns=2 * server_keepalive_ns // 3,
    )


class HttpServerLimits(NamedTuple):
    """The limits of an `HttpServer`. Times are ns, sizes bytes."""

    max_head_bytes: int = 16 * _KIB
    max_body_bytes: int = 8 * _MIB  # of an endpoint that declares no limit of its own
    max_buffered_body_bytes: int = 64 * _MIB  # of all bodies together, until their requests are responded to
    max_connections: int = 256  # past it the connection idle longest makes room
    head_timeout_ns: int = 3 * _S  # a head that has begun and is not complete by then is refused with 408
    body_timeout_ns: int = 10 * _S  # a request that is not complete by then is refused with 408
    idle_timeout_ns: int = 15 * _S  # a connection on which nothing is requested is closed
    response_timeout_ns: int = 30 * _S  # a request without a response for so long is cut off: its sender has left
    write_timeout_ns: int = 10 * _S  # a response of which its receiver takes nothing for so long is given up
    linger_timeout_ns: int = _S  # what comes behind a refusal is read and discarded for so long
    sweep_interval_ns: int = _S // 2  # how often the timeouts are checked; 0: the owner calls `sweep`
    listen_backlog: int = 256
    keep_alive: bool = True  # False: one request a connection
    plain_text_errors: bool = False  # the server's own error responses are plain text, else JSON
