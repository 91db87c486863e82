"""Parsing of durations."""

import pytest

from rampfront.settings.errors import FieldError
from rampfront.settings.scalars import MS, SEC, parse_duration


@pytest.mark.parametrize(
    "text, ns",
    [("1500ms", 1500 * MS), ("2.5s", 2500 * MS), ("0s", 0), ("0.1s", 100 * MS), ("0.25ms", 250_000), ("1e3ms", SEC)],
)
def test_durations_are_read_in_ns(text, ns):
    assert parse_duration(text) == ns


@pytest.mark.parametrize(
    "text",
    [
        "",
        "s",
        "ms",
        "5",
        "5m",
        "5 s",
        " 5s",
        "-5s",
        "+5s",
        "1_0s",
        "nans",
        "infs",
        "0x5s",
        "1.s",
        ".5s",
        "٣s",
        "1e999s",
        "9" * 19 + "s",
        "9" * 5000 + "s",
        5,
        None,
        True,
        ["5s"],
    ],
)
def test_text_that_is_no_duration_is_rejected(text):
    with pytest.raises(FieldError):
        parse_duration(text)
