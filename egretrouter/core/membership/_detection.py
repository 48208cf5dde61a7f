"""Detect failed members by direct and indirect probes."""

import math
import random
from collections import deque

import msgspec

from egretrouter.core.identifiers import InstanceId
from egretrouter.core.membership._records import Member, MemberStatus
from egretrouter.core.membership._table import MemberTable

PROBE_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.4
INDIRECT_PROBES = 3
SHORTEST_SUSPICION_SECONDS = 3.0
MAXIMUM_RELAYS = 64
MAXIMUM_VERIFICATIONS = 32


class DirectProbe(msgspec.Struct, frozen=True, kw_only=True):
    """Request to probe a member now."""

    target: Member
    sequence: int


class ProxyProbe(msgspec.Struct, frozen=True, kw_only=True):
    """Request to ask one member (the proxy) to probe another (the target)."""

    proxy: Member
    target: Member
    sequence: int


class Relay(msgspec.Struct, frozen=True, kw_only=True):
    """Track a probe sent on behalf of another member, which receives the answer."""

    requester: Member
    sequence: int
    expires_at_seconds: float


class _Probe(msgspec.Struct, kw_only=True):
    target: Member
    sequence: int
    started_at_seconds: float
    indirect: bool = False


class FailureDetector:
    """Probe one member per second and track the deadlines of suspected members."""

    def __init__(self, *, table: MemberTable, rng: random.Random) -> None:
        """Start probing at a random phase, so that members do not probe in lockstep."""
        self._table = table
        self._rng = rng
        self._sequence = 0
        self._probe: _Probe | None = None
        self._order: list[InstanceId] = []
        self._verifications: deque[InstanceId] = deque(maxlen=MAXIMUM_VERIFICATIONS)
        self._suspicions: dict[InstanceId, float] = {}
        self._relays: dict[int, Relay] = {}
        self._next_probe_seconds: float | None = None

    @property
    def suspicions(self) -> int:
        """Return the number of suspicions that have not expired."""
        return len(self._suspicions)

    def update_suspicion(self, member: Member, *, now_seconds: float) -> None:
        """Start the suspicion deadline of a suspect member, or cancel it for any other status."""
        if member.status is MemberStatus.SUSPECT:
            seconds = 2.0 * math.log10(self._table.live_count + 1)
            deadline = now_seconds + max(SHORTEST_SUSPICION_SECONDS, seconds)
            self._suspicions.setdefault(member.instance_id, deadline)
        else:
            self._suspicions.pop(member.instance_id, None)

    def verify(self, instance_id: InstanceId) -> None:
        """Schedule a probe of a member ahead of the regular order."""
        if instance_id not in self._verifications:
            self._verifications.append(instance_id)

    def reset(self) -> None:
        """Drop all running probes, relays and suspicions after a pause or a network partition."""
        self._probe = None
        self._suspicions.clear()
        self._verifications.clear()
        self._relays.clear()

    def advance(
        self, now_seconds: float
    ) -> tuple[list[DirectProbe | ProxyProbe], InstanceId | None]:
        """Return the probes to send, and the member whose probe failed."""
        self._relays = {
            sequence: relay
            for sequence, relay in self._relays.items()
            if now_seconds < relay.expires_at_seconds
        }
        if self._next_probe_seconds is None:
            self._next_probe_seconds = now_seconds + self._rng.random() * PROBE_SECONDS
        probe = self._probe
        if now_seconds >= self._next_probe_seconds:
            self._next_probe_seconds = max(
                self._next_probe_seconds + PROBE_SECONDS, now_seconds + PROBE_SECONDS / 2
            )
            self._probe = None
            failed = probe.target.instance_id if probe else None
            return self._start_probe(now_seconds), failed
        timed_out = probe and now_seconds - probe.started_at_seconds >= PROBE_TIMEOUT_SECONDS
        if probe is None or probe.indirect or not timed_out:
            return [], None
        probe.indirect = True
        proxies = self._table.sample(INDIRECT_PROBES, exclude=probe.target.instance_id)
        target, sequence = probe.target, probe.sequence
        return [ProxyProbe(proxy=p, target=target, sequence=sequence) for p in proxies], None

    def _start_probe(self, now_seconds: float) -> list[DirectProbe | ProxyProbe]:
        target = self._next_target()
        if target is None:
            return []
        sequence = self._next_sequence()
        self._probe = _Probe(target=target, sequence=sequence, started_at_seconds=now_seconds)
        return [DirectProbe(target=target, sequence=sequence)]

    def _next_target(self) -> Member | None:
        for _ in range(self._table.live_count + len(self._verifications) + len(self._order) + 1):
            if self._verifications:
                instance_id = self._verifications.popleft()
            else:
                if not self._order:
                    self._order = self._table.live_ids()
                    self._rng.shuffle(self._order)
                if not self._order:
                    return None
                instance_id = self._order.pop()
            entry = self._table.entries.get(instance_id)
            if entry is not None and entry.member.status is not MemberStatus.DEAD:
                return entry.member
        return None

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def register_relay(self, requester: Member, sequence: int, *, now_seconds: float) -> int | None:
        """Return the sequence number of a relayed probe, or None if too many relays are running."""
        if len(self._relays) >= MAXIMUM_RELAYS:
            return None
        own_sequence = self._next_sequence()
        self._relays[own_sequence] = Relay(
            requester=requester,
            sequence=sequence,
            expires_at_seconds=now_seconds + PROBE_SECONDS,
        )
        return own_sequence

    def record_answer(self, sequence: int) -> Relay | None:
        """Record an answer; return the relay whose requester must receive it, if any."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe = None
        return self._relays.pop(sequence, None)

    def take_expired(self, now_seconds: float) -> list[InstanceId]:
        """Remove and return the members whose suspicion was not refuted in time."""
        expired = [i for i, deadline in self._suspicions.items() if now_seconds >= deadline]
        for instance_id in expired:
            del self._suspicions[instance_id]
        return expired
