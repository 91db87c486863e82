"""Why a request would meet what it meets: `explain` goes the way of `proxy/request_proxy.py` by what one node holds, step by step.

It never sends the request, and reads no clock. Whether a quota lets it in is the node's chance at that moment: told is
what is left of it. The pick among the servers named is `choice.py`'s.
"""

from urllib.parse import urlsplit

from ..settings.configuration import normalize_host
from .spelling import Misused, spell

REPEATS = {
    "read_only": "may run more than once",
    "changing": "runs at most once a try",
    "upload": "large body; runs at most once a try",
}


def split(url):
    """(host, path) as bytes, of a URL with or without its scheme. Raises Misused."""
    try:
        parts = urlsplit(url if "://" in url else "http://" + url)
        host, path = parts.netloc.encode("idna" if not parts.netloc.isascii() else "ascii"), parts.path.encode()
    except ValueError as trouble:
        raise Misused(f"URL: {url!r} is none: {trouble}") from None
    if not host:
        raise Misused(f"URL: {url!r} has no host; write it as in http://shop.example/read/1")
    return host, path or b"/"


def explain(configuration, state, servers, quotas, url, key=""):
    """`state`, `servers`, `quotas`: as `node/status_views.py` gives them (the rows); `quotas` None: not known."""
    host, path = split(url)
    told = {
        "Host": normalize_host(host).decode("ascii"),
        "Path": path.decode(),
        "Node": state["Node"],
        "Revision": f"r{configuration.revision}",
        "Route": None,
        "Tenant": None,
        "Quota": None,
        "Zones": None,
        "Services": [],
        "Status": None,
        "Why": "",
        "WayOut": "",
    }
    if not state["Fresh"]:
        end(
            told,
            503,
            f"{state['Node']} is out of touch with the core (its word is {spell(state['WordAgeMs'])} old, and "
            f"binds for {spell(state['LeaseMs'])}): it lets nothing run",
            "status shows whom the core still reaches",
        )
    route = configuration.route(host, path)
    if route is None:
        return end(told, 404, *unrouted(configuration, host))
    told["Route"] = {
        "Name": route.name,
        "PathStart": route.prefix.decode(),
        "Type": route.request_type,
        "Means": REPEATS[route.request_type],
        "Priority": route.priority,
        "Public": route.public,
        "TargetMs": route.latency_target_ns // 10**6,
        "GiveUpMs": route.timeout_ns // 10**6,
        "Tries": route.max_attempts,
        "HomeRegions": sorted(route.home_regions),
    }
    tenant = configuration.customer(key.encode()) if key and configuration.requires_key else None
    if tenant:
        told["Tenant"] = {"Name": tenant.name, "Priority": tenant.priority, "HomeRegions": sorted(tenant.home_regions)}
    elif configuration.requires_key and not route.public:
        end(
            told,
            401,
            "no tenant has this key" if key else "the route is not public, and no key is shown",
            "name one of a tenant's ApiKeys with --key"
            if not key
            else "show lists the tenants; a newer version may have taken the key away",
        )
    zones = allowed(state["Zones"], route.home_regions, tenant.home_regions if tenant else ())
    told["Zones"] = sorted(zones)
    total = sum(weight for _, weight in route.service_weights)
    for name, weight in route.service_weights:
        rows = [
            {
                "Id": row["Id"],
                "Address": row["Address"],
                "Zone": row["Zone"],
                "MayGet": not why,
                "Why": why,
                "ColdMs": row["ColdMs"],
            }
            for row in servers
            if row["Service"] == name
            for why in [barred(row, zones)]
        ]
        told["Services"].append(
            {
                "Service": name,
                "Share": round(weight / total, 4),
                "Servers": rows,
                "Spare": state.get("Spare", {}).get(name),  # not told by an older version
                "May": sum(row["MayGet"] for row in rows),
            }
        )
    bare_ones = [one["Service"] for one in told["Services"] if not one["May"]]
    if len(bare_ones) == len(told["Services"]):
        end(
            told,
            503,
            f"no server of {', '.join(bare_ones)} may get it",
            "servers tells the state and zone of each; return takes a zone back",
        )
    quota = next((row for row in quotas or () if tenant and row["Tenant"] == tenant.name), None)
    if quota:
        told["Quota"] = quota
        if quota["Left"] < 1:
            end(
                told,
                429,
                f"{tenant.name} has {quota['Left']:g} of its quota left ({quota['PerS']:g}/s, burst "
                f"{quota['Burst']:g}); all nodes are asked for {quota['AskedPerS']:g}/s",
                "it refills by its PerS; a newer version with a higher PerS or Burst holds at once",
            )
    if told["Status"] is None:
        most = max(told["Services"], key=lambda one: one["Share"])
        told["Why"] = f"goes to one of {sum(one['May'] for one in told['Services'])} servers" + (
            f", mostly of {most['Service']}" if len(told["Services"]) > 1 else ""
        )
        may = [row for one in told["Services"] for row in one["Servers"] if row["MayGet"]]
        if all(row["ColdMs"] for row in may):
            told["Why"] += ", all of them cold: what goes beyond their services' ColdPerS gets 503, come back"
        if bare_ones:
            told["Why"] += f"; 503 where its share falls to {', '.join(bare_ones)}, of which no server may get it"
    return told


