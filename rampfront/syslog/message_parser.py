"""Bytes to syslog messages, strictly by RFC 5424 (section 6). No I/O, no clock.

It judges what the encoder writes, in the tests and in the laboratory's collector. What is malformed is refused with the
place of the fault: nothing is guessed.
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
_EXCERPT_LENGTH = 20  # characters of a malformed message that an error shows
_ENDS_OF_NAME = ' ="]'
_ESCAPED = ('"', "\\", "]")
_TIMESTAMP = re.compile(
    r"(?P<date_and_time>\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d)(?:\.(?P<fraction>\d{1,6}))?(?P<zone>Z|[+-]\d\d:\d\d)"
)


class MessageParseError(ValueError):
    """The bytes are no RFC 5424 message."""


def parse_message(data: bytes) -> Message:
    """Reads one message.

    Args:
        data: the message without framing.

    Returns:
        The message.

    Raises:
        MessageParseError: duplicate SD-IDs, bad escapes, missing fields, bad UTF-8 and whatever else is malformed.
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
    """A place in the text of one message; reading moves it on."""

    def __init__(self, text: str) -> None:
        """Starts at the beginning."""
        self._text = text
        self._position = 0

    @property
    def at_end(self) -> bool:
        """Whether all was read."""
        return self._position == len(self._text)

    def fail(self, reason: str) -> NoReturn:
        """Raises a `MessageParseError` that names this place."""
        excerpt = self._text[self._position : self._position + _EXCERPT_LENGTH]
        raise MessageParseError(f"{reason} at {self._position}: {excerpt!r}")

    def peek(self) -> str:
        """The next character, which stays unread; empty at the end."""
        return self._text[self._position : self._position + 1]

    def skip(self) -> None:
        """Passes one character."""
        self._position += 1

    def expect(self, literal: str) -> None:
        """Passes `literal`, or fails."""
        if not self._text.startswith(literal, self._position):
            self.fail(f"{literal!r} expected")
        self._position += len(literal)

    def read_until(self, ends: str, max_length: int, what: str) -> str:
        """Reads printable ASCII up to one of the characters `ends`. `what` names the field in an error."""
        start = self._position
        while not self.at_end and self._text[self._position] not in ends:
            if not "\x21" <= self._text[self._position] <= "\x7e":
                self.fail(f"{what} is not printable ASCII")
            self._position += 1
        found = self._text[start : self._position]
        if not 0 < len(found) <= max_length:
            self.fail(f"{what} of {len(found)} characters")
        return found

    def read_value(self) -> str:
        """Reads a PARAM-VALUE behind its opening quote, to its closing one.

        A backslash before any character that need not be escaped stands for itself (section 6.3.3).
        """
        characters: list[str] = []
        while True:
            character = self.peek()
            if character == "":
                self.fail("a value without its end")
            if character == "]":
                self.fail("a bare ] in a value")
            self.skip()
            if character == '"':
                return "".join(characters)
            if character == "\\" and self.peek() in _ESCAPED:
                character = self.peek()
                self.skip()
            characters.append(character)

    def read_rest(self) -> str:
        """Reads all that is left."""
        rest = self._text[self._position :]
        self._position = len(self._text)
        return rest


def _read_priority(cursor: _Cursor) -> int:
    """Reads PRI and the version."""
    cursor.expect("<")
    digits = cursor.read_until(">", _MAX_PRIORITY_LENGTH, "PRI")
    if not digits.isdigit() or int(digits) > MAX_PRIORITY or digits != str(int(digits)):
        cursor.fail(f"PRI {digits}")
    cursor.expect(">1 ")
    return int(digits)


def _read_header_field(cursor: _Cursor, what: str, max_length: int) -> str:
    """Reads a field of the header and the space behind it."""
    found = cursor.read_until(" ", max_length, what)
    cursor.expect(" ")
    return found


def _read_structured_data(cursor: _Cursor) -> dict[str, list[Parameter]]:
    """Reads STRUCTURED-DATA: elements without anything between them, or NIL."""
    elements: dict[str, list[Parameter]] = {}
    if cursor.peek() == NIL_VALUE:
        cursor.skip()
        return elements
    if cursor.peek() != "[":
        cursor.fail("STRUCTURED-DATA expected")
    while cursor.peek() == "[":
        cursor.skip()
        name = cursor.read_until(_ENDS_OF_NAME, MAX_STRUCTURED_DATA_NAME_LENGTH, "SD-ID")
        if name in elements:
            cursor.fail(f"SD-ID {name} twice")
        elements[name] = _read_parameters(cursor)
        cursor.expect("]")
    return elements


def _read_parameters(cursor: _Cursor) -> list[Parameter]:
    """Reads the parameters of one element."""
    parameters = []
    while cursor.peek() == " ":
        cursor.skip()
        name = cursor.read_until(_ENDS_OF_NAME, MAX_STRUCTURED_DATA_NAME_LENGTH, "PARAM-NAME")
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
    """A TIMESTAMP as Unix time in ns; 0 for NIL."""
    if text == NIL_VALUE:
        return 0
    match = _TIMESTAMP.fullmatch(text)
    if not match:
        raise MessageParseError(f"no timestamp: {text!r}")
    try:
        seconds = datetime.fromisoformat(match["date_and_time"] + match["zone"].replace("Z", "+00:00")).timestamp()
    except ValueError as error:
        raise MessageParseError(f"no timestamp: {text!r} ({error})") from None
    microseconds = int((match["fraction"] or "0").ljust(_FRACTION_DIGITS, "0"))
    return int(seconds) * _NS_PER_S + microseconds * _NS_PER_US
