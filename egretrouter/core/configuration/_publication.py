"""Implement the state machine that publishes one collection of files."""

import random
from functools import singledispatchmethod
from typing import Any

import msgspec

from egretrouter.core.configuration._collection import FileCollection
from egretrouter.core.configuration._configuration import ConfigurationError, ConfigurationIndex
from egretrouter.core.configuration._messages import Tick
from egretrouter.core.eras import lowest_number
from egretrouter.core.errors import EgretrouterError, PublishConflictError
from egretrouter.core.identifiers import Digest, Generation, PublicationId

INDEX_KEY = "configuration/index"
PART_KEY_PREFIX = "configuration/parts/"
REMEMBERED_PUBLICATIONS = 16
"""A lost answer can be settled while fewer publications than this have followed."""

MAXIMUM_ATTEMPTS = 8
FIRST_BACKOFF_SECONDS = 0.2
MAXIMUM_BACKOFF_SECONDS = 5.0


class PublicationFailedError(EgretrouterError):
    """The publication failed before the index was updated."""


class PublicationUnsettledError(EgretrouterError):
    """The index may have been updated; publishing again is safe."""


class Begin(msgspec.Struct, frozen=True, kw_only=True):
    """Start the publication by reading the index."""


class IndexRead(msgspec.Struct, frozen=True, kw_only=True):
    """Deliver the stored index; version 0 means that there is none."""

    content: bytes | None
    version: int
    era: int = 0
    """The store's era, 0 if it tells none."""


