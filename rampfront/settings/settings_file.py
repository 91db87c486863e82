"""The tables of a process's settings file (PROTOCOL.md, DEPLOY.md), as dacite reads them.

The classes have the structure of the file: a field `cpu_share` is `CpuShare` there. The reference page is generated
from the descriptions and defaults. The rest of the system does not use these tables but the flat `ProcessSettings`;
only `Guarantees` is passed on as it is.
"""

from .field_types import Address, Duration, Integer, Real, described, frozen, table
from .scalars import MS, SEC


@table
class Caps:
    """`Self.Caps`: the resources that the machine gives to the process."""

    cpu_share: Real = described("share of a core that the process gets", default=Real(1.0))
    cores: Real = described("how many times as fast as a usual core that core runs", default=Real(1.0))
    memory_mb: Integer = described(
        "memory limit, in MB; past it the process is killed. What clients can make it hold is bounded by it",
        default=Integer(200),
    )
    open_files: Integer = described(
        "limit of file descriptors; 200 of them are for files outside the data folder", default=Integer(4096)
    )


@table
class Identity:
    """`Self`: the identity and the role of the process."""

    node_name: str = described("the machine's name")
    zone: str = described("the zone of the machine")
    region: str = described("the zone's region; absent: as `Network.Zones` has it", default="")
    ip: str = described("its own IP address; absent: the host of the first address in `ListenOn`", default="")
    role: str = described("the role in the deploy file", default="")
    serves: list[str] = described(
        "what the process serves, of `front`, `control` and `directory`; absent: whatever `ListenOn` has",
        default_factory=list,
    )
    counts_as_loss: bool = described("whether the loss of this machine counts towards `Survive`", default=False)
    first_boot: bool = described(
        "first start of the whole system: only then may the process bootstrap a core", default=False
    )
    data_folder: str = described("folder for data on disk; a process that has one is a member of the core", default="")
    caps: Caps = described("limits of the machine", default=Caps())


@table
class ListenOn:
    """`Network.ListenOn`: the addresses that the process serves at. An endpoint without one is not served."""

    front: Address | None = described("where clients send requests", default=None)
    ready_check: Address | None = described("where the platform checks readiness", default=None)
    control: Address | None = described("where operators' calls come in", default=None)
    directory: Address | None = described("where clients look fronts up", default=None)


@table
class Network:
    """`Network`: the addresses that the process listens on, and the nodes that it contacts first."""

    listen_on: ListenOn = described("addresses that it listens on")
    port_range: list[Integer] = described("first and last port for frames between nodes")
    seed_nodes: list[Address] = described(
        "`Control` addresses of the nodes that are contacted first", default_factory=list
    )
    zones: dict[str, str] = described("the region of every zone", default_factory=dict)


@table
class PlatformApi:
    """`Hosting.PlatformApi`: the platform's list of servers."""

    address: Address = described("address of the platform's API")
    per_s: Real = described("rate limit of calls, per second, for all nodes together", default=Real(10.0))
    max_lag: Duration = described("how far the list of servers may lag behind", default=Duration(SEC))


@table
class Hosting:
    """`Hosting`: the interfaces that the platform offers."""

    platform_api: PlatformApi | None = described("the API that lists servers, where there is one", default=None)


@table
class Survive:
    """`AgreedTerms.Survive`: how many machines, zones and regions may fail at once while all rules are kept."""

    machines: Integer = described("machines that may be lost at once, of those with `CountsAsLoss`", default=Integer(1))
    zones: Integer = described("zones that may be lost at once", default=Integer(0))
    regions: Integer = described("regions that may be lost at once", default=Integer(0))


@frozen
class Guarantees:
    """`AgreedTerms.Guarantees`: figures of the rules in force, with the names of PROTOCOL.md. Durations are in ns."""

    seed_delay: Duration = described("how stale a list of nodes may be", default=Duration(3 * SEC))
    reuse_wait: Duration = described(
        "from a server's end until its address may be reused by another one", default=Duration(2 * SEC)
    )
    in_touch: Duration = described(
        "time without faults after which a machine counts as in touch", default=Duration(4 * SEC)
    )
    ack_within: Duration = described(
        "time limit for the acknowledgement of an operator's order", default=Duration(6 * SEC)
    )
    catch_up: Duration = described(
        "how long a machine that has come back still counts as lost", default=Duration(4 * SEC)
    )
    drain: Duration = described("time after which a draining server gets no new request", default=Duration(3 * SEC))
    grace: Duration = described("graceful shutdown: from SIGTERM to SIGKILL", default=Duration(6 * SEC))
    loss_slack: Duration = described("from a request's last byte until its loss counts", default=Duration(200 * MS))
    apply_within: Duration = described(
        "from the acknowledgement of an order until it is in force at every node", default=Duration(3 * SEC)
    )
    go_back: Duration = described(
        "time after which no older version may be visible any more", default=Duration(250 * MS)
    )
    stretch: Duration = described(
        "by how much time limits are extended while the core is unsettled", default=Duration(8 * SEC)
    )
    revoke_everywhere: bool = described(
        "whether revoked API keys have to be rejected also by nodes that are out of touch", default=True
    )
    revoke_within: Duration = described("time after which a revoked API key is rejected", default=Duration(5 * SEC))
    retry_ratio: Real = described(
        "retry budget: retries for each request to a service, of all nodes together", default=Real(0.2)
    )
    retry_window: Duration = described("retry budget: the window that it is judged in", default=Duration(10 * SEC))
    extra_tries: Integer = described(
        "retry budget: further retries in a window, whatever the requests", default=Integer(50)
    )
    quota_window: Duration = described("the window that quotas are judged in", default=Duration(5 * SEC))
    quota_excess: Real = described("share of a quota by which it may be exceeded in a window", default=Real(0.1))
    quota_slack: Integer = described("requests by which a quota may be exceeded beside that", default=Integer(20))
    cold_excess: Real = described(
        "slow start: multiple of `ColdPerS` that a server may get in a second", default=Real(1.5)
    )
    cold_slack: Integer = described("slow start: requests that it may get in a second beside that", default=Integer(5))
    empty_zone: Duration = described(
        "time after which an evacuated zone gets no new request", default=Duration(5 * SEC)
    )
    recovery: Duration = described("time limit for serving again after everything was lost", default=Duration(15 * SEC))
    ttl_max: Duration = described("longest `Ttl` of a directory answer that is honoured", default=Duration(5 * SEC))


@table
class AgreedTerms:
    """`AgreedTerms`: the rules in force."""

    rule_parts: list[str] = described("names of the parts in force", default_factory=list)
    survive: Survive = described("what may be lost at once", default=Survive())
    guarantees: Guarantees = described("their figures", default=Guarantees())


@table
class SettingsFile:
    """The complete settings file."""

    own: Identity = described("who the process is")
    network: Network = described("where it listens, and whom it asks first")
    hosting: Hosting = described("what the platform offers", default=Hosting())
    agreed_terms: AgreedTerms = described("the rules in force", default=AgreedTerms())
