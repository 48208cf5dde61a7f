"""Summarize a zone's status and decide when it is written to the store."""

from collections.abc import Iterable, Mapping
from functools import singledispatchmethod
from typing import Any

import msgspec

from egretrouter.core.decoding import DECODE_ERRORS
from egretrouter.core.errors import ValidationError
from egretrouter.core.identifiers import Digest, Generation, InstanceId, ServiceName, ZoneId
from egretrouter.core.membership import Member, MemberRole, MemberStatus
from egretrouter.core.rendezvous import highest_ranked

STATUS_KEY_PREFIX = "status/"
WRITE_SECONDS = 5.0
"""27 constantly changing zones cause 5.4 writes per second."""

REFRESH_SECONDS = 60.0
"""An unchanged status is rewritten, so that its age distinguishes a stable zone from a lost one."""


class StatusMalformedError(ValidationError):
    """An object below status/ does not contain a valid zone status."""


class VersionStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the rollout of one version of a service in one zone."""

    serving: tuple[InstanceId, ...] = ()
    failed: dict[InstanceId, str] = {}
    """Failure reasons by instance whose engine could not load the version."""
    halted: bool = False


class ZoneStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the processes and services of a zone for operators."""

    zone: ZoneId
    processes: dict[InstanceId, Generation]
    """The active generation by instance, as known from gossip."""
    services: dict[ServiceName, dict[Digest, VersionStatus]]
    written_by: InstanceId = InstanceId("")
    written_at_seconds: float = 0.0
    """Unix time according to the writer's clock."""

    @classmethod
    def from_json(cls, content: bytes) -> "ZoneStatus":
        """Decode a status from JSON.

        Raises StatusMalformedError if the content is invalid.
        """
        try:
            return msgspec.json.decode(content, type=cls)
        except DECODE_ERRORS as error:
            raise StatusMalformedError(f"the status of a zone is malformed: {error}") from error

    def to_json(self) -> bytes:
        """Encode the status with sorted keys."""
        return msgspec.json.encode(self, order="deterministic")

    def outdated_processes(self, generation: Generation) -> dict[InstanceId, Generation]:
        """Return the processes whose active generation is older than the given one."""
        return {i: g for i, g in sorted(self.processes.items()) if g < generation}


def summarize_zone(
    zone: ZoneId,
    members: Mapping[InstanceId, tuple[Member, Generation]],
    *,
    halt_after_failures: Mapping[ServiceName, int],
) -> ZoneStatus:
    """Summarize the members that are not considered dead."""
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
    """Deliver this process's view of the zone, including itself."""

    status: ZoneStatus
    unix_seconds: float


class WriteEnded(msgspec.Struct, frozen=True, kw_only=True):
    """Report the result of a write; a lost answer counts as a failure and is retried."""

    written: bool


class WriteStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Write an object to the store unconditionally."""

    key: str
    content: bytes


StatusMessage = ZoneObserved | WriteEnded


class StatusReporter:
    """Write a zone's status while this process ranks highest in it.

    Two members that disagree on the ranking may both write for a short time. Each status is valid
    in its writer's view of the zone, so the last write wins and no conditional update is needed.
    """

    def __init__(self, *, instance_id: InstanceId, zone: ZoneId) -> None:
        """Initialize without a written status."""
        self._instance_id = instance_id
        self._zone = zone
        self._written: ZoneStatus | None = None
        self._pending: ZoneStatus | None = None
        self._next_write_seconds = float("-inf")
        self._refresh_at_seconds = float("-inf")
        self._writes = 0

    @singledispatchmethod
    def handle(self, message: StatusMessage, *, now_seconds: float) -> list[WriteStatus]:
        """Process one message and return the write to execute, if any."""
        raise TypeError(f"unexpected message {type(message).__name__}")

    @handle.register
    def _observed(self, message: ZoneObserved, *, now_seconds: float) -> list[WriteStatus]:
        status = message.status
        if not self._is_writer(status.processes):
            self._written = None
            return []
        if self._pending is not None or now_seconds < self._next_write_seconds:
            return []
        if status == self._written and now_seconds < self._refresh_at_seconds:
            return []
        self._pending = status
        self._next_write_seconds = now_seconds + WRITE_SECONDS
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
