"""Decide when one agent's engine switches to another version."""

from functools import singledispatchmethod

from egretrouter.core.identifiers import Digest, InstanceId, ServiceName, ZoneId
from egretrouter.core.rollout._adapters import AdapterRollout
from egretrouter.core.rollout._messages import (
    SWITCHING_PHASES,
    AbandonCopy,
    AdmitVersion,
    AssignmentChanged,
    CallsInProgress,
    DrainVersion,
    EngineReported,
    LoadEnded,
    LoadVersion,
    Phase,
    PublishFacts,
    ReadEngine,
    ReplicaFacts,
    ReplicasUpdated,
    ReportHalted,
    RolloutCommand,
    RolloutMessage,
    StartCopy,
    Tick,
    UnloadVersion,
    WeightsFailed,
    WeightsReady,
)
from egretrouter.core.rollout._placement import Assignment, replica_rank
from egretrouter.core.weights import VersionReference

GOSSIP_SPREAD_SECONDS = 3.0
"""Time for gossip to spread the intention to switch in a zone before the agent drains."""

MAX_REASON_LENGTH = 160
"""Failure reasons are cut to this length, since every gossiped record of the agent has one."""

RESTORE_SECONDS = 10.0
"""Interval of attempts to reload the old version after a failed load, or an unreachable engine."""


