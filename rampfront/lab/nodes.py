"""Edge nodes as processes: started with their own configuration, monitored, killed and restarted as faults require.

This module owns the processes and their files in the run's folder. It learns what a node decided only from the node's
log and responses.
"""

import http.client
import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from collections import deque
from pathlib import Path

import orjson

from . import plan as plans

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TCP_LISTEN = "0A"  # state of a listening socket in /proc/net/tcp
MAX_PORT_TRIES = 10_000  # before the search for a free port fails
_recent_ports: deque[int] = deque(maxlen=500)  # returned last; their nodes may not have bound them yet


class RunFailedError(Exception):
    """A run failed, or its results may not be reported; the message says why."""


def free_port(host="127.0.0.1", low=20000, high=32000):
    """Returns a free port below the range that the system uses for outgoing connections, since a connection of this or
    another run could take a port of that range before the node starts. Ports returned recently are skipped: a node that
    has not bound its port yet would otherwise get the same one as the next node. Raises RunFailedError if no port is
    free."""
    for _ in range(MAX_PORT_TRIES):
        port = low + secrets.randbelow(high - low)
        if port in _recent_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        _recent_ports.append(port)
        return port
    raise RunFailedError(f"no port between {low} and {high} is free")


def process_usage(pid):
    """Returns the CPU seconds and resident bytes of a process; (0, 0) if it has ended."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, int(fields[21]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0.0, 0


def open_descriptors(pid):
    """Returns the number of file descriptors that a process has open; 0 if it has ended."""
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0


def listens_at(pid, port):
    """Returns whether a process has a TCP socket that listens at this port of an IPv4 address; False if it has
    ended."""
    with open("/proc/net/tcp") as file:
        rows = [line.split() for line in file][1:]
    inodes = {row[9] for row in rows if row[3] == TCP_LISTEN and int(row[1].rpartition(":")[2], 16) == port}
    try:
        descriptors = [os.readlink(entry.path) for entry in os.scandir(f"/proc/{pid}/fd")]
    except OSError:
        return False
    return any(f"socket:[{inode}]" in descriptors for inode in inodes)


def http_request(address, path, method="GET", timeout_s=2.0):
    """Sends an HTTP request on loopback and returns the status and the body. Raises OSError if there is no valid
    response."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status, response.read()
    except http.client.HTTPException as error:
        raise OSError(f"{type(error).__name__} from {address}") from None
    finally:
        connection.close()


def with_cpu_affinity(command, cores):
    """Returns the command pinned to these CPU cores; unchanged if there are none."""
    return ["taskset", "-c", ",".join(map(str, cores)), *command] if cores else command


