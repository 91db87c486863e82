"""Encodes syslog messages (RFC 5424, section 6). No I/O, no clock.

Encoding never fails, whatever the name of an account: parameter values are escaped and never truncated. Characters that
are not printable ASCII are removed from header fields and replaced in SD-IDs and PARAM-NAMEs, and both are truncated to
their limits.
"""

import re
from collections.abc import Sequence
from datetime import UTC, datetime

from .message import (
    MAX_APP_NAME_LENGTH,
    MAX_HOSTNAME_LENGTH,
    MAX_MESSAGE_ID_LENGTH,
    MAX_PROCESS_ID_LENGTH,
    MAX_STRUCTURED_DATA_NAME_LENGTH,
    NIL_VALUE,
    SEVERITIES,
    Message,
    Parameter,
)

_NS_PER_S = 10**9
_NS_PER_US = 1000
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"  # marks MSG as UTF-8
_INVALID_IN_NAME = re.compile(r'[^\x21-\x7e]|[="\]]')
_INVALID_IN_HEADER = re.compile(r"[^\x21-\x7e]")


def encode_message(message: Message) -> bytes:
    """Encodes a message without framing."""
    header = (
        f"<{message.facility * SEVERITIES + message.severity}>1 {_encode_timestamp(message.timestamp_ns)} "
        f"{_header_field(message.hostname, MAX_HOSTNAME_LENGTH)} "
        f"{_header_field(message.app_name, MAX_APP_NAME_LENGTH)} "
        f"{_header_field(message.process_id, MAX_PROCESS_ID_LENGTH)} "
        f"{_header_field(message.message_id, MAX_MESSAGE_ID_LENGTH)} "
    )
    elements = [_encode_element(name, parameters) for name, parameters in message.structured_data.items()]
    encoded = _encode_utf8(header + ("".join(elements) or NIL_VALUE))
    if message.text:
        return encoded + b" " + _BYTE_ORDER_MARK + _encode_utf8(message.text)
    return encoded


def structured_data_name(text: str) -> str:
    """Makes a valid SD-ID or PARAM-NAME from any text: replaces invalid characters by `_`, and truncates."""
    return _INVALID_IN_NAME.sub("_", text)[:MAX_STRUCTURED_DATA_NAME_LENGTH] or "_"


def _encode_element(name: str, parameters: Sequence[Parameter]) -> str:
    """Encodes an SD-ELEMENT."""
    encoded = [f' {structured_data_name(key)}="{_escape(value)}"' for key, value in parameters]
    return f"[{structured_data_name(name)}{''.join(encoded)}]"


def _header_field(text: str, max_length: int) -> str:
    """Removes all but printable ASCII from a header field; returns NIL if nothing is left."""
    return _INVALID_IN_HEADER.sub("", text)[:max_length] or NIL_VALUE


def _escape(value: str) -> str:
    """Escapes a PARAM-VALUE: only `"`, `\\` and `]` may be escaped (section 6.3.3)."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("]", "\\]")


def _encode_timestamp(timestamp_ns: int) -> str:
    """Formats Unix time in ns as a TIMESTAMP in UTC, with microseconds."""
    seconds, remainder_ns = divmod(timestamp_ns, _NS_PER_S)
    date_and_time = datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%dT%H:%M:%S")
    return f"{date_and_time}.{remainder_ns // _NS_PER_US:06d}Z"


def _encode_utf8(text: str) -> bytes:
    """Encodes text as UTF-8; lone surrogates, which UTF-8 cannot represent, become U+FFFD."""
    try:
        return text.encode("utf-8")
    except UnicodeEncodeError:
        return text.encode("utf-16", "surrogatepass").decode("utf-16", "replace").encode("utf-8")
