"""Fixtures of the operators' command line."""

import json

import pytest
from cli_fixtures import ScriptedNodes


@pytest.fixture
def scripted_nodes():
    return ScriptedNodes()


@pytest.fixture
def file(tmp_path):
    def write(data):
        path = tmp_path / "c.json"
        path.write_text(json.dumps(data))
        return str(path)

    return write
