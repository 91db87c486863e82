"""A parser of the metrics page, for tests."""

import re

LINE = re.compile(r'(rampfront_[a-z_]+)(?:\{le="([0-9.]+|\+Inf)"\})? (-?[0-9]+(?:\.[0-9]+)?)')


def parse_exposition(text):
    """Check every line of a metrics page, and return {name: value}, with (name, bucket bound) as key for buckets."""
    kinds, values = {}, {}
    assert text.endswith("\n")
    for line in text.splitlines():
        if line.startswith("# "):
            _, directive, name, rest = line.split(" ", 3)
            assert directive in ("TYPE", "HELP") and (directive == "HELP" or kinds.setdefault(name, rest) == rest)
            continue
        name, bound, value = LINE.fullmatch(line).groups()
        family = re.sub("_(bucket|sum|count)$", "", name)
        kind = "histogram" if family != name else "counter" if name.endswith("_total") else "gauge"
        assert kinds[family] == kind and bool(bound) == name.endswith("_bucket")
        assert (name, bound) not in values
        values[(name, bound) if bound else name] = float(value)
    return values
