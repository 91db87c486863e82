"""Which txn a PUBLISH is: topic filters to product, upstream path and units. No I/O, and nothing here decides."""

from urllib.parse import quote

from ..terms import READ_ONLY
from .codec import matches, topic_filter


class Route:
    """One row of the configuration. `{1}`, `{2}`... in its path stand for the topic's levels under the wildcards."""

    __slots__ = ("filter", "product", "path", "said", "kind", "method", "wild")

    def __init__(self, filter, product, path, units, kind, nodes):
        self.filter, self.product, self.path = topic_filter(filter), product.encode(), path
        self.said = b"units=%g,spread=%d,first=0" % (units, nodes)
        self.kind, self.method = kind, b"GET" if kind == READ_ONLY else b"POST"
        self.wild = [k for k, level in enumerate(filter.split("/")) if level in ("+", "#")]

    def url(self, topic):
        """The path that this topic stands for: what comes from a client is escaped, so it stays within its place."""
        levels, path = topic.split("/"), self.path
        for number, k in enumerate(self.wild, 1):
            level = "/".join(levels[k:]) if self.filter.split("/")[k] == "#" else levels[k]
            path = path.replace("{%d}" % number, quote(level, safe=""))
        return path.encode()


class Routes:
    """First row that matches. Topics lately seen are kept; emptied when full."""

    def __init__(self, rows, most=1024):
        self.rows, self.most, self.known = rows, most, {}

    def find(self, topic):
        """(route, url); None for a topic that is no txn."""
        found = self.known.get(topic)
        if found is None:
            row = next((row for row in self.rows if matches(row.filter, topic)), None)
            if row is None:
                return None
            if len(self.known) >= self.most:
                self.known.clear()
            found = self.known[topic] = row, row.url(topic)
        return found
