"""`python -m rampfront.station`: one process of the system, its settings at the path in RAMPFRONT_SETTINGS.

SIGTERM: leaves in order and exits 0. SIGHUP reads the settings again, of which the platform's address and the seeds are
taken over. SIGUSR1 prints the counters. A faulty file is named on standard error, with exit status 2.
"""

import os
import sys

os.environ.setdefault("UV_USE_IO_URING", "0")  # before the loop is there: not every machine has it


def main(kind=None):
    """`kind`: the class of the process, where it is not `Station` itself; the laboratory's machines have one."""
    import signal

    import uvloop

    from ..chart import papers
    from .log import Log
    from .station import Station
    path = os.environ.get("RAMPFRONT_SETTINGS", "/etc/rampfront/local.json")
    found = papers.load(path)
    if found.is_err():
        print(f"rampfront: {found.err_value}", file=sys.stderr)
        return 2
    mine = found.ok_value
    loop = uvloop.new_event_loop()
    log = Log(mine.name)
    station = (kind or Station)(loop, mine, log, int.from_bytes(os.urandom(8), "big"), path)
    station.start()
    loop.add_signal_handler(signal.SIGTERM, station.end)
    loop.add_signal_handler(signal.SIGINT, station.end)
    loop.add_signal_handler(signal.SIGHUP, lambda: station.reread(path))
    loop.add_signal_handler(signal.SIGUSR1, log.totals, "asked")
    loop.run_forever()
    log.totals("end")
    return 0


if __name__ == "__main__":
    code = main()
    sys.stderr.flush()
    os._exit(code)  # the disk's thread may hang; what was taken is answered
