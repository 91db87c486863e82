"""A strict parser for syslog messages (RFC 5424, section 6). No I/O, no clock.

The tests and the laboratory's collector use it to check the encoder's output. A malformed message is rejected with the
position of the fault; the parser never guesses.
"""

import re
from datetime import datetime
from typing import NoReturn

from .message import (
    MAX_APP_NAME_LENGTH,
    MAX_HOSTNAME_LENGTH,
    MAX_MESSAGE_ID_LENGTH,
    MAX_PRIORITY,
    MAX_PROCESS_ID_LENGTH,
    MAX_STRUCTURED_DATA_NAME_LENGTH,
    NIL_VALUE,
    SEVERITIES,
    Message,
    Parameter,
)

_NS_PER_S = 10**9
_NS_PER_US = 1000
_FRACTION_DIGITS = 6  # microseconds
_MAX_PRIORITY_LENGTH = 3
_MAX_TIMESTAMP_LENGTH = 32
_EXCERPT_LENGTH = 20  # characters of a malformed message quoted in an error
_NAME_TERMINATORS = ' ="]'
_ESCAPED = ('"', "\\", "]")
_TIMESTAMP = re.compile(
    r"(?P<date_and_time>\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d)(?:\.(?P<fraction>\d{1,6}))?(?P<zone>Z|[+-]\d\d:\d\d)"
)


class MessageParseError(ValueError):
    """The bytes are not an RFC 5424 message."""


def parse_message(data: bytes) -> Message:
    """Parses one message.

    Args:
        data: the message without framing.

    Returns:
        The message.

    Raises:
        MessageParseError: the message is malformed, for example by duplicate SD-IDs, bad escapes, missing fields or
                bad UTF-8.
    """
    try:
        cursor = _Cursor(data.decode("utf-8"))
    except UnicodeDecodeError as error:
        raise MessageParseError(f"not UTF-8: {error}") from None
    priority = _read_priority(cursor)
    timestamp = _read_header_field(cursor, "TIMESTAMP", _MAX_TIMESTAMP_LENGTH)
    hostname = _read_header_field(cursor, "HOSTNAME", MAX_HOSTNAME_LENGTH)
    app_name = _read_header_field(cursor, "APP-NAME", MAX_APP_NAME_LENGTH)
    process_id = _read_header_field(cursor, "PROCID", MAX_PROCESS_ID_LENGTH)
    message_id = _read_header_field(cursor, "MSGID", MAX_MESSAGE_ID_LENGTH)
    structured_data = _read_structured_data(cursor)
    text = _read_text(cursor)
    return Message(
        timestamp_ns=_parse_timestamp(timestamp),
        message_id=message_id,
        severity=priority % SEVERITIES,
        facility=priority // SEVERITIES,
        hostname=hostname,
        app_name=app_name,
        process_id=process_id,
        structured_data=structured_data,
        text=text,
    )


class _Cursor:
    """A read position in the text of one message."""

    def __init__(self, text: str) -> None:
        """Starts at the beginning."""
        self._text = text
        self._position = 0

    @property
    def at_end(self) -> bool:
        """Whether the whole text has been read."""
        return self._position == len(self._text)

    def fail(self, reason: str) -> NoReturn:
        """Raises a `MessageParseError` with the current position."""
        excerpt = self._text[self._position : self._position + _EXCERPT_LENGTH]
        raise MessageParseError(f"{reason} at {self._position}: {excerpt!r}")

    def peek(self) -> str:
        """Returns the next character without consuming it; an empty string at the end."""
        return self._text[self._position : self._position + 1]

    def skip(self) -> None:
        """Consumes one character."""
        self._position += 1

    def expect(self, literal: str) -> None:
        """Consumes `literal`, or raises `MessageParseError`."""
        if not self._text.startswith(literal, self._position):
            self.fail(f"{literal!r} expected")
        self._position += len(literal)

    def read_until(self, terminators: str, max_length: int, field_name: str) -> str:
        """Reads printable ASCII up to any character of `terminators`. Errors name the field by `field_name`."""
        start = self._position
        while not self.at_end and self._text[self._position] not in terminators:
            if not "\x21" <= self._text[self._position] <= "\x7e":
                self.fail(f"{field_name} is not printable ASCII")
            self._position += 1
        found = self._text[start : self._position]
        if not 0 < len(found) <= max_length:
            self.fail(f"{field_name} of {len(found)} characters")
        return found

    def read_value(self) -> str:
        """Reads a PARAM-VALUE from behind its opening quote through its closing quote.

        A backslash before a character that needs no escape is a regular backslash (section 6.3.3).
        """
        characters: list[str] = []
        while True:
            character = self.peek()
            if character == "":
                self.fail("unterminated PARAM-VALUE")
            if character == "]":
                self.fail("unescaped ] in PARAM-VALUE")
            self.skip()
            if character == '"':
                return "".join(characters)
            if character == "\\" and self.peek() in _ESCAPED:
                character = self.peek()
                self.skip()
            characters.append(character)

    def read_rest(self) -> str:
        """Reads the rest of the text."""
        rest = self._text[self._position :]
        self._position = len(self._text)
        return rest


