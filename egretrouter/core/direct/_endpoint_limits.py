"""Keep calls within the limit that an endpoint names for all routers together.

A router alone sends an endpoint so few calls that equal shares of a small limit would let most of
it unused and come all at once. So a few routers, the owners, have the whole limit between them, and
the others send the endpoint no calls while the limit is in force.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from egretrouter.core.direct._endpoint_run import EndpointRun
from egretrouter.core.direct._records import Endpoint
from egretrouter.core.direct._relay_queue import RelayQueue
from egretrouter.core.identifiers import InstanceId, ZoneId
from egretrouter.core.limits import TokenBucket
from egretrouter.core.rendezvous import highest_ranked

# An owner that has got no answer for this long may not reach the endpoint, so others have a turn.
OWNER_TERM_SECONDS = 15.0
MAX_AGE_SECONDS = 90.0
"""A limit that no answer has confirmed for this long is forgotten."""
MIN_OWNER_RATE_PER_SECOND = 1.0
"""There are only as many owners that each has at least this rate."""
# An endpoint that names less than this still gets a call now and then, whose answer tells whether
# the limit is still in force.
MIN_RATE_PER_SECOND = 0.1
BURST_CALLS = 2.0
"""What an owner may save up, so that a call which comes late leaves no part of the limit unused."""
# Each hop adds the time in transit to an age; less than this does not confirm a limit anew.
AGE_TOLERANCE_SECONDS = 1.0


class LimitNews(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry the limit that an endpoint named in an answer, or that it no longer names one."""

    run: EndpointRun
    limit_per_second: float | None
    age_seconds: float


class LimitChange(msgspec.Struct, frozen=True, kw_only=True):
    """Report that an endpoint has another limit, or none."""

    run: EndpointRun
    limit_per_second: float | None


class _ShareBasis(msgspec.Struct, frozen=True, kw_only=True):
    """Tell what this router's part of a limit was computed from."""

    limit_per_second: float
    routers_revision: int
    term: int


class _Limit:
    def __init__(self, limit_per_second: float | None, confirmed_seconds: float) -> None:
        self.limit_per_second = limit_per_second
        self.confirmed_seconds = confirmed_seconds
        """When an answer last named this limit, or none."""
        self.bucket: TokenBucket | None = None
        """What this router may send now; None if it has no share yet."""
        self.share_basis: _ShareBasis | None = None

    def term(self, now_seconds: float) -> int:
        """Return how many groups of owners have got no answer since the last one."""
        return int((now_seconds - self.confirmed_seconds) / OWNER_TERM_SECONDS)


