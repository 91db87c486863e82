"""The benchmark adapter: faults name the malformed part, and instances share no state."""

import io
import json

import pytest

from rampfront.benchlink.host import Host, MalformedInputError

SETUP = {
    "Classes": [{"Name": "c", "Effect": "pure", "OnTime": 1000.0, "HardLimit": 3000.0}],
    "PeersTotal": 2,
    "Packages": [{"Name": "p", "PerSecond": 0.0, "AtOnce": 0, "Later": [1]}],
    "NewKey": {},
    "Limits": {"AttemptsCap": 3},
    "Rules": {"ColdShare": 0.2, "WarmWithin": 9000.0, "FallMultiple": 2.0, "TipAfter": 1000.0},
}
NEW = {"cmd": "NewInstance", "I": 1, "Seed": 5, "Setup": SETUP}
LIST = {"cmd": "Targets", "I": 1, "Mode": "warm_copy", "Rev": 1, "Rows": [{"Status": "healthy", "Server": 99}]}
REQ = {"cmd": "Req", "I": 1, "Req": 4294967295, "Remaining": 900.0, "UserKey": "k", "Tier": "p", "TierClass": "c"}


def play(*batch):
    out = io.BytesIO()
    lines = [{"cmd": "Tick", "Time": 5.0}, *batch, {"cmd": "YourTurn"}]
    Host(out).serve([line if isinstance(line, bytes) else json.dumps(line).encode() for line in lines])
    return [json.loads(line) for line in out.getvalue().splitlines()]


def test_round():
    assert play() == [{"cmd": "End"}]
    route = {"cmd": "Route", "I": 1, "Req": 4294967295, "Server": 99, "AllowFor": 898.0}
    assert route in play(NEW, LIST, REQ)
    again = [{"cmd": "CrashNow", "I": 1}, NEW, {**LIST, "Rows": []}, {**REQ, "Req": 7}]
    assert {"cmd": "Reject", "I": 1, "Req": 7, "RetryIn": 0.0} in play(NEW, LIST, REQ, *again)


def test_odd_but_legal():
    late = {"cmd": "Returned", "I": 1, "Req": 3, "Server": 98, "Ending": "done", "Attempt": 2}
    gone = {"cmd": "Dropped", "I": 1, "Req": 4294967295}
    words = [reply["cmd"] for reply in play(NEW, LIST, late, REQ, gone, gone, {**REQ, "I": 2})]
    assert "Fault" not in words and words[-1] == "End"


@pytest.mark.parametrize(
    "event, names",
    [
        ({**REQ, "Tier": "q"}, "'q'"),
        ({**REQ, "TierClass": "d"}, "'d'"),
        ({k: v for k, v in REQ.items() if k != "UserKey"}, "UserKey"),
        ({"cmd": "Strange", "I": 1}, "Strange"),
    ],
)
def test_fault_names_it(event, names):
    faults = [reply for reply in play(NEW, LIST, event) if reply["cmd"] == "Fault"]
    assert len(faults) == 1 and names in faults[0]["Msg"]


@pytest.mark.parametrize("line", [b"{nonsense", b"[1]", b'{"I":1}', b'{"cmd":"Req"}', b'{"cmd":"Tick"}'])
def test_malformed(line):
    with pytest.raises(MalformedInputError):
        play(line)
