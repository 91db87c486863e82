"""The journal commands of the command line, and the `journal` table of the configuration."""

import pytest
from helper import config
from journal_fixtures import intent, outcome
from typer.testing import CliRunner

from rampfront.cli import app
from rampfront.edge.configuration import read_configuration
from rampfront.edge.configuration_checks import ConfigurationError
from rampfront.journal.journal_settings import JournalSettings
from rampfront.journal.records import encode_record
from rampfront.journal.segment_store import SegmentStore, segment_paths


def test_the_command_line_tells_what_was_sent_where_and_when(tmp_path):
    store = SegmentStore(JournalSettings(tmp_path, "n0"))
    store.append([encode_record(intent(1)), encode_record(intent(2, "s2")), encode_record(outcome(1))], [1, 2])
    store.close()
    run = CliRunner().invoke
    assert (
        "#1 id1 ledger-entry account a to s1, try 1: settled after 1.0 ms"
        in run(app, ["journal", "show", str(tmp_path)]).output
    )
    result = run(app, ["journal", "query", str(tmp_path), "--doubt", "--box", "s2"])
    assert result.exit_code == 0 and "id2" in result.output and "id1" not in result.output
    assert run(app, ["journal", "query", str(tmp_path), "--id", "id9"]).exit_code == 1
    assert run(app, ["journal", "verify", str(tmp_path)]).exit_code == 0
    path = segment_paths(tmp_path)[0]
    data = bytearray(path.read_bytes())
    data[-30] ^= 1
    path.write_bytes(data)
    result = run(app, ["journal", "verify", str(tmp_path)])
    assert result.exit_code == 1 and path.name in result.output and "checksum" in result.output
    assert run(app, ["journal", "verify", str(tmp_path / "none")]).exit_code == 2


def test_a_faulty_journal_table_is_named(tmp_path):
    for faulty in ({}, {"dir": 3}, {"dir": "x", "batch_ms": -1}, {"dir": "x", "most_mb": 1, "segment_mb": 1}):
        with pytest.raises(ConfigurationError, match="journal"):
            read_configuration({**config(), "journal": faulty}, {})
    assert read_configuration({**config(), "journal": {"dir": str(tmp_path)}}, {}).journal.batch_delay_ns == 2_000_000
