"""What messages cost a node's process, of two texts that take the same steps: by hand.

    python tests/pins/message_cost.py BEFORE NOW [--rounds 7] [--modes handled,codec,run]

BEFORE and NOW each name a folder with the text, or `FOLDER,TESTS` where the `pins/adapter.py` that fits it stands in
another folder TESTS. The texts play the same simulated runs of whole nodes in turn, in processes of their own. As they
take the same steps, the processor time of each single frame can be compared:

- `handled`: of a node to decode the frame, to act on it, and to encode and send what it answers;
- `codec`: to decode, check and encode each frame of the fixture, as far as the text does that in its codec. A text that
  checks its fields where it uses them seems cheaper here than it is;
- `run`: of all that a run takes.

Of each frame the median and the least of its times over the rounds are taken; printed is the sum over the frames of a
kind, and its ratio. On a busy machine single rounds differ by half, and medians by a tenth: the least times are the
steadier ones. Two names of one text show how far apart equal ones come out.
"""

import argparse
import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from statistics import median
from time import thread_time_ns
from typing import Any

FRAMES = Path(__file__).parent / "data/frames.json"
SEEDS = (1, 2, 3)
CODEC_TURNS = 40
ARGUMENTS = 2  # of what takes a frame: the sender and the bytes


Times = list[tuple[str, int]]  # kind and ns of each frame, in the order of the run


def handled() -> Times:
    """Of the frames of some runs."""
    import cbor2
    from pins import adapter

    from rampfront.simulation.system_run import SystemRun

    times: Times = []
    for seed in SEEDS:
        run = SystemRun(seed)
        do = run.fleet.do

        def timed(machine: Any, life: int, act: Any, *args: Any, do: Any = do) -> None:
            is_frame = len(args) == ARGUMENTS and type(args[0]) is str and type(args[1]) is bytes
            if not is_frame or machine.frozen:
                do(machine, life, act, *args)
                return
            kind = cbor2.loads(adapter.plain_frame(args[1]))["k"]
            began = thread_time_ns()
            do(machine, life, act, *args)
            times.append((kind, thread_time_ns() - began))

        run.fleet.do = timed
        run.play()
    return times


def codec() -> Times:
    """Of the frames of the fixture."""
    from pins import adapter

    fixture = json.loads(FRAMES.read_text())
    bodies = [bytes.fromhex(row) for row in fixture["bodies"]]
    times = []
    for kind, rows in fixture["frames"].items():
        for frame in map(bytes.fromhex, rows):
            turns = []
            for _ in range(CODEC_TURNS):
                began = thread_time_ns()
                adapter.again(frame, bodies)
                turns.append(thread_time_ns() - began)
            times.append((kind, min(turns)))
    return times


def run() -> Times:
    """Of whole runs."""
    from rampfront.simulation.system_run import SystemRun

    times = []
    for seed in SEEDS:
        began = thread_time_ns()
        SystemRun(seed).play()
        times.append(("all", thread_time_ns() - began))
    return times


MODES = {"handled": handled, "codec": codec, "run": run}


def measured(text: str, mode: str) -> Times:
    """What a process of its own measures of a text."""
    command = [sys.executable, __file__, "--child", text, mode]
    return json.loads(subprocess.run(command, stdout=subprocess.PIPE, check=True, timeout=600).stdout)


def in_turn(texts: list[str], mode: str, backwards: bool) -> list[Times]:
    """A round; every other one goes backwards."""
    found = {text: measured(text, mode) for text in (reversed(texts) if backwards else texts)}
    return [found[text] for text in texts]


def summed(kinds: list[str], rounds: list[list[Times]], choose: Callable) -> dict[str, list[float]]:
    """Kind to ns of all its frames, by text; of each frame its times over the rounds go through `choose`."""
    found: dict[str, list[float]] = {}
    for text in range(len(rounds[0])):
        for frame, kind in enumerate(kinds):
            found.setdefault(kind, [0.0] * len(rounds[0]))[text] += choose([each[text][frame][1] for each in rounds])
    return found


def child(text: str, mode: str) -> None:
    """Measures in this process."""
    root, _, tests = text.partition(",")
    sys.path[:0] = [root, tests or f"{root}/tests"]
    print(json.dumps(MODES[mode]()))


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("texts", nargs=2)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--modes", default=",".join(MODES))
    given = parser.parse_args()
    for mode in given.modes.split(","):
        rounds = [in_turn(given.texts, mode, backwards=bool(number % 2)) for number in range(given.rounds)]
        kinds = [kind for kind, _ in rounds[0][0]]
        if any([kind for kind, _ in times] != kinds for texts in rounds for times in texts):
            sys.exit("the texts do not take the same steps")
        print(f"{mode:8} {'frames':>7} {'µs before':>10} {'µs now':>10} {'ratio':>7} {'of least':>9}")
        middle, least = (summed(kinds, rounds, choose) for choose in (median, min))
        for kind, (before, now) in sorted(middle.items()):
            frames, ratio = kinds.count(kind), least[kind][1] / least[kind][0]
            print(
                f"{kind:8} {frames:7} {before / frames / 1000:10.2f} {now / frames / 1000:10.2f} {now / before:7.3f} "
                f"{ratio:9.3f}"
            )


if __name__ == "__main__":
    if sys.argv[1:2] == ["--child"]:
        child(*sys.argv[2:])
    else:
        main()
