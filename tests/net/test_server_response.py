"""Header fields and reports of servers."""

from rampfront.net.server_response import parse_quota_use


def test_unreadable_quota_use_is_unknown():
    """The account's use as answers tell it: what cannot be read is unknown, never none."""
    said = {b"1": 0.0, b" 252 ": 2.51, b"0": None, b"": None, b"-3": None, b"1e9": None, b"9" * 9: None, b"x": None}
    assert {text: parse_quota_use(text) for text in said} == said
