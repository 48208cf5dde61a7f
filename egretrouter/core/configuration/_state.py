"""Implement the state machine that fetches and activates generations of the configuration."""

import random
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Any

from pydantic import ValidationError as PydanticError

from egretrouter.core.configuration._configuration import (
    Configuration,
    ConfigurationError,
    ConfigurationIndex,
    assemble,
)
from egretrouter.core.configuration._messages import (
    STORE_SOURCE,
    AnnounceGeneration,
    ApplyConfiguration,
    ConfigurationCommand,
    ConfigurationMessage,
    IndexFailed,
    IndexReceived,
    PartReceived,
    PartsFailed,
    PeerGeneration,
    RejectGeneration,
    RequestIndex,
    RequestParts,
    StartWatch,
    StopWatch,
    StoreUnresponsive,
    Tick,
    ZoneMembersChanged,
)
from egretrouter.core.configuration._survey import Survey
from egretrouter.core.digests import content_digest
from egretrouter.core.identifiers import Digest, Generation, InstanceId, ZoneId
from egretrouter.core.rendezvous import highest_ranked

NO_GENERATION = Generation(0)
WATCHERS_PER_ZONE = 2
SURVEYED_PEERS = 3
MAXIMUM_SOURCES = 4
MAXIMUM_PARTS = 4096
MAXIMUM_CONFIGURATION_BYTES = 24 * 1024**2
"""Two generations may be in memory at once; both must fit into a node's 128 MB."""

REQUEST_TIMEOUT_SECONDS = 2.0
WAIT_FOR_PEERS_SECONDS = 1.0
FIRST_RETRY_SECONDS = 0.5
MAXIMUM_RETRY_SECONDS = 15.0
MAXIMUM_PART_ATTEMPTS = 8
REJECTED_SECONDS = 30.0
"""Time before a rejected generation is fetched again; a higher one is fetched immediately."""


