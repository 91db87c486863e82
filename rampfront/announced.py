"""Reads the settings that the operators announce at start. Used by edge nodes and by `benchlink/`; decides nothing."""

from . import terms as t

EFFECTS = {"pure": t.READ_ONLY, "token": t.DEDUPLICATED, "side_effect": t.ONCE_ONLY}
GROUPS = {"all": t.ALL, "zone": t.ZONE, "cell": t.CELL}


class InvalidSetupError(Exception):
    """An input names something that was not announced, or lacks a required field."""


def to_ns(ms):
    """Converts milliseconds to ns."""
    return round(ms * 1000) * 1000  # announced times have microsecond resolution


def look_up(table, key, kind):
    """Returns the entry of a key. Raises InvalidSetupError, which names the kind of the key, if there is none."""
    try:
        return table[key]
    except (KeyError, TypeError):
        raise InvalidSetupError(f"unknown {kind} {key!r}") from None


class Names:
    """The indices of the names that the settings announce."""

    def __init__(self, settings):
        """Numbers the names in the order in which they are announced."""
        self.products = {row["Name"]: k for k, row in enumerate(settings["Classes"])}
        self.plans = {row["Name"]: k for k, row in enumerate(settings["Packages"])}
        self.zones = {name: k for k, name in enumerate(settings.get("Areas", ()))}


def read_terms(settings):
    """Returns the `Terms` of the announced settings. Raises InvalidSetupError or KeyError."""
    limits, rules, domain = settings["Limits"], settings["Rules"], settings.get("Domain", {})
    products = [
        t.Product(
            look_up(EFFECTS, row["Effect"], "effect"),
            look_up(GROUPS, row.get("Group", "all"), "group"),
            to_ns(row["OnTime"]),
            to_ns(row.get("RepeatWindow", 0)),
            row.get("LateWorth", 0.0),
            to_ns(row.get("HardLimit", 0)),
        )
        for row in settings["Classes"]
    ]
    plans = [
        t.Plan(
            row.get("PerSecond", 0.0),
            row.get("StoreSize", 0.0),
            int(row.get("AtOnce", 0)),
            row.get("NeverOverRate", 0.0),
            row.get("CapDepth", 0.0),
            row.get("BeyondEarns", 0.0),
            row.get("ExcessCost", 0.0),
        )
        for row in settings["Packages"]
    ]
    return t.Terms(
        products=products,
        plans=plans,
        nodes=settings["PeersTotal"],
        max_submissions=limits["AttemptsCap"],
        may_probe=limits.get("Probing", False),
        may_cancel=limits.get("MayCancel", False),
        has_counter=domain.get("HasCounter", False),
        counter_timeout=to_ns(domain.get("CountWait", 0)),
        max_units=domain.get("Largest", 1.0),
        subscribes=settings.get("Discovery") == "subscribe",
        max_retry_after=to_ns(limits.get("MaxRetryAfter", 0)) if limits.get("RetryAfter") else 0,
        min_input_gap=to_ns(settings.get("Tick", 1.0)),
        cold_share=rules["ColdShare"],
        warm_up=to_ns(rules["WarmWithin"]),
        cold_overload_factor=rules["FallMultiple"],
        cold_overload_after=to_ns(rules["TipAfter"]),
        may_duplicate=limits.get("MayDuplicate", False),
        usage_period=to_ns(domain.get("UsePeriod", 0)),
        marks_counter=domain.get("Marks", False),
        probe_cost=settings.get("Prices", {}).get("Probe", 0.0),
    )
