"""Decide which version an agent copies and when its engine loads it."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from egretrouter.core.direct._weight_targets import MIN_START_LEAD_SECONDS
from egretrouter.core.identifiers import InstanceId, ModelName, ZoneId

# A copy with at least this share of its chunks is finished before the copy of a newer version
# starts: otherwise the version in use could expire before the engine has either of them.
FINISH_SHARE = 0.3
# A version that would be in use for less than this is not worth loading.
MIN_USE_SECONDS = 1.0
# If the copy of the newest version makes no progress for this long, an older version is copied too:
# the origin may be unavailable for longer than the version in use is allowed.
STALL_SECONDS = 0.8
# An engine skips an older version when this share of the newest one has been copied.
SKIP_SHARE = 0.85


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the version that an agent's engine serves."""

    instance_id: InstanceId
    zone: ZoneId
    version: int
    """The version that the engine serves; 0 if none."""


class WeightSwitch:
    """Decide which versions of one model an agent copies and when its engine loads them."""

    def __init__(
        self,
        *,
        own: InstanceId,
        zone: ZoneId,
        model: ModelName,
        switch_seconds: float,
        copy_seconds: float = 0.0,
    ) -> None:
        """Allow older versions for switch_seconds, and estimate a copy to take copy_seconds."""
        self.copy_seconds = copy_seconds
        self.start_lead_seconds = MIN_START_LEAD_SECONDS
        """Routers send an engine no more calls this long before its version expires."""
        self._fallback_version: int | None = None
        """An older version that is copied in parallel because the newest one stalled."""
        self._interim_versions: dict[int, int] = {}
        """Interim versions that half of the engines finish, and the newer ones the others copy."""
        self._own = own
        self._zone = zone
        self._switch_seconds = switch_seconds
        self.model = model
        self._target_since: dict[int, float] = {}
        """When each version was set as the target."""
        self._first_observed: dict[int, tuple[float, float]] = {}
        """When a copy was first observed and the share it had, to estimate its rate."""
        self._last_progress: dict[int, tuple[float, float]] = {}
        """When a copy last made progress, and the share it has had since."""

    @property
    def target(self) -> int:
        """Return the newest target version; 0 if none."""
        return max(self._target_since, default=0)

    def set_target(self, version: int, *, now_seconds: float) -> bool:
        """Set the target version, and return whether it is newer than the last one."""
        if version <= self.target:
            return False
        self._target_since[version] = now_seconds
        return True

    def versions_to_copy(
        self,
        *,
        serving: int,
        shares: Mapping[int, float],
        replicas: Iterable[Replica],
        now_seconds: float,
    ) -> tuple[int, ...]:
        """Choose the versions to copy, given the copied share of each with a known manifest."""
        target = self.target
        stalled = self._is_stalled(target, shares, now_seconds)
        useful = [
            version
            for version in self._target_since
            if serving < version < target
            and shares.get(version, 0.0) < 1.0
            and self._is_useful(version, shares.get(version, 0.0), now_seconds)
        ]
        if not useful:
            return (target,)
        older = max(useful)
        share = shares.get(older, 0.0)
        if share >= FINISH_SHARE and self._fallback_version != older:
            if target not in shares:
                # The manifest has not been obtained, so the origin may be unavailable for long.
                return (target, older)
            # Half of the engines serve the older version until the others serve the newest one.
            if share < SKIP_SHARE:
                self._interim_versions.setdefault(older, target)
            left_to_others = self._own in self.idle_agents(older, replicas, serving=serving)
            if serving == 0 or share >= SKIP_SHARE or not left_to_others:
                return (older,)
        if stalled:
            self._fallback_version = older
        return (target, older) if self._fallback_version == older else (target,)

    def idle_agents(
        self, version: int, replicas: Iterable[Replica], *, serving: int
    ) -> frozenset[InstanceId]:
        """Return the agents that do not copy a version for now.

        If a new target is set during a copy, one half of the engines finishes the older version as
        an interim version and serves it until the other half serves the newer one. An agent whose
        engine is empty may finish an older version first, beside others that copy the target.
        """
        own = Replica(instance_id=self._own, zone=self._zone, version=serving)
        all_replicas = [own, *(r for r in replicas if r.instance_id != self._own)]
        return self._idle_for_interim(version, all_replicas) | self._idle_as_empty(
            version, all_replicas
        )

    def _idle_as_empty(self, version: int, replicas: Sequence[Replica]) -> frozenset[InstanceId]:
        empty = frozenset(replica.instance_id for replica in replicas if replica.version == 0)
        if version < self.target or len(empty) == len(replicas):
            return frozenset()
        return empty

    def _idle_for_interim(
        self, version: int, all_replicas: Sequence[Replica]
    ) -> frozenset[InstanceId]:
        first_half = self._first_half(all_replicas)
        second_half = [replica for replica in all_replicas if replica not in first_half]
        interim = version if version in self._interim_versions else self._interim_before(version)
        if interim is None:
            return frozenset()
        finishing, others = first_half, second_half
        if not self._is_interim_of_first_half(interim):
            finishing, others = second_half, first_half
        if version == interim:
            return frozenset(replica.instance_id for replica in others)
        return frozenset(r.instance_id for r in finishing if r.version < interim)

    def _is_interim_of_first_half(self, version: int) -> bool:
        """Return whether the first half of the engines finishes an interim version.

        The half that was copying a version when the next target was set finishes it.
        """
        interim = self._interim_before(version)
        return interim is None or not self._is_interim_of_first_half(interim)

    def _interim_before(self, version: int) -> int | None:
        return next(
            (older for older, newer in self._interim_versions.items() if newer == version), None
        )

    def may_serve(self, version: int, *, now_seconds: float) -> bool:
        """Return whether calls may start on a version for at least MIN_USE_SECONDS."""
        return now_seconds + MIN_USE_SECONDS < self._expires_seconds(version)

    def _is_useful(self, version: int, share: float, now_seconds: float) -> bool:
        """Return whether a version stays allowed long enough after its copy would be complete."""
        complete_seconds = now_seconds + (1.0 - share) * self.copy_seconds
        return complete_seconds + MIN_USE_SECONDS < self._expires_seconds(version)

    def _expires_seconds(self, version: int) -> float:
        """Return the time from which calls may no longer start on a version."""
        newer = [since for other, since in self._target_since.items() if other > version]
        return min(newer, default=float("inf")) + self._switch_seconds

    def _is_stalled(self, version: int, shares: Mapping[int, float], now_seconds: float) -> bool:
        share = shares.get(version, 0.0)
        progress = self._last_progress.get(version)
        if progress is None or share > progress[1]:
            progress = self._last_progress[version] = (now_seconds, share)
        return share < 1.0 and now_seconds - progress[0] >= STALL_SECONDS

    def should_drain(
        self,
        *,
        serving: int,
        shares: Mapping[int, float],
        replicas: Iterable[Replica],
        drain_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Return whether the engine should stop accepting calls, to be empty when it loads."""
        version = max((v for v in shares if v in self._target_since), default=0)
        if serving == 0 or version <= serving:
            return False
        if not self._is_due(version, serving, replicas, now_seconds):
            return False
        share = shares[version]
        began_seconds, began_share = self._first_observed.setdefault(version, (now_seconds, share))
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
        """Return the version that the engine should load now, or None."""
        complete = [
            v
            for v, share in shares.items()
            if share >= 1.0 and v in self._target_since and self._is_useful(v, share, now_seconds)
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
        """Return whether this engine may load now, so that enough others keep serving."""
        if now_seconds >= self._expires_seconds(serving) - self.start_lead_seconds:
            return True
        own = Replica(instance_id=self._own, zone=self._zone, version=serving)
        first_half = self._first_half([own, *(r for r in replicas if r.instance_id != self._own)])
        return own in first_half or all(replica.version >= version for replica in first_half)

    def _first_half(self, replicas: Iterable[Replica]) -> list[Replica]:
        """Return the half of the engines that loads first; the same replicas give the same half."""
        ranked = _interleave_zones(replicas)
        return ranked[: (len(ranked) + 1) // 2]


def _interleave_zones(replicas: Iterable[Replica]) -> list[Replica]:
    """Order replicas so that those of each zone are spread over the whole list."""
    zone_counts: Counter[ZoneId] = Counter()
    keyed = []
    for replica in sorted(replicas, key=lambda r: r.instance_id):
        keyed.append((zone_counts[replica.zone], replica.instance_id, replica))
        zone_counts[replica.zone] += 1
    return [replica for _, _, replica in sorted(keyed, key=lambda entry: entry[:2])]
