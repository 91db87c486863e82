"""The first configuration of a small system, in the format of PROTOCOL.md."""

from .control_answers import Json

HOST = "shop.example"
API_KEY = "key-of-acme"


def sample_configuration() -> Json:
    """Returns one host with a service for reads, changes and uploads, one customer, and a public page."""
    return {
        "Revision": "r1",
        "Caps": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderWait": "3s", "Idle": "15s"},
        "Customers": [
            {"Name": "acme", "ApiKeys": [API_KEY], "Priority": 1, "PerS": 20, "Burst": 20, "HomeRegions": []}
        ],
        "Sockets": [
            {
                "Hostname": HOST,
                "Rulebook": [
                    _rule("read", "read_only", "/read/", "reads"),
                    _rule("order", "changing", "/order/", "orders"),
                    _rule("upload", "upload", "/upload/", "orders"),
                    {**_rule("page", "read_only", "/", "reads"), "Public": True},
                ],
            }
        ],
        "Groups": [_service("reads"), _service("orders")],
    }


def _rule(name: str, request_type: str, prefix: str, service: str) -> Json:
    return {
        "Name": name,
        "Type": request_type,
        "Target": "800ms",
        "Priority": 0,
        "Public": False,
        "MatchesWhen": {"PathStart": prefix},
        "ThenDo": {"Service": service, "GiveUp": "3s", "Tries": 2},
    }


def _service(name: str) -> Json:
    return {"Name": name, "HealthPath": "/health", "MaxConns": 130, "Warmup": "3s", "ColdPerS": 2.0}
