"""What the kernel knows of a TCP connection and the event loop does not: its state, and how old its data may be.

A process that was suspended, or whose event loop is late, reads bytes that arrived long before, and the network may
have delayed them before that. The kernel counts the time since it last sent data, and knows whether the peer has
ended its stream (Linux, `TCP_INFO` of tcp(7)).
"""

import asyncio
import socket
import struct
from typing import NamedTuple

_NS_PER_MS = 10**6
_NS_PER_US = 10**3
_ESTABLISHED = 1  # values of `tcpi_state`
_MAX_STATE = 12
# Of `struct tcp_info`: `tcpi_state`, `tcpi_last_data_sent` and `tcpi_last_data_recv` in ms, `tcpi_rtt` in us, and
# `tcpi_total_retrans`.
_FIELDS = struct.Struct("=B43xI4xI12xI28xI")


class TcpState(NamedTuple):
    """The state of a connection.

    Attributes:
        is_established: whether both directions are open: the peer has neither ended its stream nor reset it.
        sent_age_ns: the time since this machine last sent data, or since the connection was established.
        received_age_ns: the time since the last data arrived.
        round_trip_ns: the smoothed round-trip time to the peer; 0 if it is not known.
        retransmissions: of segments of this machine, the handshake included.
    """

    is_established: bool
    sent_age_ns: int
    received_age_ns: int
    round_trip_ns: int
    retransmissions: int

    @property
    def is_delay_bounded(self) -> bool:
        """Whether `sent_age_ns` and the round-trip time bound the age of a request.

        A retransmission counts as sent, although the peer may have received the first copy and sent its request long
        before. Nor does the kernel know how long a repeated handshake took.
        """
        return not self.retransmissions


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
    state, sent_age_ms, received_age_ms, round_trip_us, retransmissions = _FIELDS.unpack(info)
    if not _ESTABLISHED <= state <= _MAX_STATE:
        return None
    return TcpState(
        state == _ESTABLISHED,
        sent_age_ms * _NS_PER_MS,
        received_age_ms * _NS_PER_MS,
        round_trip_us * _NS_PER_US,
        retransmissions,
    )
