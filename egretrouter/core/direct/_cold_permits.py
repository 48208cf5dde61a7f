"""Divide the calls that a cold endpoint may get among the routers, without messages.

Each router computes its own share from the routers that it knows. The shares of all routers add up
to the permits at most, as long as each router counts at least those that send: a router's rank and
the number of routers are not lower in a larger list, so its share is not higher. Everything here
keeps that condition while routers join, end, or do not see each other.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable

from egretrouter.core.direct._members import FleetMember
from egretrouter.core.direct._records import Endpoint
from egretrouter.core.identifiers import EndpointId, InstanceId, ZoneId
from egretrouter.core.rendezvous import rendezvous_weight

PERMIT_SECONDS = 1.5
"""How long a permit is not used again. A connection takes up to 0.4 s to open, so two calls that
are decided 1 s apart could arrive together."""
JOIN_SECONDS = 2.0
"""Time within which the other routers count a router that has joined."""
HOLD_SECONDS = JOIN_SECONDS + PERMIT_SECONDS
"""How long a router that joins uses only the reserve. By then the others count it, and the permits
that they used before are free again."""
JOIN_RESERVE = 1 / 3
"""Share of the permits that only routers use which the others may not count yet. Without it a cold
endpoint would get no calls for HOLD_SECONDS after all routers have restarted."""
KEEP_SECONDS = 60.0
"""How long a router that no longer answers is counted at least."""
MINORITY_SECONDS = 30.0
"""A router that sees less than half of its zone's routers for this long sends nothing: the rest of
the zone may stop counting it, some seconds before or after it, after KEEP_SECONDS."""
MAX_VIEW_AGE_SECONDS = 2.0
"""Routers are read every 0.5 s; a process that has not done so for this long was paused."""
MAX_SILENT_ROUTERS = 4096
"""How many routers that no longer answer are counted for each zone."""


class _Zone:
    """Track the routers of one zone."""

    def __init__(self) -> None:
        self.live: frozenset[InstanceId] = frozenset()
        self.silent_since: dict[InstanceId, float] = {}
        self.stopped: set[InstanceId] = set()
        """The silent routers that had announced their end."""

    @property
    def routers(self) -> frozenset[InstanceId]:
        """Return all routers of the zone that are counted."""
        return self.live | self.silent_since.keys()

    def majority_margin(self) -> int:
        """Return how many more routers answer than have failed; above 0 if a majority answers."""
        return len(self.live) - len(self.silent_since.keys() - self.stopped)

    def update(
        self, live: frozenset[InstanceId], silent: dict[InstanceId, bool], now_seconds: float
    ) -> None:
        """Set the routers that answer, and those known that do not with whether they ended."""
        lost = (self.live | silent.keys()) - live
        since = dict.fromkeys(lost, now_seconds) | self.silent_since
        self.silent_since = {r: at for r, at in since.items() if r not in live}
        self.stopped -= silent.keys()
        self.stopped |= {router for router, ended in silent.items() if ended}
        self.live = live
        self._forget(now_seconds)

    def _forget(self, now_seconds: float) -> None:
        has_majority = self.majority_margin() > 0
        for router, since in list(self.silent_since.items()):
            # Where most are silent, a partition is more likely than that all of them failed.
            may_forget = has_majority or router in self.stopped
            if may_forget and now_seconds - since >= KEEP_SECONDS:
                del self.silent_since[router]
        for router in list(self.silent_since)[:-MAX_SILENT_ROUTERS]:
            del self.silent_since[router]
        self.stopped &= self.silent_since.keys()


class RouterShares:
    """Count the routers, and compute this router's share of an endpoint's permits."""

    def __init__(self, *, own: InstanceId, zone: ZoneId) -> None:
        self.revision = 0
        """Incremented when other routers are counted than before."""
        self._own = own
        self._zone = zone
        self._zones: dict[ZoneId, _Zone] = {}
        self._unreachable: frozenset[ZoneId] = frozenset()
        self._read_seconds = -math.inf
        """When the routers were last read."""
        self._joined_seconds = math.inf
        """When the others have counted this router; infinite before the routers are known."""
        self._zone_usable_seconds: dict[ZoneId, float] = {}
        self._minority_seconds: float | None = None
        """Since when less than half of the own zone's routers answer."""

    def set_routers(
        self,
        live: Iterable[FleetMember],
        *,
        silent: Iterable[FleetMember],
        unreachable: Collection[ZoneId],
        now_seconds: float,
    ) -> None:
        """Set the routers that answer, others that are known, and the zones that do not answer."""
        if now_seconds - self._read_seconds > MAX_VIEW_AGE_SECONDS:
            self.start_joining(now_seconds=now_seconds)
        self._read_seconds = now_seconds
        before = {zone: state.routers for zone, state in self._zones.items()}
        live_ids = _ids_by_zone(live)
        live_ids.setdefault(self._zone, set()).add(self._own)
        silent_by_zone: dict[ZoneId, dict[InstanceId, bool]] = {}
        for member in silent:
            silent_by_zone.setdefault(member.zone, {})[member.instance_id] = member.leaving
        for zone in {*self._zones, *live_ids, *silent_by_zone}:
            self._zones.setdefault(zone, _Zone()).update(
                frozenset(live_ids.get(zone, ())), silent_by_zone.get(zone, {}), now_seconds
            )
        if {zone: state.routers for zone, state in self._zones.items()} != before:
            self.revision += 1
        self._check_minority(now_seconds)
        self._check_zones(frozenset(unreachable), now_seconds)

    def start_joining(self, *, now_seconds: float) -> None:
        """Use only reserved permits until the others have counted this router."""
        self._joined_seconds = now_seconds + HOLD_SECONDS

    def _check_minority(self, now_seconds: float) -> None:
        if self._zones[self._zone].majority_margin() < 0:
            if self._minority_seconds is None:
                self._minority_seconds = now_seconds
        else:
            if self._is_cut_off(now_seconds):
                # The others may not count this router any more.
                self.start_joining(now_seconds=now_seconds)
            self._minority_seconds = None

    def _is_cut_off(self, now_seconds: float) -> bool:
        since = self._minority_seconds
        if since is None:
            return False
        # One that was cut off before it was counted may already be out of the others' count.
        return since < self._joined_seconds or now_seconds - since >= MINORITY_SECONDS

    def _check_zones(self, unreachable: frozenset[ZoneId], now_seconds: float) -> None:
        """Wait after a zone is back, as routers may have joined that this one did not see."""
        for zone in self._unreachable - unreachable:
            self._zone_usable_seconds[zone] = now_seconds + HOLD_SECONDS
        self._unreachable = unreachable
        for zone, until in list(self._zone_usable_seconds.items()):
            if now_seconds >= until:
                del self._zone_usable_seconds[zone]

    def wait_seconds(self, zone: ZoneId, *, now_seconds: float) -> float:
        """Return the seconds until permits for a zone may be used; infinite if unknown."""
        if now_seconds - self._read_seconds > MAX_VIEW_AGE_SECONDS:
            return math.inf
        if self._is_cut_off(now_seconds) or zone in self._unreachable:
            return math.inf
        return max(0.0, self._zone_usable_seconds.get(zone, -math.inf) - now_seconds)

    def is_joining(self, *, now_seconds: float) -> bool:
        """Return whether the others may not count this router yet."""
        return now_seconds < self._joined_seconds

    def count_permits(
        self, endpoint_id: EndpointId, zone: ZoneId, total: int, *, joining: bool
    ) -> int:
        """Return this router's share of an endpoint's permits, or of those for joining routers."""
        reserved = int(total * JOIN_RESERVE)
        total = reserved if joining else total - reserved
        near = self._zones[zone].routers if zone in self._zones else frozenset()
        far = [r for z, state in self._zones.items() if z != zone for r in state.routers]
        far_permits = total // 2 if near else total
        near_permits = total - far_permits if far else total
        granted, group = (near_permits, near) if zone == self._zone else (far_permits, far)
        return self._round_robin_share(f"cold/{endpoint_id}", granted, group)

    def _round_robin_share(self, key: str, granted: int, group: Collection[InstanceId]) -> int:
        """Return how many permits this router gets if the ranked group takes them in turn."""
        if not group:
            return 0
        own = (rendezvous_weight(key, self._own), self._own)
        rank = sum((rendezvous_weight(key, router), router) > own for router in group)
        return max(0, -(-(granted - rank) // len(group)))

    def snapshot(self, *, now_seconds: float) -> dict[str, object]:
        """Return the state for the state dump."""
        wait = max(0.0, self._joined_seconds - now_seconds)
        return {
            "wait_seconds": round(wait, 3) if math.isfinite(wait) else None,
            "cut_off": self._is_cut_off(now_seconds),
            "unreachable": sorted(self._unreachable),
            "routers": {
                zone: {"live": len(state.live), "silent": len(state.silent_since)}
                for zone, state in self._zones.items()
            },
        }


class EndpointPermits:
    """Track this router's use of its permits for one endpoint."""

    def __init__(self) -> None:
        self._sent_seconds: deque[float] = deque()
        """When calls were sent, also while the endpoint was warm: it may become cold under load."""
        self._basis: tuple[ZoneId, int, int, bool] | None = None
        """What the permits were computed from."""
        self._permits = 0

    def record_send(self, *, now_seconds: float) -> None:
        """Record that the endpoint is sent a call."""
        self._forget_sends(now_seconds)
        self._sent_seconds.append(now_seconds)

    def _forget_sends(self, now_seconds: float) -> None:
        while self._sent_seconds and now_seconds - self._sent_seconds[0] >= PERMIT_SECONDS:
            self._sent_seconds.popleft()

    def count(
        self, endpoint: Endpoint, shares: RouterShares, *, total: int, now_seconds: float
    ) -> int:
        """Return this router's permits, computed only if what they depend on has changed."""
        joining = shares.is_joining(now_seconds=now_seconds)
        basis = (endpoint.zone, total, shares.revision, joining)
        if basis != self._basis:
            self._basis = basis
            self._permits = shares.count_permits(
                endpoint.endpoint_id, endpoint.zone, total, joining=joining
            )
        return self._permits

    def wait_seconds(
        self, endpoint: Endpoint, shares: RouterShares, *, total: int, now_seconds: float
    ) -> float:
        """Return the seconds until a permit is free; infinite if this router has none."""
        wait = shares.wait_seconds(endpoint.zone, now_seconds=now_seconds)
        if not math.isfinite(wait):
            return wait
        permits = self.count(endpoint, shares, total=total, now_seconds=now_seconds)
        if permits == 0:
            return math.inf
        self._forget_sends(now_seconds)
        if len(self._sent_seconds) < permits:
            return wait
        return max(wait, self._sent_seconds[-permits] + PERMIT_SECONDS - now_seconds)


def _ids_by_zone(members: Iterable[FleetMember]) -> dict[ZoneId, set[InstanceId]]:
    by_zone: dict[ZoneId, set[InstanceId]] = {}
    for member in members:
        by_zone.setdefault(member.zone, set()).add(member.instance_id)
    return by_zone
