"""Parsing of header fields of servers."""

from rampfront.net.server_response import parse_quota_use


def test_unreadable_quota_use_is_unknown():
    """An invalid X-Ratelimit-Used is unknown usage (None), never zero."""
    expected = {b"1": 0.0, b" 252 ": 2.51, b"0": None, b"": None, b"-3": None, b"1e9": None, b"9" * 9: None, b"x": None}
    assert {text: parse_quota_use(text) for text in expected} == expected
