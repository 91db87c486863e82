"""The log's lines, with the preferred library and with its replacement from the standard library."""

import io
import sys

import pytest

from rampfront.node import log


@pytest.mark.parametrize("library", log.LIBRARIES)
def test_lines_are_the_same_with_either_library(library: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if library == "logging":
        monkeypatch.setitem(sys.modules, "picologging", None)  # as if it were not installed
    assert log.logging_library().__name__ == library
    out = io.StringIO()
    log.Log("n1", out).record("configuration in force", revision=5)
    assert out.getvalue() == "n1 configuration in force revision=5\n"
