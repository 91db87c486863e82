"""Configurations and server lists of a given size, for measurements of the cost of single parts. No I/O."""

import json
from dataclasses import dataclass
from random import Random

REGIONS = 6
ZONES = {f"z{number:02}": f"region-{number % REGIONS}" for number in range(23)}
WEIGHT_CYCLE = 50  # distinct weights, through which the revisions cycle


@dataclass(frozen=True)
class Size:
    """The number of rows of each kind."""

    routes: int = 40
    tenants: int = 80
    servers: int = 280
    services: int = 20


def configuration(size: Size, revision: int = 1) -> bytes:
    """Returns a configuration of a given size; each revision differs from the previous one by one weight."""
    rng = Random(size.routes)
    services = [f"service-{number:03}" for number in range(size.services)]

    def rule(number: int) -> dict:
        first, second = rng.sample(services, 2) if len(services) > 1 else (services[0], services[0])
        weight = 50 + (revision % WEIGHT_CYCLE if number == 0 else 0)
        return {
            "Name": f"route-{number}",
            "Type": "read_only",
            "Target": "1000ms",
            "Priority": number % 3,
            "Public": False,
            "MatchesWhen": {"PathStart": f"/{rng.getrandbits(40):010x}/{number}/"},
            "ThenDo": {
                "Shares": [{"Service": first, "Weight": weight}, {"Service": second, "Weight": 10}],
                "GiveUp": "4000ms",
                "Tries": 2,
                "HomeRegions": [],
            },
        }

    def tenant(number: int) -> dict:
        return {
            "Name": f"tenant-{number:05}",
            "ApiKeys": [f"{rng.getrandbits(96):024x}", f"{rng.getrandbits(96):024x}"],
            "Priority": number % 3,
            "PerS": 5 + number % 45,
            "Burst": 5 + number % 45,
            "HomeRegions": [],
        }

    def service(name: str) -> dict:
        return {
            "Name": name,
            "HealthPath": "/health",
            "MaxConns": 130,
            "Protocol": "h1",
            "Tls": False,
            "Warmup": "3s",
            "ColdPerS": 2.8,
        }

    routes_per_host = 100
    rules = [rule(number) for number in range(size.routes)]
    body = {
        "Revision": f"r{revision}",
        "Caps": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderWait": "3000ms", "Idle": "15000ms"},
        "Customers": [tenant(number) for number in range(size.tenants)],
        "Sockets": [
            {"Hostname": f"host-{start // routes_per_host}.example", "Rulebook": rules[start : start + routes_per_host]}
            for start in range(0, len(rules), routes_per_host)
        ],
        "Groups": [service(name) for name in services],
    }
    return json.dumps(body, separators=(",", ":")).encode()


def server_entries(size: Size) -> dict[str, tuple[dict, int]]:
    """Returns the platform's list: server id to (entry, time until which the server is cold)."""
    zones, rng = list(ZONES), Random(size.servers)
    return {
        f"i-{rng.getrandbits(40):010x}": (
            {
                "Service": f"service-{number % size.services:03}",
                "Address": f"127.100.{number // 250}.{number % 250 + 1}:{8000 + rng.randrange(900)}",
                "Zone": zones[number % len(zones)],
                "Revision": "v1",
                "Capacity": 3,
                "State": "ready",
            },
            0,
        )
        for number in range(size.servers)
    }
