"""The settings of a process as the system uses them: flat, checked, and in the code's units."""

from typing import NamedTuple

from .field_types import frozen
from .settings_file import Guarantees


class ToleratedLosses(NamedTuple):
    """What may be lost at once with all guarantees kept (`AgreedTerms.Survive`)."""

    machines: int
    zones: int
    regions: int


@frozen
class ProcessSettings:
    """The settings of one process; each comment names the field of the file where the name differs.

    Durations are ns; an address is (host, port), and None where there is none.
    """

    name: str  # Self.NodeName
    role: str
    zone: str
    region: str
    ip: str
    serves: frozenset[str]  # of "front", "control", "directory"
    data_folder: str | None  # None: no disk; with one, the process is a member of the core
    first_boot: bool  # only then may the process found a core
    counts_as_loss: bool  # whether `Survive` counts the machine
    cpu_share: float  # part of a core
    cores: float  # how many times as fast that core runs
    memory_mb: int
    open_files: int
    front: tuple[str, int] | None  # Network.ListenOn.Front: clients' requests
    ready_check: tuple[str, int] | None  # the platform's checks
    control: tuple[str, int] | None  # operators' calls
    directory: tuple[str, int] | None  # clients that ask for fronts
    port_range: tuple[int, int]  # first and last, both included
    seed_nodes: tuple[tuple[str, int], ...]
    zones: dict[str, str]  # region of each zone
    platform_address: tuple[str, int] | None  # Hosting.PlatformApi.Address
    platform_calls_per_s: float  # Hosting.PlatformApi.PerS: of all nodes together
    platform_max_lag_ns: int  # Hosting.PlatformApi.MaxLag
    tolerated_losses: ToleratedLosses
    rule_parts: frozenset[str]  # names of the parts of the rules in force
    guarantees: Guarantees
