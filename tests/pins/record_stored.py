"""Writes the fixtures of stored data: by hand, only from a text that is known to be right.

`python tests/pins/record_stored.py --root FOLDER` harvests records of every form from runs of the text that stands in
FOLDER, and has it write a data folder and a snapshot."""

import argparse
import json
import shutil
import sys
from pathlib import Path

import cbor2

TESTS = Path(__file__).resolve().parents[1]
DATA = Path(__file__).parent / "data"
CORE_RUNS, WHOLE_RUNS = range(1, 31), range(1, 7)
MOST_BYTES = 2048  # of a record
MOST_RECORDS = 60


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", type=Path, default=TESTS.parent)
    sys.path[:0] = [str(parser.parse_args().root.resolve()), str(TESTS)]
    from pins import adapter
    from pins.record_frames import form

    found: dict[object, tuple[str, bytes]] = {}

    def step(kind: str, at: int, sender: str, receiver: str, data: bytes) -> None:
        if kind == "record" and len(data) <= MOST_BYTES:
            found.setdefault(form(cbor2.loads(data), 4), (sender, data))

    for seed in CORE_RUNS:
        adapter.play_core(seed, 4 if seed % 4 else 6, step)
    for seed in WHOLE_RUNS:
        adapter.play_whole(seed, step)
    chosen = list(found.values())
    chosen = chosen[:: max(1, len(chosen) // MOST_RECORDS)]
    rows = [
        {"node": name, "record": record.hex(), "again": adapter.record_again(record, name).hex()}
        for name, record in chosen
    ]
    (DATA / "records.json").write_text(json.dumps(rows, indent=1) + "\n")
    print(
        f"{len(found)} forms, {len(rows)} records, {sum(row['record'] == row['again'] for row in rows)} the same again"
    )
    shutil.rmtree(DATA / "folder", ignore_errors=True)
    (DATA / "folder").mkdir()
    for row in rows[-2:]:
        adapter.save_into_folder(DATA / "folder", bytes.fromhex(row["record"]))
    (DATA / "system.snapshot").write_bytes(
        adapter.snapshot_of(
            (DATA / "configuration.json").read_bytes(),
            {"Revision": "r7", "Step": 41, "Emptied": ["a1"], "Zones": {"a1": "a", "b1": "b"}, "TakenAt": "2026-12-01"},
        )
    )


if __name__ == "__main__":
    main()
