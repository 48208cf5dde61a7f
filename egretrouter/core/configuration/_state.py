"""Decide which generation of the configuration a process has in force."""

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
from egretrouter.core.membership._ranking import highest_ranked

NO_GENERATION = Generation(0)
WATCHERS_PER_ZONE = 2
SURVEYED_PEERS = 3
MAXIMUM_SOURCES = 4
MAXIMUM_PARTS = 4096
MAXIMUM_CONFIGURATION_BYTES = 24 * 1024**2
"""Two generations may be held at once; both must fit into a node's 128 MB."""

REQUEST_TIMEOUT_SECONDS = 2.0
JOIN_SECONDS = 1.0
FIRST_RETRY_SECONDS = 0.5
LONGEST_RETRY_SECONDS = 15.0
MAXIMUM_PART_ATTEMPTS = 8
REJECTED_SECONDS = 30.0
"""A rejected generation is not fetched again for this time; a higher one is at once."""


class ConfigurationState:
    """Apply generations whole or not at all, and only higher ones."""

    def __init__(self, *, instance_id: InstanceId, zone: ZoneId, rng: random.Random) -> None:
        """Start without a configuration."""
        self._instance_id = instance_id
        self._zone = zone
        self._rng = rng
        self._in_force: Configuration | None = None
        self._contents: dict[Digest, bytes] = {}
        self._pending: ConfigurationIndex | None = None
        self._pending_contents: dict[Digest, bytes] = {}
        self._sources: list[InstanceId] = []
        self._parts_source: InstanceId | None = None
        self._parts_deadline_seconds = 0.0
        self._parts_retry_seconds = 0.0
        self._part_attempts = 0
        self._shown_by_store = False
        self._rejected_generation = NO_GENERATION
        self._rejected_until_seconds = float("-inf")
        self._hints: dict[InstanceId, Generation] = {}
        self._index_source: InstanceId | None = None
        self._index_deadline_seconds = 0.0
        self._survey: Survey | None = None
        self._next_start_seconds = float("-inf")
        self._start_delay_seconds = FIRST_RETRY_SECONDS
        self._members: tuple[InstanceId, ...] = ()
        self._watching = False
        self._corrupted_parts = 0

    @property
    def generation(self) -> Generation:
        """Return the generation in force, or 0."""
        return self._in_force.generation if self._in_force else NO_GENERATION

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return self._in_force

    def get_part(self, digest: Digest) -> bytes | None:
        """Return a verified part, to be served to a peer."""
        return self._contents.get(digest) or self._pending_contents.get(digest)

    def snapshot(self) -> dict[str, Any]:
        """Return values for the state dump."""
        return {
            "generation": self.generation,
            "pending_generation": self._pending.generation if self._pending else None,
            "missing_parts": len(self._missing()),
            "sources": list(self._sources),
            "hints": dict(self._hints),
            "watching": self._watching,
            "surveying": sorted(self._survey.waiting) if self._survey else None,
            "corrupted_parts": self._corrupted_parts,
            "content_bytes": sum(map(len, self._contents.values())),
        }

    @singledispatchmethod
    def handle(
        self, message: ConfigurationMessage, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        """Handle one message and return the commands that follow from it."""
        raise TypeError(f"unexpected message {type(message).__name__}")

    @handle.register
    def _index_seen(
        self, message: IndexReceived, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        if self._survey is not None:
            self._survey.add(message)
            return self._finish_survey(now_seconds)
        if message.source == self._index_source:
            self._index_source = None
        self._hints.pop(message.source, None)
        return self._consider(message, now_seconds) + self._follow_hints(now_seconds)

    @handle.register
    def _index_failed(
        self, message: IndexFailed, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        self._hints.pop(message.source, None)
        if self._survey is not None:
            self._survey.waiting.discard(message.source)
            commands = self._finish_survey(now_seconds)
            if commands:
                return commands
        elif message.source == STORE_SOURCE:
            return self._ask_peers(now_seconds)
        if message.source == self._index_source:
            self._index_source = None
        return self._follow_hints(now_seconds)

    @handle.register
    def _part_received(
        self, message: PartReceived, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        if self._pending is None or message.digest not in self._missing():
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
        return self._follow_hints(now_seconds)

    @handle.register
    def _zone_members_changed(
        self, message: ZoneMembersChanged, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        self._members = message.members
        commands = self._ask_joined_peers()
        on_duty = self._instance_id in select_watchers(self._zone, message.members)
        if on_duty == self._watching:
            return commands
        self._watching = on_duty
        return [*commands, StartWatch() if on_duty else StopWatch()]

    def _ask_joined_peers(self) -> list[ConfigurationCommand]:
        """Ask the first peers that a process meets while it has no configuration."""
        survey = self._survey
        if survey is None or survey.join_until_seconds == float("-inf"):
            return []
        asked = self._survey_peers(survey)
        if asked:
            survey.join_until_seconds = float("-inf")
        return asked

    @handle.register
    def _store_silent(
        self, message: StoreUnresponsive, *, now_seconds: float
    ) -> list[ConfigurationCommand]:
        if self._survey is not None:
            self._survey.waiting.discard(STORE_SOURCE)
            return self._finish_survey(now_seconds)
        return self._ask_peers(now_seconds)

    @handle.register
    def _tick(self, message: Tick, *, now_seconds: float) -> list[ConfigurationCommand]:
        commands: list[ConfigurationCommand] = []
        commands += self._finish_survey(now_seconds)
        if self._index_source is not None and now_seconds >= self._index_deadline_seconds:
            self._hints.pop(self._index_source, None)
            self._index_source = None
        commands += self._follow_hints(now_seconds)
        if self._parts_source is not None and now_seconds >= self._parts_deadline_seconds:
            commands += self._parts_source_failed(self._parts_source, now_seconds)
        elif self._parts_source is None and now_seconds >= self._parts_retry_seconds:
            commands += self._request_parts(now_seconds)
        return commands + self._start(now_seconds)

    def _start(self, now_seconds: float) -> list[ConfigurationCommand]:
        if (
            self._in_force
            or self._pending
            or self._survey
            or now_seconds < self._next_start_seconds
        ):
            return []
        delay = self._start_delay_seconds
        self._next_start_seconds = now_seconds + delay * (1 + self._rng.random())
        self._start_delay_seconds = min(delay * 2, LONGEST_RETRY_SECONDS)
        # The store may answer with an older index than the one that was in force here, so peers are
        # asked as well and the highest generation counts.
        survey = self._survey = Survey(
            waiting={STORE_SOURCE}, deadline_seconds=now_seconds + REQUEST_TIMEOUT_SECONDS
        )
        asked = self._survey_peers(survey)
        if not asked and delay == FIRST_RETRY_SECONDS:
            survey.join_until_seconds = now_seconds + JOIN_SECONDS
        return [RequestIndex(source=STORE_SOURCE), *asked]

    def _ask_peers(self, now_seconds: float) -> list[ConfigurationCommand]:
        if self._in_force or self._pending or self._survey:
            return []
        survey = Survey(waiting=set(), deadline_seconds=now_seconds + REQUEST_TIMEOUT_SECONDS)
        asked = self._survey_peers(survey)
        self._survey = survey if asked else None
        return asked

    def _survey_peers(self, survey: Survey) -> list[ConfigurationCommand]:
        peers = [member for member in self._members if member != self._instance_id]
        asked = self._rng.sample(peers, min(SURVEYED_PEERS, len(peers)))
        survey.waiting.update(asked)
        return [RequestIndex(source=peer) for peer in asked]

    def _finish_survey(self, now_seconds: float) -> list[ConfigurationCommand]:
        survey = self._survey
        if survey is None or not survey.is_over(now_seconds):
            return []
        self._survey = None
        return self._consider(survey.best, now_seconds) if survey.best else []

    def _known_generation(self) -> Generation:
        pending = self._pending.generation if self._pending else NO_GENERATION
        return max(self.generation, pending)

    def _consider(self, seen: IndexReceived, now_seconds: float) -> list[ConfigurationCommand]:
        index = seen.index
        if not self._is_wanted(index) or self._is_rejected(index.generation, now_seconds):
            return []
        if self._pending is not None and index.generation == self._pending.generation:
            if index == self._pending:
                self._add_source(seen.source)
                self._shown_by_store |= seen.source == STORE_SOURCE
                return []
            # One generation has one index; the store decides if a peer shows another.
            if seen.source != STORE_SOURCE:
                return []
        if len(index.parts) > MAXIMUM_PARTS:
            return [
                RejectGeneration(
                    generation=index.generation,
                    source=seen.source,
                    reason=f"{len(index.parts)} parts exceed the limit of {MAXIMUM_PARTS}",
                )
            ]
        wanted = set(index.parts.values())
        self._pending = index
        self._pending_contents = {d: c for d, c in self._pending_contents.items() if d in wanted}
        self._sources = [seen.source]
        self._shown_by_store = seen.source == STORE_SOURCE
        self._parts_source = None
        self._part_attempts = 0
        return self._apply_if_complete(now_seconds) or self._request_parts(now_seconds)

    def _is_wanted(self, index: ConfigurationIndex) -> bool:
        return index.generation > self.generation and index.generation >= self._known_generation()

    def _is_rejected(self, generation: Generation, now_seconds: float) -> bool:
        return (
            generation == self._rejected_generation and now_seconds < self._rejected_until_seconds
        )

    def _follow_hints(self, now_seconds: float) -> list[ConfigurationCommand]:
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

    def _missing(self) -> list[Digest]:
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
        missing = self._missing()
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
        # The store creates parts before the index, so an index that it showed is worth waiting for.
        if self._part_attempts >= MAXIMUM_PART_ATTEMPTS and not self._shown_by_store:
            self._sources = self._sources or [source]
            return self._reject(f"{len(self._missing())} parts could not be fetched", now_seconds)
        self._sources.remove(source)
        if STORE_SOURCE not in (source, *self._sources):
            self._sources.append(STORE_SOURCE)
        self._sources.append(source)
        delay = min(FIRST_RETRY_SECONDS * 2**self._part_attempts, LONGEST_RETRY_SECONDS)
        if self._part_attempts < len(self._sources):
            return self._request_parts(now_seconds)
        self._parts_retry_seconds = now_seconds + delay * (0.5 + self._rng.random() / 2)
        return []

    def _reject(self, reason: str, now_seconds: float) -> list[ConfigurationCommand]:
        """Drop the pending generation, so that another one can be put in force."""
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
        if self._pending is None or self._missing():
            return []
        contents = {**self._contents, **self._pending_contents}
        try:
            configuration = assemble(self._pending, contents)
        except (ConfigurationError, PydanticError) as error:
            return self._reject(str(error), now_seconds)
        self._in_force = configuration
        self._contents = {d: contents[d] for d in configuration.index.parts.values()}
        self._pending = None
        self._pending_contents = {}
        self._sources = []
        self._parts_source = None
        return [
            ApplyConfiguration(configuration=configuration),
            AnnounceGeneration(generation=configuration.generation),
            *self._follow_hints(now_seconds),
        ]


def select_watchers(zone: ZoneId, members: Iterable[InstanceId]) -> list[InstanceId]:
    """Return the members of a zone that hold a watch on the index."""
    return highest_ranked(f"configuration-watch/{zone}", members, WATCHERS_PER_ZONE)
