"""The schedule of the load, drawn before the run from the seed alone: times, accounts and products. No I/O, no clock.

The load is open-loop: the schedule never waits for a response. Each of W workers draws its own part at one W-th of the
rate; the parts of a Poisson process add up to the full rate. `arrivals` returns numpy arrays sorted by time.
"""

from dataclasses import dataclass

import numpy as np

SEC = 10**9


@dataclass(frozen=True, slots=True)
class Arrivals:
    """The scheduled transactions as parallel arrays."""

    at: np.ndarray  # int64, ns since the start, ascending
    stream: np.ndarray  # int16, index into plan.load.streams
    account: np.ndarray  # int32, index into accounts(plan)
    product: np.ndarray  # int16, index into plan.products

    def __len__(self):
        """The number of transactions."""
        return len(self.at)


def accounts(plan):
    """Returns `(name, stream index)` of every account of the load, in the order of the account indexes."""
    return [
        (f"{stream.name}-{k}", index) for index, stream in enumerate(plan.load.streams) for k in range(stream.accounts)
    ]


def zipf(count, skew):
    """Returns the probabilities of `count` ranks by Zipf's law with the exponent `skew`."""
    weights = (1.0 + np.arange(count)) ** -skew
    return weights / weights.sum()


def arrival_times(stream, rate, start, end, rng):
    """Returns the arrival times in seconds of a Poisson process with the stream's shape, drawn at the peak rate and
    thinned."""
    shape, length = stream.shape, end - start
    peak = rate * (1.0 if shape.kind == "poisson" else max(1.0, shape.factor))
    at = np.sort(rng.uniform(start, end, rng.poisson(peak * length)))
    if shape.kind == "bursts":
        factors = np.where((at - start) % shape.every_s < shape.on_s, shape.factor, 1.0)
    elif shape.kind == "ramp":
        factors = shape.factor + (1.0 - shape.factor) * (at - start) / length
    else:
        return at
    return at[rng.random(len(at)) * peak < rate * factors]


def arrivals(plan, seed, worker=0, workers=1):
    """Returns the schedule of one worker."""
    parts, first_account = [], 0
    for index, stream in enumerate(plan.load.streams):
        rng = np.random.Generator(np.random.PCG64([seed, index, worker]))
        end = min(stream.until_s or plan.duration_s, plan.duration_s)
        at = arrival_times(stream, stream.rate / workers, stream.from_s, end, rng)
        weights = np.array([stream.products.get(p.name, 0.0 if stream.products else 1.0) for p in plan.products])
        parts.append(
            (
                np.round(at * SEC).astype("i8"),
                np.full(len(at), index, "i2"),
                (first_account + rng.choice(stream.accounts, len(at), p=zipf(stream.accounts, stream.skew))).astype(
                    "i4"
                ),
                rng.choice(len(plan.products), len(at), p=weights / weights.sum()).astype("i2"),
            )
        )
        first_account += stream.accounts
    columns = [np.concatenate(column) for column in zip(*parts)]
    order = np.argsort(columns[0], kind="stable")
    return Arrivals(*(column[order] for column in columns))


def retry_wait(retries, tries, advised, draw):
    """Returns the seconds until a client's next try, or None if it gives up. `tries`: tries made; `advised`:
    Retry-After in seconds or None; `draw`: a random number, uniform between 0 and 1."""
    if tries > retries.most:
        return None
    if advised is not None and retries.honours:
        return advised * (1.0 + 0.1 * draw)  # up to 10 % later than advised, never earlier
    wait = min(retries.longest_ms, retries.wait_ms * retries.factor ** (tries - 1)) / 1000.0
    return wait * (1.0 + retries.jitter * (2.0 * draw - 1.0))
