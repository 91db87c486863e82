"""Reads a configuration as the operator sends it: `read(body)` returns a `Configuration` or a `Fault`.

A configuration is invalid if PROTOCOL.md calls it invalid, or if it lacks a field that requests need. Otherwise the
reader is lenient, since rejecting a valid configuration is costly: unknown fields are ignored, and absent or null ones
get the defaults that the reference page shows. `read` does not raise: a `FieldError` with the path of the field becomes
the `Fault`.

`Caps` and the services, a few rows, are read with dacite (`field_types`). Routes and customers number in the hundreds
and are read without it (`json_fields` gives the reason).
"""

import json
from collections.abc import Mapping
from dataclasses import replace
from typing import NoReturn

from result import Err, Ok, Result

from .configuration import Caps, Configuration, Service
from .customer_reader import read_customers
from .errors import Fault, FieldError, quoted
from .field_types import Integer, read_table, to_plain
from .json_fields import check_table, required_list
from .limits import MAX_REVISION, MAX_REVISION_CHARS, UNLIMITED_CONNECTIONS
from .route_reader import read_hosts
from .scalars import Json


def read(body: bytes) -> Result[Configuration, Fault]:
    """Returns the configuration in a JSON body, or the field that is invalid and the reason."""
    try:
        return Ok(_read_configuration(json.loads(body, parse_constant=_reject_constant)))
    except FieldError as error:
        return Err(error.fault())
    except RecursionError:
        return Err(Fault("", "tables nested too deeply"))
    except ValueError as error:  # from the JSON parser, or from encoding text that is not valid Unicode
        return Err(Fault("", f"not JSON: {quoted(str(error))}"))


def _reject_constant(name: str) -> NoReturn:
    """Rejects NaN and infinity, which the parser accepts although JSON does not have them."""
    raise FieldError(f"not JSON: {name}")


def _read_configuration(data: Json) -> Configuration:
    check_table(data)
    services = _read_services(required_list(data, "Groups"))
    customers_by_key, customers_by_name = read_customers(data.get("Customers"))
    return Configuration(
        revision=_read_revision(data.get("Revision")),
        caps=_read_caps(data),
        services=services,
        customers_by_key=customers_by_key,
        customers_by_name=customers_by_name,
        requires_key=bool(customers_by_name),
        hosts=read_hosts(required_list(data, "Sockets"), services),
    )


def _read_revision(text: Json) -> int:
    if type(text) is not str:
        raise FieldError("missing" if text is None else f"not a version such as r12: {quoted(text)}", "Revision")
    digits = text[1:]
    if text[:1] != "r" or not digits.isdecimal() or not text.isascii() or len(text) > MAX_REVISION_CHARS:
        raise FieldError(f"not a version such as r12: {quoted(text)}", "Revision")
    if not 0 < int(digits) <= MAX_REVISION:
        raise FieldError(f"not from r1 to r{MAX_REVISION}: {quoted(text)}", "Revision")
    return int(digits)


def _read_caps(data: Mapping[str, Json]) -> Caps:
    try:
        caps = to_plain(read_table(Caps, check_table(data.get("Caps"))))
    except FieldError as error:
        error.add_parent("Caps")
        raise
    defaults = Caps()
    return Caps(
        header_bytes=caps.header_bytes or defaults.header_bytes,
        body_bytes=caps.body_bytes or defaults.body_bytes,
        header_wait=caps.header_wait or defaults.header_wait,
        idle=caps.idle or defaults.idle,
    )


def _read_services(rows: list[Json]) -> dict[str, Service]:
    services: dict[str, Service] = {}
    for index, row in enumerate(rows):
        try:
            service = _read_service(row)
            if service.name in services:
                raise FieldError("a service of this name already exists", "Name")
        except FieldError as error:
            error.add_parent(f"Groups[{index}]")
            raise
        services[service.name] = service
    return services


def _read_service(row: Json) -> Service:
    service = read_table(Service, row)
    if not service.name:
        raise FieldError("empty", "Name")
    if not service.max_conns:
        service = replace(service, max_conns=Integer(UNLIMITED_CONNECTIONS))
    return to_plain(service)
