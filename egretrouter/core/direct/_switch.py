"""Decide when an agent loads staged weights into its engine."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from egretrouter.core.identifiers import InstanceId, ModelName

# Engines of the second half wait at most this share of the time that the switch may take.
SECOND_HALF_SHARE = 0.75


class SwitchStep(Enum):
    """Name what an agent does next about its engine's weights."""

    REST = "rest"
    """The engine serves the version that is to serve, or is loading it."""
    OBTAIN = "obtain"
    """The chunks are not at hand yet."""
    WAIT = "wait"
    """Other engines load first, so that some go on serving."""
    LOAD = "load"


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """State how far another agent's engine is."""

    instance_id: InstanceId
    version: int
    """The version that the engine serves, 0 if none."""


class WeightSwitch:
    """Follow one engine from one version to the next."""

    def __init__(self, *, own: InstanceId, model: ModelName, switch_seconds: float) -> None:
        self._own = own
        self._switch_seconds = switch_seconds
        self.model = model
        self.target = 0
        self._named_seconds = 0.0

    def name(self, version: int, *, now_seconds: float) -> bool:
        """Learn the version that is to serve, and tell whether it is newer."""
        if version <= self.target:
            return False
        self.target = version
        self._named_seconds = now_seconds
        return True

    def next_step(
        self,
        *,
        serving: int,
        busy: bool,
        complete: bool,
        replicas: Iterable[Replica],
        now_seconds: float,
    ) -> SwitchStep:
        """Decide what follows from the states of the own and the other engines."""
        if busy or serving >= self.target:
            return SwitchStep.REST
        if not complete:
            return SwitchStep.OBTAIN
        if serving == 0 or self._is_due(replicas, now_seconds):
            return SwitchStep.LOAD
        return SwitchStep.WAIT

    def _is_due(self, replicas: Iterable[Replica], now_seconds: float) -> bool:
        if now_seconds >= self._named_seconds + SECOND_HALF_SHARE * self._switch_seconds:
            return True
        others = {r.instance_id: r.version for r in replicas if r.version}
        ranked = sorted([*others, self._own])
        first = ranked[: (len(ranked) + 1) // 2]
        if self._own in first:
            return True
        return all(others[instance_id] >= self.target for instance_id in first)
