"""`python -m rampfront.node`: one process of the system, its settings at the path in RAMPFRONT_SETTINGS.

SIGTERM: leaves in order and exits 0. SIGHUP reads the settings again, of which the platform's address and the seeds are
taken over. SIGUSR1 prints the counters. A faulty file is named on standard error, with exit status 2.
"""

import os
import sys

os.environ.setdefault("UV_USE_IO_URING", "0")  # before the loop is there: not every machine has it


def main(kind=None):
    """`kind`: the class of the process, where it is not `NodeProcess` itself; the laboratory's machines have one."""
    import signal

    import uvloop

    from ..settings import process_settings
    from .log import Log
    from .node import NodeProcess

    path = os.environ.get("RAMPFRONT_SETTINGS", "/etc/rampfront/local.json")
    found = process_settings.load(path)
    if found.is_err():
        print(f"rampfront: {found.err_value}", file=sys.stderr)
        return 2
    mine = found.ok_value
    loop = uvloop.new_event_loop()
    log = Log(mine.name)
    node_process = (kind or NodeProcess)(loop, mine, log, int.from_bytes(os.urandom(8), "big"), path)
    node_process.start()
    loop.add_signal_handler(signal.SIGTERM, node_process.end)
    loop.add_signal_handler(signal.SIGINT, node_process.end)
    loop.add_signal_handler(signal.SIGHUP, lambda: node_process.reread(path))
    loop.add_signal_handler(signal.SIGUSR1, log.record_counters, "asked")
    loop.run_forever()
    log.record_counters("end")
    return 0


if __name__ == "__main__":
    code = main()
    sys.stderr.flush()
    os._exit(code)  # the disk's thread may hang; what was taken is answered
