"""The laboratory's child processes, started by `run`: `emulate PLAN SEED LOG` and `load PLAN SEED WORKER TARGETS OUT`.

A load worker says `drawn` once its schedule is drawn, reads the run's start from standard input (Unix ns) and says
what it did as one JSON line at its end. Not meant to be typed; `rampfront lab` and `rampfront load` are.
"""

import sys
from pathlib import Path

import msgspec

from .plan import Experiment


def main(args):
    command, path, seed, *arguments = args
    plan = msgspec.json.decode(Path(path).read_bytes(), type=Experiment)
    if command == "emulate":
        from .emulator import serve

        return serve(plan, int(seed), arguments[0])
    from .client import run_worker
    from .schedule import arrivals

    worker, targets, out = int(arguments[0]), arguments[1].split(","), arguments[2]
    schedule = arrivals(plan, int(seed), worker, plan.load.workers)
    print("drawn", flush=True)
    start = int(sys.stdin.readline())
    result = run_worker(
        {
            "plan": plan,
            "seed": int(seed),
            "worker": worker,
            "due": schedule,
            "targets": targets,
            "start": start,
            "out": out,
        }
    )
    print(msgspec.json.encode(result).decode(), flush=True)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
