"""Define the messages to an agent's rollout and the commands that it returns."""

from enum import Enum

import msgspec

from egretrouter.core.identifiers import Digest, InstanceId, ModelName, ServiceName, ZoneId
from egretrouter.core.rollout._placement import Assignment
from egretrouter.core.weights import VersionReference


class Phase(Enum):
    """List the phases of an agent on the way to its assigned version."""

    IDLE = "idle"
    COPYING = "copying"
    WAITING = "waiting"
    INTENDING = "intending"
    DRAINING = "draining"
    LOADING = "loading"
    CHECKING = "checking"
    SERVING = "serving"
    FAILED = "failed"


SWITCHING_PHASES = (Phase.DRAINING, Phase.LOADING, Phase.CHECKING)


class ReplicaFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the state of an agent's engine, as the agent gossips it."""

    instance_id: InstanceId
    zone: ZoneId
    service: ServiceName | None = None
    serving_digest: Digest | None = None
    drained: bool = False
    phase: Phase = Phase.IDLE
    failed_digest: Digest | None = None
    failed_reason: str = ""


class RolloutMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Provide the base of the messages to a rollout."""


class AssignmentChanged(RolloutMessage, frozen=True, kw_only=True):
    """Report the assignment of this agent under the active configuration."""

    assignment: Assignment | None


class ReplicasUpdated(RolloutMessage, frozen=True, kw_only=True):
    """Report the facts of all known live agents; self may be missing."""

    replicas: tuple[ReplicaFacts, ...]


class WeightsReady(RolloutMessage, frozen=True, kw_only=True):
    """Report that a copy completed."""

    manifest_digest: Digest


class WeightsFailed(RolloutMessage, frozen=True, kw_only=True):
    """Report that a copy halted."""

    manifest_digest: Digest
    reason: str


class CallsInProgress(RolloutMessage, frozen=True, kw_only=True):
    """Report how many calls of each loaded version are running."""

    counts: dict[Digest, int]


class LoadEnded(RolloutMessage, frozen=True, kw_only=True):
    """Report that the engine completed or failed a load; a failure has a reason."""

    manifest_digest: Digest
    reason: str | None = None
    engine_unreachable: bool = False
    """The command did not reach the engine, so the failure does not count against the version."""


class EngineReported(RolloutMessage, frozen=True, kw_only=True):
    """Report the versions that the engine has loaded, with their manifest digests."""

    loaded: tuple[VersionReference, ...]
    requested_at_seconds: float
    """When the report was requested; what it contains may have changed since."""


class Tick(RolloutMessage, frozen=True, kw_only=True):
    """Advance timers; sent once a second."""


class RolloutCommand(msgspec.Struct, frozen=True, kw_only=True):
    """Provide the base of the commands that a rollout returns."""


class StartCopy(RolloutCommand, frozen=True, kw_only=True):
    """Copy a version and report WeightsReady or WeightsFailed."""

    version: VersionReference


class AbandonCopy(RolloutCommand, frozen=True, kw_only=True):
    """Stop the copy of a version as superseded."""

    manifest_digest: Digest


class DrainVersion(RolloutCommand, frozen=True, kw_only=True):
    """Admit no new call of a version, and keep reporting CallsInProgress."""

    manifest_digest: Digest


class AdmitVersion(RolloutCommand, frozen=True, kw_only=True):
    """Admit calls of a version that the engine reported as loaded."""

    manifest_digest: Digest


class LoadVersion(RolloutCommand, frozen=True, kw_only=True):
    """Make the engine load a version alongside those it has, and report LoadEnded."""

    version: VersionReference
    base_model: ModelName | None = None


class UnloadVersion(RolloutCommand, frozen=True, kw_only=True):
    """Make the engine unload a version that has no call in progress."""

    version: VersionReference


class ReadEngine(RolloutCommand, frozen=True, kw_only=True):
    """Read the engine's report and deliver it as EngineReported."""


class PublishFacts(RolloutCommand, frozen=True, kw_only=True):
    """Gossip this agent's facts."""

    facts: ReplicaFacts


class ReportHalted(RolloutCommand, frozen=True, kw_only=True):
    """Report to operators that the rollout of a version stopped after failures."""

    version: VersionReference
    failed_on: tuple[InstanceId, ...]
