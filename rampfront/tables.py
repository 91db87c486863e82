"""The tables that both forms of a configuration share (syslog, storm, MQTT, journal): types, defaults and validation.

In the TOML form they are fields of `config.Config`; from the platform's JSON form `read` converts them one by one. An
invalid value raises `TableError` with the key path and the reason. An edge node without any of these tables does not
import this module.
"""

import re
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

NonNegative = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]
Fraction = Annotated[float, Meta(gt=0, le=1)]
PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
NonEmptyText = Annotated[str, Meta(min_length=1)]
HostPort = Annotated[str, Meta(pattern=r"^[^\s:]+:[1-9][0-9]{0,4}$")]


class TableError(Exception):
    """A key has an invalid value; `path` is the key path, `reason` says what is wrong."""

    def __init__(self, path, reason):
        """The message is made of both."""
        super().__init__(f"{path}: {reason}")
        self.path, self.reason = path, reason


class StrictTable(Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """Base class of the tables: immutable, and a key that is not a field is an error."""


def split_validation_error(error):
    """Returns a msgspec error as (key path, reason); the path is empty if the error names none."""
    reason, _, path = str(error).rpartition(" - at `$")
    return (path.rstrip("`").lstrip("."), reason) if reason else ("", str(error))


class Syslog(StrictTable, kw_only=True):
    """Decisions as RFC 5424 messages to a collector. Without this table nothing is sent."""

    collector: Annotated[HostPort, Meta(description="host:port")]
    transport: Annotated[
        Literal["tcp", "udp"], Meta(description="TCP with octet counting, or one datagram a message")
    ] = "tcp"
    memory: Annotated[int, Meta(ge=64, description="messages that wait in memory at most")] = 16384
    spill_dir: Annotated[str, Meta(description="folder for what waits beyond; empty: none")] = ""
    spill_mb: Annotated[Positive, Meta(description="and its size at most")] = 64.0
    settled: Annotated[bool, Meta(description="also a message for each settled txn")] = False
    enterprise: Annotated[PositiveInt, Meta(description="private enterprise number in the SD-ID")] = 32473


class StormTable(StrictTable, kw_only=True):
    """Retry and reconnect storms. Without this table nothing is damped."""

    retry_share: Annotated[NonNegative, Meta(description="retries let in for each first try, in a storm")] = 0.2
    retries_per_s: Annotated[NonNegative, Meta(description="and a second, whatever comes")] = 10.0
    window_ms: Annotated[Positive, Meta(description="for how long a try that did not settle is known")] = 30000.0
    accepts_per_s: Annotated[Positive, Meta(description="new connections a second; past it told to come back")] = 500.0
    longest_retry_after_ms: Annotated[Positive, Meta(description="of the advice in a storm")] = 5000.0
    values: Annotated[
        dict[str, Positive], Meta(description="worth of products: dearer ones keep more of the budget")
    ] = field(default_factory=dict)


class JournalTable(StrictTable, kw_only=True):
    """A durable journal of once-only txns: recorded before they leave. Without this table there is none."""

    dir: Annotated[
        NonEmptyText, Meta(description="its folder, on a disk that outlives the process; one process writes it")
    ]
    batch_ms: Annotated[
        NonNegative, Meta(description="a record waits so long for others to be made durable with it")
    ] = 2.0
    segment_mb: Annotated[Positive, Meta(description="size of a file")] = 16.0
    most_mb: Annotated[Positive, Meta(description="of all files; twice segment_mb or more")] = 256.0
    keep_s: Annotated[Positive, Meta(description="age at which a file goes")] = 86400.0


class MqttTopic(StrictTable, kw_only=True):
    """Which txn a PUBLISH under a topic is. The first row that matches is taken."""

    filter: Annotated[NonEmptyText, Meta(description="topic filter, with + and # as MQTT has them")]
    product: Annotated[NonEmptyText, Meta(description="the product of its txns")]
    path: Annotated[
        str, Meta(pattern="^/[!-~]*$", description="asked of the box; {1}, {2}... are the levels under the wildcards")
    ]
    units: Annotated[Positive, Meta(description="that a txn takes")] = 1.0


class MqttTable(StrictTable, kw_only=True):
    """MQTT 3.1.1 and 5.0 clients. Without this table there is no such front."""

    listen: Annotated[HostPort, Meta(description="host:port for MQTT clients")]
    topics: Annotated[list[MqttTopic], Meta(min_length=1)]
    plan: Annotated[str, Meta(description="of users that name none; empty: they must")] = ""
    answers: Annotated[
        str, Meta(pattern="^[^+#]+$", description="first levels of the topics under which answers are told")
    ] = "answers"
    connections: Annotated[
        PositiveInt, Meta(description="at most; their descriptors are taken from limits.sockets")
    ] = 256
    sessions: Annotated[PositiveInt, Meta(description="at most, with those whose client is away")] = 1024
    inflight: Annotated[
        int, Meta(ge=1, le=65535, description="txns of one client that wait for their answer; it is read no faster")
    ] = 64
    expiry_ms: Annotated[float, Meta(gt=0, le=600000, description="of a PUBLISH that tells none")] = 10000.0
    session_expiry_s: Annotated[NonNegative, Meta(description="longest life of a session whose client is away")] = (
        3600.0
    )


TABLE_TYPES = {"syslog": Syslog, "storm": StormTable, "mqtt": MqttTable, "journal": JournalTable}


def check(tables, products, plans):
    """Checks the conditions between keys. Raises `TableError`.

    Args:
        tables: each table by its name; None or absent for a table that the configuration does not have.
        products: the names of all products.
        plans: the names of all plans.
    """
    journal, mqtt = tables.get("journal"), tables.get("mqtt")
    for name in tables["storm"].values if tables.get("storm") else ():
        if name not in products:
            raise TableError(f"storm.values.{name}", "no such product")
    for k, topic in enumerate(mqtt.topics if mqtt else ()):
        if topic.product not in products:
            raise TableError(f"mqtt.topics[{k}].product", "no such product")
        from .mqtt.codec import MqttProtocolError, check_topic_filter  # imported only by nodes that have MQTT topics

        try:
            check_topic_filter(topic.filter)
        except MqttProtocolError as error:
            raise TableError(f"mqtt.topics[{k}].filter", str(error)) from None
        wildcards = len([level for level in topic.filter.split("/") if level in ("+", "#")])
        if any(not 0 < int(number) <= wildcards for number in re.findall(r"{(\d+)}", topic.path)):
            raise TableError(f"mqtt.topics[{k}].path", "a level that the filter does not have")
    if mqtt and mqtt.plan and mqtt.plan not in plans:
        raise TableError("mqtt.plan", "no such plan")
    if journal and journal.most_mb < 2 * journal.segment_mb:
        raise TableError("journal.most_mb", "should be twice segment_mb or more")


def without_unknown_keys(table, table_type):
    """Returns `table` without the keys that `table_type` does not have, since the JSON form may contain keys for other
    programs."""
    return (
        {name: value for name, value in table.items() if name in table_type.__struct_fields__}
        if isinstance(table, dict)
        else table
    )


def read(document, products, plans):
    """Returns {name: table or None} for a configuration in the JSON form; None for a table that it does not have.

    Raises `TableError`.
    """
    tables = {}
    for name, table_type in TABLE_TYPES.items():
        table = without_unknown_keys(document.get(name), table_type)
        if name == "mqtt" and isinstance(table, dict) and isinstance(table.get("topics"), list):
            table["topics"] = [without_unknown_keys(row, MqttTopic) for row in table["topics"]]
        try:
            tables[name] = None if table is None else msgspec.convert(table, table_type)
        except msgspec.ValidationError as error:
            path, reason = split_validation_error(error)
            if match := re.search(r"required field `([^`]+)`", reason):
                path, reason = f"{path}.{match.group(1)}".lstrip("."), "is missing"
            raise TableError(f"{name}.{path}".rstrip("."), reason) from None
    check(tables, products, plans)
    return tables
