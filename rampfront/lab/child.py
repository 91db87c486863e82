"""The laboratory's child processes, which `run` starts: `emulate PLAN SEED LOG`, `load PLAN SEED WORKER TARGETS OUT`.

A load worker prints `drawn` when its schedule has been drawn, reads the start of the run from standard input (Unix time
in ns) and prints its result as one JSON line at the end. The commands for users are `rampfront lab` and `rampfront
load`.
"""

import sys
from pathlib import Path

import msgspec

from .plan import Experiment


def main(args):
    """Runs the child process that the arguments name, until it is stopped (`emulate`) or its schedule is complete
    (`load`)."""
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