class EndpointLimits:
    """Track the limits that endpoints have named, and this router's share of each."""

    def __init__(self, *, own: InstanceId) -> None:
        self._own = own
        self._limits: dict[EndpointRun, _Limit] = {}
        self._routers: Mapping[ZoneId, Sequence[InstanceId]] = {}
        self._routers_revision = 0
        self._queue: RelayQueue[EndpointRun] = RelayQueue()
        self._changes: list[LimitChange] = []

    def set_routers(self, routers: Mapping[ZoneId, Sequence[InstanceId]]) -> None:
        """Set the live routers of each zone, this one included."""
        if routers != self._routers:
            self._routers = routers
            self._routers_revision += 1

    def record_answer(
        self,
        run: EndpointRun,
        limit_per_second: float | None,
        *,
        sent_seconds: float,
        now_seconds: float,
    ) -> None:
        """Record the limit named in an answer to a call that was sent at some time."""
        known = self._limits.get(run)
        if limit_per_second is None and (known is None or sent_seconds <= known.confirmed_seconds):
            # Answers overtake each other, so one to an earlier call does not end a limit.
            return
        if self._set(run, limit_per_second, now_seconds):
            self._queue.add_finding(run)

    def _set(
        self, run: EndpointRun, limit_per_second: float | None, confirmed_seconds: float
    ) -> bool:
        """Store what was learned last about a limit, and return whether it is another one."""
        known = self._limits.get(run)
        if known is None:
            known = self._limits[run] = _Limit(None, confirmed_seconds)
        changed = known.limit_per_second != limit_per_second
        known.limit_per_second, known.confirmed_seconds = limit_per_second, confirmed_seconds
        if changed:
            self._changes.append(LimitChange(run=run, limit_per_second=limit_per_second))
        return changed

    def may_send(self, endpoint: Endpoint, *, now_seconds: float) -> bool:
        """Return whether this router may send the endpoint a call now."""
        limit = self._limits.get(EndpointRun.of(endpoint))
        if limit is None or limit.limit_per_second is None:
            return True
        if now_seconds - limit.confirmed_seconds > MAX_AGE_SECONDS:
            return True
        basis = _ShareBasis(
            limit_per_second=limit.limit_per_second,
            routers_revision=self._routers_revision,
            term=limit.term(now_seconds),
        )
        if basis != limit.share_basis:
            limit.share_basis = basis
            _apply_share(limit, self._own_rate_per_second(endpoint, basis), now_seconds)
        return limit.bucket is not None and limit.bucket.wait_seconds(now_seconds=now_seconds) == 0

    def _own_rate_per_second(self, endpoint: Endpoint, basis: _ShareBasis) -> float:
        """Return this router's part of a limit; 0 if it is not one of the owners."""
        rate = max(basis.limit_per_second, MIN_RATE_PER_SECOND)
        owners = max(1, int(rate / MIN_OWNER_RATE_PER_SECOND))
        candidates = self._routers.get(endpoint.zone, ())
        if owners > len(candidates):
            candidates = [router for zone in self._routers.values() for router in zone]
        owners = min(owners, len(candidates))
        key = f"limit/{endpoint.endpoint_id}/{basis.term}"
        if self._own not in highest_ranked(key, candidates, owners):
            return 0.0
        return rate / owners

    def record_send(self, endpoint: Endpoint, *, now_seconds: float) -> None:
        """Record that this router sends the endpoint a call."""
        limit = self._limits.get(EndpointRun.of(endpoint))
        if limit is not None and limit.bucket is not None:
            limit.bucket.take(now_seconds=now_seconds)

    def merge(self, news: Iterable[LimitNews], *, now_seconds: float) -> None:
        """Apply what another process knows, and pass on what was new."""
        for item in news:
            at = now_seconds - item.age_seconds
            known = self._limits.get(item.run)
            if known is None:
                is_newer = item.age_seconds < MAX_AGE_SECONDS
            elif known.limit_per_second == item.limit_per_second:
                is_newer = at > known.confirmed_seconds + AGE_TOLERANCE_SECONDS
            else:
                is_newer = at > known.confirmed_seconds
            if is_newer and self._set(item.run, item.limit_per_second, at):
                self._queue.add_relay(item.run)

    def take_findings(self, *, now_seconds: float) -> list[LimitNews]:
        """Return what this process learned first since the last call."""
        return self._news(self._queue.take_findings(), now_seconds)

    def take_relays(self, *, limit: int, now_seconds: float) -> list[LimitNews]:
        """Return what is to be passed on."""
        return self._news(self._queue.take_relays(limit=limit), now_seconds)

    def all_news(self, *, now_seconds: float) -> list[LimitNews]:
        """Return all that is known."""
        return self._news(self._limits, now_seconds)

    def _news(self, runs: Iterable[EndpointRun], now_seconds: float) -> list[LimitNews]:
        return [
            LimitNews(
                run=run,
                limit_per_second=known.limit_per_second,
                age_seconds=now_seconds - known.confirmed_seconds,
            )
            for run in runs
            if (known := self._limits.get(run)) is not None
        ]

    def expire(self, *, now_seconds: float) -> None:
        """Forget limits that no answer has confirmed for a long time."""
        for run, limit in list(self._limits.items()):
            if now_seconds - limit.confirmed_seconds > MAX_AGE_SECONDS:
                del self._limits[run]
                if limit.limit_per_second is not None:
                    self._changes.append(LimitChange(run=run, limit_per_second=None))

    def take_changes(self) -> list[LimitChange]:
        """Return the limits that changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {run.endpoint_id: limit.limit_per_second for run, limit in self._limits.items()}


def _apply_share(limit: _Limit, rate_per_second: float, now_seconds: float) -> None:
    if rate_per_second == 0:
        limit.bucket = None
    elif limit.bucket is None:
        limit.bucket = TokenBucket(
            rate_per_second=rate_per_second, burst=BURST_CALLS, now_seconds=now_seconds
        )
        # The owner before this one may have sent a call just now.
        limit.bucket.charge(BURST_CALLS)
    else:
        limit.bucket.change(
            rate_per_second=rate_per_second, burst=BURST_CALLS, now_seconds=now_seconds
        )
