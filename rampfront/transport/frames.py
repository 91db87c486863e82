"""The codec of frames: a message to bytes and back.

A frame is one message as CBOR (RFC 8949), compressed by zlib (RFC 1950) where it is long enough and gets smaller by
it: membership lists repeat themselves, and bytes on the links are priced. No flag says which form a frame has, as the
first byte does: 0x78 begins every zlib stream made here, and in CBOR it begins a text, which no message is.

Over a TCP connection a frame has its length in front (`with_length_prefix`); a datagram is the bare frame.
"""

import zlib
from typing import Any, TypeAlias

from cbor2 import CBORDecodeError, dumps, loads

Message: TypeAlias = dict[str, Any]
"""What a frame carries: a map with text keys. `KIND_KEY` holds its kind, a text; each package has the codec of its
own kinds, which decides about the other keys."""

KIND_KEY = "k"
MAX_DATAGRAM_BYTES = 1200  # of a frame: less than what any link carries without fragmentation
MAX_FRAME_BYTES = 16 << 20  # of a frame, compressed or not
MIN_COMPRESSED_BYTES = 256  # of a message from which on compression is tried
ZLIB_HEADER = b"\x78"
LENGTH_PREFIX_BYTES = 4  # unsigned, big endian


class InvalidFrameError(ValueError):
    """Bytes that are no frame: damaged, too large, or not a message with a kind."""


def encode_frame(message: Message) -> bytes:
    """Returns the frame that carries a message; the order of its keys is kept."""
    data = dumps(message)
    if len(data) >= MIN_COMPRESSED_BYTES:
        compressed = zlib.compress(data)
        if len(compressed) < len(data):
            return compressed
    return data


def decode_frame(data: bytes) -> Message:
    """Returns the message that a frame carries.

    Raises:
        InvalidFrameError: the bytes are no frame. The fields of a message other than its kind are not checked.
    """
    try:
        message: Message = loads(_decompress(data) if data[:1] == ZLIB_HEADER else data)
    except (ValueError, EOFError, CBORDecodeError, zlib.error) as error:
        raise InvalidFrameError(str(error)) from error
    if type(message) is not dict or type(message.get(KIND_KEY)) is not str:
        raise InvalidFrameError("not a message with a kind")
    return message


def _decompress(data: bytes) -> bytes:
    """Returns the content of a zlib stream; the bound guards memory against a small frame that would expand to a huge
    one."""
    stream = zlib.decompressobj()
    content = stream.decompress(data, MAX_FRAME_BYTES)
    if not stream.eof or stream.unused_data:
        raise InvalidFrameError("compressed data that is truncated, too large, or followed by more")
    return content


def with_length_prefix(frame: bytes) -> bytes:
    """Returns a frame as it goes over a TCP connection."""
    return len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big") + frame


def read_length_prefix(data: bytes) -> int:
    """Returns the length of a frame, in bytes, from the first `LENGTH_PREFIX_BYTES` of a connection."""
    return int.from_bytes(data[:LENGTH_PREFIX_BYTES], "big")
