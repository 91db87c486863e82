"""What a frame between nodes weighs on the link, with the heads of its packets."""

from ..transport.frames import MAX_DATAGRAM_BYTES

DATAGRAM_HEADS, CONNECTION_HEADS = 28, 40  # bytes of IP with UDP, of IP with TCP
PACKET = 1460  # bytes of a connection's packet without its heads
OTHERS, LENGTH = 6, 5  # packets that open and end a connection; bytes of a frame's length and of its answer


def link_bytes(size: int) -> int:
    """Bytes on the link for a frame of `size` bytes: a datagram, or a connection of its own."""
    if size <= MAX_DATAGRAM_BYTES:
        return size + DATAGRAM_HEADS
    return size + LENGTH + CONNECTION_HEADS * (OTHERS + -(-size // PACKET))
