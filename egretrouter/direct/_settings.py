"""Define the settings of processes that reach endpoints directly."""

from enum import Enum
from pathlib import Path

import msgspec

from egretrouter.core.errors import ValidationError
from egretrouter.core.identifiers import InstanceId, RegionId, ServiceName, ZoneId


class SettingsError(ValidationError):
    """The settings file can't be read or breaks a rule."""


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Define the time and repeat limits that the deployment guarantees."""

    drain_ms: int
    configuration_ms: int
    weights_ms: int
    """How long after a new target version was set calls may still start on an older one."""
    grace_seconds: float
    """How long a process may run after SIGTERM."""
    touch_ms: int
    """How long a process must have been undisturbed before the other bounds apply to it."""
    repeat_ratio: float
    repeat_extra: float
    """Repeats a service may get in a window beyond the ratio, over all routers."""
    repeat_window_seconds: float
    evacuation_ms: int = 0
    """Time after the store acknowledged an evacuation in which new calls to the zone must end; 0 if
    zones are never evacuated."""
    cold_excess: float = 0.0
    """Factor by which calls to a cold endpoint may exceed the rate that it tolerates."""
    cold_slack: float = 0.0
    """Calls per second that a cold endpoint may get beyond that; both 0 means no limit."""


class Scheduling(Enum):
    """List the ways in which calls are admitted and placed."""

    LEAST_LOADED = "least_loaded"
    RANKED = "ranked"
    """By rank and predicted cost, spread over the endpoints that have room."""


class DirectSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Define the settings of one process."""

    instance_id: InstanceId
    zone: ZoneId
    regions: dict[ZoneId, RegionId]
    """The region of each availability zone."""
    address: str
    callers: str = ""
    """Where a router listens for callers, as ADDRESS:PORT."""
    readiness: str = ""
    peer_ports: tuple[int, int]
    """The first and last port that processes may use among themselves and for metrics."""
    seeds: tuple[str, ...] = ()
    """Addresses of some instances that run the system's processes; ports are ignored."""
    store: str
    store_history_seconds: float
    """How long the store keeps the changes that a watch can start from."""
    engine: str = ""
    """The address of the engine on an agent's instance."""
    engine_service: ServiceName = ServiceName("")
    heartbeat_ms: int = 1000
    """How often endpoints renew their registration."""
    link_bits_per_second: float
    memory_bytes: float = 256e6
    """How much memory the process may use."""
    bounds: Bounds
    scheduling: Scheduling = Scheduling.LEAST_LOADED

    @property
    def region(self) -> RegionId:
        """Return the region of the process's zone."""
        return self.regions[self.zone]

    @property
    def seed_addresses(self) -> list[str]:
        """Return the IP addresses of the seeds."""
        return [seed.partition(":")[0] for seed in self.seeds]

    @property
    def gossip_port(self) -> int:
        """Return the UDP port of gossip."""
        return self.peer_ports[0]

    @property
    def peer_port(self) -> int:
        """Return the TCP port of requests between processes."""
        return self.peer_ports[0]

    @property
    def metrics_port(self) -> int:
        """Return the TCP port of metrics and the state dump."""
        return self.peer_ports[0] + 1


def read_settings(path: Path) -> DirectSettings:
    """Read the settings of a process.

    Raises SettingsError.
    """
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=DirectSettings)
    except OSError as error:
        raise SettingsError(f"settings {path}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise SettingsError(f"settings {path}: {error}") from error
    if settings.zone not in settings.regions:
        raise SettingsError(
            f"settings {path}: zone {settings.zone!r} is not one of {sorted(settings.regions)}"
        )
    first, last = settings.peer_ports
    if not 0 < first < last < 65536:
        raise SettingsError(
            f"settings {path}: peer_ports {first},{last} must be two ports in ascending order"
        )
    return settings
