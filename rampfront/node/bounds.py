"""Limits of the sockets, from what the machine has (`Caps` of the settings file). Source: DEPLOY.md."""

from ..net.limits import NetworkLimits
from ..settings.process_settings import ProcessSettings

MS = 10**6  # ns
SEC = 10**9  # ns
KEPT = 200  # descriptors for files, and what the loop and our own listeners need
SPARE = 16


def fill(process_settings: ProcessSettings) -> NetworkLimits:
    """The limits of a process of the system."""
    sockets = max(256, process_settings.open_files - KEPT)
    links = sockets // 3
    return NetworkLimits(
        max_clients=sockets - links - 256,
        overflow_clients=SPARE,
        max_server_connections=links,
        max_active_clients=sockets // 3,
        connect_timeout_ns=250 * MS,
        server_idle_timeout_ns=7 * SEC,
        max_body_bytes=64 << 20,
        max_response_bytes=64 << 20,
        max_head_bytes=32 << 10,
        response_read_timeout_ns=3 * SEC,
        first_request_timeout_ns=10 * SEC,
        client_idle_timeout_ns=15 * SEC,
        request_read_timeout_ns=10 * SEC,
        write_timeout_ns=10 * SEC,
        answer_margin_ns=10 * MS,
        health_check_timeout_ns=SEC,
        read_buffer_bytes=64 << 10,
        listen_backlog=512,
    )
