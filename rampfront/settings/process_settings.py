"""The settings of a process as the system uses them: one flat object, validated, in the units of the code."""

from typing import NamedTuple

from .field_types import frozen
from .settings_file import Guarantees


class ToleratedLosses(NamedTuple):
    """How many machines, zones and regions may fail at once while all guarantees hold (`AgreedTerms.Survive`)."""

    machines: int
    zones: int
    regions: int


@frozen
class ProcessSettings:
    """The settings of one process; a comment gives the field's path in the file where the name differs.

    Durations are in ns. An address is (host, port), or None if it is not set.
    """

    name: str  # Self.NodeName
    role: str
    zone: str
    region: str
    ip: str
    serves: frozenset[str]  # of "front", "control", "directory"
    data_folder: str | None  # None: no disk; a process with a data folder is a member of the core
    first_boot: bool  # first start of the whole system: only then may the process bootstrap a core
    counts_as_loss: bool  # whether the loss of this machine counts towards `Survive`
    cpu_share: float  # share of a core that the process gets
    cores: float  # speed of that core, as a multiple of a usual core's
    memory_mb: int
    open_files: int
    front: tuple[str, int] | None  # Network.ListenOn.Front: address for clients' requests
    ready_check: tuple[str, int] | None  # address for the platform's readiness checks
    control: tuple[str, int] | None  # address for operators' calls
    directory: tuple[str, int] | None  # address for clients that look up fronts
    port_range: tuple[int, int]  # first and last, both included
    seed_nodes: tuple[tuple[str, int], ...]
    zones: dict[str, str]  # region of each zone
    platform_address: tuple[str, int] | None  # Hosting.PlatformApi.Address
    platform_calls_per_s: float  # Hosting.PlatformApi.PerS: rate limit of calls, for all nodes together
    platform_max_lag_ns: int  # Hosting.PlatformApi.MaxLag
    tolerated_losses: ToleratedLosses
    rule_parts: frozenset[str]  # names of the parts of the rules in force
    guarantees: Guarantees
