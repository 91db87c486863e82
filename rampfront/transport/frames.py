"""The codec of frames: encodes a message to bytes and decodes it.

A frame is one message as CBOR (RFC 8949), compressed with zlib (RFC 1950) if it is long enough and becomes smaller:
membership lists are repetitive, and bytes on the links are charged for. A frame has no flag for compression, since the
first byte tells: 0x78 begins every zlib stream made here, and in CBOR it begins a text string, which no message is.

Over a TCP connection a frame is preceded by its length (`with_length_prefix`); a datagram contains the frame alone.
"""

import zlib
from typing import Any, TypeAlias

from cbor2 import CBORDecodeError, dumps, loads

Message: TypeAlias = dict[str, Any]
"""The content of a frame: a map with text keys. The value at `KIND_KEY` is its kind, a text. The other keys depend
on the kind; each package has the codec of its own kinds."""

KIND_KEY = "k"
MAX_DATAGRAM_BYTES = 1200  # of a frame: small enough for any link to carry without fragmentation
MAX_FRAME_BYTES = 16 << 20  # of a frame, compressed or not
MIN_COMPRESSED_BYTES = 256  # messages shorter than this are not compressed
ZLIB_HEADER = b"\x78"
LENGTH_PREFIX_BYTES = 4  # unsigned, big endian


class InvalidFrameError(ValueError):
    """The bytes are not a valid frame: they are damaged, too large, or not a message with a kind."""


def encode_frame(message: Message) -> bytes:
    """Returns the frame for a message; the order of the message's keys is kept."""
    data = dumps(message)
    if len(data) >= MIN_COMPRESSED_BYTES:
        compressed = zlib.compress(data)
        if len(compressed) < len(data):
            return compressed
    return data


def decode_frame(data: bytes) -> Message:
    """Returns the message that a frame carries.

    Raises:
        InvalidFrameError: the bytes are not a valid frame. Of the message's fields only the kind is checked.
    """
    try:
        message: Message = loads(_decompress(data) if data[:1] == ZLIB_HEADER else data)
    except (ValueError, EOFError, CBORDecodeError, zlib.error) as error:
        raise InvalidFrameError(str(error)) from error
    if type(message) is not dict or type(message.get(KIND_KEY)) is not str:
        raise InvalidFrameError("not a message with a kind")
    return message


def _decompress(data: bytes) -> bytes:
    """Returns the content of a zlib stream. The size limit protects memory against a small frame that expands to a huge
    one."""
    stream = zlib.decompressobj()
    content = stream.decompress(data, MAX_FRAME_BYTES)
    if not stream.eof or stream.unused_data:
        raise InvalidFrameError("compressed data that is truncated, too large, or followed by more")
    return content


def with_length_prefix(frame: bytes) -> bytes:
    """Returns a frame in the form that is sent over a TCP connection."""
    return len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big") + frame


def read_length_prefix(data: bytes) -> int:
    """Returns the length of a frame, in bytes, from the first `LENGTH_PREFIX_BYTES` of a connection."""
    return int.from_bytes(data[:LENGTH_PREFIX_BYTES], "big")
