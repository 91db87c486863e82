"""The tables of a process's settings file (PROTOCOL.md, DEPLOY.md), as dacite reads them.

The classes follow the file: a field `cpu_share` is `CpuShare` there. Descriptions and defaults make the reference page.
The rest of the system does not see these tables, but the flat `ProcessSettings`; only `Guarantees` is handed on.
"""

from .field_types import Address, Duration, Integer, Real, described, frozen
from .scalars import MS, SEC


@frozen
class Caps:
    """`Self.Caps`: what the machine gives to the process."""

    cpu_share: Real = described("part of a core that the process gets", default=Real(1.0))
    cores: Real = described("how many times as fast that core runs", default=Real(1.0))
    memory_mb: Integer = described("memory past which the process is killed", default=Integer(200))
    open_files: Integer = described("descriptors; 200 are for files outside the folder", default=Integer(4096))


@frozen
class Identity:
    """`Self`: who the process is."""

    node_name: str = described("the machine's name")
    zone: str = described("the zone it stands in")
    region: str = described("the zone's region; absent: as `Network.Zones` has it", default="")
    ip: str = described("its own address; absent: as in `ListenOn`", default="")
    role: str = described("the role in the deploy file", default="")
    serves: list[str] = described(
        "of `front`, `control`, `directory`; absent: those of `ListenOn`", default_factory=list
    )
    counts_as_loss: bool = described("whether `Survive` counts the machine", default=False)
    first_boot: bool = described("the first start of the whole system: only then may a core be founded", default=False)
    data_folder: str = described("a folder on disk; a process that has one is a member of the core", default="")
    caps: Caps = described("what the machine gives", default=Caps())


@frozen
class ListenOn:
    """`Network.ListenOn`: addresses that the process serves at; what is absent is not served."""

    front: Address | None = described("clients", default=None)
    ready_check: Address | None = described("the platform's checks", default=None)
    control: Address | None = described("the operator", default=None)
    directory: Address | None = described("clients that ask where to go", default=None)


@frozen
class Network:
    """`Network`: where it listens, and whom it asks first."""

    listen_on: ListenOn = described("its addresses")
    port_range: list[Integer] = described("first and last port for what nodes say to each other")
    seed_nodes: list[Address] = described("`Control` addresses of the nodes asked first", default_factory=list)
    zones: dict[str, str] = described("the region of every zone", default_factory=dict)


@frozen
class PlatformApi:
    """`Hosting.PlatformApi`: the platform's list of servers."""

    address: Address = described("where it is asked")
    per_s: Real = described("calls a second that all nodes together may make", default=Real(10.0))
    max_lag: Duration = described("by how much the list lags", default=Duration(SEC))


@frozen
class Hosting:
    """`Hosting`: what the platform offers."""

    platform_api: PlatformApi | None = described("the list of servers, where there is one", default=None)


@frozen
class Survive:
    """`AgreedTerms.Survive`: what may be lost at once, with all rules kept."""

    machines: Integer = described("machines that count as a loss", default=Integer(1))
    zones: Integer = described("zones", default=Integer(0))
    regions: Integer = described("regions", default=Integer(0))


@frozen
class Guarantees:
    """`AgreedTerms.Guarantees`: figures of the rules in force, named as PROTOCOL.md names them. Durations are ns."""

    seed_delay: Duration = described("how late lists of nodes are", default=Duration(3 * SEC))
    reuse_wait: Duration = described(
        "from a server's end until its address may be another's", default=Duration(2 * SEC)
    )
    in_touch: Duration = described("calm after which a machine is in touch", default=Duration(4 * SEC))
    ack_within: Duration = described("for the acknowledgement of an order", default=Duration(6 * SEC))
    catch_up: Duration = described("for which a machine that is back still counts as lost", default=Duration(4 * SEC))
    drain: Duration = described("after which a server that is emptying gets nothing", default=Duration(3 * SEC))
    grace: Duration = described("from SIGTERM to SIGKILL", default=Duration(6 * SEC))
    loss_slack: Duration = described("from a request's last byte until its loss counts", default=Duration(200 * MS))
    apply_within: Duration = described("from an acknowledgement until it binds everywhere", default=Duration(3 * SEC))
    go_back: Duration = described("after which no older version may show", default=Duration(250 * MS))
    stretch: Duration = described("by which an unsettled core stretches bounds", default=Duration(8 * SEC))
    revoke_everywhere: bool = described("removed keys bind nodes out of touch too", default=True)
    revoke_within: Duration = described("after which a removed key opens nothing", default=Duration(5 * SEC))
    retry_ratio: Real = described("repeats for each request to a service, of all nodes together,", default=Real(0.2))
    retry_window: Duration = described("in any such window,", default=Duration(10 * SEC))
    extra_tries: Integer = described("and so many more", default=Integer(50))
    quota_window: Duration = described("window in which quotas are judged", default=Duration(5 * SEC))
    quota_excess: Real = described("part by which a quota may be passed,", default=Real(0.1))
    quota_slack: Integer = described("and so many requests more", default=Integer(20))
    cold_excess: Real = described("times `ColdPerS` that a cold server may get in a second,", default=Real(1.5))
    cold_slack: Integer = described("and so many requests more", default=Integer(5))
    empty_zone: Duration = described("after which an emptied zone gets nothing", default=Duration(5 * SEC))
    recovery: Duration = described("to serve again after all was lost", default=Duration(15 * SEC))
    ttl_max: Duration = described("longest `Ttl` of a directory answer that counts", default=Duration(5 * SEC))


@frozen
class AgreedTerms:
    """`AgreedTerms`: the rules in force."""

    rule_parts: list[str] = described("names of the parts in force", default_factory=list)
    survive: Survive = described("what may be lost at once", default=Survive())
    guarantees: Guarantees = described("their figures", default=Guarantees())


@frozen
class SettingsFile:
    """The complete settings file."""

    own: Identity = described("who the process is")
    network: Network = described("where it listens, and whom it asks first")
    hosting: Hosting = described("what the platform offers", default=Hosting())
    agreed_terms: AgreedTerms = described("the rules in force", default=AgreedTerms())
