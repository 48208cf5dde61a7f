"""Track the target versions of weights, and until when calls may begin on older ones."""

import math

from egretrouter.core.direct._engine_times import first_event_seconds
from egretrouter.core.direct._records import EngineProfile, WeightVersion
from egretrouter.core.identifiers import ModelName

# An engine may work this many times slower than its profile before a report says so.
ENGINE_SLOWDOWN = 8.0
# A call reaches its endpoint over a new connection within this time.
SEND_SECONDS = 0.1
MIN_START_LEAD_SECONDS = 0.9
# Closing a connection takes this long to reach an endpoint whose link is saturated by a copy: a
# part of a chunk may take 0.25 s there, and the close is queued behind two of them.
CLOSE_DELAY_SECONDS = 0.6


class WeightTargets:
    """Track the target version of each model and how long calls may begin on older versions."""

    def __init__(self, *, switch_seconds: float) -> None:
        """Let calls begin on an older version for switch_seconds after a newer one was named."""
        self._switch_seconds = switch_seconds
        self._named_seconds: dict[ModelName, dict[int, float]] = {}

    def set_target(self, target: WeightVersion, *, named_seconds: float) -> bool:
        """Set the target version of a model, and return whether it is newer than the last one.

        named_seconds is a time at which no newer version than the last one had been named; with
        minus infinity, where that is not known, older versions expire immediately.
        """
        versions = self._named_seconds.setdefault(target.model, {})
        if target.version <= max(versions, default=0):
            return False
        versions[target.version] = named_seconds
        return True

    def list_targets(self) -> list[WeightVersion]:
        """Return the target version of each model."""
        return [
            WeightVersion(model=model, version=max(versions))
            for model, versions in self._named_seconds.items()
        ]

    def list_names(self) -> list[tuple[WeightVersion, float]]:
        """Return all versions that were named, in order, with their named_seconds."""
        return [
            (WeightVersion(model=model, version=version), named_seconds)
            for model, versions in self._named_seconds.items()
            for version, named_seconds in versions.items()
        ]

    def named_seconds(self, target: WeightVersion) -> float:
        """Return when a version was named at the earliest; minus infinity if not known."""
        return self._named_seconds.get(target.model, {}).get(target.version, -math.inf)

    def start_deadline_seconds(self, model: ModelName, version: int) -> float | None:
        """Return the time by which a call queued on this version must start; None if unlimited."""
        newer = [s for v, s in self._named_seconds.get(model, {}).items() if v > version]
        if not newer:
            return None
        return min(newer) + self._switch_seconds - CLOSE_DELAY_SECONDS

    def oldest_allowed(self, model: ModelName, *, now_seconds: float, lead_seconds: float) -> int:
        """Return the oldest version on which a call may begin that takes lead_seconds to begin."""
        until = now_seconds + lead_seconds - self._switch_seconds
        versions = self._named_seconds.get(model, {})
        return max((v for v, named in versions.items() if named <= until), default=0)


def start_lead_seconds(profile: EngineProfile) -> float:
    """Return how long a call on an engine without a queue takes to begin at the most."""
    return max(
        MIN_START_LEAD_SECONDS, SEND_SECONDS + ENGINE_SLOWDOWN * first_event_seconds(profile)
    )


def queue_lead_seconds(profile: EngineProfile, *, latency_target_seconds: float) -> float:
    """Return how long a call that may queue at its engine takes to begin at the most."""
    queue_seconds = max(0.0, latency_target_seconds - first_event_seconds(profile))
    return start_lead_seconds(profile) + ENGINE_SLOWDOWN * queue_seconds
