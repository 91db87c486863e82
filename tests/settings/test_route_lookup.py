"""The look-up of the route for a request."""

import pytest
from configuration_fixtures import read_valid, rule
from hypothesis import given, settings
from hypothesis import strategies as st


@pytest.mark.parametrize(
    "host, path, prefix",
    [
        (b"a.example", b"/x/1", b"/x/"),
        (b"a.example", b"/x/y/1", b"/x/y/"),
        (b"a.example", b"/x/y", b"/x/"),
        (b"a.example", b"/x/yy/", b"/x/"),
        (b"a.example", b"/x", None),
        (b"a.example", b"/", None),
        (b"a.example", b"", None),
        (b"a.example", b"*", None),
        (b"a.example", b"/q?/x/", None),
        (b"a.example", b"/x?/x/y/", None),
        (b"a.example", b"/x/?/x/y/", b"/x/"),
        (b"a.example", b"//x/", None),
        (b"a.example", b"/x//y/", b"/x/"),
        (b"a.example", b"/x/" + b"/" * 9999, b"/x/"),
        (b"b.example", b"/x/y/", b"/"),
        (b"b.example", b"/", b"/"),
        (b"A.Example:8388", b"/x/1", b"/x/"),
        (b"a.example:", b"/x/1", b"/x/"),
        (b"a.example.", b"/x/1", b"/x/"),
        (b"c.example", b"/x/1", None),
        (b"", b"/x/1", None),
        (b"a.example:8388:1", b"/x/1", None),
        (b":80", b"/x/", None),
    ],
)
def test_a_route_is_the_longest_prefix_of_the_host(host, path, prefix):
    route = read_valid().route(host, path)
    assert (route.prefix if route else None) == prefix


def test_a_path_of_slashes_costs_no_more_than_the_longest_prefix():
    """A request may have thousands of slashes in its path. Without the bound each would cost a copy of the path."""
    searches = []

    class Path(bytes):
        def rfind(self, *args):
            searches.append(args)
            return super().rfind(*args)

    assert read_valid().route(b"a.example", Path(b"/" * 16000)) is None and len(searches) <= len(b"/split/") + 1


@settings(max_examples=150, deadline=None)
@given(
    st.lists(st.text("ab/", max_size=5).map(lambda text: f"/{text}/"), min_size=1, max_size=12, unique=True),
    st.text("ab/?", max_size=14).map(lambda text: "/" + text),
)
def test_routes_are_found_as_a_scan_of_all_would(prefixes, path):
    c = read_valid(**{"Sockets": [{"Hostname": "h", "Rulebook": [rule(prefix) for prefix in prefixes]}]})
    matching = [prefix for prefix in prefixes if path.partition("?")[0].startswith(prefix)]
    found = c.route(b"h", path.encode())
    assert (found and found.prefix.decode()) == max(matching, key=len, default=None)
