"""Writes the fixture of frames: by hand, only from a text that is known to be right.

`python tests/pins/record_frames.py --root FOLDER` harvests frames of every kind and form from runs of the text that
stands in FOLDER."""

import argparse
import json
import sys
from hashlib import blake2b
from pathlib import Path
from typing import Any

import cbor2

TESTS = Path(__file__).resolve().parents[1]
FIXTURE = Path(__file__).parent / "data/frames.json"
CORE_RUNS, WHOLE_RUNS = range(1, 41), range(1, 13)
MOST_BYTES = 4096  # of a frame
MOST_OF_A_KIND = 120


def form(value: Any, depth: int = 3) -> object:
    """What two frames of one form have in common: keys and types, rows of a list by their kinds."""
    if depth and isinstance(value, dict):
        return tuple((key, form(each, depth - 1)) for key, each in value.items())
    if depth and isinstance(value, list):
        return ("list", *(dict.fromkeys(form(each, depth - 1) for each in value)))
    return type(value).__name__


class Harvest:
    """Frames by kind and form, the first two of each form."""

    def __init__(self) -> None:
        """Empty."""
        self.frames: dict[str, dict[object, list[bytes]]] = {}
        self.bodies: dict[bytes, bytes] = {}

    def step(self, what: str, at: int, sender: str, receiver: str, data: bytes) -> None:
        """A step of a run."""
        if what != "frame" or len(data) > MOST_BYTES:
            return
        plain = cbor2.loads(data)
        if plain["k"] == "order" and plain["o"] == "config":
            body = plain["b"][1]
            self.bodies[blake2b(body, digest_size=8).digest()] = body
        found = self.frames.setdefault(plain["k"], {}).setdefault(form(plain), [])
        if len(found) < 2 and data not in found:
            found.append(data)

    def needed_bodies(self) -> list[str]:
        """The configurations that replies leave out, as their receiver holds them."""
        replies = [cbor2.loads(data) for found in self.frames["said"].values() for data in found]
        marks = {reply["S"][4] for reply in replies if "S" in reply and reply["S"][3] is None}
        return sorted(body.hex() for mark, body in self.bodies.items() if mark in marks)

    def rows(self) -> dict[str, list[str]]:
        """Kind to frames in hex: one of each form first, then others."""
        made = {}
        for kind, forms in sorted(self.frames.items()):
            chosen = [found[0] for found in forms.values()] + [each for found in forms.values() for each in found[1:]]
            made[kind] = [data.hex() for data in chosen[:MOST_OF_A_KIND]]
        return made


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", type=Path, default=TESTS.parent)
    sys.path[:0] = [str(parser.parse_args().root.resolve()), str(TESTS)]
    from pins import adapter

    harvest = Harvest()
    for seed in CORE_RUNS:
        adapter.play_core(seed, 4 if seed % 4 else 6, harvest.step)
    for seed in WHOLE_RUNS:
        adapter.play_whole(seed, harvest.step)
    rows = harvest.rows()
    fixture = {"frames": rows, "bodies": harvest.needed_bodies()}
    FIXTURE.write_text(json.dumps(fixture, indent=1) + "\n")
    for kind, frames in rows.items():
        print(f"{kind}: {len(harvest.frames[kind])} forms, {len(frames)} frames, {sum(map(len, frames)) // 2} bytes")


if __name__ == "__main__":
    main()
