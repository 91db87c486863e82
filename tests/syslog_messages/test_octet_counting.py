"""Octet counting: splitting a stream into messages."""

import pytest

from rampfront.syslog.octet_counting import FrameDecoder, FramingError, encode_frame


def test_messages_are_read_wherever_the_stream_breaks():
    messages = [b"a", b"12 b", "학".encode() * 50]
    stream = b"".join(map(encode_frame, messages))
    for step in (1, 3, 7, len(stream)):
        decoder = FrameDecoder()
        received = []
        for start in range(0, len(stream), step):
            received += decoder.feed(stream[start : start + step])
        assert received == messages and not decoder.has_incomplete_frame
    for malformed in (b"x1 a", b"01 a", b"99999999 a", b" a"):
        with pytest.raises(FramingError):
            FrameDecoder().feed(malformed)
