"""Runs an experiment: emulator, edge nodes and load workers as processes, one repeat after the other.

A repeat leaves a folder with `plan.json`, `manifest.json`, `load-W.npy`, `emulator.json`, `admissions.npy`,
`faults.jsonl`, `usage.jsonl` (CPU, memory and descriptors each second) and the nodes' logs. `report` reads nothing
else.
"""

import json
import os
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import orjson

from .faults import timeline
from .nodes import Node, RunFailedError, http_request, open_descriptors, process_usage, with_cpu_affinity
from .plan import changed

SEC = 10**9
START_DELAY_S = 1.0  # from the time when all processes are ready to the start of the run


def spawn(args, cores, log, **options):
    """Starts a child process of the laboratory, pinned to `cores` if there are any."""
    return subprocess.Popen(
        with_cpu_affinity([sys.executable, "-m", "rampfront.lab.child", *args], cores),
        stderr=log,
        cwd=Path(__file__).parents[2],
        text=True,
        **options,
    )


class Repeat:
    """One repeat. After `play()`, even if it fails, no process of it is left."""

    def __init__(self, plan, seed, folder):
        """`folder`: for the results."""
        self.plan, self.seed, self.folder = plan, seed, Path(folder)
        self.nodes, self.workers, self.emulator = [], [], None
        self.samples, self.previous_usage = [], {}

    def play(self):
        """Runs the repeat and returns its folder. Raises RunFailedError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        if any(self.folder.glob("load-*.npy")):
            raise RunFailedError(f"{self.folder} already holds a run")
        plan_file = self.folder / "plan.json"
        plan_file.write_bytes(msgspec.json.format(msgspec.json.encode(self.plan)))
        with open(self.folder / "lab.log", "ab") as log:
            try:
                self.start_processes(plan_file, log)
                self.run_faults_and_sample()
                return self.collect_results()
            finally:
                for process in [*self.workers, self.emulator]:
                    if process is not None and process.poll() is None:
                        process.kill()
                        process.wait()
                for node in self.nodes:
                    node.end()

    def start_processes(self, plan_file, log):
        """Starts the emulator, the nodes and the workers, and tells them the start of the run."""
        plan, pin = self.plan, self.plan.pin
        self.emulator = spawn(
            ["emulate", str(plan_file), str(self.seed), str(self.folder / "faults.jsonl")],
            pin.emulator,
            log,
            stdout=subprocess.PIPE,
        )
        line = self.emulator.stdout.readline()
        if not line:
            raise RunFailedError(f"the emulator did not start; see {self.folder / 'lab.log'}")
        self.addresses = json.loads(line)
        self.nodes = [Node(plan, k, self.addresses, self.seed, self.folder).start() for k in range(plan.topology.nodes)]
        for node in self.nodes:
            node.wait_until_ready()
        targets = [f"{node.listen}/{node.mqtt}" if node.mqtt else node.listen for node in self.nodes]
        targets = targets or [row["endpoint"] for row in self.addresses["boxes"]]
        # Workers draw their schedules before they are told the start, since that takes some time.
        for worker in range(plan.load.workers):
            cores = [pin.load[worker % len(pin.load)]] if pin.load else []
            self.workers.append(
                spawn(
                    [
                        "load",
                        str(plan_file),
                        str(self.seed),
                        str(worker),
                        ",".join(targets),
                        str(self.folder / f"load-{worker}.npy"),
                    ],
                    cores,
                    log,
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                )
            )
        for process in self.workers:
            if process.stdout.readline() != "drawn\n":
                raise RunFailedError(f"a load worker did not start; see {self.folder / 'lab.log'}")
        self.start = time.time_ns() + int(START_DELAY_S * SEC)
        status, body = http_request(self.addresses["control"], f"/begin?at={self.start}", "POST")
        if status != 204:
            raise RunFailedError(f"the emulator did not start the run: {body.decode(errors='replace')}")
        for process in self.workers:
            process.stdin.write(f"{self.start}\n")
            process.stdin.flush()

    def run_faults_and_sample(self):
        """Applies the faults of nodes and samples the processes until the workers have ended."""
        events = [e for e in timeline(self.plan, self.seed) if e.target.startswith("node:")]
        next_sample_at = self.start
        end_by = self.start + int(
            (self.plan.duration_s + 3 * max(p.expiry_ms for p in self.plan.products) / 1000 + 60) * SEC
        )
        with open(self.folder / "usage.jsonl", "wb") as file, open(self.folder / "faults.jsonl", "ab") as faults:
            while any(process.poll() is None for process in self.workers):
                now = time.time_ns()
                while events and now >= self.start + events[0].at:
                    event = events.pop(0)
                    self.nodes[int(event.target.partition(":")[2])].apply_fault(event.kind, event.on)
                    late_ms = (time.time_ns() - self.start - event.at) / 1e6
                    faults.write(orjson.dumps({**event.as_log_row(), "late_ms": round(late_ms, 3)}) + b"\n")
                    faults.flush()
                if now >= next_sample_at:
                    file.write(orjson.dumps(self.sample_usage((now - self.start) / SEC)) + b"\n")
                    next_sample_at += SEC
                if now > end_by:
                    raise RunFailedError("the load workers did not end in time")
                following = min([next_sample_at, *(self.start + e.at for e in events[:1])])
                time.sleep(max(0.002, min(0.05, (following - time.time_ns()) / SEC)))

    def sample_usage(self, at):
        """Returns the CPU cores used since the last sample, the resident MB and the descriptors of each process."""
        row = {"at": round(at, 3)}
        rows = [(f"node-{n.number}", n.process.pid, n.cpu_seconds()) for n in self.nodes]
        rows += [(f"load-{k}", p.pid, process_usage(p.pid)[0]) for k, p in enumerate(self.workers)]
        rows += [("emulator", self.emulator.pid, process_usage(self.emulator.pid)[0])]
        for name, pid, cpu in rows:
            previous_at, previous_cpu = self.previous_usage.get(name, (at - 1.0, cpu))
            self.previous_usage[name] = (at, cpu)
            row[name] = {
                "cores": round((cpu - previous_cpu) / max(at - previous_at, 1e-3), 3),
                "mb": round(process_usage(pid)[1] / 1e6, 1),
                "fds": open_descriptors(pid),
            }
        return row

    def wait_for_decisions(self, max_wait_s=60.0, quiet_s=2.5):
        """Waits until the collector, if there is one, has got nothing new for `quiet_s`: nodes may send buffered
        decisions after the end of the load."""
        deadline, previous_count, changed_at = time.monotonic() + max_wait_s, -1, time.monotonic()
        while self.plan.topology.collector and time.monotonic() < deadline:
            count = orjson.loads(http_request(self.addresses["control"], "/state", timeout_s=10.0)[1])["collector"][
                "messages"
            ]
            if count != previous_count:
                previous_count, changed_at = count, time.monotonic()
            elif time.monotonic() - changed_at > quiet_s:
                return
            time.sleep(0.2)

    def collect_results(self):
        """Waits for the workers, saves all results and returns the folder."""
        worker_results = []
        for k, process in enumerate(self.workers):
            if process.wait():
                raise RunFailedError(
                    f"load worker {k} ended with status {process.returncode}; see {self.folder / 'lab.log'}"
                )
            worker_results.append(json.loads(process.stdout.read()))
        self.wait_for_decisions()
        http_request(self.addresses["control"], f"/dump?dir={self.folder.resolve()}", "POST", timeout_s=30.0)
        for node in self.nodes:
            node.check_running()
        for node in self.nodes:
            node.end()
        manifest = {
            "name": self.plan.name,
            "seed": self.seed,
            "start": self.start,
            "workers": worker_results,
            "cores": os.cpu_count(),
            "node_totals": [node.totals() for node in self.nodes],
            "node_starts": [node.starts for node in self.nodes],
        }
        (self.folder / "manifest.json").write_bytes(orjson.dumps(manifest, option=orjson.OPT_INDENT_2))
        if not (self.folder / "emulator.json").exists():
            raise RunFailedError("the emulator wrote no counts")
        return self.folder


def play(plan, out, report_progress=lambda text: None):
    """Runs every repeat of the plan under `out/seed-N`, and returns their folders."""
    folders = []
    for seed in range(plan.seed, plan.seed + plan.repeats):
        report_progress(f"{plan.name}, seed {seed}: {plan.duration_s:g} s")
        folders.append(Repeat(changed(plan, seed=seed, repeats=1), seed, Path(out) / f"seed-{seed}").play())
    return folders
