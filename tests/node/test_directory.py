"""The directory: which fronts a client is given."""

import json
from random import Random
from types import SimpleNamespace

from rampfront.membership.roster import RosterEntry
from rampfront.node.directory_call import Directory

SEC = 10**9


def test_directory():
    """Ready fronts of the client's zone while there are some, with a few others for the loss of the zone; then of its
    region, then any; never one that is not ready."""
    zones = {"a1": "a", "a2": "a", "b1": "b"}
    rows = [
        RosterEntry(f"{zone}-{k}", f"10.0.{at}.{k}", zone, f"{zone}-{k}", ready)
        for at, zone in enumerate(zones)
        for k, ready in enumerate((True, True, False))
    ]
    disseminator = SimpleNamespace(roster=rows)
    settings = SimpleNamespace(zones=zones, guarantees=SimpleNamespace(ttl_max=5 * SEC))
    directory = Directory(disseminator, settings, Random(1))

    spread = []

    def ask(zone, region="a"):
        answer = directory.lookup(SimpleNamespace(query={"Name": "h", "Zone": zone, "Region": region}))
        names = json.loads(answer.body).get("Addresses", ())
        assert len(names) <= 64
        spread[:] = [name[:2] == zone for name in names]
        return answer.status, set(names)

    assert ask("a1") == (200, {"a1-0", "a1-1", "a2-0", "a2-1"})
    assert sum(spread) > 0.9 * len(spread)
    assert ask("b1", "b") == (200, {"b1-0", "b1-1"})
    disseminator.roster = [row for row in rows if row.name != "a1-0"]
    assert ask("a1") == (200, {"a1-1", "a2-0", "a2-1"})
    disseminator.roster = [row for row in rows if row.zone == "b1"]
    assert ask("a1") == (200, {"b1-0", "b1-1"})
    assert ask("unknown", "unknown") == (200, {"b1-0", "b1-1"})
    disseminator.roster = [row for row in rows if not row.ready]
    assert ask("a1")[0] == 503
