"""Define what an agent's rollout is told and what it orders."""

from enum import Enum

import msgspec

from egretrouter.core.identifiers import Digest, InstanceId, ModelName, ServiceName, ZoneId
from egretrouter.core.rollout._placement import Assignment, VersionReference


class Phase(Enum):
    """Name how far an agent got with its target."""

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
    """Hold what an agent gossips about its engine."""

    instance_id: InstanceId
    zone: ZoneId
    service: ServiceName | None = None
    serving_digest: Digest | None = None
    drained: bool = False
    phase: Phase = Phase.IDLE
    failed_digest: Digest | None = None
    failed_reason: str = ""


class RolloutMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Root of the messages to a rollout."""


class AssignmentChanged(RolloutMessage, frozen=True, kw_only=True):
    """State what the configuration in force wants of this agent."""

    assignment: Assignment | None


class ReplicasSeen(RolloutMessage, frozen=True, kw_only=True):
    """Hold the facts of all live agents in view, with or without self."""

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
    """Report that the engine carried out or failed a load; failure has a reason."""

    manifest_digest: Digest
    reason: str | None = None
    engine_unreachable: bool = False
    """The order did not reach the engine, which tells nothing about the version."""


class EngineReported(RolloutMessage, frozen=True, kw_only=True):
    """Hold what the engine says it has loaded, by manifest digest."""

    loaded: tuple[VersionReference, ...]


class Tick(RolloutMessage, frozen=True, kw_only=True):
    """Let time pass; due once a second."""


class RolloutCommand(msgspec.Struct, frozen=True, kw_only=True):
    """Root of the commands of a rollout."""


class StartCopy(RolloutCommand, frozen=True, kw_only=True):
    """Copy a version and report WeightsReady or WeightsFailed."""

    version: VersionReference


class AbandonCopy(RolloutCommand, frozen=True, kw_only=True):
    """Tell the copy of a version that it is superseded."""

    manifest_digest: Digest


class DrainVersion(RolloutCommand, frozen=True, kw_only=True):
    """Admit no new call of a version, and go on reporting CallsInProgress."""

    manifest_digest: Digest


class AdmitVersion(RolloutCommand, frozen=True, kw_only=True):
    """Admit calls of a version; the engine reported it."""

    manifest_digest: Digest


class LoadVersion(RolloutCommand, frozen=True, kw_only=True):
    """Order the engine to load a version beside what it has, and report LoadEnded."""

    version: VersionReference
    base_model: ModelName | None = None


class UnloadVersion(RolloutCommand, frozen=True, kw_only=True):
    """Order the engine to unload a version that has no call in progress."""

    version: VersionReference


class ReadEngine(RolloutCommand, frozen=True, kw_only=True):
    """Read the engine's report and pass it on as EngineReported."""


class PublishFacts(RolloutCommand, frozen=True, kw_only=True):
    """Gossip this agent's facts."""

    facts: ReplicaFacts


class ReportHalted(RolloutCommand, frozen=True, kw_only=True):
    """Report to operators that a version is not rolled out further."""

    version: VersionReference
    failed_on: tuple[InstanceId, ...]
