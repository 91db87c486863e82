"""The schema of the platform's settings: the kind of value at each required and each optional path."""

from typing import Any

from .configuration_checks import COUNT, FLAG, LIST, NUMBER, OBJECT, TEXT, Kind, check_path

_REQUIRED: dict[str, Kind[Any]] = {
    "Classes": LIST,
    "Classes[].Name": TEXT,
    "Classes[].Effect": TEXT,
    "Classes[].OnTime": NUMBER,
    "Packages": LIST,
    "Packages[].Name": TEXT,
    "PeersTotal": COUNT,
    "Limits": OBJECT,
    "Limits.AttemptsCap": COUNT,
    "Rules": OBJECT,
    "Rules.ColdShare": NUMBER,
    "Rules.WarmWithin": NUMBER,
    "Rules.FallMultiple": NUMBER,
    "Rules.TipAfter": NUMBER,
}
_OPTIONAL: dict[str, Kind[Any]] = {
    "Limits.Keepalive": NUMBER,
    "Limits.ConnectTimeout": NUMBER,
    "Limits.MaxRetryAfter": NUMBER,
    "Domain": OBJECT,
    "Domain.CountWait": NUMBER,
    "Domain.Largest": NUMBER,
    "Domain.UsePeriod": NUMBER,
    "Domain.Marks": FLAG,
    "Prices": OBJECT,
    "Prices.Probe": NUMBER,
    "Limits.MayDuplicate": FLAG,
    "Classes[].HardLimit": NUMBER,
    "Tick": NUMBER,
    "Areas": LIST,
    "Classes[].RepeatWindow": NUMBER,
    "Classes[].LateWorth": NUMBER,
    "Packages[].PerSecond": NUMBER,
    "Packages[].StoreSize": NUMBER,
    "Packages[].AtOnce": NUMBER,
    "Packages[].NeverOverRate": NUMBER,
    "Packages[].CapDepth": NUMBER,
    "Packages[].BeyondEarns": NUMBER,
    "Packages[].ExcessCost": NUMBER,
    "Reporting": OBJECT,
}


def check_settings(settings: dict[str, Any]) -> None:
    """Checks all values. Raises ConfigurationError for the first that is of the wrong kind, or required and missing."""
    for path, kind in _REQUIRED.items():
        check_path(settings, path, kind, True, "settings")
    for path, kind in _OPTIONAL.items():
        check_path(settings, path, kind, False, "settings")
