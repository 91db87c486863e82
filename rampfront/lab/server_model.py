"""What a registry box does with a txn, as a model: slots, a bounded queue, warming up, faults. No I/O, no clock.

A `ServerModel` is told what happens and when (whole ns) and says what is done. The emulator carries it out on sockets.
Fields of a job are set here; the caller keeps whatever else it wants in `job.payload`.
"""

from collections import deque
from math import log, sqrt

MS, SEC = 10**6, 10**9
QUEUED, WORKING, DONE, GONE = range(4)


def sampler(latency, rng):
    """A function that draws one service time in ns. Pareto's shape follows from cv; its tail is cut at 100 means."""
    mean = latency.mean_ms * MS
    if latency.kind == "constant":
        return lambda: mean
    if latency.kind == "exponential":
        return lambda: rng.expovariate(1.0) * mean
    if latency.kind == "lognormal":
        sigma = sqrt(log(1.0 + latency.cv**2))
        return lambda: mean * rng.lognormvariate(-sigma * sigma / 2, sigma)
    shape = 1.0 + sqrt(1.0 + 1.0 / latency.cv**2)
    minimum = mean * (shape - 1.0) / shape
    return lambda: min(minimum * rng.paretovariate(shape), 100.0 * mean)


class Job:
    __slots__ = ("state", "payload", "completes_at")

    def __init__(self, payload=None):
        self.state, self.payload, self.completes_at = QUEUED, payload, 0


class ServerModel:
    """One box. `arrive`, `finish` and `abandon` return the jobs that begin work by it, with `due` set: the ns at
    which they will be done. A job that `arrive` does not take is turned away (it has not run)."""

    def __init__(self, group, rng, now=0, warm=True):
        self.group, self.draw_service_time_ns = group, sampler(group.latency, rng)
        self.started_at = now - round(group.warm_s * SEC) if warm else now
        self.slow_factor = 1.0  # of a slow fault
        self.active_jobs, self.queue = set(), deque()  # emptied by ends and crashes
        self.most_working = self.most_queued = 0

    @property
    def working(self):
        return len(self.active_jobs)

    def speed_share(self, now):
        """The share of its full speed that it has by its age."""
        warm = self.group.warm_s * SEC
        warm_share = min(1.0, (now - self.started_at) / warm) if warm else 1.0
        return self.group.cold_share + (1.0 - self.group.cold_share) * warm_share

    def start_job(self, job, now):
        job.state = WORKING
        self.active_jobs.add(job)
        self.most_working = max(self.most_working, self.working)
        job.completes_at = now + round(self.draw_service_time_ns() * self.slow_factor / self.speed_share(now))
        return [job]

    def arrive(self, job, now):
        """None: turned away, it never runs."""
        if self.working < self.group.slots:
            return self.start_job(job, now)
        if len(self.queue) >= self.group.queue:
            job.state = GONE
            return None
        self.queue.append(job)
        self.most_queued = max(self.most_queued, len(self.queue))
        return []

    def finish(self, job, now):
        """A job's work is over; the oldest that waits begins."""
        if job.state != WORKING:
            return []
        job.state = DONE
        self.active_jobs.discard(job)
        while self.queue:
            next_job = self.queue.popleft()
            if next_job.state == QUEUED:
                return self.start_job(next_job, now)
        return []

    def abandon(self, job):
        """Its client has gone: what waits is dropped unrun, what is worked on goes on. True if it was dropped."""
        if job.state != QUEUED:
            return False
        job.state = GONE
        self.queue.remove(job)
        return True

    def crash(self, now):
        """All work is lost and it starts cold. Returns the jobs that were held."""
        lost = [*self.active_jobs, *self.queue]
        for job in lost:
            job.state = GONE
        self.active_jobs.clear()
        self.queue.clear()
        self.started_at = now
        return lost
