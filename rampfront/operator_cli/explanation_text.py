"""Formats an explanation (`explanation.explain`) as text, in the order of the steps of handling a request."""

from collections.abc import Iterator

from .control_answers import Json
from .formatting import format_duration


def format_explanation(explanation: Json) -> str:
    """Returns the lines that `explain` prints."""
    head = f"{explanation['Host']}{explanation['Path']} by {explanation['Revision']}, as {explanation['Node']} holds it"
    lines = [head]
    if explanation["Route"]:
        lines += _route_lines(explanation["Route"])
        lines += _customer_lines(explanation["Tenant"], explanation["Quota"])
        lines.append(f"zones    {', '.join(explanation['Zones']) or 'none that all home regions allow'}")
        for service in explanation["Services"]:
            lines += _service_lines(service, explanation)
    answer = explanation["Status"] or "the server's"
    lines.append(f"answer   {answer}: {explanation['Why']}")
    if explanation["WayOut"]:
        lines.append(f"hint     {explanation['WayOut']}")
    return "\n".join(lines)


def _route_lines(route: Json) -> Iterator[str]:
    public = ", public" if route["Public"] else ""
    yield (
        f"route    {route['Name'] or '-'} ({route['PathStart']}): {route['Type']}, {route['Means']}; priority "
        f"{route['Priority']}{public}"
    )
    attempts = route["Tries"]
    yield (
        f"time     latency target {format_duration(route['TargetMs'])}, timeout {format_duration(route['GiveUpMs'])}, "
        f"{attempts} attempt{'s' if attempts > 1 else ''} at most"
    )


def _customer_lines(customer: Json | None, quota: Json | None) -> Iterator[str]:
    if customer is None:
        yield "tenant   none"
    else:
        yield f"tenant   {customer['Name']}, priority {customer['Priority']}"
    if quota:
        yield (
            f"quota    {quota['Left']:g} left of {quota['PerS']:g}/s and burst {quota['Burst']:g}; all nodes are "
            f"asked for {quota['AskedPerS']:g}/s"
        )
    elif customer is not None:
        yield "quota    none"


def _service_lines(service: Json, explanation: Json) -> Iterator[str]:
    servers = service["Servers"]
    yield f"service  {service['Service']} ({service['Share']:.0%}): {service['May']} of {len(servers)} servers"
    budget = service["Spare"]
    if budget is not None and explanation["Route"]["Tries"] > 1:
        note = "" if budget >= 1 else "; none is made until first tries have earned one"
        yield f"  budget: {budget:g} further tries saved up at {explanation['Node']}{note}"
    for row in servers:
        cold = f", cold for {format_duration(row['ColdMs'])}" if row["ColdMs"] else ""
        yield f"  {row['Id']} {row['Address']} in {row['Zone']}: {row['Why'] or 'may get it'}{cold}"
