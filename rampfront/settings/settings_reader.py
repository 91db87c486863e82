"""Reads a process's settings file: `load(path)` and `read(data)` return `ProcessSettings`, or a `Fault` that names the
field.

Unknown fields are ignored, since later versions may add some; absent or null fields get their defaults. The file is
read again while the process runs, so these functions do not raise, and on a fault the caller keeps its settings.
"""

import json

from result import Err, Ok, Result

from .errors import Fault, FieldError
from .field_types import Address, key_of, read_table, to_plain
from .process_settings import ProcessSettings, ToleratedLosses
from .scalars import PORTS, Json
from .settings_file import Identity, ListenOn, Network, SettingsFile, Survive

_PORT_RANGE_LENGTH = 2  # `PortRange` holds the first and the last port


def load(path: str) -> Result[ProcessSettings, Fault]:
    """Returns the settings in the file at `path`. A file that is read while it is being written gives a fault."""
    try:
        with open(path, "rb") as file:
            data = json.loads(file.read())
    except OSError as error:
        return Err(Fault("", f"cannot be read: {error.strerror or error}"))
    except (ValueError, RecursionError) as error:
        return Err(Fault("", f"not JSON: {error}"))
    return read(data)


def read(data: Json) -> Result[ProcessSettings, Fault]:
    """Returns the settings in the parsed tables of a settings file."""
    try:
        return Ok(_flatten(read_table(SettingsFile, data)))
    except FieldError as error:
        return Err(error.fault())
    except RecursionError:
        return Err(Fault("", "tables nested too deeply"))


def _flatten(file: SettingsFile) -> ProcessSettings:
    """Checks the conditions between fields and returns all fields in one flat object."""
    own = file.own
    network = file.network
    listen_on = network.listen_on
    platform = file.hosting.platform_api
    region = _region(own, network)
    return ProcessSettings(
        name=own.node_name,
        role=own.role,
        zone=own.zone,
        region=region,
        ip=own.ip or _first_ip(listen_on),
        serves=_served(own, listen_on),
        data_folder=own.data_folder or None,
        first_boot=own.first_boot,
        counts_as_loss=own.counts_as_loss,
        cpu_share=float(own.caps.cpu_share),
        cores=float(own.caps.cores),
        memory_mb=int(own.caps.memory_mb),
        open_files=int(own.caps.open_files),
        front=_plain_address(listen_on.front),
        ready_check=_plain_address(listen_on.ready_check),
        control=_plain_address(listen_on.control),
        directory=_plain_address(listen_on.directory),
        port_range=_port_range(network),
        seed_nodes=tuple(dict.fromkeys((host, port) for host, port in network.seed_nodes)),
        zones={**network.zones, own.zone: region},
        platform_address=_plain_address(platform.address) if platform else None,
        platform_calls_per_s=float(platform.per_s) if platform else 0.0,
        platform_max_lag_ns=int(platform.max_lag) if platform else 0,
        tolerated_losses=_tolerated_losses(file.agreed_terms.survive),
        rule_parts=frozenset(file.agreed_terms.rule_parts),
        guarantees=to_plain(file.agreed_terms.guarantees),
    )


def _region(own: Identity, network: Network) -> str:
    """Returns the process's region, from its own table or else by its zone."""
    for name in ("node_name", "zone"):
        if not getattr(own, name):
            raise FieldError("empty", f"Self.{key_of(name)}")
    region = own.region or network.zones.get(own.zone)
    if not region:
        raise FieldError("missing, and Network.Zones does not have the zone", "Self.Region")
    return region


def _tolerated_losses(survive: Survive) -> ToleratedLosses:
    return ToleratedLosses(int(survive.machines), int(survive.zones), int(survive.regions))


def _plain_address(address: Address | None) -> tuple[str, int] | None:
    if address is None:
        return None
    host, port = address
    return host, port


def _port_range(network: Network) -> tuple[int, int]:
    ports = network.port_range
    if len(ports) != _PORT_RANGE_LENGTH or not 0 < ports[0] <= ports[1] < PORTS.stop:
        raise FieldError("not a first and a last port", "Network.PortRange")
    return int(ports[0]), int(ports[1])


def _first_ip(listen_on: ListenOn) -> str:
    """Returns the host of the first address that the process serves at."""
    for address in (listen_on.front, listen_on.control, listen_on.directory, listen_on.ready_check):
        if address:
            return address[0]
    raise FieldError("missing, and ListenOn has no address", "Self.Ip")


def _served(own: Identity, listen_on: ListenOn) -> frozenset[str]:
    """Returns what the process serves: the names in `Serves`, or if it is empty, every endpoint with an address."""
    addresses = {"front": listen_on.front, "control": listen_on.control, "directory": listen_on.directory}
    serves = frozenset(own.serves) or frozenset(name for name, address in addresses.items() if address)
    for name, address in addresses.items():
        if name in serves and not address:
            raise FieldError(f"missing, though Self.Serves has {name}", f"Network.ListenOn.{key_of(name)}")
    return serves
