"""What the operators announce at start, turned into our terms; both fronts read it. Nothing here decides."""

from . import terms as t

EFFECTS = {"pure": t.READ_ONLY, "token": t.DEDUPLICATED, "side_effect": t.ONCE_ONLY}
GROUPS = {"all": t.ALL, "zone": t.ZONE, "cell": t.CELL}


class Odd(Exception):
    """Something names what was never announced, or leaves out what it must hold."""


def ns(ms):
    return round(ms * 1000) * 1000  # what is announced counts in microseconds


def word(table, key, what):
    try:
        return table[key]
    except (KeyError, TypeError):
        raise Odd(f"unknown {what} {key!r}") from None


class Names:
    """The index of each name that the settings announce."""

    def __init__(self, setup):
        self.products = {row["Name"]: k for k, row in enumerate(setup["Classes"])}
        self.plans = {row["Name"]: k for k, row in enumerate(setup["Packages"])}
        self.zones = {name: k for k, name in enumerate(setup.get("Areas", ()))}


def read_terms(setup):
    limits, rules, domain = setup["Limits"], setup["Rules"], setup.get("Domain", {})
    products = [
        t.Product(
            word(EFFECTS, row["Effect"], "effect"),
            word(GROUPS, row.get("Group", "all"), "group"),
            ns(row["OnTime"]),
            ns(row.get("RepeatWindow", 0)),
            row.get("LateWorth", 0.0),
            ns(row.get("HardLimit", 0)),
        )
        for row in setup["Classes"]
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
        for row in setup["Packages"]
    ]
    return t.Terms(
        products=products,
        plans=plans,
        nodes=setup["PeersTotal"],
        max_submissions=limits["AttemptsCap"],
        may_probe=limits.get("Probing", False),
        may_cancel=limits.get("MayCancel", False),
        has_counter=domain.get("HasCounter", False),
        counter_timeout=ns(domain.get("CountWait", 0)),
        max_units=domain.get("Largest", 1.0),
        subscribes=setup.get("Discovery") == "subscribe",
        max_retry_after=ns(limits.get("MaxRetryAfter", 0)) if limits.get("RetryAfter") else 0,
        min_input_gap=ns(setup.get("Tick", 1.0)),
        cold_share=rules["ColdShare"],
        warm_up=ns(rules["WarmWithin"]),
        cold_overload_factor=rules["FallMultiple"],
        cold_overload_after=ns(rules["TipAfter"]),
        may_duplicate=limits.get("MayDuplicate", False),
        usage_period=ns(domain.get("UsePeriod", 0)),
        marks_counter=domain.get("Marks", False),
        probe_cost=setup.get("Prices", {}).get("Probe", 0.0),
    )
