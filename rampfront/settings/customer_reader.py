"""Reads the customers of a configuration (`Customers[]`)."""

from collections.abc import Mapping

from .configuration import Customer
from .errors import FieldError, quoted
from .json_fields import check_table, read_home_regions, read_integer, read_name, read_number
from .scalars import Json


def read_customers(rows: Json) -> tuple[dict[bytes, Customer], dict[str, Customer]]:
    """Returns the customers by API key and by name. A customer may list the same key twice.

    Raises:
        FieldError: a row is invalid, or two customers have the same name or key.
    """
    by_key: dict[bytes, Customer] = {}
    by_name: dict[str, Customer] = {}
    if rows is not None and type(rows) is not list:
        raise FieldError(f"not a list: {quoted(rows)}", "Customers")
    for index, row in enumerate(rows or ()):
        try:
            _add_customer(by_key, by_name, _read_customer(check_table(row)))
        except FieldError as error:
            error.add_parent(f"Customers[{index}]")
            raise
    return by_key, by_name


def _add_customer(by_key: dict[bytes, Customer], by_name: dict[str, Customer], customer: Customer) -> None:
    if customer.name in by_name:
        raise FieldError("a tenant of this name already exists", "Name")
    for key in customer.api_keys:
        if by_key.setdefault(key, customer) is not customer:
            raise FieldError(f"holds a key that is also one of {quoted(by_key[key].name)}", "ApiKeys")
    by_name[customer.name] = customer


def _read_customer(row: Mapping[str, Json]) -> Customer:
    return Customer(
        name=read_name(row, "Name"),
        api_keys=_read_api_keys(row.get("ApiKeys")),
        priority=read_integer(row, "Priority", 0),
        per_s=float(read_number(row, "PerS")),
        burst=float(read_number(row, "Burst")),
        home_regions=read_home_regions(row),
    )


def _read_api_keys(keys: Json) -> tuple[bytes, ...]:
    """Returns a customer's keys. No error quotes a key, since errors appear in responses and logs."""
    if keys is None:
        return ()
    if type(keys) is not list:
        raise FieldError(f"not a list: {type(keys).__name__}", "ApiKeys")
    if not all(type(key) is str and key for key in keys):
        raise FieldError("not a list of texts", "ApiKeys")
    return tuple(key.encode() for key in keys)
