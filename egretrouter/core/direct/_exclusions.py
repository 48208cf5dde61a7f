"""Decide which endpoints may take a call at all, before their load is compared."""

from collections.abc import Collection, Iterable, Mapping
from enum import Enum
from typing import Protocol

import msgspec

from egretrouter.core.direct._choice import NoEndpointAvailable
from egretrouter.core.direct._endpoint_limits import EndpointLimits
from egretrouter.core.direct._endpoint_run import EndpointRun
from egretrouter.core.direct._evacuations import ZoneEvacuations
from egretrouter.core.direct._leaving import LeavingEndpoints
from egretrouter.core.direct._pauses import EndpointPauses
from egretrouter.core.direct._records import Endpoint, EndpointState, Route, Workspace
from egretrouter.core.identifiers import RegionId, ZoneId


class Exclusion(Enum):
    """List why an endpoint may not take a call now."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    OUTSIDE_HOME = "outside_home"
    COLD = "cold"
    RATE_LIMITED = "rate_limited"
    """It named a limit, and this router has no call left of it."""
    PAUSED = "paused"
    TRIED = "tried"
    """An earlier send of the call went there."""
    VERSION = "version"
    """It does not hold the version of the weights that the call needs, or is loading."""
    FAILING = "failing"
    """Calls to it have just failed."""
    SILENT = "silent"
    """Its agent has stopped reporting."""
    FULL = "full"
    """The call would not start in time there."""


LASTING_EXCLUSIONS = frozenset({Exclusion.LEAVING, Exclusion.EVACUATED, Exclusion.OUTSIDE_HOME})
"""Exclusions that don't end while a call waits."""


class ColdGate(Protocol):
    """Define the limit for calls to cold endpoints, as ColdEndpoints implements it."""

    def may_send(self, endpoint: Endpoint, *, now_seconds: float) -> bool:
        """Return whether this router may send an endpoint a call now."""


class EndpointSurvey(msgspec.Struct, frozen=True, kw_only=True):
    """Separate a service's endpoints into candidates and excluded ones."""

    candidates: list[Endpoint]
    excluded: dict[Exclusion, list[Endpoint]]

    @property
    def counts(self) -> dict[Exclusion, int]:
        """Return how many endpoints each exclusion excludes."""
        return {exclusion: len(endpoints) for exclusion, endpoints in self.excluded.items()}

    @property
    def staying(self) -> list[Endpoint]:
        """Return the endpoints that are candidates or may become so while a call waits."""
        staying = list(self.candidates)
        for exclusion, endpoints in self.excluded.items():
            if exclusion not in LASTING_EXCLUSIONS:
                staying += endpoints
        return staying


class ExcludedEndpoints(NoEndpointAvailable, frozen=True, kw_only=True):
    """Represent that no endpoint can accept a call now, and why."""

    exclusions: dict[Exclusion, int]
    """The number of endpoints by what excludes them."""


class EndpointExclusions:
    """Find what keeps endpoints from being candidates for calls.

    First sends, repeats, resumed streams and waiting calls all ask here.
    """

    def __init__(
        self,
        *,
        leaving: LeavingEndpoints,
        evacuations: ZoneEvacuations,
        limits: EndpointLimits,
        pauses: EndpointPauses,
        regions: Mapping[ZoneId, RegionId],
        cold: ColdGate | None = None,
    ) -> None:
        self._leaving = leaving
        self._evacuations = evacuations
        self._limits = limits
        self._pauses = pauses
        self._regions = regions
        self._cold = cold

    def find(
        self,
        endpoint: Endpoint,
        *,
        home_regions: Collection[RegionId] | None,
        now_seconds: float,
    ) -> Exclusion | None:
        """Return what excludes an endpoint, or None if it is a candidate.

        home_regions are the only regions that may serve the call; None allows all.
        """
        if endpoint.state is EndpointState.DRAINING:
            return Exclusion.LEAVING
        if self._leaving.is_leaving(endpoint, now_seconds=now_seconds):
            return Exclusion.LEAVING
        if self._evacuations.is_evacuated(endpoint.zone):
            return Exclusion.EVACUATED
        if home_regions is not None and self._regions.get(endpoint.zone) not in home_regions:
            return Exclusion.OUTSIDE_HOME
        # An endpoint at its limit or in a pause adds no capacity.
        if not self._pauses.may_send(EndpointRun.of(endpoint), now_seconds=now_seconds):
            return Exclusion.PAUSED
        if not self._limits.may_send(endpoint, now_seconds=now_seconds):
            return Exclusion.RATE_LIMITED
        if self._cold is not None and not self._cold.may_send(endpoint, now_seconds=now_seconds):
            return Exclusion.COLD
        return None

    def survey(
        self,
        endpoints: Iterable[Endpoint],
        *,
        home_regions: Collection[RegionId] | None,
        now_seconds: float,
    ) -> EndpointSurvey:
        """Separate some endpoints into candidates and excluded ones."""
        survey = EndpointSurvey(candidates=[], excluded={})
        for endpoint in endpoints:
            exclusion = self.find(endpoint, home_regions=home_regions, now_seconds=now_seconds)
            if exclusion is None:
                survey.candidates.append(endpoint)
            else:
                survey.excluded.setdefault(exclusion, []).append(endpoint)
        return survey


def describe_exclusions(exclusions: Mapping[Exclusion, int]) -> str:
    """Return exclusions with their numbers of endpoints, the most frequent one first."""
    ranked = sorted(exclusions.items(), key=lambda item: -item[1])
    return ", ".join(f"{count} {exclusion.value}" for exclusion, count in ranked)


def home_regions_of(route: Route, workspace: Workspace | None) -> frozenset[RegionId] | None:
    """Return the regions that a route and a workspace both allow, or None for all."""
    declared = [route.home_regions, workspace.home_regions if workspace is not None else ()]
    limits = [frozenset(regions) for regions in declared if regions]
    return frozenset.intersection(*limits) if limits else None
