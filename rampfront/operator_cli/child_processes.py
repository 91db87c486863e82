"""The nodes of a small system as child processes: started, watched, restarted and ended."""

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
LOG_TAIL_LINES = 12  # of a child's log that a failure shows
RESTART_DELAY_S = 1.0  # from a node's end until it is started again
MAX_ENDS = 5  # of one node within the window: then the system is given up
ENDS_WINDOW_S = 60.0
EXTRA_GRACE_S = 8.0  # beside the grace until a child is killed: the machine may be busy
POLL_INTERVAL_S = 0.05


def child_environment() -> dict[str, str]:
    """Returns this process's environment, with what it imports from in front, so that a child finds the same
    libraries."""
    paths = [str(ROOT), *(path for path in sys.path if path and os.path.isdir(path) and path != str(ROOT))]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}


class ChildProcesses:
    """The child processes by their node's name; each has its settings and its log in the folder."""

    def __init__(self, folder: Path) -> None:
        """None is started yet."""
        self._folder = folder
        self.by_name: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, command: Sequence[str], settings: Json) -> None:
        """Starts a node's process, or starts it again; its log goes on."""
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
        """Raises `LocalSystemError` if a child has ended."""
        for name, child in self.by_name.items():
            if child.poll() is not None:
                raise LocalSystemError(f"{name} ended with status {child.returncode}\n{self.log_tail(name)}")

    def log_tail(self, *names: str) -> str:
        """Returns the last lines of the logs of these nodes, or of all."""
        lines: list[str] = []
        for name in names or self.by_name:
            path = self._folder / f"{name}.log"
            if path.exists():
                lines += path.read_text("utf-8", "replace").splitlines()[-LOG_TAIL_LINES:]
        return "\n".join(lines)

    async def end(self) -> dict[str, int]:
        """Ends all children, first by SIGTERM and then by SIGKILL; returns their exit codes by name."""
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
    """When each node ended lately, to give up one that ends again and again."""

    def __init__(self) -> None:
        """Nothing has ended."""
        self._ends: dict[str, list[tuple[int, float]]] = {}  # by name: process id and time, the newest last

    def record_end(self, name: str, pid: int, now_s: float) -> bool:
        """Notes that a process has ended; returns whether that is news."""
        ends = self._ends.setdefault(name, [])
        if ends and ends[-1][0] == pid:
            return False
        ends.append((pid, now_s))
        del ends[:-MAX_ENDS]
        return True

    def time_since_first_s(self, name: str, now_s: float) -> float | None:
        """Returns how long `MAX_ENDS` ends of a node took, if that is within the window; otherwise None."""
        ends = self._ends[name]
        if len(ends) < MAX_ENDS or now_s - ends[0][1] >= ENDS_WINDOW_S:
            return None
        return now_s - ends[0][1]

    def is_restart_due(self, name: str, now_s: float) -> bool:
        """Whether the pause behind a node's last end is over."""
        return now_s - self._ends[name][-1][1] >= RESTART_DELAY_S
