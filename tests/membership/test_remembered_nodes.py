"""Tests of the announcements to nodes that a leader knew before its restart."""

from rampfront.membership.remembered_nodes import FIRST_PAUSE_NS, MAX_PAUSE_NS, RememberedNodes

MS = 10**6


def due_announcements(
    remembered: RememberedNodes, peers: set[str], span: int, start: int = 0
) -> list[tuple[int, list[str]]]:
    """The announcements due in a span (ns), checked ten times a second."""
    found = ((now, remembered.due(peers, now)) for now in range(start, start + span, 100 * MS))
    return [(now, due) for now, due in found if due]


def test_those_that_are_not_heard_are_told_with_a_growing_pause_for_as_long_as_they_are_silent() -> None:
    """A machine that comes back after minutes, with seeds that are gone, knows nobody and is known by its address."""
    remembered = RememberedNodes()
    remembered.load(["10.0.0.5", "10.0.0.6"])
    remembered.begin(0)
    rows = due_announcements(remembered, {"10.0.0.6"}, 600_000 * MS)
    assert {tuple(due) for _, due in rows} == {("10.0.0.5",)}
    times = [now for now, _ in rows]
    assert [now // FIRST_PAUSE_NS for now in times[:6]] == [0, 1, 3, 7, 15, 23]
    pauses = {after - before for before, after in zip(times[3:], times[4:], strict=False)}
    assert pauses == {MAX_PAUSE_NS} and times[-1] > 600_000 * MS - 2 * MAX_PAUSE_NS


def test_a_node_that_has_answered_is_told_no_more() -> None:
    remembered = RememberedNodes()
    remembered.load(["10.0.0.5"])
    remembered.begin(0)
    assert remembered.due(set(), 0) == ["10.0.0.5"]
    assert not due_announcements(remembered, {"10.0.0.5"}, 60_000 * MS)


def test_each_leadership_begins_anew() -> None:
    remembered = RememberedNodes()
    remembered.load(["10.0.0.5"])
    remembered.begin(0)
    due_announcements(remembered, set(), 60_000 * MS)
    remembered.begin(90_000 * MS)
    rows = due_announcements(remembered, set(), 2000 * MS, 90_000 * MS)
    assert [(now // MS - 90_000) // 500 for now, _ in rows] == [0, 1, 3]  # from the shortest pause again


def test_a_node_that_falls_silent_later_is_told_as_well() -> None:
    remembered = RememberedNodes()
    remembered.load(["10.0.0.5"])
    remembered.begin(0)
    due_announcements(remembered, {"10.0.0.5"}, 60_000 * MS)
    remembered.load(["10.0.0.5", "10.0.0.6"])
    assert due_announcements(remembered, {"10.0.0.6"}, 2 * MAX_PAUSE_NS, 60_000 * MS)
