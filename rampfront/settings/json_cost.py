"""The memory that a JSON text takes once it is decoded, estimated from above without decoding it."""

_CONTAINER_BYTES = 160  # of an object or array with few entries
_VALUE_BYTES = 88  # of a value, and its slot in a container or table
_TEXT_COPIES = 4  # the decoded text and the characters of its strings, each in two bytes


def decoded_bytes(text: bytes) -> int:
    """Returns an upper estimate of the memory of a decoded JSON text, in bytes.

    Each value but the first follows a bracket, a comma or a colon. Those within strings count too.
    """
    containers = text.count(b"{") + text.count(b"[")
    values = containers + text.count(b",") + text.count(b":")
    return _TEXT_COPIES * len(text) + _CONTAINER_BYTES * containers + _VALUE_BYTES * values
