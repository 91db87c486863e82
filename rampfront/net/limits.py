"""All limits of the network code: sizes, counts and times, set once at start.

`NetworkLimits` applies to clients and servers, `HttpServerLimits` to the calls of nodes and operators. The limits keep
the process within its memory and its file descriptors. Constants that affect decisions about transactions are not
defined here but in `choice.py`.
"""

from typing import NamedTuple

from .memory_account import MemoryAccount

_MS = 10**6  # ns
_S = 10**9  # ns
_KIB = 1 << 10
_MIB = 1 << 20


class NetworkLimits(NamedTuple):
    """The limits of one process. Times are ns, sizes bytes."""

    # ---- connections

    max_clients: int
    """The maximum number of client connections. Past it idle ones are closed, or else transactions are declined."""
    overflow_clients: int
    """The number of client connections beyond `max_clients` that still get a response."""
    max_active_clients: int
    """The maximum number of client connections that have sent a request. Past it the one idle longest is closed."""
    max_server_connections: int
    """The maximum number of connections to servers. Past it idle ones are closed."""
    connect_timeout_ns: int
    """The timeout of a connect to a server."""
    server_idle_timeout_ns: int
    """An idle connection to a server is closed after this time, well before the server closes it."""
    rejection_copy_window_ns: int = 0
    """An idle connection to a server is not used for this time after a rejection: the server may send it twice, the
    second copy late, and on a wire whose answers have no ids that would be taken for a rejection of the next one."""
    listen_backlog: int = 1024

    # ---- messages

    max_head_bytes: int = 16 * _KIB
    max_body_bytes: int = 64 * _KIB
    max_response_bytes: int = 256 * _KIB
    """The maximum size of a server's raw response, including chunk framing and preceding 1xx responses."""
    max_streamed_bytes: int = 64 * _MIB
    """The maximum size of the body of a streamed response. Larger responses are refused."""
    max_list_line_bytes: int = 4 * _MIB
    """The maximum size of one line of the server list."""
    read_buffer_bytes: int = 64 * _KIB
    """The size of the buffer that all connections read into."""
    max_cached_call_terms: int = 1024
    """The number of X-Call-Terms values whose parsed form is cached."""

    # ---- clients

    answer_margin_ns: int = 5 * _MS
    """An answer is written this long before its client's deadline."""
    client_idle_timeout_ns: int = 2 * _S
    """A client connection that is idle for this long after an answer is closed. The load balancer in front has a
    limited number of connections, which clients that send one request and stay connected would use up."""
    first_request_timeout_ns: int = 2 * _S
    """A client connection that has sent no complete request this long after the connect is closed."""
    draining_first_request_timeout_ns: int = _S
    """Limits `first_request_timeout_ns` while the node drains."""
    new_client_grace_ns: int = 100 * _MS
    """Past `max_clients`, a new connection may be closed once it has sent nothing for this long."""
    request_read_timeout_ns: int = 2 * _S
    """A request that has begun and is not complete after this time is refused."""
    write_timeout_ns: int = 5 * _S
    """The connection of a client that does not read its answer for this long is aborted."""
    linger_timeout_ns: int = 3 * _S
    """Input after a refusal is read and discarded for this long, since closing with unread input resets the
    connection, and the client may lose the refusal (RFC 9112, section 9.6)."""
    max_expiry_ns: int = 600 * _S
    """The maximum time that a client may ask to wait for its answer."""

    # ---- servers

    health_check_timeout_ns: int = 250 * _MS
    response_read_timeout_ns: int = 150 * _MS
    """A response that has begun and is not complete after this time counts as a lost connection."""
    stream_stall_timeout_ns: int = _S
    """A streamed response without progress for this long is aborted, together with its client's connection."""

    # ---- decisions

    reminder_slack_ns: int = 20 * _MS
    """A reminder of the decision module is delayed by at most this time, to share a wake-up with another input."""
    reminder_slack_divisor: int = 50
    """The delay is also at most the reminder's own delay divided by this number."""

    # ---- the counter and discovery

    counter_response_timeout_ns: int = _S
    """A counter connection on which a response is pending for this long is replaced."""
    counter_partial_timeout_ns: int = 100 * _MS
    """A counter connection whose response has begun and makes no progress for this long is replaced."""
    counter_ping_interval_ns: int = 2 * _S
    """An idle counter connection sends a ping this often, so that the counter does not close it."""
    max_pending_counter_calls: int = 4096
    """The maximum number of pending calls on one counter connection."""
    discovery_silence_timeout_ns: int = 4500 * _MS
    """Discovery sends a heartbeat every 2 s, and assumes that its updates are delivered after 6 s."""
    min_reconnect_delay_ns: int = 50 * _MS
    """The delay before a reconnect to discovery is random between this and `max_reconnect_delay_ns`."""
    max_reconnect_delay_ns: int = 500 * _MS
    reconnect_delay_cap_ns: int = 4 * _S
    """Both bounds double with each consecutive failure, up to this limit."""

    # ---- the process

    shutdown_delay_ns: int = 500 * _MS
    """After SIGTERM the process continues to serve for this long."""
    shutdown_timeout_ns: int = 12 * _S
    """After this time from SIGTERM the process ends, even if connections are still open."""
    sweep_interval_ns: int = 250 * _MS
    """The interval at which the timeouts of connections are checked."""
    log_quiet_ns: int = 10 * _S
    """The log has at most one line per event and subject in this time."""
    admin_timeout_ns: int = _S
    """An operator's call that is not complete after this time is aborted, as answers are due within a second."""
    max_admin_connections: int = 16
    """The maximum number of open connections of operators. Past it the oldest is closed."""


