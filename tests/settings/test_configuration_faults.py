"""Invalid configurations are rejected with the path of the field at fault."""

import json

import pytest
from configuration_fixtures import (
    PREFIX,
    RULE,
    SHARES,
    THEN,
    fault_path,
    put,
    read_configuration,
    rule,
    share,
    valid_configuration,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from rampfront.settings import configuration_reader


@pytest.mark.parametrize(
    "path, value, field",
    [
        # configurations that PROTOCOL.md calls invalid
        (THEN + "Service", "gone", ""),
        (SHARES, [share("gone", 1)], "[0].Service"),
        (SHARES, [share("core", 1), share("gone", 0)], "[1].Service"),
        ("Sockets.0.Rulebook.1.MatchesWhen.PathStart", "/x/", ""),
        ("Sockets.1", {"Hostname": "A.EXAMPLE", "Rulebook": [rule("/x/")]}, ".Rulebook[0].MatchesWhen.PathStart"),
        (SHARES, [share("core", 0), share("store", 0)], ""),
        ("Sockets.0.Rulebook.2.ThenDo.Shares", [], ""),
        (SHARES, [share("core", 2), share("store", -1)], "[1].Weight"),
        (RULE + "Target", "65s", ""),
        (THEN + "GiveUp", "0ms", ""),
        ("Customers.1.ApiKeys", ["k4", "k1"], ""),
        ("Customers.1.Name", "anna", ""),
        # fields that cannot be parsed
        ("Revision", ..., ""),
        ("Revision", 7, ""),
        ("Revision", "7", ""),
        ("Revision", "r", ""),
        ("Revision", "r-7", ""),
        ("Revision", "r" + "9" * 30, ""),
        ("Revision", "r0", ""),
        ("Revision", f"r{1 << 53}", ""),
        ("Revision", "r٣", ""),
        ("Caps", ..., ""),
        ("Caps.Idle", "15", ""),
        ("Caps.MaxBodyBytes", "64k", ""),
        ("Caps.HeaderWait", 3000, ""),
        ("Caps.MaxBodyBytes", True, ""),
        ("Sockets", ..., ""),
        ("Sockets", {}, ""),
        ("Sockets.0", [], ""),
        ("Sockets.0.Hostname", ..., ""),
        ("Sockets.0.Hostname", "", ""),
        ("Sockets.0.Rulebook", {}, ""),
        ("Sockets.0.Rulebook.0", None, ""),
        (RULE + "Type", ..., ""),
        (RULE + "Type", "write", ""),
        (RULE + "Type", ["upload"], ""),
        (RULE + "Name", 3, ""),
        (RULE + "Public", "no", ""),
        (RULE + "Priority", 1.5, ""),
        (RULE + "Target", "-1s", ""),
        (RULE + "Target", "1m", ""),
        (RULE + "MatchesWhen", ..., ".PathStart"),
        (PREFIX, "/x", ""),
        (PREFIX, "x/", ""),
        (PREFIX, "/x/?/", ""),
        (PREFIX, "", ""),
        (RULE + "ThenDo", ..., ""),
        (THEN + "GiveUp", ..., ""),
        (THEN + "Service", ..., ""),
        (SHARES, {"core": 1}, ""),
        (THEN + "Tries", -1, ""),
        (THEN + "HomeRegions", "seoul", ""),
        ("Customers", {}, ""),
        ("Customers.0", "anna", ""),
        ("Customers.0.ApiKeys", "k1", ""),
        ("Customers.0.ApiKeys", [""], ""),
        ("Customers.0.Name", ..., ""),
        ("Customers.0.Name", "anna ", ""),
        ("Customers.0.Name", "a\r\nTry-Id: 1", ""),
        ("Customers.0.PerS", "18", ""),
        ("Customers.0.Burst", -1, ""),
        ("Customers.0.PerS", 10**400, ""),
        ("Groups", ..., ""),
        ("Groups.0.Name", ..., ""),
        ("Groups.1.Name", "core", ""),
        ("Groups.0.HealthPath", "/a b", ""),
        ("Groups.0.Warmup", "3", ""),
        ("Groups.0.ColdPerS", "2", ""),
    ],
)
def test_an_invalid_configuration_is_rejected_with_the_path_of_its_field(path, value, field):
    """`field`: the rest of the fault's path after the path that was changed."""
    result = read_configuration(put(valid_configuration(), path, value))
    assert result.is_err() and result.err_value.field == fault_path(path) + field, result


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"null",
        b"[]",
        b'"r7"',
        b"\xff{}",
        b"[" * 100_000,
        b'{"a":' * 5000,
        b"{}",
        json.dumps(valid_configuration()).encode() + b"}",
        json.dumps({"Extra": float("nan"), **valid_configuration()}).encode(),
        json.dumps(valid_configuration()).replace("2.8", "1e999").encode(),
        json.dumps(valid_configuration()).replace("k3", "\\ud800").encode(),
        json.dumps(valid_configuration()).replace("130", "9" * 5000).encode(),
    ],
)
def test_a_body_that_is_no_configuration_is_rejected(body):
    assert configuration_reader.read(body).is_err()


@settings(max_examples=80, deadline=None)
@given(st.data())
def test_a_body_truncated_anywhere_is_rejected(data):
    body = json.dumps(valid_configuration()).encode()
    assert configuration_reader.read(body[: data.draw(st.integers(0, len(body) - 1))]).is_err()


def test_a_fault_quotes_no_api_key():
    fault = read_configuration(put(valid_configuration(), "Customers.1.ApiKeys", ["k-secret", "k1"])).err_value
    assert "anna" in str(fault) and "k1" not in str(fault) and "k-secret" not in str(fault)
