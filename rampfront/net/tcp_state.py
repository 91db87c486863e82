"""What the kernel knows of a TCP connection and the event loop has not seen yet: its state, and the age of its data.

A process that was suspended, or whose event loop is late, reads bytes that arrived long before. The kernel counts the
time since they arrived, and knows whether the peer has ended its stream behind them (Linux, `TCP_INFO` of tcp(7)).
"""

import asyncio
import socket
import struct
from typing import NamedTuple

_NS_PER_MS = 10**6
_NS_PER_US = 10**3
_ESTABLISHED = 1  # values of `tcpi_state`
_MAX_STATE = 12
# Of `struct tcp_info`: `tcpi_state`, `tcpi_last_data_recv` in ms, and `tcpi_rtt` in us.
_FIELDS = struct.Struct("=B51xI12xI")


class TcpState(NamedTuple):
    """The state of a connection.

    Attributes:
        is_established: whether both directions are open: the peer has neither ended its stream nor reset it.
        data_age_ns: the time since the last data arrived.
        round_trip_ns: the smoothed round-trip time to the peer.
    """

    is_established: bool
    data_age_ns: int
    round_trip_ns: int


def read_tcp_state(transport: asyncio.Transport) -> TcpState | None:
    """Returns the state of a transport's connection; None if it has no TCP socket, or the kernel does not tell."""
    peer_socket = transport.get_extra_info("socket")
    if peer_socket is None:
        return None
    try:
        info = peer_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _FIELDS.size)
    except (OSError, AttributeError):  # not a TCP socket, or not Linux
        return None
    if len(info) < _FIELDS.size:
        return None
    state, data_age_ms, round_trip_us = _FIELDS.unpack(info)
    if not _ESTABLISHED <= state <= _MAX_STATE:
        return None
    return TcpState(state == _ESTABLISHED, data_age_ms * _NS_PER_MS, round_trip_us * _NS_PER_US)
