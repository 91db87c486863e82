"""Reads an edge node's configuration, checks it and fills in defaults; an error names the invalid key.

All keys are interpreted here and in the modules that this one calls. Raw settings are never passed on: other modules
get terms, names, addresses and limits.
"""

import os
import resource
import secrets
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, cast

import orjson

from ..announced import InvalidSetupError, Names, read_terms, to_ns
from ..net.limits import NetworkLimits, compute_limits
from ..net.transaction_gateway import AnnouncedNames
from ..terms import Terms, slotted
from .configuration_checks import NUMBER, OBJECT, TEXT, ConfigurationError, check_address, check_value
from .log import LEVELS, OTHER_MODULES
from .optional_settings import (
    MqttSettings,
    StormSettings,
    SyslogOptions,
    read_journal,
    read_mqtt,
    read_storm,
    read_syslog,
    read_tables,
)
from .server_list import ServerListError, ServerListUpdate, parse_server_list
from .settings_checks import check_settings

if TYPE_CHECKING:
    from ..journal.journal_settings import JournalSettings

_DEFAULT_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
_DEFAULT_KEEPALIVE_MS = 30000.0
_DEFAULT_CONNECT_TIMEOUT_MS = 250.0
_DEFAULT_LEVEL = "info"
_NO_SERVERS = {"rev": 0, "all": True, "targets": []}
_ENVIRONMENT_KEYS = {"name": "RELAY_NAME", "listen": "RELAY_LISTEN", "discovery": "RELAY_DISCOVERY"}
_MIN_DESCRIPTORS = 128
_MAX_DESCRIPTORS = 1 << 20
_FIRST_INHERITED_DESCRIPTOR = 3  # 0 to 2 are the standard streams
_SEED_BITS = 63
_HEX = 16

# `announced.py` is untyped.
_read_names: Callable[[dict[str, Any]], Names] = Names
_read_terms: Callable[[dict[str, Any]], Terms] = read_terms
_to_ns: Callable[[float], int] = to_ns


@slotted
class NodeConfiguration:
    """The checked configuration of an edge node.

    Attributes:
        name: the node's name.
        listen_address: host and port of the listener for HTTP clients.
        inherited_listener: the descriptor of a listening socket inherited from the platform; if set, no address is
            bound.
        admin_address: host and port of the operators' listener.
        discovery_address: host and port of discovery.
        counter_address: host and port of the counter.
        seed: the seed of the random number generators.
        known_servers: the server list that is used until discovery sends one.
        terms: the parameters of the decision module.
        names: the announced names of products and plans, with their indices.
        zones: the announced zones, name to index.
        limits: the limits of the process.
        memory_mb: the memory of the machine.
        reports_load: whether servers report their load.
        log_levels: the `levels` argument of `Log`.
        syslog: the settings of the syslog sender.
        storm: the settings of the retry storm control.
        mqtt: the settings of the MQTT listener.
        journal: the settings of the journal of once-only transactions.
    """

    name: str
    listen_address: tuple[str, int]
    inherited_listener: int | None
    admin_address: tuple[str, int] | None
    discovery_address: tuple[str, int]
    counter_address: tuple[str, int] | None
    seed: int
    known_servers: ServerListUpdate
    terms: Terms
    names: AnnouncedNames
    zones: Mapping[str, int]
    limits: NetworkLimits
    memory_mb: int
    reports_load: bool
    log_levels: dict[str, str]
    syslog: SyslogOptions | None
    storm: StormSettings | None
    mqtt: MqttSettings | None
    journal: "JournalSettings | None"


