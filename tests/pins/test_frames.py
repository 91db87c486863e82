"""Frames between nodes keep their bytes: nodes of two versions run side by side.

The fixture holds frames of every kind and form, harvested from simulated runs by `record_frames.py`."""

import json
from pathlib import Path

import cbor2
import pytest
from pins import adapter

FIXTURE = json.loads((Path(__file__).parent / "data/frames.json").read_text())
FRAMES = {kind: [bytes.fromhex(row) for row in rows] for kind, rows in FIXTURE["frames"].items()}
BODIES = [bytes.fromhex(row) for row in FIXTURE["bodies"]]
CORE = "knock seek at ask may run aye nay beat full ack quit"
KINDS = sorted(f"{CORE} hail word sight dim add sum order said".split())


def test_the_fixture_holds_every_kind() -> None:
    assert sorted(FRAMES) == KINDS
    assert all(cbor2.loads(frame)["k"] == kind for kind, frames in FRAMES.items() for frame in frames)


@pytest.mark.parametrize("kind", KINDS)
def test_a_frame_that_is_decoded_and_encoded_again_has_the_same_bytes(kind: str) -> None:
    for frame in FRAMES[kind]:
        assert adapter.again(frame, BODIES).hex() == frame.hex()
