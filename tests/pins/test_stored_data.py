"""What a version before wrote is read by this one, and this one writes the same bytes. The fixtures are written by
`record_stored.py`."""

import json
import shutil
import subprocess
import sys
from pathlib import Path

import cbor2
import pytest
from pins import adapter

DATA = Path(__file__).parent / "data"
RECORDS = json.loads((DATA / "records.json").read_text())
# Of a version that counted operators: their zones are evacuated by a register now, which one restoration clears.
OLDER_RECORDS = json.loads((DATA / "older_records.json").read_text())
SNAPSHOT = {
    "Revision": "r7",
    "Step": 41,
    "Emptied": ["a1"],
    "Zones": {"a1": "a", "b1": "b"},
    "TakenAt": "2026-12-01",
    "Bytes": 1303,
    "Tenants": 4,
    "Services": 2,
}


@pytest.mark.parametrize("row", [*RECORDS, *OLDER_RECORDS], ids=range(len(RECORDS) + len(OLDER_RECORDS)))
def test_a_record_is_read_and_written_again_as_before(row: dict[str, str]) -> None:
    assert adapter.record_again(bytes.fromhex(row["record"]), row["node"]).hex() == row["again"]


def test_most_records_are_written_again_with_the_bytes_that_were_read() -> None:
    """The others name a committed entry beside a newer one, which a start forgets."""
    assert sum(row["record"] == row["again"] for row in RECORDS) > len(RECORDS) // 2


@pytest.mark.parametrize("row", OLDER_RECORDS, ids=range(len(OLDER_RECORDS)))
def test_a_record_that_counts_operators_keeps_its_zones_evacuated_without_the_counts(row: dict[str, str]) -> None:
    older, again = (cbor2.loads(bytes.fromhex(row[name])) for name in ("record", "again"))
    zones, operators = older[5][5], older[5][8]
    assert again[5][5] == zones and {name for name, *_ in operators} <= set(zones)
    assert operators and again[5][8] == []


def test_a_data_folder_is_read_and_written_on(tmp_path: Path) -> None:
    folder = tmp_path / "folder"
    shutil.copytree(DATA / "folder", folder)
    newest = bytes.fromhex(OLDER_RECORDS[-1]["record"])
    assert adapter.load_folder(folder) == newest
    adapter.save_into_folder(folder, newest + b"next")
    assert adapter.load_folder(folder) == newest + b"next"


def test_a_snapshot_is_read_and_written_again_as_before() -> None:
    raw = (DATA / "system.snapshot").read_bytes()
    head = {name: SNAPSHOT[name] for name in ("Revision", "Step", "Emptied", "Zones", "TakenAt")}
    assert adapter.snapshot_of((DATA / "configuration.json").read_bytes(), head) == raw


def test_the_program_verifies_a_snapshot_as_before() -> None:
    command = [sys.executable, "-m", "rampfront.operator_cli", "snapshot", "verify", DATA / "system.snapshot", "--json"]
    done = subprocess.run(command, capture_output=True, check=True, cwd=DATA.parents[2], timeout=60)
    assert json.loads(done.stdout) == SNAPSHOT