def _read_priority(cursor: _Cursor) -> int:
    """Reads PRI and the version."""
    cursor.expect("<")
    digits = cursor.read_until(">", _MAX_PRIORITY_LENGTH, "PRI")
    if not digits.isdigit() or int(digits) > MAX_PRIORITY or digits != str(int(digits)):
        cursor.fail(f"invalid PRI {digits}")
    cursor.expect(">1 ")
    return int(digits)


def _read_header_field(cursor: _Cursor, field_name: str, max_length: int) -> str:
    """Reads a header field and the space after it."""
    found = cursor.read_until(" ", max_length, field_name)
    cursor.expect(" ")
    return found


def _read_structured_data(cursor: _Cursor) -> dict[str, list[Parameter]]:
    """Reads STRUCTURED-DATA, which is a sequence of elements without separators, or NIL."""
    elements: dict[str, list[Parameter]] = {}
    if cursor.peek() == NIL_VALUE:
        cursor.skip()
        return elements
    if cursor.peek() != "[":
        cursor.fail("STRUCTURED-DATA expected")
    while cursor.peek() == "[":
        cursor.skip()
        name = cursor.read_until(_NAME_TERMINATORS, MAX_STRUCTURED_DATA_NAME_LENGTH, "SD-ID")
        if name in elements:
            cursor.fail(f"duplicate SD-ID {name}")
        elements[name] = _read_parameters(cursor)
        cursor.expect("]")
    return elements


def _read_parameters(cursor: _Cursor) -> list[Parameter]:
    """Reads the parameters of one element."""
    parameters = []
    while cursor.peek() == " ":
        cursor.skip()
        name = cursor.read_until(_NAME_TERMINATORS, MAX_STRUCTURED_DATA_NAME_LENGTH, "PARAM-NAME")
        cursor.expect('="')
        parameters.append((name, cursor.read_value()))
    return parameters


def _read_text(cursor: _Cursor) -> str:
    """Reads MSG without its byte order mark; empty if there is none."""
    if cursor.at_end:
        return ""
    cursor.expect(" ")
    return cursor.read_rest().removeprefix("\ufeff")


def _parse_timestamp(text: str) -> int:
    """Converts a TIMESTAMP to Unix time in ns; 0 for NIL."""
    if text == NIL_VALUE:
        return 0
    match = _TIMESTAMP.fullmatch(text)
    if not match:
        raise MessageParseError(f"invalid TIMESTAMP: {text!r}")
    try:
        seconds = datetime.fromisoformat(match["date_and_time"] + match["zone"].replace("Z", "+00:00")).timestamp()
    except ValueError as error:
        raise MessageParseError(f"invalid TIMESTAMP: {text!r} ({error})") from None
    microseconds = int((match["fraction"] or "0").ljust(_FRACTION_DIGITS, "0"))
    return int(seconds) * _NS_PER_S + microseconds * _NS_PER_US
