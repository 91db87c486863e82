"""Limits of the sockets, derived from the machine's limits (`Caps` in the settings file). Source: DEPLOY.md."""

from ..net.limits import NetworkLimits
from ..settings.process_settings import ProcessSettings

MS, SEC = 10**6, 10**9
KIB, MIB = 1 << 10, 1 << 20
RESERVED_DESCRIPTORS = 200  # for files, the event loop and the node's own listeners
MIN_SOCKETS = 256
MAX_SMALL_SHARE = 256  # sockets
SMALL_SHARE_DIVISOR = 12  # of all sockets
SMALL_SHARES = 4  # one for each listener of calls (operators, look-ups, readiness), one for the platform and nodes
OVERFLOW_CLIENTS = 16


def call_connections(process_settings: ProcessSettings) -> int:
    """Return the maximum number of connections of each listener of calls: a small share of the sockets."""
    return min(MAX_SMALL_SHARE, _sockets(process_settings) // SMALL_SHARE_DIVISOR)


def _sockets(process_settings: ProcessSettings) -> int:
    return max(MIN_SOCKETS, process_settings.open_files - RESERVED_DESCRIPTORS)


def network_limits(process_settings: ProcessSettings) -> NetworkLimits:
    """Return the limits of a node's process. A third of its sockets is for connections to servers."""
    sockets = _sockets(process_settings)
    server_connections = sockets // 3
    return NetworkLimits(
        max_clients=sockets - server_connections - SMALL_SHARES * call_connections(process_settings),
        overflow_clients=OVERFLOW_CLIENTS,
        max_server_connections=server_connections,
        max_active_clients=sockets // 3,
        connect_timeout_ns=250 * MS,
        server_idle_timeout_ns=7 * SEC,
        max_body_bytes=64 * MIB,
        max_response_bytes=64 * MIB,
        max_head_bytes=32 * KIB,
        response_read_timeout_ns=3 * SEC,
        first_request_timeout_ns=10 * SEC,
        client_idle_timeout_ns=15 * SEC,
        request_read_timeout_ns=10 * SEC,
        write_timeout_ns=10 * SEC,
        answer_margin_ns=10 * MS,
        health_check_timeout_ns=SEC,
        read_buffer_bytes=64 * KIB,
        listen_backlog=512,
    )
