"""Tests of parsing pages of the platform's list."""

import json

from rampfront.membership.endpoint_list import READY, Endpoint
from rampfront.membership.endpoint_pages import parse_page

MS, SEC = 10**6, 10**9

ENTRY = {
    "Service": "s",
    "Address": "10.128.0.9:8080",
    "Zone": "z",
    "Revision": "v1",
    "Capacity": 2,
    "State": "ready",
    "ColdLeft": "0ms",
}


BAD_ROWS = [
    ("Address", "host.name:80"),
    ("Address", "10.0.0.1:0"),
    ("Address", "10.0.0.1"),
    ("Address", None),
    ("Capacity", 0),
    ("Capacity", True),
    ("Capacity", "2"),
    ("Capacity", 10**9),
    ("State", "gone"),
    ("State", []),
    ("Service", ""),
    ("Service", "a\nb"),
    ("Service", "x" * 300),
    ("Zone", 7),
    ("ColdLeft", "soon"),
    ("ColdLeft", "-1s"),
    ("ColdLeft", 5),
]


def test_invalid_rows_are_dropped_alone():
    servers = {f"bad-{k}": {**ENTRY, field: value} for k, (field, value) in enumerate(BAD_ROWS)}
    servers |= {"none": None, "": ENTRY, "good": ENTRY | {"ColdLeft": "1.5s", "New": 1}}
    rows, token, faults = parse_page(json.dumps({"Servers": servers, "NextToken": "p"}), SEC)
    assert rows == [Endpoint("good", "s", "10.128.0.9", 8080, "z", 2, READY, SEC + 1500 * MS)]
    assert token == "p" and len(faults) == len(BAD_ROWS) + 2, faults
