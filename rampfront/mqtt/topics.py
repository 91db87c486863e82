"""Maps the topic of a PUBLISH to a transaction: product, upstream path and units. No I/O, and no decisions."""

from urllib.parse import quote

from ..terms import READ_ONLY
from .codec import check_topic_filter, matches


class Route:
    """One topic row of the configuration.

    `{1}`, `{2}`... in its path are replaced by the topic's levels that match the first, second... wildcard.
    """

    __slots__ = ("filter", "product", "path", "call_terms", "kind", "method", "wildcard_levels")

    def __init__(self, filter, product, path, units, kind, node_count):
        """`kind`: of the product, as in `terms`; `node_count`: the nodes over which its calls are spread."""
        self.filter, self.product, self.path = check_topic_filter(filter), product.encode(), path
        self.call_terms = b"units=%g,spread=%d,first=0" % (units, node_count)
        self.kind, self.method = kind, b"GET" if kind == READ_ONLY else b"POST"
        self.wildcard_levels = [index for index, level in enumerate(filter.split("/")) if level in ("+", "#")]

    def target(self, topic):
        """The upstream path for a topic. The client's text is escaped, so that it cannot leave its path segment."""
        levels, path = topic.split("/"), self.path
        for number, index in enumerate(self.wildcard_levels, 1):
            level = "/".join(levels[index:]) if self.filter.split("/")[index] == "#" else levels[index]
            path = path.replace("{%d}" % number, quote(level, safe=""))
        return path.encode()


class Routes:
    """Finds the first route whose filter matches a topic. Recent results are cached; a full cache is cleared."""

    def __init__(self, routes, max_cached=1024):
        """`max_cached`: the largest number of cached topics."""
        self.routes, self.max_cached, self.cache = routes, max_cached, {}

    def find(self, topic):
        """Returns (route, target), or None if no route matches the topic."""
        found = self.cache.get(topic)
        if found is None:
            route = next((route for route in self.routes if matches(route.filter, topic)), None)
            if route is None:
                return None
            if len(self.cache) >= self.max_cached:
                self.cache.clear()
            found = self.cache[topic] = route, route.target(topic)
        return found
