"""The bytes that a frame between nodes takes on the link, with the headers of its packets."""

from ..transport.frames import MAX_DATAGRAM_BYTES

DATAGRAM_HEADER_BYTES, PACKET_HEADER_BYTES = 28, 40  # bytes of the IP and UDP headers, of the IP and TCP headers
PACKET_PAYLOAD_BYTES = 1460  # payload bytes of a TCP packet
# Packets that open and close a connection; bytes of a frame's length field and of its answer.
CONNECTION_PACKETS, FRAMING_BYTES = 6, 5


def link_bytes(size: int) -> int:
    """Bytes on the link for a frame of `size` bytes, sent as a datagram or, if larger, over its own connection."""
    if size <= MAX_DATAGRAM_BYTES:
        return size + DATAGRAM_HEADER_BYTES
    return size + FRAMING_BYTES + PACKET_HEADER_BYTES * (CONNECTION_PACKETS + -(-size // PACKET_PAYLOAD_BYTES))
