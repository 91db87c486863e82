"""The page of metrics, read as a scraper does."""

import re

LINE = re.compile(r'(rampfront_[a-z_]+)(?:\{le="([0-9.]+|\+Inf)"\})? (-?[0-9]+(?:\.[0-9]+)?)')


def parse_exposition(text):
    """{name or (name, edge): value} of a page in the format of scrapers, every line of it checked."""
    kinds, found = {}, {}
    assert text.endswith("\n")
    for line in text.splitlines():
        if line.startswith("# "):
            _, what, name, rest = line.split(" ", 3)
            assert what in ("TYPE", "HELP") and (what == "HELP" or kinds.setdefault(name, rest) == rest)
            continue
        name, edge, value = LINE.fullmatch(line).groups()
        family = re.sub("_(bucket|sum|count)$", "", name)
        kind = "histogram" if family != name else "counter" if name.endswith("_total") else "gauge"
        assert kinds[family] == kind and bool(edge) == name.endswith("_bucket")
        assert (name, edge) not in found
        found[(name, edge) if edge else name] = float(value)
    return found
