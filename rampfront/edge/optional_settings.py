"""The settings of the optional parts (syslog, storm, MQTT and journal), converted to the units of the code.

`rampfront/tables.py` defines the tables' types, defaults and checks. Only nodes that have one of the parts import its
library and the parts' packages.
"""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from ..announced import Names, to_ns
from ..terms import Terms
from .configuration_checks import ConfigurationError, check_address

if TYPE_CHECKING:
    from ..journal.journal_settings import JournalSettings
    from ..mqtt.topics import Route
    from ..syslog.syslog_settings import SyslogSettings
    from ..tables import JournalTable, MqttTable, MqttTopic, StormTable, Syslog

TABLE_NAMES = ("syslog", "storm", "mqtt", "journal")

_BYTES_PER_MB = 1e6
_NS_PER_S = 1e9
_DEFAULT_VALUE = 1.0

_to_ns: Callable[[float], int] = to_ns  # `announced.py` is untyped
Tables = dict[str, Any]
"""Maps a part's name to its table from `rampfront/tables.py`, or to None if the node does not have that part."""


class StormSettings(NamedTuple):
    """The settings of the control of retry storms.

    Attributes:
        values: the values of the products, by index.
        sla_ns: the latency targets of the products, by index.
        retry_share: retries admitted for each first attempt.
        retries_per_s: retries per second admitted in any case.
        window_ns: for how long an attempt without a response is remembered.
        accepts_per_s: new connections accepted per second.
        max_retry_after_ns: the longest Retry-After sent in a storm.
    """

    values: list[float]
    sla_ns: list[int]
    retry_share: float
    retries_per_s: float
    window_ns: int
    accepts_per_s: float
    max_retry_after_ns: int


class MqttSettings(NamedTuple):
    """The settings of the listener for MQTT clients.

    Attributes:
        address: host and port of the listener.
        routes: map a PUBLISH to a transaction; the first match applies.
        default_plan: the plan of users that name none; empty: users must name one.
        answer_prefix: the first levels of the topics on which answers are published.
        max_connections: the maximum number of open connections.
        max_sessions: the maximum number of sessions, including those of disconnected clients.
        max_in_flight: the maximum number of transactions of one client that have no answer yet.
        expiry_ns: the expiry of a PUBLISH that does not specify one.
        max_session_expiry_ns: the longest time for which the session of a disconnected client is kept.
    """

    address: tuple[str, int]
    routes: "list[Route]"
    default_plan: str
    answer_prefix: str
    max_connections: int
    max_sessions: int
    max_in_flight: int
    expiry_ns: int
    max_session_expiry_ns: int


class SyslogOptions(NamedTuple):
    """The settings of the syslog recorder.

    Attributes:
        sender: the collector's address and the settings of the sender.
        reports_successes: whether transactions that ended with a response are reported as well.
    """

    sender: "SyslogSettings"
    reports_successes: bool


def read_tables(content: dict[str, Any], names: Names) -> Tables:
    """Reads the tables of the optional parts.

    Args:
        content: the configuration.
        names: the announced names, to which tables refer.

    Raises:
        ConfigurationError: a table is invalid.
    """
    if all(content.get(name) is None for name in TABLE_NAMES):
        return dict.fromkeys(TABLE_NAMES)
    from .. import tables

    read: Callable[[dict[str, Any], object, object], Tables] = tables.read  # `tables.py` is untyped
    try:
        return read(content, names.products, names.plans)
    except tables.TableError as error:
        raise ConfigurationError(str(error)) from None


def read_storm(table: "StormTable | None", products: Sequence[dict[str, Any]]) -> StormSettings | None:
    """Returns the storm control's settings. `table`: its table, or None; `products`: the announced product rows."""
    if table is None:
        return None
    return StormSettings(
        values=[float(table.values.get(row["Name"], _DEFAULT_VALUE)) for row in products],
        sla_ns=[_to_ns(row["OnTime"]) for row in products],
        retry_share=table.retry_share,
        retries_per_s=table.retries_per_s,
        window_ns=_to_ns(table.window_ms),
        accepts_per_s=table.accepts_per_s,
        max_retry_after_ns=_to_ns(table.longest_retry_after_ms),
    )


def read_syslog(table: "Syslog | None", node_name: str) -> SyslogOptions | None:
    """Returns the syslog recorder's settings. `table`: its table, or None. Raises ConfigurationError."""
    if table is None:
        return None
    from ..syslog.syslog_settings import SyslogSettings

    sender = SyslogSettings(
        collector_address=check_address(table.collector, "syslog.collector"),
        node_name=node_name,
        buffer_folder=Path(table.spill_dir) if table.spill_dir else None,
        max_buffer_bytes=int(table.spill_mb * _BYTES_PER_MB),
        max_queued_messages=table.memory,
        enterprise_number=table.enterprise,
        udp=table.transport == "udp",
    )
    return SyslogOptions(sender, reports_successes=table.settled)


def read_journal(table: "JournalTable | None", node_name: str) -> "JournalSettings | None":
    """Returns the journal's settings. `table`: its table, or None; `node_name`: is part of the file names."""
    if table is None:
        return None
    from ..journal.journal_settings import JournalSettings

    return JournalSettings(
        folder=Path(table.dir),
        node_name=node_name,
        batch_delay_ns=_to_ns(table.batch_ms),
        max_segment_bytes=int(table.segment_mb * _BYTES_PER_MB),
        max_total_bytes=int(table.most_mb * _BYTES_PER_MB),
        retention_s=table.keep_s,
    )


def read_mqtt(table: "MqttTable | None", names: Names, terms: Terms) -> MqttSettings | None:
    """Returns the MQTT listener's settings.

    Args:
        table: its table, or None.
        names: the announced names.
        terms: the parameters of the decision module.

    Raises:
        ConfigurationError: a topic has more units than a transaction may have, or the address is invalid.
    """
    if table is None:
        return None
    routes = [_read_route(row, number, names, terms) for number, row in enumerate(table.topics)]
    return MqttSettings(
        address=check_address(table.listen, "mqtt.listen"),
        routes=routes,
        default_plan=table.plan,
        answer_prefix=table.answers,
        max_connections=table.connections,
        max_sessions=table.sessions,
        max_in_flight=table.inflight,
        expiry_ns=_to_ns(table.expiry_ms),
        max_session_expiry_ns=int(table.session_expiry_s * _NS_PER_S),
    )


def _read_route(row: "MqttTopic", number: int, names: Names, terms: Terms) -> "Route":
    """Returns the route of one topic row. `number`: the row's index. Raises ConfigurationError."""
    from ..mqtt.topics import Route

    if row.units > terms.max_units:
        raise ConfigurationError.for_key(f"mqtt.topics[{number}].units", "within the limit of one txn", row.units)
    product = terms.products[names.products[row.product]]
    make_route: Callable[..., Route] = Route  # `mqtt/topics.py` is untyped
    return make_route(row.filter, row.product, row.path, row.units, product.kind, terms.nodes)