class ConfigurationState:
    """Activate only complete generations, and only higher ones."""

    def __init__(self, *, instance_id: InstanceId, zone: ZoneId, rng: random.Random) -> None:
        """Start without a configuration."""
        self._instance_id = instance_id
        self._zone = zone
        self._rng = rng
        self._active: Configuration | None = None
        self._contents: dict[Digest, bytes] = {}
        self._pending: ConfigurationIndex | None = None
        self._pending_contents: dict[Digest, bytes] = {}
        self._sources: list[InstanceId] = []
        self._parts_source: InstanceId | None = None
        self._parts_deadline_seconds = 0.0
        self._parts_retry_seconds = 0.0
        self._part_attempts = 0
        self._pending_from_store = False
        self._rejected_generation = NO_GENERATION
        self._rejected_until_seconds = float("-inf")
        self._hints: dict[InstanceId, Generation] = {}
        self._index_source: InstanceId | None = None
        self._index_deadline_seconds = 0.0
        self._survey: Survey | None = None
        self._next_survey_seconds = float("-inf")
        self._survey_delay_seconds = FIRST_RETRY_SECONDS
        self._members: tuple[InstanceId, ...] = ()
        self._watching = False
        self._corrupted_parts = 0

    @property
    def generation(self) -> Generation:
        """Return the active generation, or 0."""
        return self._active.generation if self._active else NO_GENERATION

    @property
    def configuration(self) -> Configuration | None:
        """Return the active configuration, if any."""
        return self._active

    def get_part(self, digest: Digest) -> bytes | None:
        """Return the content of a verified part, to be served to a peer."""
        return self._contents.get(digest) or self._pending_contents.get(digest)

    def snapshot(self) -> dict[str, Any]:
        """Return values for the state dump."""
        return {
            "generation": self.generation,
            "pending_generation": self._pending.generation if self._pending else None,
            "missing_parts": len(self._missing_digests()),
            "sources": list(self._sources),
            "hints": dict(self._hints),
            "watching": self._watching,
            "surveying": sorted(self._survey.pending_sources) if self._survey else None,
            "corrupted_parts": self._corrupted_parts,
            "content_bytes": sum(map(len, self._contents.values())),
        }

    @singledispatchmethod
    def handle(
        self, message: ConfigurationMessage, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        """Process one message and return the commands to execute."""
        raise TypeError(f"unexpected message {type(message).__name__}")

    @handle.register
    def _index_received(
        self, message: IndexReceived, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        if self._survey is not None:
            self._survey.add(message)
            return self._finish_survey(now_seconds)
        if message.source == self._index_source:
            self._index_source = None
        self._hints.pop(message.source, None)
        return self._accept_index(message, now_seconds) + self._request_hinted_index(now_seconds)

    @handle.register
    def _index_failed(
        self, message: IndexFailed, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        self._hints.pop(message.source, None)
        if self._survey is not None:
            self._survey.pending_sources.discard(message.source)
            commands = self._finish_survey(now_seconds)
            if commands:
                return commands
        elif message.source == STORE_SOURCE:
            return self._start_peer_survey(now_seconds)
        if message.source == self._index_source:
            self._index_source = None
        return self._request_hinted_index(now_seconds)

    @handle.register
    def _part_received(
        self, message: PartReceived, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        if self._pending is None or message.digest not in self._missing_digests():
            return []
        if content_digest(message.content) != message.digest:
            self._corrupted_parts += 1
            return self._parts_source_failed(message.source, now_seconds)
        held = sum(map(len, self._pending_contents.values()))
        if held + len(message.content) > MAXIMUM_CONFIGURATION_BYTES:
            return self._reject(f"parts exceed {MAXIMUM_CONFIGURATION_BYTES} bytes", now_seconds)
        self._pending_contents[message.digest] = message.content
        return self._apply_if_complete(now_seconds)

    @handle.register
    def _parts_failed(
        self, message: PartsFailed, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        return self._parts_source_failed(message.source, now_seconds)

    @handle.register
    def _peer_generation(
        self, message: PeerGeneration, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        if message.generation <= self._known_generation():
            if self._pending is not None and message.generation == self._pending.generation:
                self._add_source(message.peer)
            return []
        if message.peer not in self._hints and len(self._hints) >= MAXIMUM_SOURCES:
            lowest = min(self._hints, key=lambda peer: self._hints[peer])
            if self._hints[lowest] >= message.generation:
                return []
            del self._hints[lowest]
        self._hints[message.peer] = message.generation
        return self._request_hinted_index(now_seconds)

    @handle.register
    def _zone_members_changed(
        self, message: ZoneMembersChanged, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        self._members = message.members
        commands = self._survey_first_peers()
        elected = self._instance_id in select_watchers(self._zone, message.members)
        is_watcher = elected or message.is_isolated
        if is_watcher == self._watching:
            return commands
        self._watching = is_watcher
        return [*commands, StartWatch() if is_watcher else StopWatch()]

    def _survey_first_peers(self) -> list[ConfigurationCommand]:
        """Query the first peers that become known while there is no configuration."""
        survey = self._survey
        if survey is None or survey.join_until_seconds == float("-inf"):
            return []
        requests = self._query_peers(survey)
        if requests:
            survey.join_until_seconds = float("-inf")
        return requests

    @handle.register
    def _store_unresponsive(
        self, message: StoreUnresponsive, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        if self._survey is not None:
            self._survey.pending_sources.discard(STORE_SOURCE)
            return self._finish_survey(now_seconds)
        return self._start_peer_survey(now_seconds)

    @handle.register
    def _tick(self, message: Tick, *, now_seconds: float) -> list[ConfigurationCommand]:
        commands: list[ConfigurationCommand] = []
        commands += self._finish_survey(now_seconds)
        if self._index_source is not None and now_seconds >= self._index_deadline_seconds:
            self._hints.pop(self._index_source, None)
            self._index_source = None
        commands += self._request_hinted_index(now_seconds)
        if self._parts_source is not None and now_seconds >= self._parts_deadline_seconds:
            commands += self._parts_source_failed(self._parts_source, now_seconds)
        elif self._parts_source is None and now_seconds >= self._parts_retry_seconds:
            commands += self._request_parts(now_seconds)
        return commands + self._start_survey(now_seconds)

    def _start_survey(self, now_seconds: float) -> list[ConfigurationCommand]:
        if self._active or self._pending or self._survey or now_seconds < self._next_survey_seconds:
            return []
        delay = self._survey_delay_seconds
        self._next_survey_seconds = now_seconds + delay * (1 + self._rng.random())
        self._survey_delay_seconds = min(delay * 2, MAXIMUM_RETRY_SECONDS)
        # The store may return an older index than the one that was active here before a restart,
        # so peers are queried as well and the highest generation is used.
        survey = self._survey = Survey(
            pending_sources={STORE_SOURCE}, deadline_seconds=now_seconds + REQUEST_TIMEOUT_SECONDS
        )
        requests = self._query_peers(survey)
        if not requests and delay == FIRST_RETRY_SECONDS:
            survey.join_until_seconds = now_seconds + WAIT_FOR_PEERS_SECONDS
        return [RequestIndex(source=STORE_SOURCE), *requests]

    def _start_peer_survey(self, now_seconds: float) -> list[ConfigurationCommand]:
        if self._active or self._pending or self._survey:
            return []
        survey = Survey(
            pending_sources=set(), deadline_seconds=now_seconds + REQUEST_TIMEOUT_SECONDS
        )
        requests = self._query_peers(survey)
        self._survey = survey if requests else None
        return requests

    def _query_peers(self, survey: Survey) -> list[ConfigurationCommand]:
        peers = [member for member in self._members if member != self._instance_id]
        selected = self._rng.sample(peers, min(SURVEYED_PEERS, len(peers)))
        survey.pending_sources.update(selected)
        return [RequestIndex(source=peer) for peer in selected]

    def _finish_survey(self, now_seconds: float) -> list[ConfigurationCommand]:
        survey = self._survey
        if survey is None or not survey.is_finished(now_seconds):
            return []
        self._survey = None
        return self._accept_index(survey.best, now_seconds) if survey.best else []

    def _known_generation(self) -> Generation:
        pending = self._pending.generation if self._pending else NO_GENERATION
        return max(self.generation, pending)

    def _accept_index(
        self, received: IndexReceived, now_seconds: float
    ) -> list[ConfigurationCommand]:
        index = received.index
        if not self._is_newer(index) or self._is_rejected(index.generation, now_seconds):
            return []
        if self._pending is not None and index.generation == self._pending.generation:
            if index == self._pending:
                self._add_source(received.source)
                self._pending_from_store |= received.source == STORE_SOURCE
                return []
            # A generation has exactly one index; if sources disagree, the store is authoritative.
            if received.source != STORE_SOURCE:
                return []
        if len(index.parts) > MAXIMUM_PARTS:
            return [
                RejectGeneration(
                    generation=index.generation,
                    source=received.source,
                    reason=f"{len(index.parts)} parts exceed the limit of {MAXIMUM_PARTS}",
                )
            ]
        wanted = set(index.parts.values())
        self._pending = index
        self._pending_contents = {d: c for d, c in self._pending_contents.items() if d in wanted}
        self._sources = [received.source]
        self._pending_from_store = received.source == STORE_SOURCE
        self._parts_source = None
        self._part_attempts = 0
        return self._apply_if_complete(now_seconds) or self._request_parts(now_seconds)

    def _is_newer(self, index: ConfigurationIndex) -> bool:
        return index.generation > self.generation and index.generation >= self._known_generation()

    def _is_rejected(self, generation: Generation, now_seconds: float) -> bool:
        return (
            generation == self._rejected_generation and now_seconds < self._rejected_until_seconds
        )

    def _request_hinted_index(self, now_seconds: float) -> list[ConfigurationCommand]:
        known = self._known_generation()
        self._hints = {
            peer: generation
            for peer, generation in self._hints.items()
            if generation > known and not self._is_rejected(generation, now_seconds)
        }
        if self._index_source is not None or self._survey is not None or not self._hints:
            return []
        peer = max(self._hints, key=lambda p: self._hints[p])
        self._index_source = peer
        self._index_deadline_seconds = now_seconds + REQUEST_TIMEOUT_SECONDS
        return [RequestIndex(source=peer)]

    def _missing_digests(self) -> list[Digest]:
        if self._pending is None:
            return []
        held = (self._contents, self._pending_contents)
        return sorted(
            {d for d in self._pending.parts.values() if d not in held[0] and d not in held[1]}
        )

    def _add_source(self, source: InstanceId) -> None:
        if source not in self._sources and len(self._sources) < MAXIMUM_SOURCES:
            self._sources.append(source)

    def _request_parts(self, now_seconds: float) -> list[ConfigurationCommand]:
        missing = self._missing_digests()
        if not missing or not self._sources:
            return []
        self._parts_source = self._sources[0]
        self._parts_deadline_seconds = now_seconds + REQUEST_TIMEOUT_SECONDS
        return [RequestParts(source=self._parts_source, digests=tuple(missing))]

    def _parts_source_failed(
        self, source: InstanceId, now_seconds: float
    ) -> list[ConfigurationCommand]:
        if self._pending is None or source != self._parts_source:
            return []
        self._parts_source = None
        self._part_attempts += 1
        # Parts are stored before the index, so all parts of an index read from the store exist and
        # fetching them is retried without limit.
        if self._part_attempts >= MAXIMUM_PART_ATTEMPTS and not self._pending_from_store:
            self._sources = self._sources or [source]
            return self._reject(
                f"{len(self._missing_digests())} parts could not be fetched", now_seconds
            )
        self._sources.remove(source)
        if STORE_SOURCE not in (source, *self._sources):
            self._sources.append(STORE_SOURCE)
        self._sources.append(source)
        delay = min(FIRST_RETRY_SECONDS * 2**self._part_attempts, MAXIMUM_RETRY_SECONDS)
        if self._part_attempts < len(self._sources):
            return self._request_parts(now_seconds)
        self._parts_retry_seconds = now_seconds + delay * (0.5 + self._rng.random() / 2)
        return []

    def _reject(self, reason: str, now_seconds: float) -> list[ConfigurationCommand]:
        """Drop the pending generation, so that another one can be activated."""
        pending, self._pending = self._pending, None
        source = self._sources[0] if self._sources else STORE_SOURCE
        self._pending_contents = {}
        self._sources = []
        self._parts_source = None
        if pending is None:
            return []
        self._rejected_generation = pending.generation
        self._rejected_until_seconds = now_seconds + REJECTED_SECONDS
        return [RejectGeneration(generation=pending.generation, source=source, reason=reason)]

    def _apply_if_complete(self, now_seconds: float) -> list[ConfigurationCommand]:
        if self._pending is None or self._missing_digests():
            return []
        contents = {**self._contents, **self._pending_contents}
        try:
            configuration = assemble(self._pending, contents)
        except (ConfigurationError, PydanticError) as error:
            return self._reject(str(error), now_seconds)
        self._active = configuration
        self._contents = {d: contents[d] for d in configuration.index.parts.values()}
        self._pending = None
        self._pending_contents = {}
        self._sources = []
        self._parts_source = None
        return [
            ApplyConfiguration(configuration=configuration),
            AnnounceGeneration(generation=configuration.generation),
            *self._request_hinted_index(now_seconds),
        ]


def select_watchers(zone: ZoneId, members: Iterable[InstanceId]) -> list[InstanceId]:
    """Return the members of a zone that watch the index in the store."""
    return highest_ranked(f"configuration-watch/{zone}", members, WATCHERS_PER_ZONE)