class PartStored(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a part exists, whether it was created now or earlier."""

    digest: Digest


class IndexUpdated(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the conditional update of the index took effect."""


class IndexConflicted(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the index was not at the expected version."""


class AnswerLost(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the last command failed or got no answer; a write may have taken effect."""

    reason: str


PublicationMessage = (
    Begin | IndexRead | PartStored | IndexUpdated | IndexConflicted | AnswerLost | Tick
)


class ReadIndex(msgspec.Struct, frozen=True, kw_only=True):
    """Read the index; answered by IndexRead or AnswerLost."""


class CreatePart(msgspec.Struct, frozen=True, kw_only=True):
    """Create an object if it is absent; answered by PartStored or AnswerLost."""

    key: str
    digest: Digest
    content: bytes


class UpdateIndex(msgspec.Struct, frozen=True, kw_only=True):
    """Write the index if its version is as expected.

    Answered by IndexUpdated, IndexConflicted or AnswerLost.
    """

    content: bytes
    expected_version: int


class PublicationSucceeded(msgspec.Struct, frozen=True, kw_only=True):
    """Report the generation that contains the published files."""

    generation: Generation
    created: bool
    """False if the stored generation already had the same files."""


class PublicationFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the publication failed, with the error to raise."""

    error: EgretrouterError


PublicationCommand = ReadIndex | CreatePart | UpdateIndex | PublicationSucceeded | PublicationFailed


class Publication:
    """Publish one collection as a new generation, unless the latest has the same files."""

    def __init__(
        self, *, collection: FileCollection, publication_id: PublicationId, rng: random.Random
    ) -> None:
        """Initialize a publication; its id must be unique."""
        self._collection = collection
        self._publication_id = publication_id
        self._rng = rng
        self._finished = False
        self._update_sent = False
        self._conflicted = False
        self._attempts = 0
        self._retry_at_seconds: float | None = None
        self._base: ConfigurationIndex | None = None
        self._base_version = 0
        self._era = 0
        self._unstored: list[Digest] = []

    def snapshot(self) -> dict[str, Any]:
        """Return values for the state dump."""
        return {
            "publication_id": self._publication_id,
            "finished": self._finished,
            "update_sent": self._update_sent,
            "attempts": self._attempts,
            "unstored_parts": len(self._unstored),
        }

    @singledispatchmethod
    def handle(
        self, message: PublicationMessage, *, now_seconds: float
    ) -> list[PublicationCommand]:
        """Process one message and return the commands to execute."""
        raise TypeError(f"unexpected message {type(message).__name__}")

    @handle.register
    def _begin(self, message: Begin, *, now_seconds: float) -> list[PublicationCommand]:
        return [ReadIndex()]

    @handle.register
    def _index_read(self, message: IndexRead, *, now_seconds: float) -> list[PublicationCommand]:
        if self._finished:
            return []
        try:
            index = ConfigurationIndex.from_json(message.content) if message.content else None
        except ConfigurationError as error:
            return self._fail(error)
        is_of_new_era = index is not None and index.generation > lowest_number(message.era)
        if message.era > self._era and not is_of_new_era:
            # The store may have lost the parts of this publication, and its update.
            self._update_sent = self._conflicted = False
        self._era = message.era
        settled = self._settle_outcome(index)
        if settled:
            return settled
        if self._conflicted and index is not None:
            return self._fail(PublishConflictError(generation=index.generation))
        if self._update_sent and message.version != self._base_version and index is not None:
            return self._fail(PublishConflictError(generation=index.generation))
        self._base, self._base_version = index, message.version
        known = set(index.parts.values()) if index else set()
        if not self._update_sent:
            self._unstored = sorted(set(self._collection.parts.values()) - known)
        return self._next_step()

    @handle.register
    def _part_stored(self, message: PartStored, *, now_seconds: float) -> list[PublicationCommand]:
        if self._finished or not self._unstored or self._unstored[0] != message.digest:
            return []
        del self._unstored[0]
        self._attempts = 0
        return self._next_step()

    @handle.register
    def _index_updated(
        self, message: IndexUpdated, *, now_seconds: float
    ) -> list[PublicationCommand]:
        return [] if self._finished else self._succeed(self._next_index().generation, created=True)

    @handle.register
    def _index_conflicted(
        self, message: IndexConflicted, *, now_seconds: float
    ) -> list[PublicationCommand]:
        # The cause may be an earlier update whose answer was lost, so the index is read again.
        self._conflicted = True
        return [] if self._finished else [ReadIndex()]

    @handle.register
    def _answer_lost(self, message: AnswerLost, *, now_seconds: float) -> list[PublicationCommand]:
        if self._finished:
            return []
        self._attempts += 1
        if self._attempts >= MAXIMUM_ATTEMPTS:
            kind = PublicationUnsettledError if self._update_sent else PublicationFailedError
            return self._fail(
                kind(f"publication failed after {self._attempts} attempts: {message.reason}")
            )
        delay = min(FIRST_BACKOFF_SECONDS * 2**self._attempts, MAXIMUM_BACKOFF_SECONDS)
        self._retry_at_seconds = now_seconds + delay * (0.5 + self._rng.random() / 2)
        return []

    @handle.register
    def _tick(self, message: Tick, *, now_seconds: float) -> list[PublicationCommand]:
        if self._finished or self._retry_at_seconds is None:
            return []
        if now_seconds < self._retry_at_seconds:
            return []
        self._retry_at_seconds = None
        if self._unstored:
            return self._next_step()
        return [ReadIndex()]

    def _settle_outcome(self, index: ConfigurationIndex | None) -> list[PublicationCommand]:
        """Return success if this publication, or one of the same files, took effect."""
        if index is None:
            return []
        history = (index.publication_id, *index.earlier_publications)
        if self._publication_id in history:
            generation = index.generation - history.index(self._publication_id)
            return self._succeed(Generation(generation), created=True)
        if index.parts == self._collection.parts and index.generation > lowest_number(self._era):
            return self._succeed(index.generation, created=False)
        return []

    def _next_step(self) -> list[PublicationCommand]:
        if self._unstored:
            digest = self._unstored[0]
            content = self._collection.contents[digest]
            return [CreatePart(key=PART_KEY_PREFIX + digest, digest=digest, content=content)]
        self._update_sent = True
        content = self._next_index().to_json()
        return [UpdateIndex(content=content, expected_version=self._base_version)]

    def _next_index(self) -> ConfigurationIndex:
        base = self._base
        latest = base.generation if base else 0
        # The store may have lost later generations of an earlier era, which processes apply.
        lowest = lowest_number(self._era)
        earlier = (base.publication_id, *base.earlier_publications) if base else ()
        if latest < lowest:
            # The places in this list count back from the generation, so it can't span a gap.
            earlier = ()
        return ConfigurationIndex(
            generation=Generation(max(latest, lowest) + 1),
            publication_id=self._publication_id,
            parts=self._collection.parts,
            earlier_publications=earlier[:REMEMBERED_PUBLICATIONS],
        )

    def _succeed(self, generation: Generation, *, created: bool) -> list[PublicationCommand]:
        self._finished = True
        return [PublicationSucceeded(generation=generation, created=created)]

    def _fail(self, error: EgretrouterError) -> list[PublicationCommand]:
        self._finished = True
        return [PublicationFailed(error=error)]
