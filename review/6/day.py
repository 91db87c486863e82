"""Plays day.toml on three seeds, with the bench that FLEETBENCH names, and prints the rules that it breaks."""

import json
import os
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
ROOT = HERE.parents[1]
SITE = "qspd-edge"


def play_day(seeds=(1, 2, 3)):
    """Returns on how many seeds RECOVER is broken."""
    bench = Path(os.environ.get("FLEETBENCH", ROOT.parent / "given/kit/more/system/bin/fleetbench"))
    site = bench.parents[1] / "sites" / f"{SITE}.toml"
    broken = 0
    for seed in seeds:
        report = HERE / "report.json"
        command = [bench, "run", site, HERE / "day.toml", "--seed", str(seed), "--report", report]
        subprocess.run(command, cwd=ROOT, stdout=subprocess.DEVNULL, check=False)
        breaks = json.loads(report.read_text())["breaks"]
        print(f"seed {seed}: {breaks}")
        broken += "RECOVER" in breaks
    return broken


if __name__ == "__main__":
    sys.exit(1 if play_day() >= 2 else 0)
