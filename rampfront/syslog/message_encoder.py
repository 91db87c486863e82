"""Syslog messages to bytes (RFC 5424, section 6). No I/O, no clock.

Encoding never fails on what an account may be called: values are escaped and complete. Header fields and names that
must be printable ASCII lose what is not, and are cut at their limits.
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
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"  # says that the text is UTF-8
_NOT_IN_NAME = re.compile(r'[^\x21-\x7e]|[="\]]')
_NOT_IN_HEADER = re.compile(r"[^\x21-\x7e]")


def encode_message(message: Message) -> bytes:
    """The message as bytes, without framing."""
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
    """A valid SD-ID or PARAM-NAME made of any text: cut at the limit, `_` in place of what may not stand in it."""
    return _NOT_IN_NAME.sub("_", text)[:MAX_STRUCTURED_DATA_NAME_LENGTH] or "_"


def _encode_element(name: str, parameters: Sequence[Parameter]) -> str:
    """One SD-ELEMENT."""
    encoded = [f' {structured_data_name(key)}="{_escape(value)}"' for key, value in parameters]
    return f"[{structured_data_name(name)}{''.join(encoded)}]"


def _header_field(text: str, max_length: int) -> str:
    """A header field without what is not printable ASCII; NIL if nothing is left."""
    return _NOT_IN_HEADER.sub("", text)[:max_length] or NIL_VALUE


def _escape(value: str) -> str:
    """A PARAM-VALUE: `"`, `\\` and `]` are escaped, and nothing else may be (section 6.3.3)."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("]", "\\]")


def _encode_timestamp(timestamp_ns: int) -> str:
    """Unix time in ns as a TIMESTAMP in UTC, to the microsecond."""
    seconds, rest_ns = divmod(timestamp_ns, _NS_PER_S)
    date_and_time = datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%dT%H:%M:%S")
    return f"{date_and_time}.{rest_ns // _NS_PER_US:06d}Z"


def _encode_utf8(text: str) -> bytes:
    """UTF-8; lone surrogates, which it does not have, become U+FFFD."""
    try:
        return text.encode("utf-8")
    except UnicodeEncodeError:
        return text.encode("utf-16", "surrogatepass").decode("utf-16", "replace").encode("utf-8")
