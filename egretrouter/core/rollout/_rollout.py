"""Decide when one agent's engine switches to another version."""

from functools import singledispatchmethod

from egretrouter.core.identifiers import Digest, InstanceId, ServiceName, ZoneId
from egretrouter.core.rollout._adapters import Adapters
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
    ReplicasSeen,
    ReportHalted,
    RolloutCommand,
    RolloutMessage,
    StartCopy,
    Tick,
    UnloadVersion,
    WeightsFailed,
    WeightsReady,
)
from egretrouter.core.rollout._placement import Assignment, VersionReference, replica_rank

SETTLE_SECONDS = 3.0
"""Time for gossip to spread an intention in a zone before the agent acts on it."""

LONGEST_REASON = 160
"""Reasons travel by gossip in every record of the agent, so they are cut to this length."""

RESTORE_SECONDS = 10.0
"""Time between attempts to load the old version again after a failed load."""


class Rollout:
    """Bring one engine from the version it serves to the version assigned.

    The new version is loaded beside the old one after the old one's calls ended, and the old one
    is unloaded only when the engine reports the new one; a failed load leaves the old one serving.
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
        self._calls: dict[Digest, int] = {}
        self._replicas: dict[InstanceId, ReplicaFacts] = {}
        self._failures: dict[Digest, dict[InstanceId, str]] = {}
        self._halted: set[Digest] = set()
        self._calls_counted = False
        self._intended_seconds = 0.0
        self._restoring: VersionReference | None = None
        self._restore_seconds = 0.0
        self._unreachable = False
        self._retry_seconds = 0.0
        self._published: ReplicaFacts | None = None
        self._adapters = Adapters()

    def handle(self, message: RolloutMessage, *, now_seconds: float) -> list[RolloutCommand]:
        """Take over a message and return what is to be done."""
        commands = self._on(message, now_seconds)
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
        """Return what is gossiped about this agent."""
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
            failed_reason=(reason or "")[:LONGEST_REASON],
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
    def _on(self, message: RolloutMessage, now_seconds: float) -> list[RolloutCommand]:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_on.register
    def _on_assignment(
        self, message: AssignmentChanged, now_seconds: float
    ) -> list[RolloutCommand]:
        old, self._target = self._target, message.assignment
        commands = self._adapters.want(self._target)
        if self._target and self._target.service == self._service:
            self._min_ready = self._target.min_ready
        if self._engine is None:
            # An agent that replaces another takes over what the engine has loaded.
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

    @_on.register
    def _on_replicas(self, message: ReplicasSeen, now_seconds: float) -> list[RolloutCommand]:
        self._replicas = {r.instance_id: r for r in message.replicas}
        self._replicas.pop(self._instance_id, None)
        for replica in self._replicas.values():
            if replica.failed_digest is not None:
                failed = self._failures.setdefault(replica.failed_digest, {})
                failed.setdefault(replica.instance_id, replica.failed_reason)
        return []

    @_on.register
    def _on_weights_ready(self, message: WeightsReady, now_seconds: float) -> list[RolloutCommand]:
        if message.manifest_digest in self._copying:
            self._copying.discard(message.manifest_digest)
            self._copied.add(message.manifest_digest)
        self._adapters.weights_ready(message.manifest_digest)
        return []

    @_on.register
    def _on_weights_failed(
        self, message: WeightsFailed, now_seconds: float
    ) -> list[RolloutCommand]:
        digest = message.manifest_digest
        if not self._adapters.failed(digest, message.reason) and digest in self._copying:
            self._copying.discard(digest)
            self._note_failure(digest, message.reason)
        return []

    @_on.register
    def _on_calls(self, message: CallsInProgress, now_seconds: float) -> list[RolloutCommand]:
        self._calls = dict(message.counts)
        self._calls_counted = True
        self._adapters.calls_reported()
        return []

    @_on.register
    def _on_load_ended(self, message: LoadEnded, now_seconds: float) -> list[RolloutCommand]:
        if self._adapters.load_ended(message):
            return [ReadEngine()]
        if self._loading is None or message.manifest_digest != self._loading.manifest_digest:
            return []
        self._phase = Phase.CHECKING
        self._unreachable = message.engine_unreachable
        if self._unreachable:
            self._retry_seconds = now_seconds + RESTORE_SECONDS
        elif message.reason is not None:
            self._note_failure(message.manifest_digest, message.reason)
        return [ReadEngine()]

    @_on.register
    def _on_engine(self, message: EngineReported, now_seconds: float) -> list[RolloutCommand]:
        self._engine = {version.manifest_digest: version for version in message.loaded}
        if self._phase is Phase.CHECKING:
            return self._check_load(now_seconds)
        lost = self._serving
        if lost is None or lost.manifest_digest in self._engine or self._phase is Phase.LOADING:
            return []
        # The engine restarted; its weights come from chunk memory or from peers again.
        self._adapters.engine_restarted()
        self._copied.discard(lost.manifest_digest)
        self._serving, self._drained = None, False
        if self._phase is Phase.FAILED:
            self._restoring, self._restore_seconds = lost, now_seconds
        elif self._phase is not Phase.COPYING:
            self._phase = Phase.COPYING
        return [DrainVersion(manifest_digest=lost.manifest_digest)]

    @_on.register
    def _on_tick(self, message: Tick, now_seconds: float) -> list[RolloutCommand]:
        return []

    def _advance(self, now_seconds: float) -> list[RolloutCommand]:
        """Take one step towards the target."""
        if self._engine is None or self._phase in (Phase.LOADING, Phase.CHECKING):
            return []
        if self._target is None:
            return self._retire(now_seconds)
        base, digest = self._target.base, self._target.base.manifest_digest
        if self._serving == base:
            self._phase, self._service = Phase.SERVING, self._target.service
            return self._readmit()
        if self._serving is None and digest in self._engine:
            return self._serve(base)
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
        if self._idle():
            return self._load(base) if now_seconds >= self._retry_seconds else []
        return self._leave(now_seconds)

    def _retire(self, now_seconds: float) -> list[RolloutCommand]:
        """Stop serving without a new target."""
        if self._serving is None:
            self._phase, self._service = Phase.IDLE, None
            return []
        if self._phase not in (Phase.WAITING, Phase.INTENDING, Phase.DRAINING):
            self._phase = Phase.WAITING
        if not self._idle():
            return self._leave(now_seconds)
        old, self._serving, self._drained = self._serving, None, False
        return self._unload(old)

    def _idle(self) -> bool:
        """Tell whether no call can be in progress on the engine."""
        if self._serving is None:
            return True
        return self._drained and self._calls_counted and not any(self._calls.values())

    def _leave(self, now_seconds: float) -> list[RolloutCommand]:
        """Announce the switch, and drain once the zone keeps min_ready replicas without this."""
        if self._phase is Phase.WAITING and self._spared():
            self._phase, self._intended_seconds = Phase.INTENDING, now_seconds
        elif self._phase is Phase.INTENDING and not self._spared():
            self._phase = Phase.WAITING
        elif (
            self._phase is Phase.INTENDING
            and now_seconds >= self._intended_seconds + SETTLE_SECONDS
        ):
            self._phase, self._drained, self._calls_counted = Phase.DRAINING, True, False
            assert self._serving is not None
            drain = DrainVersion(manifest_digest=self._serving.manifest_digest)
            return [drain, *self._adapters.suspend()]
        return []

    def _spared(self) -> bool:
        """Tell whether fewer than ready - min_ready replicas switch already or go first."""
        assert self._service is not None
        own_rank = replica_rank(self._service, self._instance_id)
        ready, ahead = 1, 0
        for replica in self._replicas.values():
            if replica.zone != self._zone or replica.service != self._service:
                continue
            ready += replica.serving_digest is not None
            first = replica_rank(self._service, replica.instance_id) < own_rank
            goes_first = first and replica.phase in (Phase.WAITING, Phase.INTENDING)
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

    def _serve(self, version: VersionReference) -> list[RolloutCommand]:
        assert self._target is not None
        self._serving, self._service = version, self._target.service
        self._min_ready = self._target.min_ready
        self._phase, self._drained, self._restoring = Phase.SERVING, False, None
        return [AdmitVersion(manifest_digest=version.manifest_digest)]

    def _note_failure(self, digest: Digest, reason: str) -> None:
        self._failures.setdefault(digest, {})[self._instance_id] = reason

    def _check_load(self, now_seconds: float) -> list[RolloutCommand]:
        """Verify by the engine's report what a load led to."""
        assert self._engine is not None
        assert self._loading is not None
        loaded, self._loading, old = self._loading, None, self._serving
        reported = loaded.manifest_digest in self._engine
        wanted = self._target is not None and self._target.base == loaded
        failed = self._unreachable or self._instance_id in self._failed_on(loaded)
        if wanted and not reported and not failed:
            reason = "the engine does not report the version that it was told to load"
            self._note_failure(loaded.manifest_digest, reason)
        if wanted and reported and self._instance_id not in self._failed_on(loaded):
            commands = self._serve(loaded)
            if old is not None and old.manifest_digest in self._engine:
                commands += self._unload(old)
            # Adapters may have gone with the old base model, so the report is out of date.
            self._engine = None
            return [*commands, ReadEngine()]
        self._phase = Phase.COPYING
        if loaded == self._restoring:
            self._serving, self._drained = (loaded, True) if reported else (None, False)
            self._restoring = None if reported else loaded
            return self._readmit()
        commands = self._unload(loaded) if reported else []
        if old is not None and old.manifest_digest not in self._engine:
            # An engine with room for one version dropped the old one, which is loaded again.
            self._serving, self._drained = None, False
            self._restoring, self._restore_seconds = old, now_seconds
        return commands + self._readmit()

    def _failed_on(self, version: VersionReference) -> dict[InstanceId, str]:
        return self._failures.get(version.manifest_digest, {})

    def _restore(self, now_seconds: float) -> list[RolloutCommand]:
        """Load the version again that served before a load failed."""
        if self._restoring is None or now_seconds < self._restore_seconds:
            return []
        self._restore_seconds = now_seconds + RESTORE_SECONDS
        return self._load(self._restoring)
