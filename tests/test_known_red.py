"""The list of expected test failures: it is bounded, and tolerates only the failures of the tests in it."""

from pathlib import Path

import known_red
import pytest

pytest_plugins = ["pytester"]
ROOT = Path(__file__).parents[1]
LINE = "test_here.py::test_a | a cause | issue 1"
CONFTEST = """
import sys

sys.path.insert(0, {folder!r})
import known_red

KNOWN = {{row.test: row for row in known_red.read({text!r})}}


def pytest_collection_modifyitems(items):
    known_red.expect_failures(items, KNOWN)


def pytest_terminal_summary(terminalreporter):
    known_red.print_outcome(terminalreporter, KNOWN)
"""


def test_at_most_three_are_listed_and_each_is_there() -> None:
    for row in known_red.listed().values():
        path, _, name = row.test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text()
        assert row.issue.startswith("issue ")


@pytest.mark.parametrize("text", ["\n".join([LINE] * 4), "test_here.py::test_a | a cause", "test_a | | issue 1"])
def test_a_longer_list_or_a_line_without_a_cause_is_an_error(text: str) -> None:
    with pytest.raises(ValueError, match="KNOWN-RED"):
        known_red.read(text)


def test_lines_of_crowds_do_not_count_against_the_maximum() -> None:
    crowds = [f"tests/crowds/test_here.py::test_{number} | a cause | issue 1" for number in range(5)]
    assert len(known_red.read("\n".join([LINE] * 3 + crowds))) == 8
    with pytest.raises(ValueError, match="KNOWN-RED"):
        known_red.read("\n".join([LINE] * 4 + crowds))


@pytest.mark.parametrize(
    "body, code, says",
    [
        ("def test_a(): assert 0", 0, "*KNOWN RED failed, as listed: test_here.py::test_a*"),
        ("def test_a(): pass", 1, "*CI FAILS*test_here.py::test_a*"),
        ("def test_a(): raise LookupError", 1, "*CI FAILS*test_here.py::test_a*"),
        ("def test_a(): assert 0\ndef test_b(): assert 0", 1, "FAILED test_here.py::test_b*"),
    ],
)
def test_a_run_passes_over_just_the_listed_failures(pytester: pytest.Pytester, body: str, code: int, says: str) -> None:
    pytester.makeconftest(CONFTEST.format(folder=str(ROOT / "tests"), text=LINE))
    pytester.makepyfile(test_here=body)
    ran = pytester.runpytest_subprocess("-q", "-p", "no:cacheprovider")
    assert ran.ret == code
    ran.stdout.fnmatch_lines([says])


def test_a_listed_test_that_another_run_plays_is_not_mentioned(pytester: pytest.Pytester) -> None:
    pytester.makeconftest(CONFTEST.format(folder=str(ROOT / "tests"), text=LINE))
    pytester.makepyfile(test_here="def test_a(): assert 0\ndef test_b(): pass")
    ran = pytester.runpytest_subprocess("-q", "-p", "no:cacheprovider", "-k", "test_b")
    assert ran.ret == 0
    ran.stdout.no_fnmatch_line("*KNOWN RED*")
