"""Select the endpoint of each call."""

import math
import random
from functools import singledispatchmethod

from egretrouter.core.identifiers import CallId, EndpointId, RegionId, ZoneId
from egretrouter.core.routing._candidates import OpenCall, Scored
from egretrouter.core.routing._load import LoadEstimate
from egretrouter.core.routing._messages import (
    CacheEvent,
    CallEnded,
    CallFailed,
    CallSent,
    Choice,
    EndpointEjected,
    EndpointRemoved,
    EndpointState,
    EndpointUpdated,
    FirstTokenReceived,
    LoadReported,
    Refusal,
    RefusalReason,
    RouteRequest,
    RoutersCounted,
    RoutingMessage,
    SelectorSettings,
)
from egretrouter.core.routing._outliers import OutlierDetector
from egretrouter.core.routing._pools import Pool, Pools
from egretrouter.core.routing._prefix_index import PrefixIndex

LINK_WINDOW_SECONDS = 1.0
MINIMUM_SLOW_START_SHARE = 0.1
NO_ENDPOINT_RETRY_SECONDS = 1.0
FALLBACK_CANDIDATES = 32
AFFINITY_SMOOTHING_FACTOR = 0.02
TIE_SECONDS = 0.001


class EndpointSelector:
    """Select endpoints by estimated wait among a few candidates.

    Only endpoints that have loaded the requested version and adapter are eligible. Candidates are
    endpoints that have the prefix cached, those to which consistent hashing assigns the prefix on
    every router, and a few random ones. Random candidates and the estimate of other routers' calls
    keep routers with the same stale reports from all selecting the same endpoint.
    """

    def __init__(
        self,
        *,
        zone: ZoneId,
        region: RegionId,
        random_generator: random.Random,
        settings: SelectorSettings | None = None,
    ) -> None:
        """Initialize without endpoints."""
        self._zone = zone
        self._region = region
        self._random = random_generator
        self._settings = settings or SelectorSettings()
        self._pools = Pools(zone=zone)
        self._index = PrefixIndex(limit_entries=self._settings.index_entries)
        self._outliers = OutlierDetector(self._settings)
        self._loads: dict[EndpointId, LoadEstimate] = {}
        self._loaded_at_seconds: dict[EndpointId, float] = {}
        self._calls: dict[CallId, OpenCall] = {}
        self._routers = 1
        self._affinity_cached_share = self._settings.initial_place_trust
        self._decayed_link_bytes = 0.0
        self._link_updated_at_seconds = 0.0

    @singledispatchmethod
    def handle(self, message: RoutingMessage, *, now_seconds: float) -> list[EndpointEjected]:
        """Process one message; messages about unknown endpoints or calls are ignored."""
        raise TypeError(f"unexpected message {type(message).__name__}")

    @handle.register
    def _(self, message: EndpointUpdated, *, now_seconds: float) -> list[EndpointEjected]:
        previous = self._pools.endpoints.get(message.endpoint_id)
        if previous is None:
            self._loads[message.endpoint_id] = LoadEstimate(self._settings)
            self._index.add_endpoint(message.endpoint_id)
        if previous is not None and previous.version_digests != message.version_digests:
            self._index.clear_blocks(message.endpoint_id)
        if message.loaded_age_seconds is not None:
            self._loaded_at_seconds[message.endpoint_id] = now_seconds - message.loaded_age_seconds
        elif previous is not None and message.version_digests - previous.version_digests:
            self._loaded_at_seconds[message.endpoint_id] = now_seconds
        self._pools.add_or_replace(message)
        return []

    @handle.register
    def _(self, message: EndpointRemoved, *, now_seconds: float) -> list[EndpointEjected]:
        self._pools.remove(message.endpoint_id)
        self._index.remove_endpoint(message.endpoint_id)
        self._outliers.remove_endpoint(message.endpoint_id)
        self._loads.pop(message.endpoint_id, None)
        self._loaded_at_seconds.pop(message.endpoint_id, None)
        return []

    @handle.register
    def _(self, message: LoadReported, *, now_seconds: float) -> list[EndpointEjected]:
        load = self._loads.get(message.endpoint_id)
        if load is not None:
            load.record_report(
                queued_calls=message.queued_calls,
                finished_calls_total=message.finished_calls_total,
                measured_at_seconds=now_seconds - max(0.0, message.age_seconds),
            )
        return []

    @handle.register
    def _(self, message: CacheEvent, *, now_seconds: float) -> list[EndpointEjected]:
        self._index.apply_event(
            message.endpoint_id,
            sequence=message.sequence,
            stored=message.stored,
            evicted=message.evicted,
            cleared=message.cleared,
        )
        return []

    @handle.register
    def _(self, message: RoutersCounted, *, now_seconds: float) -> list[EndpointEjected]:
        self._routers = max(1, message.routers)
        return []

    @handle.register
    def _(self, message: CallSent, *, now_seconds: float) -> list[EndpointEjected]:
        endpoint = self._pools.endpoints.get(message.endpoint_id)
        if endpoint is None:
            return []
        cached = self._cached_tokens(
            message.endpoint_id, message.prompt_blocks, message.prompt_tokens
        )
        uncached = message.prompt_tokens - cached
        load = self._loads[message.endpoint_id]
        work = uncached * load.token_seconds if message.prompt_tokens else load.service_seconds
        load.record_call_sent(message.call_id, work_seconds=work, now_seconds=now_seconds)
        self._index.add_blocks(message.endpoint_id, message.prompt_blocks)
        self._calls[message.call_id] = OpenCall(
            message, uncached_tokens=uncached, now_seconds=now_seconds
        )
        if endpoint.region != self._region:
            self._decayed_link_bytes = self._recent_link_bytes(now_seconds) + message.request_bytes
            self._link_updated_at_seconds = now_seconds
        return []

    @handle.register
    def _(self, message: FirstTokenReceived, *, now_seconds: float) -> list[EndpointEjected]:
        call = self._calls.get(message.call_id)
        if call is None or not call.waiting:
            return []
        call.waiting = False
        load = self._loads.get(call.endpoint_id)
        if load is None:
            return []
        load.record_wait_ended(message.call_id)
        uncached = call.uncached_tokens
        if message.cached_tokens is not None:
            uncached = max(0, call.prompt_tokens - message.cached_tokens)
            if call.placed and call.prompt_tokens:
                share = min(1.0, message.cached_tokens / call.prompt_tokens)
                self._affinity_cached_share += AFFINITY_SMOOTHING_FACTOR * (
                    share - self._affinity_cached_share
                )
        load.record_first_token(
            wait_seconds=now_seconds - call.sent_at_seconds,
            uncached_tokens=uncached,
            sent_at_seconds=call.sent_at_seconds,
        )
        return []

    @handle.register
    def _(self, message: CallEnded, *, now_seconds: float) -> list[EndpointEjected]:
        call = self._remove_call(message.call_id)
        if call is not None:
            self._outliers.record_success(call.endpoint_id, now_seconds=now_seconds)
        return []

    @handle.register
    def _(self, message: CallFailed, *, now_seconds: float) -> list[EndpointEjected]:
        call = self._remove_call(message.call_id)
        endpoint = self._pools.endpoints.get(call.endpoint_id) if call is not None else None
        if endpoint is None:
            return []
        until = self._outliers.record_failure(
            endpoint.endpoint_id,
            pool=self._pools.active_service_endpoints(endpoint.service),
            now_seconds=now_seconds,
        )
        if until is None:
            return []
        # The fault that made the calls fail may have cleared the cache as well.
        self._index.clear_blocks(endpoint.endpoint_id)
        return [EndpointEjected(endpoint_id=endpoint.endpoint_id, until_seconds=until)]

    def choose(self, request: RouteRequest, *, now_seconds: float) -> Choice | Refusal:
        """Return the candidate with the lowest cost, or a refusal with its reason."""
        pool = self._pools.pool(request)
        if not pool.endpoints:
            return Refusal(
                reason=self._pools.refusal_reason(request),
                retry_after_seconds=NO_ENDPOINT_RETRY_SECONDS,
            )
        best = self._best_candidate(
            self._candidates(pool, request, now_seconds), pool, request, now_seconds
        )
        deadline = request.deadline_seconds
        if best is None or (deadline is not None and best.wait_seconds > deadline):
            best = self._best_candidate(
                self._fallback_candidates(pool, request), pool, request, now_seconds
            )
        if best is None:
            return Refusal(
                reason=RefusalReason.ALL_EXCLUDED, retry_after_seconds=NO_ENDPOINT_RETRY_SECONDS
            )
        if deadline is not None and best.wait_seconds > deadline:
            return Refusal(
                reason=RefusalReason.OVERLOADED,
                retry_after_seconds=best.wait_seconds - deadline,
            )
        return Choice(
            endpoint_id=best.endpoint.endpoint_id,
            address=best.endpoint.address,
            estimated_wait_seconds=best.wait_seconds,
            cached_tokens=best.cached_tokens,
            other_zone=best.endpoint.zone != self._zone,
            by_prefix_affinity=best.by_prefix_affinity,
        )

    def state(self, endpoint_id: EndpointId, *, now_seconds: float) -> EndpointState:
        """Return the state that this router assigns to an endpoint."""
        if self._pools.endpoints[endpoint_id].draining:
            return EndpointState.DRAINING
        if self._outliers.is_ejected(endpoint_id, now_seconds=now_seconds):
            return EndpointState.EJECTED
        if self._slow_start_share(endpoint_id, now_seconds) < 1.0:
            return EndpointState.SLOW_START
        return EndpointState.READY

    def snapshot(self, *, now_seconds: float) -> dict[str, object]:
        """Return values for the state dump."""
        return {
            "routers": self._routers,
            "open_calls": len(self._calls),
            "index_entries": len(self._index),
            "index_gaps": self._index.gaps,
            "place_trust": self._affinity_cached_share,
            "endpoints": {
                endpoint_id: {
                    "state": self.state(endpoint_id, now_seconds=now_seconds).value,
                    "zone": self._pools.endpoints[endpoint_id].zone,
                    "backlog_seconds": load.backlog_seconds(
                        routers=self._routers, now_seconds=now_seconds
                    ),
                    "service_seconds": load.service_seconds,
                    "report_age_seconds": None
                    if load.report_at_seconds is None
                    else now_seconds - load.report_at_seconds,
                }
                for endpoint_id, load in self._loads.items()
            },
        }

    def _remove_call(self, call_id: CallId) -> OpenCall | None:
        call = self._calls.pop(call_id, None)
        load = self._loads.get(call.endpoint_id) if call is not None else None
        if load is not None:
            load.record_wait_ended(call_id)
        return call

    def _candidates(
        self, pool: Pool, request: RouteRequest, now_seconds: float
    ) -> list[EndpointId]:
        settings = self._settings
        found: dict[EndpointId, None] = {}
        if request.prompt_blocks:
            holders = self._index.find_longest_holders(
                request.prompt_blocks, limit=settings.holder_candidates
            )
            found.update(dict.fromkeys(h for h in holders if h in pool.endpoints))
            found.update(dict.fromkeys(self._affinity_endpoints(pool, request.prompt_blocks)))
        for group in (pool.local, pool.remote):
            count = min(settings.random_candidates, len(group))
            found.update(dict.fromkeys(self._random.sample(group, count)))
        usable = [e for e in found if self._is_usable(e, request, now_seconds)]
        warm = [e for e in usable if self._passes_slow_start(e, now_seconds)]
        return warm or usable

    def _affinity_endpoints(self, pool: Pool, blocks: tuple[int, ...]) -> list[EndpointId]:
        if not blocks:
            return []
        settings = self._settings
        in_zone = len(pool.local) >= settings.zone_ring_endpoints
        ring = pool.local_ring if in_zone else pool.whole_ring
        # Only the beginning of a prompt is shared with other prompts, so later blocks are ignored.
        key = blocks[: settings.affinity_blocks][-1]
        return ring.find_endpoints(key, limit=settings.affinity_candidates)

    def _fallback_candidates(self, pool: Pool, request: RouteRequest) -> list[EndpointId]:
        # Ejected endpoints are included: a probable failure is better than a certain refusal.
        left = [e for e in pool.endpoints if e not in request.excluded]
        if len(left) > FALLBACK_CANDIDATES:
            left = self._random.sample(left, FALLBACK_CANDIDATES)
        return left

    def _is_usable(self, endpoint_id: EndpointId, request: RouteRequest, now: float) -> bool:
        return endpoint_id not in request.excluded and not self._outliers.is_ejected(
            endpoint_id, now_seconds=now
        )

    def _slow_start_share(self, endpoint_id: EndpointId, now_seconds: float) -> float:
        started = self._loaded_at_seconds.get(endpoint_id)
        if started is None:
            return 1.0
        share = (now_seconds - started) / self._settings.slow_start_seconds
        return min(1.0, max(MINIMUM_SLOW_START_SHARE, share))

    def _passes_slow_start(self, endpoint_id: EndpointId, now_seconds: float) -> bool:
        share = self._slow_start_share(endpoint_id, now_seconds)
        return share >= 1.0 or self._random.random() < share

    def _best_candidate(
        self, candidates: list[EndpointId], pool: Pool, request: RouteRequest, now_seconds: float
    ) -> Scored | None:
        affinity_endpoint = next(iter(self._affinity_endpoints(pool, request.prompt_blocks)), None)
        scored = [
            self._score(e, request, now_seconds, by_prefix_affinity=e == affinity_endpoint)
            for e in candidates
        ]
        # Candidates for the prefix come first, the others in random order. Estimates are not
        # accurate to a millisecond, and comparing them exactly would send every call to the same
        # one of several equal endpoints.
        return min(scored, key=lambda s: int(s.cost_seconds / TIE_SECONDS), default=None)

    def _score(
        self,
        endpoint_id: EndpointId,
        request: RouteRequest,
        now_seconds: float,
        *,
        by_prefix_affinity: bool,
    ) -> Scored:
        endpoint = self._pools.endpoints[endpoint_id]
        load = self._loads[endpoint_id]
        cached = self._cached_tokens(endpoint_id, request.prompt_blocks, request.prompt_tokens)
        likely_cached = cached
        if by_prefix_affinity:
            # Other routers send prompts with this prefix there too, so it is likely to be cached.
            likely_cached = max(cached, int(self._affinity_cached_share * request.prompt_tokens))
        prefill = (request.prompt_tokens - likely_cached) * load.token_seconds
        backlog = load.backlog_seconds(routers=self._routers, now_seconds=now_seconds)
        if request.urgent:
            # An urgent call waits only for the call that is in prefill.
            backlog = min(backlog, load.service_seconds)
        network_seconds = self._network_seconds(endpoint, request, now_seconds)
        wait = backlog + prefill + network_seconds
        margin = self._settings.spill_margin_seconds if endpoint.zone != self._zone else 0.0
        return Scored(
            endpoint=endpoint,
            wait_seconds=wait,
            cost_seconds=wait + margin + self._settings.cached_work_weight * prefill,
            cached_tokens=cached,
            by_prefix_affinity=by_prefix_affinity,
        )

    def _network_seconds(
        self, endpoint: EndpointUpdated, request: RouteRequest, now_seconds: float
    ) -> float:
        if endpoint.zone == self._zone:
            return 0.0
        if endpoint.region == self._region:
            return self._settings.zone_round_trip_seconds
        rate = self._settings.region_link_bytes_per_second
        used = self._recent_link_bytes(now_seconds) / (rate * LINK_WINDOW_SECONDS)
        transfer = request.request_bytes / rate
        # The wait grows without bound as the link approaches its capacity; 0.02 keeps it finite.
        return self._settings.region_round_trip_seconds + transfer / max(0.02, 1.0 - used)

    def _recent_link_bytes(self, now_seconds: float) -> float:
        age = max(0.0, now_seconds - self._link_updated_at_seconds)
        return self._decayed_link_bytes * math.exp(-age / LINK_WINDOW_SECONDS)

    def _cached_tokens(
        self, endpoint_id: EndpointId, blocks: tuple[int, ...], prompt_tokens: int
    ) -> int:
        if not blocks:
            return 0
        matched = self._index.count_matched_blocks(endpoint_id, blocks)
        return min(prompt_tokens, matched * self._settings.block_tokens)
