"""The directory: which fronts it returns to a client."""

import json
from random import Random
from types import SimpleNamespace

from rampfront.membership.roster import RosterEntry
from rampfront.node.directory_call import Directory

SEC = 10**9


def test_directory():
    """Ready fronts of the client's zone, with a few others in case the zone fails; else fronts of its region, else any;
    never a front that is not ready."""
    zones = {"a1": "a", "a2": "a", "b1": "b"}
    rows = [
        RosterEntry(f"{zone}-{k}", f"10.0.{at}.{k}", zone, f"{zone}-{k}", ready)
        for at, zone in enumerate(zones)
        for k, ready in enumerate((True, True, False))
    ]
    disseminator = SimpleNamespace(roster=rows)
    settings = SimpleNamespace(zones=zones, guarantees=SimpleNamespace(ttl_max=5 * SEC))
    directory = Directory(disseminator, settings, Random(1))

    in_zone = []

    def look_up(zone, region="a"):
        answer = directory.lookup(SimpleNamespace(query={"Name": "h", "Zone": zone, "Region": region}))
        names = json.loads(answer.body).get("Addresses", ())
        assert len(names) <= 64
        in_zone[:] = [name[:2] == zone for name in names]
        return answer.status, set(names)

    assert look_up("a1") == (200, {"a1-0", "a1-1", "a2-0", "a2-1"})
    assert sum(in_zone) > 0.9 * len(in_zone)
    assert look_up("b1", "b") == (200, {"b1-0", "b1-1"})
    disseminator.roster = [row for row in rows if row.name != "a1-0"]
    assert look_up("a1") == (200, {"a1-1", "a2-0", "a2-1"})
    disseminator.roster = [row for row in rows if row.zone == "b1"]
    assert look_up("a1") == (200, {"b1-0", "b1-1"})
    assert look_up("unknown", "unknown") == (200, {"b1-0", "b1-1"})
    disseminator.roster = [row for row in rows if not row.ready]
    assert look_up("a1")[0] == 503
