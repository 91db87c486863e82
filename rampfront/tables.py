"""The tables that both forms of a configuration share, syslog, storm, MQTT and journal: their types, defaults, checks.

The TOML form has them within `config.Config`; the platform's JSON form gives them one by one to `read`. What is wrong is an
`Odd` with the key path and the reason. Nothing here is imported by an edge node that has none of them.
"""

import re
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

Least0 = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(gt=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Count0 = Annotated[int, Meta(ge=0)]
Text = Annotated[str, Meta(min_length=1)]
Place = Annotated[str, Meta(pattern=r"^[^\s:]+:[1-9][0-9]{0,4}$")]


class Odd(Exception):
    """A key does not hold what it should: `path`, and the `reason`."""

    def __init__(self, path, reason):
        super().__init__(f"{path}: {reason}")
        self.path, self.reason = path, reason


class Part(Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    pass


def placed(trouble):
    """A msgspec error as (key path, reason); the path is empty where it names none."""
    reason, _, path = str(trouble).rpartition(" - at `$")
    return (path.rstrip("`").lstrip("."), reason) if reason else ("", str(trouble))


class Syslog(Part, kw_only=True):
    """Decisions as RFC 5424 messages to a collector. Without this table nothing is sent."""

    collector: Annotated[Place, Meta(description="host:port")]
    transport: Annotated[
        Literal["tcp", "udp"], Meta(description="TCP with octet counting, or one datagram a message")
    ] = "tcp"
    memory: Annotated[int, Meta(ge=64, description="messages that wait in memory at most")] = 16384
    spill_dir: Annotated[str, Meta(description="folder for what waits beyond; empty: none")] = ""
    spill_mb: Annotated[Positive, Meta(description="and its size at most")] = 64.0
    settled: Annotated[bool, Meta(description="also a message for each settled txn")] = False
    enterprise: Annotated[Count, Meta(description="private enterprise number in the SD-ID")] = 32473


class StormTable(Part, kw_only=True):
    """Retry and reconnect storms. Without this table nothing is damped."""

    retry_share: Annotated[Least0, Meta(description="retries let in for each first try, in a storm")] = 0.2
    retries_per_s: Annotated[Least0, Meta(description="and a second, whatever comes")] = 10.0
    window_ms: Annotated[Positive, Meta(description="for how long a try that did not settle is known")] = 30000.0
    accepts_per_s: Annotated[Positive, Meta(description="new connections a second; past it told to come back")] = 500.0
    longest_retry_after_ms: Annotated[Positive, Meta(description="of the advice in a storm")] = 5000.0
    values: Annotated[
        dict[str, Positive], Meta(description="worth of products: dearer ones keep more of the budget")
    ] = field(default_factory=dict)


class JournalTable(Part, kw_only=True):
    """A durable journal of once-only txns: recorded before they leave. Without this table there is none."""

    dir: Annotated[Text, Meta(description="its folder, on a disk that outlives the process; one process writes it")]
    batch_ms: Annotated[Least0, Meta(description="a record waits so long for others to be made durable with it")] = 2.0
    segment_mb: Annotated[Positive, Meta(description="size of a file")] = 16.0
    most_mb: Annotated[Positive, Meta(description="of all files; twice segment_mb or more")] = 256.0
    keep_s: Annotated[Positive, Meta(description="age at which a file goes")] = 86400.0


class MqttTopic(Part, kw_only=True):
    """Which txn a PUBLISH under a topic is. The first row that matches is taken."""

    filter: Annotated[Text, Meta(description="topic filter, with + and # as MQTT has them")]
    product: Annotated[Text, Meta(description="the product of its txns")]
    path: Annotated[
        str, Meta(pattern="^/[!-~]*$", description="asked of the box; {1}, {2}... are the levels under the wildcards")
    ]
    units: Annotated[Positive, Meta(description="that a txn takes")] = 1.0


class MqttTable(Part, kw_only=True):
    """MQTT 3.1.1 and 5.0 clients. Without this table there is no such front."""

    listen: Annotated[Place, Meta(description="host:port for MQTT clients")]
    topics: Annotated[list[MqttTopic], Meta(min_length=1)]
    plan: Annotated[str, Meta(description="of users that name none; empty: they must")] = ""
    answers: Annotated[
        str, Meta(pattern="^[^+#]+$", description="first levels of the topics under which answers are told")
    ] = "answers"
    connections: Annotated[Count, Meta(description="at most; their descriptors are taken from limits.sockets")] = 256
    sessions: Annotated[Count, Meta(description="at most, with those whose client is away")] = 1024
    inflight: Annotated[
        int, Meta(ge=1, le=65535, description="txns of one client that wait for their answer; it is read no faster")
    ] = 64
    expiry_ms: Annotated[float, Meta(gt=0, le=600000, description="of a PUBLISH that tells none")] = 10000.0
    session_expiry_s: Annotated[Least0, Meta(description="longest life of a session whose client is away")] = 3600.0


KINDS = {"syslog": Syslog, "storm": StormTable, "mqtt": MqttTable, "journal": JournalTable}


def check(tables, products, plans):
    """The checks between keys. `tables`: name to table, or None where it is off; names of products and plans. Raises `Odd`."""
    journal, mqtt = tables.get("journal"), tables.get("mqtt")
    for name in tables["storm"].values if tables.get("storm") else ():
        if name not in products:
            raise Odd(f"storm.values.{name}", "no such product")
    for k, topic in enumerate(mqtt.topics if mqtt else ()):
        if topic.product not in products:
            raise Odd(f"mqtt.topics[{k}].product", "no such product")
        from .mqtt.codec import MqttProtocolError, check_topic_filter  # for those who use it

        try:
            check_topic_filter(topic.filter)
        except MqttProtocolError as trouble:
            raise Odd(f"mqtt.topics[{k}].filter", str(trouble)) from None
        wild = len([level for level in topic.filter.split("/") if level in ("+", "#")])
        if any(not 0 < int(number) <= wild for number in re.findall(r"{(\d+)}", topic.path)):
            raise Odd(f"mqtt.topics[{k}].path", "a level that the filter does not have")
    if mqtt and mqtt.plan and mqtt.plan not in plans:
        raise Odd("mqtt.plan", "no such plan")
    if journal and journal.most_mb < 2 * journal.segment_mb:
        raise Odd("journal.most_mb", "should be twice segment_mb or more")


def known(told, kind):
    """Without the keys that `kind` does not have: the JSON form may hold what other programs read."""
    return (
        {name: value for name, value in told.items() if name in kind.__struct_fields__}
        if isinstance(told, dict)
        else told
    )


def read(told, products, plans):
    """{name: table or None} of the JSON form's `told`; those that are left out are off. Raises `Odd`."""
    found = {}
    for name, kind in KINDS.items():
        table = known(told.get(name), kind)
        if name == "mqtt" and isinstance(table, dict) and isinstance(table.get("topics"), list):
            table["topics"] = [known(row, MqttTopic) for row in table["topics"]]
        try:
            found[name] = None if table is None else msgspec.convert(table, kind)
        except msgspec.ValidationError as trouble:
            path, reason = placed(trouble)
            if lacks := re.search(r"required field `([^`]+)`", reason):
                path, reason = f"{path}.{lacks.group(1)}".lstrip("."), "is missing"
            raise Odd(f"{name}.{path}".rstrip("."), reason) from None
    check(found, products, plans)
    return found
