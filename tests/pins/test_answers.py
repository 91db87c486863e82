"""Answers to operators' calls, as they came from the nodes of a simulated run, and what the operators' program makes of
them. The fixtures are written by `record_answers.py`. Names of metrics and events of the log are not pinned."""

import json
from pathlib import Path
from typing import Any

import pytest
from pins import record_answers

DATA = Path(__file__).parent / "data"
ROWS = json.loads((DATA / "answers.json").read_text())
VIEWS = json.loads((DATA / "views.json").read_text())
ORDERS = {"config.replace", "empty.start", "empty.finish"}


@pytest.fixture(scope="module")
def rows() -> list[dict[str, Any]]:
    """The answers of this text."""
    return json.loads(json.dumps(record_answers.answers()))


def test_every_call_is_answered_as_before(rows: list[dict[str, Any]]) -> None:
    """Status, headers and body, byte for byte, in the same order."""
    for row, recorded in zip(rows, ROWS, strict=True):
        assert row == recorded


def test_the_fixture_holds_good_and_bad_answers_of_every_call() -> None:
    found = {(row["ask"][4], row["status"] // 100) for row in ROWS}
    assert {(call, group) for call in ORDERS for group in (2, 4)} <= found
    assert {("config.read", 2), ("config.read", 4), ("config.read", 5), ("config.replace", 5)} <= found
    assert {row["ask"][4] for row in ROWS} >= {"state.read", "nodes.read", "servers.read", "quotas.read"}


def in_form(view: dict[str, Any]) -> dict[str, Any]:
    """A view, with texts for people reduced to whether, or how often, something is said."""
    counted = {"Amiss": len, "Why": bool, "WayOut": bool}
    return {name: counted[name](value) if name in counted else value for name, value in view.items()}


def test_the_operators_program_tells_the_same_of_them() -> None:
    views = json.loads(json.dumps(record_answers.views(ROWS)))
    assert list(views) == list(VIEWS)
    for name, view in views.items():
        assert list(view) == list(VIEWS[name])
        assert in_form(view) == in_form(VIEWS[name]), name