def end(told, status, why, way_out=""):
    """The first reason on the way is the answer; what lies behind it is told all the same."""
    if told["Status"] is None:
        told["Status"], told["Why"], told["WayOut"] = status, why, way_out
    return told


def unrouted(configuration, host):
    book = configuration.hosts.get(normalize_host(host))
    if book is None:
        names = sorted(name.decode() for name in configuration.hosts)
        return f"no host {normalize_host(host).decode()}", "hosts there are: " + few(names)
    return "no route of this host begins the path", "prefixes there are: " + few(
        sorted(prefix.decode() for prefix in book.routes)
    )


def few(names, most=8):
    return ", ".join(names[:most]) + (f" and {len(names) - most} more" if len(names) > most else "") or "none"


def allowed(zones, *homes):
    """The zones that all homes leave; no homes: all."""
    return {zone for zone, region in zones.items() if all(not some or region in some for some in homes)}


def barred(row, zones):
    """Why the server gets no new request, or an empty text."""
    if row["Zone"] not in zones:
        return "outside the home regions"
    if row["Emptied"]:
        return "its zone is emptied"
    return "" if row["State"] == "ready" else "it is emptying"


def text(told):
    """The explanation as lines, in the order of the way."""
    route, tenant, quota = told["Route"], told["Tenant"], told["Quota"]
    lines = [f"{told['Host']}{told['Path']} by {told['Revision']}, as {told['Node']} holds it"]
    if route:
        lines += [
            f"route    {route['Name'] or '-'} ({route['PathStart']}): {route['Type']}, {route['Means']}; priority "
            f"{route['Priority']}{', public' if route['Public'] else ''}",
            f"time     full worth within {spell(route['TargetMs'])}, held for {spell(route['GiveUpMs'])} at most, sent "
            f"to {route['Tries']} server{'s' if route['Tries'] > 1 else ''} at most",
        ]
        lines.append(f"tenant   {tenant['Name']}, priority {tenant['Priority']}" if tenant else "tenant   none")
        if quota:
            lines.append(
                f"quota    {quota['Left']:g} left of {quota['PerS']:g}/s and burst {quota['Burst']:g}; all nodes are "
                f"asked for {quota['AskedPerS']:g}/s"
            )
        elif tenant:
            lines.append("quota    none")
        lines.append(f"zones    {', '.join(told['Zones']) or 'none that all home regions allow'}")
        for one in told["Services"]:
            lines.append(
                f"service  {one['Service']} ({one['Share']:.0%}): {one['May']} of {len(one['Servers'])} servers"
            )
            if one["Spare"] is not None and route["Tries"] > 1:
                lines.append(
                    f"  budget: {one['Spare']:g} further tries saved up at {told['Node']}"
                    + ("" if one["Spare"] >= 1 else "; none is made until first tries have earned one")
                )
            for row in one["Servers"]:
                cold = f", cold for {spell(row['ColdMs'])}" if row["ColdMs"] else ""
                lines.append(f"  {row['Id']} {row['Address']} in {row['Zone']}: {row['Why'] or 'may get it'}{cold}")
    lines.append(
        f"answer   {told['Status']}: {told['Why']}" if told["Status"] else f"answer   the server's: {told['Why']}"
    )
    if told["WayOut"]:
        lines.append(f"way out  {told['WayOut']}")
    return "\n".join(lines)