def load_configuration(environ: Mapping[str, str] = os.environ) -> NodeConfiguration:
    """Reads the configuration file, in TOML or JSON, whose path is in RELAY_CONFIG.

    Args:
        environ: the environment variables.

    Raises:
        ConfigurationError: the file is invalid, or cannot be read.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigurationError.for_key("RELAY_CONFIG", "the path of the configuration", None)
    try:
        content = _load_toml(path) if path.endswith(".toml") else _load_json(path)
    except OSError as error:
        raise ConfigurationError.for_key("RELAY_CONFIG", f"a file that can be read ({error.strerror})", path) from None
    max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return read_configuration(content, environ, max_descriptors)


def read_configuration(
    content: object, environ: Mapping[str, str], max_descriptors: int = _MAX_DESCRIPTORS
) -> NodeConfiguration:
    """Checks a configuration. Raises ConfigurationError, which names the first invalid key.

    Args:
        content: the decoded file, with the platform's keys.
        environ: the environment variables, which supply keys that the file omits.
        max_descriptors: how many file descriptors the process may have open.
    """
    file = _with_environment(check_value(content, OBJECT, "the configuration"), environ)
    settings = check_value(file.get("settings"), OBJECT, "settings")
    check_settings(settings)
    names, terms = _read_announced(settings)
    machine = _read_machine(file.get("limits", {}))
    descriptors = _read_descriptors(machine["sockets"], max_descriptors)
    tables = read_tables(file, names)
    mqtt = read_mqtt(tables["mqtt"], names, terms)
    descriptors = _without_mqtt_connections(descriptors, mqtt)
    return NodeConfiguration(
        seed=_read_seed(file.get("seed", "0")),
        known_servers=_read_known_servers(file.get("known") or _NO_SERVERS, names.zones),
        admin_address=_read_admin_address(file.get("admin_addr"), environ),
        name=check_value(file.get("name"), TEXT, "name"),
        listen_address=check_address(file.get("listen"), "listen"),
        inherited_listener=_read_inherited_listener(environ.get("RELAY_LISTEN_FD")),
        discovery_address=check_address(file.get("discovery"), "discovery"),
        counter_address=check_address(file.get("counter"), "counter") if terms.has_counter else None,
        terms=terms,
        names=cast(AnnouncedNames, names),
        zones=names.zones,
        limits=_compute_limits(descriptors, settings["Limits"]),
        memory_mb=int(machine["memory_mb"]),
        reports_load=settings.get("Reporting", {}).get("How", "none") != "none",
        log_levels=_read_log_levels(file.get("log") or {}),
        syslog=read_syslog(tables["syslog"], file["name"]),
        storm=read_storm(tables["storm"], settings["Classes"]),
        mqtt=mqtt,
        journal=read_journal(tables["journal"], file["name"]),
    )


def _with_environment(file: dict[str, Any], environ: Mapping[str, str]) -> dict[str, Any]:
    """Returns the file's content, with omitted keys taken from the environment."""
    given = {key: environ[variable] for key, variable in _ENVIRONMENT_KEYS.items() if environ.get(variable)}
    return {**given, **file}


def _read_admin_address(value: object, environ: Mapping[str, str]) -> tuple[str, int] | None:
    """Returns the operators' address, if there is one. `value`: the file's value. Raises ConfigurationError."""
    # The environment takes precedence: an upgrade starts a second process with the same file, and this variable gives
    # it an address of its own.
    address = environ.get("RELAY_ADMIN_ADDR") or value
    return check_address(address, "admin_addr") if address else None


def _load_toml(path: str) -> dict[str, Any]:
    """Reads a TOML file and converts it to the platform's keys. Raises ConfigurationError, OSError."""
    from ..config import ConfigFileError, load_toml  # imported late: only nodes with a TOML file need its libraries

    load: Callable[[str], dict[str, Any]] = load_toml  # `config.py` is untyped
    try:
        content = load(path)
    except ConfigFileError as error:
        raise ConfigurationError(str(error)) from None
    content["seed"] = content["seed"] or secrets.randbits(_SEED_BITS)
    return content


def _load_json(path: str) -> object:
    """Reads a JSON file. Raises ConfigurationError, OSError."""
    try:
        with open(path, "rb") as file:
            return orjson.loads(file.read())
    except orjson.JSONDecodeError as error:
        raise ConfigurationError.for_key("RELAY_CONFIG", f"a file of JSON ({error})", path) from None


