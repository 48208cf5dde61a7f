"""Remember which endpoints have said that they leave.

An endpoint that leaves does so until its end, so neither the store nor a peer takes the fact back.
"""

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum

import msgspec

from egretrouter.core.direct._endpoint_run import EndpointRun
from egretrouter.core.direct._records import Endpoint, EndpointState
from egretrouter.core.direct._relay_queue import RelayQueue

MEMORY_SECONDS = 3600.0
"""How long a run is remembered; a copy of the store's state may list it for long after its end."""
MAX_RUNS = 1024
# An endpoint that answers in place of another one registers within this time.
ADDRESS_SECONDS = 10.0


class LeavingSource(Enum):
    """List how a process can learn that an endpoint leaves."""

    ANSWER = "answer"
    AGENT = "agent"
    REGISTRATION = "registration"
    PEER = "peer"


class LeavingNews(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry that a run of an endpoint leaves."""

    run: EndpointRun
    age_seconds: float


class LeavingChange(msgspec.Struct, frozen=True, kw_only=True):
    """Report a run that is now known to leave."""

    run: EndpointRun
    source: LeavingSource
    remembered_seconds: float
    """How long this process still remembers it."""


class LeavingEndpoints:
    """Track the runs of endpoints that get no new calls because they leave."""

    def __init__(self) -> None:
        self._learned_seconds: OrderedDict[EndpointRun, float] = OrderedDict()
        """When the first process learned of each run, on this process's clock."""
        self._addresses: dict[str, float] = {}
        """When an unknown endpoint at an address last said that it leaves."""
        self._queue: RelayQueue[EndpointRun] = RelayQueue()
        self._changes: list[LeavingChange] = []

    def record(self, run: EndpointRun, source: LeavingSource, *, now_seconds: float) -> None:
        """Record that an endpoint, its agent or its registration says that it leaves."""
        is_new = self._add(run, source, age_seconds=0.0, now_seconds=now_seconds)
        if is_new and source is not LeavingSource.REGISTRATION:
            # Everyone gets registrations from the store.
            self._queue.add_finding(run)

    def record_address(self, address: str, *, now_seconds: float) -> None:
        """Record that some endpoint at an address, maybe one not listed yet, leaves."""
        self._addresses[address] = now_seconds

    def record_registrations(self, endpoints: Iterable[Endpoint], *, now_seconds: float) -> None:
        """Remember the endpoints that are registered as draining."""
        for endpoint in endpoints:
            if endpoint.state is EndpointState.DRAINING:
                run = EndpointRun.of(endpoint)
                self.record(run, LeavingSource.REGISTRATION, now_seconds=now_seconds)

    def _add(
        self, run: EndpointRun, source: LeavingSource, *, age_seconds: float, now_seconds: float
    ) -> bool:
        """Add a run and return whether it is new."""
        if run in self._learned_seconds or age_seconds >= MEMORY_SECONDS:
            return False
        self._learned_seconds[run] = now_seconds - age_seconds
        remembered = MEMORY_SECONDS - age_seconds
        self._changes.append(LeavingChange(run=run, source=source, remembered_seconds=remembered))
        if len(self._learned_seconds) > MAX_RUNS:
            self._learned_seconds.popitem(last=False)
        return True

    def is_leaving(self, endpoint: Endpoint, *, now_seconds: float) -> bool:
        """Return whether an endpoint gets no new calls."""
        if EndpointRun.of(endpoint) in self._learned_seconds:
            return True
        noted = self._addresses.get(endpoint.address)
        return noted is not None and now_seconds - noted < ADDRESS_SECONDS

    def merge(self, news: Iterable[LeavingNews], *, now_seconds: float) -> None:
        """Apply what another process knows, and pass on what was new."""
        for item in news:
            is_new = self._add(
                item.run,
                LeavingSource.PEER,
                age_seconds=item.age_seconds,
                now_seconds=now_seconds,
            )
            if is_new:
                self._queue.add_relay(item.run)

    def take_findings(self, *, now_seconds: float) -> list[LeavingNews]:
        """Return what this process learned first since the last call."""
        return self._news(self._queue.take_findings(), now_seconds)

    def take_relays(self, *, limit: int, now_seconds: float) -> list[LeavingNews]:
        """Return what is to be passed on."""
        return self._news(self._queue.take_relays(limit=limit), now_seconds)

    def all_news(self, *, now_seconds: float) -> list[LeavingNews]:
        """Return all that is known, the last learned first."""
        return self._news(reversed(self._learned_seconds), now_seconds)

    def _news(self, runs: Iterable[EndpointRun], now_seconds: float) -> list[LeavingNews]:
        return [
            LeavingNews(run=run, age_seconds=now_seconds - learned)
            for run in runs
            if (learned := self._learned_seconds.get(run)) is not None
        ]

    def expire(self, *, now_seconds: float) -> None:
        """Forget runs that ended long ago."""
        for run, learned in list(self._learned_seconds.items()):
            if now_seconds - learned >= MEMORY_SECONDS:
                del self._learned_seconds[run]
        for address, noted in list(self._addresses.items()):
            if now_seconds - noted >= ADDRESS_SECONDS:
                del self._addresses[address]

    def take_changes(self) -> list[LeavingChange]:
        """Return the runs that were learned since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "runs": [msgspec.to_builtins(run) for run in self._learned_seconds],
            "addresses": list(self._addresses),
        }