class Node:
    """One edge node process. `folder` holds its configuration and its log."""

    def __init__(self, plan, number, addresses, seed, folder):
        """`number`: its index; `addresses`: those of the emulator, by part; `folder`: the run's folder."""
        self.plan, self.number, self.folder, self.seed = plan, number, folder, seed
        self.listen = f"127.0.0.1:{free_port()}"
        self.checkout = Path(plan.topology.root or Path(__file__).parents[2]).resolve()
        python = self.checkout / ".venv/bin/python"
        self.python = str(python) if plan.topology.root and python.exists() else sys.executable
        self.config_path = folder / f"node-{number}.json"
        self.process, self.starts, self.cpu_s_of_ended_processes = None, 0, 0.0
        self.stopped_by_fault = False  # True from a fault that ends the process until it is started again
        self.configuration = {
            "name": f"n{number}",
            "listen": self.listen,
            "discovery": addresses["discovery"],
            "limits": {"memory_mb": 192, "sockets": 4096},
            "known": {"rev": 1, "all": True, "targets": addresses["boxes"]},
            "settings": plans.settings(plan),
        }
        if plan.topology.storm is not None:
            self.configuration["storm"] = dict(plan.topology.storm)
        self.mqtt = None  # the address of its MQTT listener, if it has one
        if plan.topology.mqtt is not None:
            self.mqtt = f"127.0.0.1:{free_port()}"
            self.configuration["mqtt"] = {"listen": self.mqtt, **plan.topology.mqtt}
        if plan.topology.journal is not None:
            self.configuration["journal"] = {"dir": str(folder / f"journal-{number}"), **plan.topology.journal}
        if plan.topology.collector:
            self.configuration["syslog"] = {
                "collector": addresses["collector"],
                "spill_dir": str(folder / f"spill-{number}"),
                **plan.topology.syslog,
            }
        if plan.topology.counter:
            self.configuration["counter"] = addresses["counter"][number]

    def start(self):
        """Starts the process and returns the node."""
        self.starts += 1
        self.stopped_by_fault = False
        self.configuration["seed"] = "%x" % (self.seed * 1000 + self.number * 50 + self.starts)
        self.config_path.write_bytes(orjson.dumps(self.configuration, option=orjson.OPT_INDENT_2))
        cores = self.plan.pin.nodes
        command = with_cpu_affinity(
            [self.python, "-m", "rampfront"], [cores[self.number % len(cores)]] if cores else []
        )
        with open(self.folder / f"node-{self.number}.log", "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=self.checkout,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "RELAY_CONFIG": str(self.config_path), "UV_USE_IO_URING": "0"},
            )
        return self

    def wait_until_ready(self, timeout_s=10.0):
        """Waits until the node reports that it is ready, and returns it. A report of another process at its address
        does not count. Raises RunFailedError with the end of the node's log."""
        deadline = time.monotonic() + timeout_s
        port = int(self.listen.rpartition(":")[2])
        while time.monotonic() < deadline and self.process.poll() is None:
            try:
                is_ready = http_request(self.listen, "/-/ready", timeout_s=0.5)[0] == 200
            except OSError:
                is_ready = False
            if is_ready and listens_at(self.process.pid, port):
                return self
            time.sleep(0.02)
        raise RunFailedError(f"node {self.number} did not become ready: {self.log_tail()}")

    def log_tail(self):
        """Returns the end of the node's log."""
        return (self.folder / f"node-{self.number}.log").read_bytes()[-400:].decode(errors="replace")

    def check_running(self):
        """Raises RunFailedError if the process ended without a fault that made it end: its totals are missing, and
        other nodes served its share of the load."""
        status = self.process.poll()
        if status is not None and not self.stopped_by_fault:
            raise RunFailedError(f"node {self.number} ended by itself with status {status}: {self.log_tail()}")

    def apply_fault(self, kind, on):
        """Starts or ends a fault. kill: SIGKILL, and started again at the end; stop: SIGSTOP until the end; restart:
        SIGTERM, and started again at the end."""
        if kind == "stop":
            return self.process.send_signal(signal.SIGSTOP if on else signal.SIGCONT)
        if on:
            self.stopped_by_fault = True
            self.cpu_s_of_ended_processes += process_usage(self.process.pid)[0]
            self.process.send_signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
        else:
            if self.process.poll() is None:
                try:
                    self.process.wait(15)
                except subprocess.TimeoutExpired:
                    self.process.kill()
                    self.process.wait()
            self.start()

    def cpu_seconds(self):
        """Returns the CPU seconds of all its processes so far."""
        return self.cpu_s_of_ended_processes + process_usage(self.process.pid)[0]

    def end(self):
        """Stops the process; kills it if it does not end within 15 s."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
            try:
                self.process.wait(15)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()

    def totals(self):
        """Returns the counters that the process logged last; empty if it logged none."""
        for line in reversed((self.folder / f"node-{self.number}.log").read_bytes().splitlines()):
            try:
                record = orjson.loads(line)
            except ValueError:
                continue
            if record.get("event") == "totals":
                return {key: value for key, value in record.items() if isinstance(value, int)}
        return {}