def _read_announced(settings: dict[str, Any]) -> tuple[Names, Terms]:
    """Returns the announced names and the parameters of the decision module. Raises ConfigurationError."""
    try:
        names = _read_names(settings)
        terms = _read_terms(settings)
    except (InvalidSetupError, KeyError, TypeError, ValueError) as error:
        expected = "as the simulator's first message has it"
        raise ConfigurationError.for_key("settings", expected, str(error)) from None
    if terms.has_counter and not terms.counter_timeout:
        raise ConfigurationError.for_key("settings.Domain.CountWait", "more than 0 where there is a counter", 0)
    return names, terms


def _read_machine(table: object) -> dict[str, float]:
    """Returns the limits of the machine, by the keys of `table`, the file's `limits`. Raises ConfigurationError."""
    given = check_value(table, OBJECT, "limits")
    limits = {**_DEFAULT_LIMITS, **given}
    return {key: check_value(limits[key], NUMBER, f"limits.{key}") for key in _DEFAULT_LIMITS}


def _read_descriptors(sockets: float, max_descriptors: int) -> int:
    """Returns how many file descriptors the node may use. `sockets`: as configured. Raises ConfigurationError."""
    descriptors = int(min(sockets, max_descriptors))
    if descriptors < _MIN_DESCRIPTORS:
        expected = f"{_MIN_DESCRIPTORS} or more, and so should the process's limit of open files"
        raise ConfigurationError.for_key("limits.sockets", expected, descriptors)
    return descriptors


def _without_mqtt_connections(descriptors: int, mqtt: MqttSettings | None) -> int:
    """Returns the descriptors that remain beside those of MQTT clients. Raises ConfigurationError if too few do."""
    if mqtt is None:
        return descriptors
    max_allowed = descriptors - _MIN_DESCRIPTORS
    if mqtt.max_connections > max_allowed:
        expected = f"{max_allowed} or less, so that {_MIN_DESCRIPTORS} descriptors remain"
        raise ConfigurationError.for_key("mqtt.connections", expected, mqtt.max_connections)
    return descriptors - mqtt.max_connections


def _read_seed(value: int | str) -> int:
    """Reads the seed from an integer or hexadecimal digits. Raises ConfigurationError."""
    if isinstance(value, int):
        return value
    try:
        return int(value, _HEX)
    except (TypeError, ValueError):
        raise ConfigurationError.for_key("seed", "hex digits", value) from None


def _read_known_servers(content: dict[str, Any], zones: Mapping[str, int]) -> ServerListUpdate:
    """Reads the file's server list. Raises ConfigurationError."""
    try:
        return parse_server_list(content, zones)
    except ServerListError as error:
        raise ConfigurationError.for_key("known", "a list as discovery gives it", str(error)) from None


def _read_inherited_listener(text: str | None) -> int | None:
    """Reads the descriptor of a listening socket inherited from the platform. Raises ConfigurationError."""
    if not text:
        return None
    if not text.isdigit() or int(text) < _FIRST_INHERITED_DESCRIPTOR:
        expected = f"the number of an open listening socket, {_FIRST_INHERITED_DESCRIPTOR} or more"
        raise ConfigurationError.for_key("RELAY_LISTEN_FD", expected, text)
    return int(text)


def _read_log_levels(table: object) -> dict[str, str]:
    """Returns the minimum log level by module. `table`: the file's `log`. Raises ConfigurationError."""
    log = check_value(table, OBJECT, "log")
    modules = check_value(log.get("modules", {}), OBJECT, "log.modules")
    default_level = log.get("level", _DEFAULT_LEVEL)
    levels = {"log.level": default_level}
    levels.update({f"log.modules.{module}": level for module, level in modules.items()})
    for key, level in levels.items():
        if level not in LEVELS:
            raise ConfigurationError.for_key(key, "one of " + ", ".join(LEVELS), level)
    return {OTHER_MODULES: default_level, **modules}


def _compute_limits(descriptors: int, settings: dict[str, Any]) -> NetworkLimits:
    """Returns the limits of the process. `settings`: the `Limits` object of the settings."""
    return compute_limits(
        descriptors,
        connect_timeout_ns=_to_ns(settings.get("ConnectTimeout", _DEFAULT_CONNECT_TIMEOUT_MS)),
        server_keepalive_ns=_to_ns(settings.get("Keepalive", _DEFAULT_KEEPALIVE_MS)),
    )
