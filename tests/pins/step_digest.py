"""A digest over every step of a simulated run: who sent which bytes to whom at which time, what was stored, what was
answered.

Two texts that decide alike give the same digests for all seeds; a rename or a change of shape must not change any. By
hand, from the root of the repository:

    python tests/pins/step_digest.py                  plays all runs of the fixture and says which differ (2 min of
                                                      processor time; `--workers N`, `--first-only N` for fewer runs)
    python tests/pins/step_digest.py --trace whole/3  prints the steps of one run, to be compared with another text's:
                                                      `--root FOLDER` plays the text that stands there
    python tests/pins/step_digest.py --record         writes the fixture: only from a text that is known to be right
"""

import argparse
import json
import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from hashlib import blake2b
from pathlib import Path

TESTS = Path(__file__).resolve().parents[1]
FIXTURE = Path(__file__).parent / "data/step_digests.json"
CORE_OF_4, CORE_OF_6, WHOLE = 160, 40, 40  # seeds that are recorded
RUNS = [
    *(f"core-4/{seed}" for seed in range(1, CORE_OF_4 + 1)),
    *(f"core-6/{seed}" for seed in range(1, CORE_OF_6 + 1)),
    *(f"whole/{seed}" for seed in range(1, WHOLE + 1)),
]


class StepDigest:
    """Takes steps; `value` is the digest of all so far."""

    def __init__(self, trace: bool = False) -> None:
        """`trace`: whether each step is printed."""
        self.hash, self.steps, self.trace = blake2b(digest_size=16), 0, trace

    def step(self, kind: str, at: int, sender: str, receiver: str, data: bytes) -> None:
        """One step of a run. `at`: ns of the simulated clock."""
        head = f"{kind} {at} {sender} {receiver} {len(data)}\n".encode()
        self.hash.update(head + data)
        self.steps += 1
        if self.trace:
            print(f"{at / 1e9:.9f} s  {kind}  {sender} > {receiver}  {data.hex()}")

    @property
    def value(self) -> str:
        """The number of steps and the digest over them."""
        return f"{self.steps} {self.hash.hexdigest()}"


def digest_of(run: str, trace: bool = False) -> str:
    """Plays the run of that name (`core-4/17`, `whole/3`); its digest."""
    from pins import adapter

    kind, seed = run.split("/")
    digest = StepDigest(trace)
    if kind == "whole":
        adapter.play_whole(int(seed), digest.step)
    else:
        adapter.play_core(int(seed), int(kind.removeprefix("core-")), digest.step)
    return digest.value


def digests(runs: Iterable[str], workers: int) -> dict[str, str]:
    """Run to digest; a run that breaks has what it broke with in the place of its digest."""
    with ProcessPoolExecutor(workers) as pool:
        futures = {run: pool.submit(digest_of, run) for run in runs}
    return {
        run: future.result() if future.exception() is None else repr(future.exception())
        for run, future in futures.items()
    }


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--record", action="store_true")
    parser.add_argument("--trace", metavar="RUN")
    parser.add_argument("--workers", type=int, default=3)
    parser.add_argument("--first-only", type=int, metavar="N", help="of each kind of run")
    parser.add_argument("--root", type=Path, default=TESTS.parent, help="where the text stands that is played")
    given = parser.parse_args()
    sys.path[:0] = [str(given.root.resolve()), str(TESTS)]
    if given.trace:
        print(digest_of(given.trace, trace=True))
        return
    most = given.first_only or max(CORE_OF_4, CORE_OF_6, WHOLE)
    found = digests([run for run in RUNS if int(run.split("/")[1]) <= most], given.workers)
    if given.record:
        FIXTURE.write_text(json.dumps(found, indent=1) + "\n")
        return
    wanted = json.loads(FIXTURE.read_text())
    differ = [run for run, value in found.items() if value != wanted[run]]
    for run in differ:
        print(f"{run}: {found[run]}, recorded {wanted[run]}")
    print(f"{len(found)} runs played, {len(differ)} differ")
    sys.exit(bool(differ))


if __name__ == "__main__":
    main()