_RESERVED_DESCRIPTORS = 32  # for the listener, the event loop, standard streams, counter and discovery
_OVERFLOW_DESCRIPTORS = 16
_REJECTION_COPY_WINDOW_NS = 20 * _MS


def compute_limits(descriptors: int, connect_timeout_ns: int, server_keepalive_ns: int) -> NetworkLimits:
    """Divides the file descriptors of an edge node among its connections.

    Server connections get a third of the descriptors, since transactions of clients use a third at most, and a few more
    for health checks. Client connections get the rest, since most of them are idle or send no valid request. At most a
    quarter may be active at once, which leaves some of the clients' third for new connections.

    Args:
        descriptors: the maximum number of open descriptors of the process.
        connect_timeout_ns: see `NetworkLimits`.
        server_keepalive_ns: the time after which a server closes an idle connection.
    """
    server_connections = descriptors // 3 + _OVERFLOW_DESCRIPTORS
    return NetworkLimits(
        max_clients=descriptors - _RESERVED_DESCRIPTORS - _OVERFLOW_DESCRIPTORS - server_connections,
        overflow_clients=_OVERFLOW_DESCRIPTORS,
        max_active_clients=descriptors // 4,
        max_server_connections=server_connections,
        connect_timeout_ns=connect_timeout_ns,
        server_idle_timeout_ns=2 * server_keepalive_ns // 3,
        rejection_copy_window_ns=_REJECTION_COPY_WINDOW_NS,
    )


class HttpServerLimits(NamedTuple):
    """The limits of an `HttpServer`. Times are ns, sizes bytes."""

    memory: MemoryAccount | None = None  # the account of the process; None: an account of its own
    max_head_bytes: int = 16 * _KIB
    max_body_bytes: int = 8 * _MIB  # of an endpoint that declares no limit
    max_connections: int = 256  # past it the connection idle longest is closed
    head_timeout_ns: int = 3 * _S  # a head that is not complete after this time is refused with 408
    body_timeout_ns: int = 10 * _S  # a request that is not complete after this time is refused with 408
    idle_timeout_ns: int = 15 * _S  # a connection without a request for this long is closed
    response_timeout_ns: int = 30 * _S  # a request pending for this long is aborted, as its sender has given up
    write_timeout_ns: int = 10 * _S  # a connection whose peer reads nothing of its response for this long is aborted
    linger_timeout_ns: int = _S  # input after a refusal is read and discarded for this long
    sweep_interval_ns: int = _S // 2  # the interval of timeout checks; 0: the owner calls `sweep`
    listen_backlog: int = 256
    keep_alive: bool = True  # False: one request per connection
    plain_text_errors: bool = False  # whether the server's own error responses are plain text instead of JSON
