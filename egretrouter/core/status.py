"""Decide when a zone's status is written to the store, and what it says."""

from collections.abc import Iterable, Mapping
from functools import singledispatchmethod
from typing import Any

import msgspec

from egretrouter.core.errors import ValidationError
from egretrouter.core.identifiers import Digest, Generation, InstanceId, ServiceName, ZoneId
from egretrouter.core.membership import Member, MemberRole, MemberStatus, highest_ranked

STATUS_KEY_PREFIX = "status/"
WRITE_SECONDS = 5.0
"""27 zones that change all the time cause 5.4 writes a second."""

REFRESH_SECONDS = 60.0
"""An unchanged status is written again, so that its age tells a quiet zone from a lost one."""


class StatusMalformedError(ValidationError):
    """An object below status/ is not a zone's status."""


class VersionStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State what became of one version of a service in one zone."""

    serving: tuple[InstanceId, ...] = ()
    failed: dict[InstanceId, str] = {}
    """Reasons by the instance whose engine could not load the version."""
    halted: bool = False


class ZoneStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Sum up a zone for operators."""

    zone: ZoneId
    processes: dict[InstanceId, Generation]
    """The generation in force by instance, as gossip knows it."""
    services: dict[ServiceName, dict[Digest, VersionStatus]]
    written_by: InstanceId = InstanceId("")
    written_at_seconds: float = 0.0
    """Unix time of the writer's clock."""

    @classmethod
    def from_json(cls, content: bytes) -> "ZoneStatus":
        """Decode a status.

        Raises StatusMalformedError.
        """
        try:
            return msgspec.json.decode(content, type=cls)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise StatusMalformedError(f"the status of a zone is malformed: {error}") from error

    def to_json(self) -> bytes:
        """Encode the status with sorted keys."""
        return msgspec.json.encode(self, order="deterministic")

    def outdated_processes(self, generation: Generation) -> dict[InstanceId, Generation]:
        """Return the processes with an older generation in force."""
        return {i: g for i, g in sorted(self.processes.items()) if g < generation}


def summarize_zone(
    zone: ZoneId,
    members: Mapping[InstanceId, tuple[Member, Generation]],
    *,
    halt_after_failures: Mapping[ServiceName, int],
) -> ZoneStatus:
    """Sum up the members that are not believed dead."""
    serving: dict[tuple[ServiceName, Digest], list[InstanceId]] = {}
    failed: dict[tuple[ServiceName, Digest], dict[InstanceId, str]] = {}
    for instance_id, (member, _) in sorted(members.items()):
        facts = member.facts
        if member.role is not MemberRole.AGENT:
            continue
        if facts.ready and member.status is not MemberStatus.LEAVING:
            serving.setdefault((facts.service, facts.version_digest), []).append(instance_id)
        if facts.failed_digest:
            reasons = failed.setdefault((facts.service, facts.failed_digest), {})
            reasons[instance_id] = facts.failed_reason
    services: dict[ServiceName, dict[Digest, VersionStatus]] = {}
    for key in sorted(serving.keys() | failed.keys()):
        service, digest = key
        reasons = failed.get(key, {})
        limit = halt_after_failures.get(service, 0)
        services.setdefault(service, {})[digest] = VersionStatus(
            serving=tuple(serving.get(key, ())),
            failed=reasons,
            halted=0 < limit <= len(reasons),
        )
    generations = {instance_id: generation for instance_id, (_, generation) in members.items()}
    return ZoneStatus(zone=zone, processes=generations, services=services)


class ZoneObserved(msgspec.Struct, frozen=True, kw_only=True):
    """Deliver the zone as this process sees it, itself included."""

    status: ZoneStatus
    unix_seconds: float


class WriteEnded(msgspec.Struct, frozen=True, kw_only=True):
    """Report how a write ended; a lost answer counts as failed and is repeated."""

    written: bool


class WriteStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Write an object to the store, whatever it held before."""

    key: str
    content: bytes


StatusMessage = ZoneObserved | WriteEnded


class StatusReporter:
    """Write a zone's status while this process ranks highest in it.

    Two members that disagree on the rank may both write for a moment. Both statuses are true as
    their writers see the zone, so the last one stands and no conditional update is needed.
    """

    def __init__(self, *, instance_id: InstanceId, zone: ZoneId) -> None:
        """Start without anything written."""
        self._instance_id = instance_id
        self._zone = zone
        self._written: ZoneStatus | None = None
        self._pending: ZoneStatus | None = None
        self._next_seconds = float("-inf")
        self._refresh_at_seconds = float("-inf")
        self._writes = 0

    @singledispatchmethod
    def handle(self, message: StatusMessage, *, now_seconds: float) -> list[WriteStatus]:
        """Handle one message and return the write that follows from it."""
        raise TypeError(f"unexpected message {type(message).__name__}")

    @handle.register
    def _observed(self, message: ZoneObserved, *, now_seconds: float) -> list[WriteStatus]:
        status = message.status
        if not self._is_writer(status.processes):
            self._written = None
            return []
        if self._pending is not None or now_seconds < self._next_seconds:
            return []
        if status == self._written and now_seconds < self._refresh_at_seconds:
            return []
        self._pending = status
        self._next_seconds = now_seconds + WRITE_SECONDS
        stamped = msgspec.structs.replace(
            status, written_by=self._instance_id, written_at_seconds=message.unix_seconds
        )
        return [WriteStatus(key=STATUS_KEY_PREFIX + self._zone, content=stamped.to_json())]

    @handle.register
    def _write_ended(self, message: WriteEnded, *, now_seconds: float) -> list[WriteStatus]:
        if message.written:
            self._writes += 1
            self._written = self._pending
            self._refresh_at_seconds = now_seconds + REFRESH_SECONDS
        self._pending = None
        return []

    def _is_writer(self, members: Iterable[InstanceId]) -> bool:
        return highest_ranked(f"status/{self._zone}", members, 1) == [self._instance_id]

    def snapshot(self) -> dict[str, Any]:
        """Return values for the state dump."""
        return {"writes": self._writes, "is_writing": self._pending is not None}
