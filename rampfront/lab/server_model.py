"""Model of how an app server (registry box) processes transactions. No I/O, no clock.

It covers slots, a bounded queue, warming up and faults. A `ServerModel` is told events with their time (whole ns) and
returns the jobs that start. The emulator executes these on sockets. This module sets `state` and `completes_at` of a
job; `payload` belongs to the caller.
"""

from collections import deque
from math import log, sqrt

MS, SEC = 10**6, 10**9
QUEUED, WORKING, DONE, GONE = range(4)


def sampler(latency, rng):
    """Returns a function that draws one service time in ns. Pareto's shape parameter follows from `cv`; its tail is cut
    off at 100 times the mean."""
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
    """One transaction in the model."""

    __slots__ = ("state", "payload", "completes_at")

    def __init__(self, payload=None):
        """`payload`: whatever the caller associates with the job."""
        self.state, self.payload, self.completes_at = QUEUED, payload, 0


class ServerModel:
    """One server. `arrive` and `finish` return the jobs that start as a result, with `completes_at` set to the time in
    ns when they are done. A job that `arrive` rejects has not been executed."""

    def __init__(self, group, rng, now=0, warm=True):
        """`group`: the server's properties (`plan.ServerGroup`); `warm`: whether it already runs at full speed at
        `now`."""
        self.group, self.draw_service_time_ns = group, sampler(group.latency, rng)
        self.started_at = now - round(group.warm_s * SEC) if warm else now
        self.slow_factor = 1.0  # multiplies service times during a slow fault
        self.active_jobs, self.queue = set(), deque()  # emptied when jobs finish and by crashes
        self.most_working = self.most_queued = 0

    @property
    def working(self):
        """The number of jobs in progress."""
        return len(self.active_jobs)

    def speed_share(self, now):
        """Returns the server's present share of its full speed, which rises linearly from `cold_share` during
        `warm_s`."""
        warm = self.group.warm_s * SEC
        warm_share = min(1.0, (now - self.started_at) / warm) if warm else 1.0
        return self.group.cold_share + (1.0 - self.group.cold_share) * warm_share

    def start_job(self, job, now):
        """Starts a job and returns it as a list."""
        job.state = WORKING
        self.active_jobs.add(job)
        self.most_working = max(self.most_working, self.working)
        job.completes_at = now + round(self.draw_service_time_ns() * self.slow_factor / self.speed_share(now))
        return [job]

    def arrive(self, job, now):
        """Starts or queues a job. Returns None if the queue is full: the job is turned away and never executed."""
        if self.working < self.group.slots:
            return self.start_job(job, now)
        if len(self.queue) >= self.group.queue:
            job.state = GONE
            return None
        self.queue.append(job)
        self.most_queued = max(self.most_queued, len(self.queue))
        return []

    def finish(self, job, now):
        """Completes a job and starts the one that has been queued longest."""
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
        """Handles a client that disconnected: removes a queued job, which is then never executed, and returns True; a
        job in progress continues."""
        if job.state != QUEUED:
            return False
        job.state = GONE
        self.queue.remove(job)
        return True

    def crash(self, now):
        """Drops all jobs and returns them; the server starts again cold."""
        lost = [*self.active_jobs, *self.queue]
        for job in lost:
            job.state = GONE
        self.active_jobs.clear()
        self.queue.clear()
        self.started_at = now
        return lost