class Rollout:
    """Switch one engine from the version that it serves to the assigned version.

    The new version is loaded alongside the old one once the old one has no calls left. The old
    one is unloaded only when the engine reports the new one, so it still serves after a failed
    load.
    """

    def __init__(self, *, instance_id: InstanceId, zone: ZoneId) -> None:
        self._instance_id = instance_id
        self._zone = zone
        self._target: Assignment | None = None
        self._service: ServiceName | None = None
        self._serving: VersionReference | None = None
        self._min_ready = 0
        self._phase = Phase.IDLE
        self._drained = False
        self._loading: VersionReference | None = None
        self._copied: set[Digest] = set()
        self._copying: set[Digest] = set()
        self._engine: dict[Digest, VersionReference] | None = None
        self._valid_reports_from_seconds = float("-inf")
        self._calls: dict[Digest, int] = {}
        self._replicas: dict[InstanceId, ReplicaFacts] = {}
        self._failures: dict[Digest, dict[InstanceId, str]] = {}
        self._halted: set[Digest] = set()
        self._calls_counted = False
        self._intending_since_seconds = 0.0
        self._version_to_restore: VersionReference | None = None
        self._next_restore_seconds = 0.0
        self._engine_unreachable = False
        self._next_load_seconds = 0.0
        self._published: ReplicaFacts | None = None
        self._adapters = AdapterRollout()

    def handle(self, message: RolloutMessage, *, now_seconds: float) -> list[RolloutCommand]:
        """Process a message and return the commands to execute."""
        commands = self._handle_message(message, now_seconds)
        for _ in Phase:
            before = (self._phase, self._serving)
            commands += self._advance(now_seconds)
            if before == (self._phase, self._serving):
                break
        serving = self._phase is Phase.SERVING and not self._drained
        commands += self._adapters.advance(
            base=self._serving if serving else None, engine=self._engine, calls=self._calls
        )
        facts = self.facts()
        if facts != self._published:
            self._published = facts
            commands.append(PublishFacts(facts=facts))
        return commands

    def facts(self) -> ReplicaFacts:
        """Return the state of this agent's engine that is gossiped."""
        target = self._target.base.manifest_digest if self._target else None
        reason = self._failures.get(target, {}).get(self._instance_id) if target else None
        return ReplicaFacts(
            instance_id=self._instance_id,
            zone=self._zone,
            service=self._service,
            serving_digest=self._serving.manifest_digest if self._serving else None,
            drained=self._drained,
            phase=self._phase,
            failed_digest=None if reason is None else target,
            failed_reason=(reason or "")[:MAX_REASON_LENGTH],
        )

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "phase": self._phase.value,
            "target": self._target.base.manifest_digest if self._target else None,
            "serving": self._serving.manifest_digest if self._serving else None,
            "drained": self._drained,
            "calls": dict(self._calls),
            "failures": {digest: dict(failed) for digest, failed in self._failures.items()},
            "halted": sorted(self._halted),
            "adapters": self._adapters.snapshot(),
        }

    @singledispatchmethod
    def _handle_message(self, message: RolloutMessage, now_seconds: float) -> list[RolloutCommand]:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle_message.register
    def _on_assignment(
        self, message: AssignmentChanged, now_seconds: float
    ) -> list[RolloutCommand]:
        old, self._target = self._target, message.assignment
        commands = self._adapters.set_target(self._target)
        if self._target and self._target.service == self._service:
            self._min_ready = self._target.min_ready
        if self._engine is None:
            # An agent that replaces another reuses the versions that the engine has loaded.
            commands.append(ReadEngine())
        old_base = old.base if old else None
        if old_base == (self._target.base if self._target else None):
            return commands
        if old_base is not None:
            digest = old_base.manifest_digest
            self._failures.pop(digest, None)
            self._halted.discard(digest)
            if digest in self._copying:
                self._copying.discard(digest)
                commands.append(AbandonCopy(manifest_digest=digest))
        if self._phase not in (Phase.LOADING, Phase.CHECKING):
            commands += self._readmit()
            self._phase = Phase.COPYING
        return commands

    @_handle_message.register
    def _on_replicas_updated(
        self, message: ReplicasUpdated, now_seconds: float
    ) -> list[RolloutCommand]:
        self._replicas = {r.instance_id: r for r in message.replicas}
        self._replicas.pop(self._instance_id, None)
        for replica in self._replicas.values():
            if replica.failed_digest is not None:
                failed = self._failures.setdefault(replica.failed_digest, {})
                failed.setdefault(replica.instance_id, replica.failed_reason)
        return []

    @_handle_message.register
    def _on_weights_ready(self, message: WeightsReady, now_seconds: float) -> list[RolloutCommand]:
        if message.manifest_digest in self._copying:
            self._copying.discard(message.manifest_digest)
            self._copied.add(message.manifest_digest)
        self._adapters.record_copy(message.manifest_digest)
        return []

    @_handle_message.register
    def _on_weights_failed(
        self, message: WeightsFailed, now_seconds: float
    ) -> list[RolloutCommand]:
        digest = message.manifest_digest
        if (
            not self._adapters.record_copy_failure(digest, message.reason)
            and digest in self._copying
        ):
            self._copying.discard(digest)
            self._record_failure(digest, message.reason)
        return []

    @_handle_message.register
    def _on_calls(self, message: CallsInProgress, now_seconds: float) -> list[RolloutCommand]:
        self._calls = dict(message.counts)
        self._calls_counted = True
        self._adapters.mark_drains_counted()
        return []

    @_handle_message.register
    def _on_load_ended(self, message: LoadEnded, now_seconds: float) -> list[RolloutCommand]:
        if self._adapters.record_load_end(message):
            return [ReadEngine()]
        if self._loading is None or message.manifest_digest != self._loading.manifest_digest:
            return []
        self._phase = Phase.CHECKING
        # A report requested during the load does not show its result.
        self._valid_reports_from_seconds = now_seconds
        self._engine_unreachable = message.engine_unreachable
        if self._engine_unreachable:
            self._next_load_seconds = now_seconds + RESTORE_SECONDS
        elif message.reason is not None:
            self._record_failure(message.manifest_digest, message.reason)
        return [ReadEngine()]

    @_handle_message.register
    def _on_engine(self, message: EngineReported, now_seconds: float) -> list[RolloutCommand]:
        if message.requested_at_seconds < self._valid_reports_from_seconds:
            return []
        self._valid_reports_from_seconds = message.requested_at_seconds
        self._engine = {version.manifest_digest: version for version in message.loaded}
        if self._phase is Phase.CHECKING:
            return self._check_load(now_seconds)
        lost = self._serving
        if lost is None or lost.manifest_digest in self._engine or self._phase is Phase.LOADING:
            return self._adapters.drain_lost(self._engine)
        # The engine restarted; its weights are copied again from chunk memory or peers.
        adapter_drains = self._adapters.reset_engine_state()
        self._copied.discard(lost.manifest_digest)
        self._serving, self._drained = None, False
        if self._phase is Phase.FAILED:
            self._version_to_restore, self._next_restore_seconds = lost, now_seconds
        elif self._phase is not Phase.COPYING:
            self._phase = Phase.COPYING
        return [DrainVersion(manifest_digest=lost.manifest_digest), *adapter_drains]

    @_handle_message.register
    def _on_tick(self, message: Tick, now_seconds: float) -> list[RolloutCommand]:
        return []

    def _advance(self, now_seconds: float) -> list[RolloutCommand]:
        """Advance towards the assigned version by at most one phase."""
        if self._engine is None or self._phase in (Phase.LOADING, Phase.CHECKING):
            return []
        if self._target is None:
            return self._stop_serving(now_seconds)
        base, digest = self._target.base, self._target.base.manifest_digest
        if self._serving == base:
            self._phase, self._service = Phase.SERVING, self._target.service
            return self._readmit()
        if self._serving is None and digest in self._engine:
            return self._start_serving(base)
        failed_on = self._failures.get(digest, {})
        if len(failed_on) >= self._target.halt_after_failures and digest not in self._halted:
            self._halted.add(digest)
            self._phase = Phase.FAILED
            report = ReportHalted(version=base, failed_on=tuple(sorted(failed_on)))
            return [*self._readmit(), report]
        if digest in self._halted or self._instance_id in failed_on:
            self._phase = Phase.FAILED
            return self._readmit() + self._restore(now_seconds)
        if self._phase is Phase.COPYING:
            if digest in self._copied:
                self._phase = Phase.WAITING
            elif digest not in self._copying:
                self._copying.add(digest)
                return [StartCopy(version=base)]
            return []
        if self._has_no_calls():
            return self._load(base) if now_seconds >= self._next_load_seconds else []
        return self._advance_drain(now_seconds)

    def _stop_serving(self, now_seconds: float) -> list[RolloutCommand]:
        """Drain and unload the serving version if no version is assigned."""
        if self._serving is None:
            self._phase, self._service = Phase.IDLE, None
            return []
        if self._phase not in (Phase.WAITING, Phase.INTENDING, Phase.DRAINING):
            self._phase = Phase.WAITING
        if not self._has_no_calls():
            return self._advance_drain(now_seconds)
        old, self._serving, self._drained = self._serving, None, False
        return self._unload(old)

    def _has_no_calls(self) -> bool:
        """Return whether no call can be in progress on the engine."""
        if self._serving is None:
            return True
        return self._drained and self._calls_counted and not any(self._calls.values())

    def _advance_drain(self, now_seconds: float) -> list[RolloutCommand]:
        """Announce the switch, and drain once the zone has min_ready replicas without this one."""
        if self._phase is Phase.WAITING and self._may_drain():
            self._phase, self._intending_since_seconds = Phase.INTENDING, now_seconds
        elif self._phase is Phase.INTENDING and not self._may_drain():
            self._phase = Phase.WAITING
        elif (
            self._phase is Phase.INTENDING
            and now_seconds >= self._intending_since_seconds + GOSSIP_SPREAD_SECONDS
        ):
            self._phase, self._drained, self._calls_counted = Phase.DRAINING, True, False
            assert self._serving is not None
            drain = DrainVersion(manifest_digest=self._serving.manifest_digest)
            return [drain, *self._adapters.drain_all()]
        return []

    def _may_drain(self) -> bool:
        """Return whether fewer than ready - min_ready replicas are switching or go first."""
        assert self._service is not None
        own_rank = replica_rank(self._service, self._instance_id)
        ready, ahead = 1, 0
        for replica in self._replicas.values():
            if replica.zone != self._zone or replica.service != self._service:
                continue
            ready += replica.serving_digest is not None
            ranks_before = replica_rank(self._service, replica.instance_id) < own_rank
            goes_first = ranks_before and replica.phase in (Phase.WAITING, Phase.INTENDING)
            ahead += replica.phase in SWITCHING_PHASES or goes_first
        return ahead < ready - self._min_ready

    def _load(self, version: VersionReference) -> list[RolloutCommand]:
        self._loading, self._phase = version, Phase.LOADING
        return [LoadVersion(version=version)]

    def _unload(self, version: VersionReference) -> list[RolloutCommand]:
        if self._engine is not None:
            self._engine.pop(version.manifest_digest, None)
        return [UnloadVersion(version=version)]

    def _readmit(self) -> list[RolloutCommand]:
        if not self._drained or self._serving is None:
            return []
        self._drained = False
        return [AdmitVersion(manifest_digest=self._serving.manifest_digest)]

    def _start_serving(self, version: VersionReference) -> list[RolloutCommand]:
        assert self._target is not None
        self._serving, self._service = version, self._target.service
        self._min_ready = self._target.min_ready
        self._phase, self._drained, self._version_to_restore = Phase.SERVING, False, None
        return [AdmitVersion(manifest_digest=version.manifest_digest)]

    def _record_failure(self, digest: Digest, reason: str) -> None:
        self._failures.setdefault(digest, {})[self._instance_id] = reason

    def _check_load(self, now_seconds: float) -> list[RolloutCommand]:
        """Check the result of a load against the engine's report."""
        assert self._engine is not None
        assert self._loading is not None
        loaded, self._loading, old = self._loading, None, self._serving
        reported = loaded.manifest_digest in self._engine
        wanted = self._target is not None and self._target.base == loaded
        failed = self._engine_unreachable or self._instance_id in self._failed_on(loaded)
        if wanted and not reported and not failed:
            reason = "the engine does not report the version that it was told to load"
            self._record_failure(loaded.manifest_digest, reason)
        if wanted and reported and self._instance_id not in self._failed_on(loaded):
            commands = self._start_serving(loaded)
            if old is not None and old.manifest_digest in self._engine:
                commands += self._unload(old)
            # Adapters may have been unloaded with the old base model, so the report is stale.
            self._engine = None
            return [*commands, ReadEngine()]
        self._phase = Phase.COPYING
        if loaded == self._version_to_restore:
            self._serving, self._drained = (loaded, True) if reported else (None, False)
            self._version_to_restore = None if reported else loaded
            return self._readmit()
        commands = self._unload(loaded) if reported else []
        if old is not None and old.manifest_digest not in self._engine:
            # An engine with capacity for one version dropped the old one, which is reloaded.
            self._serving, self._drained = None, False
            self._version_to_restore, self._next_restore_seconds = old, now_seconds
        return commands + self._readmit()

    def _failed_on(self, version: VersionReference) -> dict[InstanceId, str]:
        return self._failures.get(version.manifest_digest, {})

    def _restore(self, now_seconds: float) -> list[RolloutCommand]:
        """Reload the version that served before a load failed, at most every RESTORE_SECONDS."""
        if self._version_to_restore is None or now_seconds < self._next_restore_seconds:
            return []
        self._next_restore_seconds = now_seconds + RESTORE_SECONDS
        return self._load(self._version_to_restore)
