"""A valid configuration, and a function that changes it by the path of a field."""

import json

from rampfront.settings import configuration_reader


def share(service, weight):
    return {"Service": service, "Weight": weight}


def rule(path, **then):
    return {
        "Name": "r-a",
        "Type": "read_only",
        "Target": "800ms",
        "Priority": 2,
        "Public": False,
        "MatchesWhen": {"PathStart": path},
        "ThenDo": {"Service": "core", "GiveUp": "5000ms", "Tries": 2, "HomeRegions": [], **then},
    }


def valid_configuration():
    """A configuration with every kind of item that one may contain."""
    return {
        "Revision": "r7",
        "Caps": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderWait": "3000ms", "Idle": "15000ms"},
        "Customers": [
            {"Name": "anna", "ApiKeys": ["k1", "k2"], "Priority": 1, "PerS": 18, "Burst": 9, "HomeRegions": ["seoul"]},
            {"Name": "bert", "ApiKeys": ["k3"], "Priority": 0, "PerS": 0, "Burst": 0, "HomeRegions": []},
        ],
        "Sockets": [
            {
                "Hostname": "a.example",
                "Rulebook": [
                    rule("/x/"),
                    rule("/x/y/", Service="store", HomeRegions=["seoul"]),
                    rule("/split/", Service=None, Shares=[share("core", 90), share("store", 10)]),
                ],
            },
            {"Hostname": "b.example", "Rulebook": [rule("/")]},
        ],
        "Groups": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConns": 130,
                "Protocol": "h1",
                "Tls": False,
                "Warmup": "3s",
                "ColdPerS": 2.8,
            }
            for name in ("core", "store")
        ],
    }


def put(data, path, value):
    """Returns `data` with the value at `path` ("Sockets.0.Hostname") replaced, or removed if `value` is `...`."""
    *parents, last = [int(part) if part.isdigit() else part for part in path.split(".")]
    table = data
    for part in parents:
        table = table[part]
    if value is ...:
        del table[last]
    else:
        table[last] = value
    return data


def read_configuration(data):
    return configuration_reader.read(json.dumps(data).encode())


def read_valid(**changes):
    data = valid_configuration()
    for path, value in changes.items():
        put(data, path, value)
    result = read_configuration(data)
    assert result.is_ok(), result.err_value
    return result.ok_value


RULE = "Sockets.0.Rulebook.0."
PREFIX = RULE + "MatchesWhen.PathStart"
THEN = RULE + "ThenDo."
SHARES = THEN + "Shares"


def fault_path(path):
    """Returns a path in the form that faults have: `Sockets[0].Rulebook[0].Type`."""
    return ".".join(f"[{part}]" if part.isdigit() else part for part in path.split(".")).replace(".[", "[")
