"""The laboratory's child processes, started by `run`: `emulate PLAN SEED LOG` and `load PLAN SEED WORKER TARGETS OUT`.

A load worker says `drawn` once its schedule is drawn, reads the run's start from standard input (Unix ns) and says
what it did as one JSON line at its end. Not meant to be typed; `rampfront lab` and `rampfront load` are.
"""

import sys
from pathlib import Path

import msgspec

from .plan import Experiment


def main(args):
    what, path, seed, *rest = args
    plan = msgspec.json.decode(Path(path).read_bytes(), type=Experiment)
    if what == "emulate":
        from .emulator import serve

        return serve(plan, int(seed), rest[0])
    from .client import run_worker
    from .schedule import arrivals

    worker, targets, out = int(rest[0]), rest[1].split(","), rest[2]
    due = arrivals(plan, int(seed), worker, plan.load.workers)
    print("drawn", flush=True)
    start = int(sys.stdin.readline())
    done = run_worker(
        {"plan": plan, "seed": int(seed), "worker": worker, "due": due, "targets": targets, "start": start, "out": out}
    )
    print(msgspec.json.encode(done).decode(), flush=True)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
