"""Decide which version an agent copies and when its engine loads it."""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from egretrouter.core.direct._directory import SWITCH_MARGIN_SECONDS
from egretrouter.core.identifiers import InstanceId, ModelName, ZoneId

# A copy that has come this far is finished before one of a newer version begins: engines would
# otherwise reach the end of the older version's time without either.
FINISH_SHARE = 0.3
# A version that will be in use for less than this is not worth the load of an engine.
LEAST_USE_SECONDS = 1.0
# A copy of the newest version that gains nothing for this long is helped by one of an older: its
# origin may be away for longer than the older version may serve.
STALL_SECONDS = 0.8
# An engine does not load a version when a newer one is about to be complete.
SKIP_SHARE = 0.85


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """State how far another agent's engine is."""

    instance_id: InstanceId
    zone: ZoneId
    version: int
    """The version that the engine serves, 0 if none."""


class WeightSwitch:
    """Follow one engine from one version of a model to the next."""

    def __init__(
        self,
        *,
        own: InstanceId,
        zone: ZoneId,
        model: ModelName,
        switch_seconds: float,
        copy_seconds: float = 0.0,
    ) -> None:
        """Expect an older version to serve for switch_seconds and a copy to take copy_seconds."""
        self.copy_seconds = copy_seconds
        self._helped: int | None = None
        """An older version that is copied beside the newest, because that one stalled."""
        self._bridges: dict[int, int] = {}
        """Versions that half of the engines finish, and the newer one that the others copy."""
        self._own = own
        self._zone = zone
        self._switch_seconds = switch_seconds
        self.model = model
        self._named: dict[int, float] = {}
        """The versions named, and when."""
        self._begun: dict[int, tuple[float, float]] = {}
        """When a copy was first seen incomplete, and the share it had."""
        self._gained: dict[int, tuple[float, float]] = {}
        """When a copy last gained a chunk, and the share it has since."""

    @property
    def target(self) -> int:
        """Return the version that is to serve."""
        return max(self._named, default=0)

    def set_target(self, version: int, *, now_seconds: float) -> bool:
        """Learn the version that is to serve, and tell whether it is newer."""
        if version <= self.target:
            return False
        self._named[version] = now_seconds
        return True

    def versions_to_copy(
        self,
        *,
        serving: int,
        shares: Mapping[int, float],
        replicas: Iterable[Replica],
        now_seconds: float,
    ) -> tuple[int, ...]:
        """Choose the versions to copy from the shares of those whose manifests are at hand."""
        target = self.target
        stalled = self._is_stalled(target, shares, now_seconds)
        useful = [
            version
            for version in self._named
            if serving < version < target
            and shares.get(version, 0.0) < 1.0
            and self._is_useful(version, shares.get(version, 0.0), now_seconds)
        ]
        if not useful:
            return (target,)
        older = max(useful)
        share = shares.get(older, 0.0)
        if share >= FINISH_SHARE and self._helped != older:
            if target not in shares:
                # Its manifest is not at hand, so the origin may be away for long.
                return (target, older)
            # Half of the engines bridge the time until the others serve the newest version.
            if share < SKIP_SHARE:
                self._bridges.setdefault(older, target)
            left_to_others = self._own in self.non_copying_agents(older, replicas, serving=serving)
            if serving == 0 or share >= SKIP_SHARE or not left_to_others:
                return (older,)
        if stalled:
            self._helped = older
        return (target, older) if self._helped == older else (target,)

    def non_copying_agents(
        self, version: int, replicas: Iterable[Replica], *, serving: int
    ) -> frozenset[InstanceId]:
        """Return the agents that leave the copying of a version to others for now.

        Where a newer version is named in the middle of a copy, one half of the engines finishes the
        older one and bridges the time until the other half serves the newer.
        """
        own = Replica(instance_id=self._own, zone=self._zone, version=serving)
        everyone = [own, *(r for r in replicas if r.instance_id != self._own)]
        first = self._first(everyone)
        second = [replica for replica in everyone if replica not in first]
        bridged = version if version in self._bridges else self._bridged_by(version)
        if bridged is None:
            return frozenset()
        finishing, others = first, second
        if not self._is_bridged_by_first(bridged):
            finishing, others = second, first
        if version == bridged:
            return frozenset(replica.instance_id for replica in others)
        return frozenset(r.instance_id for r in finishing if r.version < bridged)

    def _is_bridged_by_first(self, version: int) -> bool:
        """Tell which half finishes a version: the one that has been copying it."""
        bridged = self._bridged_by(version)
        return bridged is None or not self._is_bridged_by_first(bridged)

    def _bridged_by(self, version: int) -> int | None:
        return next((older for older, newer in self._bridges.items() if newer == version), None)

    def may_serve(self, version: int, *, now_seconds: float) -> bool:
        """Tell whether calls may begin on a version for some time yet."""
        return now_seconds + LEAST_USE_SECONDS < self._ends_seconds(version)

    def _is_useful(self, version: int, share: float, now_seconds: float) -> bool:
        """Tell whether a version would be in use for long enough after its copy is complete."""
        complete_seconds = now_seconds + (1.0 - share) * self.copy_seconds
        return complete_seconds + LEAST_USE_SECONDS < self._ends_seconds(version)

    def _ends_seconds(self, version: int) -> float:
        """Return when calls may no longer begin on a version."""
        newer = [named for other, named in self._named.items() if other > version]
        return min(newer, default=float("inf")) + self._switch_seconds

    def _is_stalled(self, version: int, shares: Mapping[int, float], now_seconds: float) -> bool:
        share = shares.get(version, 0.0)
        gained = self._gained.get(version)
        if gained is None or share > gained[1]:
            gained = self._gained[version] = (now_seconds, share)
        return share < 1.0 and now_seconds - gained[0] >= STALL_SECONDS

    def should_drain(
        self,
        *,
        serving: int,
        shares: Mapping[int, float],
        replicas: Iterable[Replica],
        drain_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Tell whether the engine should take no new calls, so that it is empty when it loads."""
        version = max((v for v in shares if v in self._named), default=0)
        if serving == 0 or version <= serving:
            return False
        if not self._is_due(version, serving, replicas, now_seconds):
            return False
        share = shares[version]
        began_seconds, began_share = self._begun.setdefault(version, (now_seconds, share))
        if share >= 1.0:
            return True
        gained, elapsed = share - began_share, now_seconds - began_seconds
        if gained < 0.2:
            return False
        return (1.0 - share) * elapsed / gained <= drain_seconds

    def version_to_load(
        self,
        *,
        serving: int,
        busy: bool,
        shares: Mapping[int, float],
        replicas: Iterable[Replica],
        now_seconds: float,
    ) -> int | None:
        """Return the version that the engine is to load now, if any."""
        complete = [
            v
            for v, share in shares.items()
            if share >= 1.0 and v in self._named and self._is_useful(v, share, now_seconds)
        ]
        version = max(complete, default=0)
        if busy or version <= serving:
            return None
        if serving == 0:
            return version
        if version < self.target and shares.get(self.target, 0.0) >= SKIP_SHARE:
            return None
        return version if self._is_due(version, serving, replicas, now_seconds) else None

    def _is_due(
        self, version: int, serving: int, replicas: Iterable[Replica], now_seconds: float
    ) -> bool:
        """Tell whether enough other engines go on serving while this one loads."""
        if now_seconds >= self._ends_seconds(serving) - SWITCH_MARGIN_SECONDS:
            # Routers send no more calls to this engine as it is.
            return True
        own = Replica(instance_id=self._own, zone=self._zone, version=serving)
        first = self._first([own, *(r for r in replicas if r.instance_id != self._own)])
        return own in first or all(replica.version >= version for replica in first)

    def _first(self, replicas: Iterable[Replica]) -> list[Replica]:
        """Return the half of the engines that is to load first; equal views give equal halves."""
        ranked = _by_turns(replicas)
        return ranked[: (len(ranked) + 1) // 2]


def _by_turns(replicas: Iterable[Replica]) -> list[Replica]:
    """Order replicas so that those of one zone are spread over the whole order."""
    places: Counter[ZoneId] = Counter()
    turns = []
    for replica in sorted(replicas, key=lambda r: r.instance_id):
        turns.append((places[replica.zone], replica.instance_id, replica))
        places[replica.zone] += 1
    return [replica for _, _, replica in sorted(turns, key=lambda turn: turn[:2])]
