"""Decide when adapters are loaded alongside their base model, and unloaded."""

from collections.abc import Collection

from egretrouter.core.identifiers import Digest
from egretrouter.core.rollout._messages import (
    AbandonCopy,
    AdmitVersion,
    DrainVersion,
    LoadEnded,
    LoadVersion,
    RolloutCommand,
    StartCopy,
    UnloadVersion,
)
from egretrouter.core.rollout._placement import Assignment
from egretrouter.core.weights import VersionReference


class AdapterRollout:
    """Load and unload the adapters of one engine as assigned, without draining the base model."""

    def __init__(self) -> None:
        self._wanted: dict[Digest, VersionReference] = {}
        self._known: dict[Digest, VersionReference] = {}
        self._copying: set[Digest] = set()
        self._copied: set[Digest] = set()
        self._loading: Digest | None = None
        self._admitted: set[Digest] = set()
        self._draining: set[Digest] = set()
        self._counted_drains: set[Digest] = set()
        """Draining adapters whose calls were counted after the drain started."""
        self._failures: dict[Digest, str] = {}

    def set_target(self, target: Assignment | None) -> list[RolloutCommand]:
        """Replace the assigned adapters, and cancel copies that are no longer needed."""
        adapters = target.adapters if target else ()
        self._wanted = {adapter.manifest_digest: adapter for adapter in adapters}
        self._known.update(self._wanted)
        self._failures = {d: r for d, r in self._failures.items() if d in self._wanted}
        stale = sorted(self._copying - self._wanted.keys())
        self._copying.difference_update(stale)
        return [AbandonCopy(manifest_digest=digest) for digest in stale]

    def record_copy(self, digest: Digest) -> None:
        """Record a completed copy, if it is an adapter's."""
        if digest in self._copying:
            self._copying.discard(digest)
            self._copied.add(digest)

    def record_copy_failure(self, digest: Digest, reason: str) -> bool:
        """Record a halted copy; return whether it was an adapter's."""
        if digest not in self._copying:
            return False
        self._copying.discard(digest)
        self._failures[digest] = reason
        return True

    def record_load_end(self, message: LoadEnded) -> bool:
        """Record the end of a load; return whether it was an adapter's."""
        if message.manifest_digest != self._loading:
            return False
        self._loading = None
        if message.reason is not None:
            self._failures[message.manifest_digest] = message.reason
        return True

    def reset_engine_state(self) -> list[RolloutCommand]:
        """Reset the loaded, draining and copied adapters after an engine restart, and drain all."""
        drains = self.drain_all()
        self._draining.clear()
        self._copied.clear()
        self._loading = None
        return drains

    def drain_lost(self, engine: Collection[Digest]) -> list[RolloutCommand]:
        """Drain the admitted adapters that the engine no longer reports."""
        lost = sorted(self._admitted.difference(engine))
        self._admitted.difference_update(lost)
        return [DrainVersion(manifest_digest=digest) for digest in lost]

    def drain_all(self) -> list[RolloutCommand]:
        """Drain all admitted adapters, as their base model drains."""
        admitted = sorted(self._admitted)
        self._admitted.clear()
        return [DrainVersion(manifest_digest=digest) for digest in admitted]

    def mark_drains_counted(self) -> None:
        """Record that the latest counts of calls are from after the current drains were ordered."""
        self._counted_drains = set(self._draining)

    def advance(
        self,
        *,
        base: VersionReference | None,
        engine: dict[Digest, VersionReference] | None,
        calls: dict[Digest, int],
    ) -> list[RolloutCommand]:
        """Return the commands that are due; none unless the base model is serving."""
        if base is None or engine is None:
            return []
        commands: list[RolloutCommand] = []
        for digest, adapter in self._wanted.items():
            if digest in engine:
                self._draining.discard(digest)
                if digest not in self._admitted:
                    self._admitted.add(digest)
                    commands.append(AdmitVersion(manifest_digest=digest))
            elif digest in self._failures or digest in self._copying:
                continue
            elif digest not in self._copied:
                self._copying.add(digest)
                commands.append(StartCopy(version=adapter))
            elif self._loading is None:
                self._loading = digest
                commands.append(LoadVersion(version=adapter, base_model=base.model))
        return commands + self._remove_unwanted(engine, calls)

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "wanted": sorted(self._wanted),
            "admitted": sorted(self._admitted),
            "failures": dict(self._failures),
        }

    def _remove_unwanted(
        self, engine: dict[Digest, VersionReference], calls: dict[Digest, int]
    ) -> list[RolloutCommand]:
        commands: list[RolloutCommand] = []
        for digest in [d for d in self._known if d not in self._wanted and d != self._loading]:
            if digest not in engine:
                del self._known[digest]
                self._draining.discard(digest)
            elif digest not in self._draining:
                self._draining.add(digest)
                self._admitted.discard(digest)
                commands.append(DrainVersion(manifest_digest=digest))
            elif digest in self._draining & self._counted_drains and not calls.get(digest, 0):
                commands.append(UnloadVersion(version=self._known.pop(digest)))
                engine.pop(digest)
                self._draining.discard(digest)
        return commands
