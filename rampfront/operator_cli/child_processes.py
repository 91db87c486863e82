"""Starts, monitors, restarts and ends the nodes of a small system, which run as child processes."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from .control_answers import Json
from .local_layout import GRACE_S, LocalSystemError

ROOT = Path(__file__).resolve().parents[2]  # of the repository
LOG_TAIL_LINES = 12  # of a child's log, printed after a failure
RESTART_DELAY_S = 1.0  # from the exit of a node's process until its restart
MAX_EXITS = 5  # of one node within EXIT_WINDOW_S; then the system is ended
EXIT_WINDOW_S = 60.0
EXTRA_GRACE_S = 8.0  # in addition to GRACE_S until a child is killed, since the machine may be busy
POLL_INTERVAL_S = 0.05


def child_environment() -> dict[str, str]:
    """Returns this process's environment with its import paths in `PYTHONPATH`, so that a child finds the same
    libraries."""
    paths = [str(ROOT), *(path for path in sys.path if path and os.path.isdir(path) and path != str(ROOT))]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}


class ChildProcesses:
    """The child processes by the name of their node. The settings and the log of each are files in the folder."""

    def __init__(self, folder: Path) -> None:
        """Starts no process."""
        self._folder = folder
        self.by_name: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, command: Sequence[str], settings: Json) -> None:
        """Starts or restarts a node's process. It appends to the log of an earlier one."""
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1))
        with open(self._folder / f"{name}.log", "ab") as log:
            self.by_name[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**child_environment(), "RAMPFRONT_SETTINGS": str(path)},
            )

    def check_running(self) -> None:
        """Raises `LocalSystemError` if a child has exited."""
        for name, child in self.by_name.items():
            if child.poll() is not None:
                raise LocalSystemError(f"{name} ended with status {child.returncode}\n{self.log_tail(name)}")

    def log_tail(self, *names: str) -> str:
        """Returns the last lines of the logs of these nodes, or of all nodes if none is named."""
        lines: list[str] = []
        for name in names or self.by_name:
            path = self._folder / f"{name}.log"
            if path.exists():
                lines += path.read_text("utf-8", "replace").splitlines()[-LOG_TAIL_LINES:]
        return "\n".join(lines)

    async def end(self) -> dict[str, int]:
        """Ends all children with SIGTERM, and after a grace period with SIGKILL; returns their exit codes by name."""
        for child in self.by_name.values():
            if child.poll() is None:
                child.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + GRACE_S + EXTRA_GRACE_S
        while any(child.poll() is None for child in self.by_name.values()) and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
        for child in self.by_name.values():
            if child.poll() is None:
                child.kill()
            child.wait()
        return {name: child.returncode for name, child in self.by_name.items()}


class RestartHistory:
    """The times at which each node's processes exited, to detect a node that exits repeatedly."""

    def __init__(self) -> None:
        """Starts without exits."""
        self._exits: dict[str, list[tuple[int, float]]] = {}  # by name: process id and time, the newest last

    def record_exit(self, name: str, pid: int, now_s: float) -> bool:
        """Records that a process has exited; returns False if its exit is already recorded."""
        exits = self._exits.setdefault(name, [])
        if exits and exits[-1][0] == pid:
            return False
        exits.append((pid, now_s))
        del exits[:-MAX_EXITS]
        return True

    def crash_loop_duration_s(self, name: str, now_s: float) -> float | None:
        """Returns how long a node's last `MAX_EXITS` exits took; None if fewer, or not within `EXIT_WINDOW_S`."""
        exits = self._exits[name]
        if len(exits) < MAX_EXITS or now_s - exits[0][1] >= EXIT_WINDOW_S:
            return None
        return now_s - exits[0][1]

    def is_restart_due(self, name: str, now_s: float) -> bool:
        """Returns whether `RESTART_DELAY_S` has passed since a node's last exit."""
        return now_s - self._exits[name][-1][1] >= RESTART_DELAY_S
