"""Tests of the differences between two endpoint lists."""

from rampfront.membership.endpoint_list import DRAINING, READY, Endpoint, EndpointList, changes

MS, SEC = 10**6, 10**9


def test_changes_between_two_lists():
    one, two, three = (Endpoint(server_id, "s", "10.0.0.1", 80, "z", 2, READY, 0) for server_id in "abc")
    changed = Endpoint("b", "s", "10.0.0.1", 80, "z", 2, DRAINING, 7 * SEC)
    old, new = EndpointList(1, (one, two), SEC), EndpointList(2, (changed, three), 5 * SEC)
    difference = changes(old, new)
    assert (difference.added, difference.changed, difference.removed) == ((three,), (changed,), (one,))
    assert changes(None, old).added == old.endpoints
