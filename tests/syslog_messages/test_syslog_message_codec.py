"""Encoding and parsing of RFC 5424 messages."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rampfront.syslog.message import Message
from rampfront.syslog.message_encoder import encode_message, structured_data_name
from rampfront.syslog.message_parser import MessageParseError, parse_message

TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=60)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(st.tuples(TEXT, TEXT), max_size=6), TEXT, TEXT, st.integers(0, 2**32))
def test_an_encoded_message_is_parsed_back(parameters, text, name, second):
    sent = Message(second * 10**9 + 123456000, "declined", 5, 16, name, "app", "7", {"d@1": parameters}, text)
    parsed = parse_message(encode_message(sent))
    assert parsed.structured_data == {"d@1": [(structured_data_name(key), value) for key, value in parameters]}
    assert parsed.text == text and parsed.timestamp_ns == sent.timestamp_ns
    assert parsed.severity == 5 and parsed.facility == 16


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_the_parser_refuses_or_reads_any_bytes(noise):
    for data in (noise, b"<165>1 - - - - - " + noise):
        with contextlib.suppress(MessageParseError):
            parse_message(data)


@pytest.mark.parametrize(
    "data",
    [
        b'<165>1 2026-12-01T20:00:00Z h a p m [x a="b]"]',
        b"<192>1 - - - - - -",
        b"<05>1 - - - - - -",
        b"<5>2 - - - - - -",
        b"<5>1 - - - - - [x][x]",
        b'<5>1 - - - - - [x a="b]',
        b"<5>1 - - - - -",
        b"<5>1 - - - - - -x",
        b"<5>1 2026-13-01T00:00:00Z - - - - -",
        b"<5>1 - - - - - [x a=b]",
        b"<5>1 - - - - - - \xff",
    ],
)
def test_malformed_messages_are_refused(data):
    with pytest.raises(MessageParseError):
        parse_message(data)
