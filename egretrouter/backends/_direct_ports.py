"""Define the ports of a platform where routers reach endpoints directly."""

from collections.abc import Mapping
from enum import Enum
from typing import Protocol

import msgspec
from multidict import CIMultiDict

from egretrouter.core.direct import (
    Endpoint,
    FleetMember,
    LoadReport,
    RoutingTable,
    WeightVersion,
)
from egretrouter.core.errors import BackendError, ValidationError
from egretrouter.core.identifiers import ChunkIndex, EndpointId, ModelName, WorkspaceId


class HistoryGoneError(BackendError):
    """The store no longer has the changes since a revision; list the objects again."""


class CallHeadersError(ValidationError):
    """A caller's headers are malformed."""


class StateKind(Enum):
    """Name the kinds of shared state that the store holds."""

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    WEIGHTS = "weights"


StateItem = RoutingTable | Endpoint | WeightVersion


class StateEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that an object was changed, or removed if it has no item.

    An entry that can't be read counts as removed: it names nothing to use.
    """

    name: str
    item: StateItem | None


class StateListing(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all objects of a kind."""

    items: tuple[StateItem, ...]
    revision: int
    """The store's revision, from which changes follow."""
    content_revision: int
    """The revision of the newest object."""


class StateChanges(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the changes of a kind since a revision."""

    events: tuple[StateEvent, ...]
    revision: int


class StateStore(Protocol):
    """Read and watch the shared state, and register processes."""

    async def list_state(self, kind: StateKind) -> StateListing:
        """Read all objects of a kind.

        Raises BackendUnavailableError or RateLimitedError.
        """

    async def watch_state(
        self, kind: StateKind, *, after_revision: int, wait_seconds: float
    ) -> StateChanges:
        """Wait for changes of a kind; none may have come when the wait ends.

        Raises HistoryGoneError, BackendUnavailableError or RateLimitedError.
        """

    async def register(self, member: FleetMember) -> None:
        """Enter this process into the list of processes.

        Raises BackendError.
        """

    async def list_members(self) -> list[FleetMember]:
        """Read the list of processes, which holds some that are gone.

        Raises BackendUnavailableError or RateLimitedError.
        """


class CallHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a caller's headers say."""

    call_id: str
    deadline_seconds: float | None = None
    key: str | None = None
    model: ModelName | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    """The longest answer that the caller takes."""
    expected_answer_tokens: int = 0
    resume_after: str | None = None
    """The id of the last event that the caller has."""


class SendHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the system itself tells an endpoint about a call."""

    endpoint_id: EndpointId
    deadline_seconds: float
    workspace: WorkspaceId | None = None
    resume_after: str | None = None
    exact_version: int | None = None
    priority: int | None = None


class AnswerHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what an endpoint's headers say."""

    call_id: str | None
    has_receipt: bool
    """Whether the endpoint vouches for the answer."""
    not_run: bool
    """Whether the endpoint states that the call did not run and will not."""
    load: LoadReport | None = None
    version: int | None = None


class CallDialect(Protocol):
    """Translate the headers of calls."""

    def read_call(self, headers: Mapping[str, str]) -> CallHeaders:
        """Read a caller's headers.

        Raises CallHeadersError.
        """

    def request_headers(self, headers: CIMultiDict[str], send: SendHeaders) -> CIMultiDict[str]:
        """Return the headers for an endpoint from those of the caller."""

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHeaders:
        """Read an endpoint's headers."""

    def response_headers(self, headers: CIMultiDict[str]) -> CIMultiDict[str]:
        """Return the headers for the caller from those of the endpoint."""

    def local_answer_headers(self, call: CallHeaders) -> CIMultiDict[str]:
        """Return the headers that an answer of the system itself carries."""


class OrderAnswer(Enum):
    """Name how an engine answers an order."""

    ACCEPTED = "accepted"
    IN_EFFECT = "in_effect"
    CONFLICT = "conflict"
    REFUSED = "refused"


class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what an engine says of itself on its own instance."""

    load: LoadReport
    busy: bool
    orders: int
    """How many orders it accepted since its start."""


class StagedEngine(Protocol):
    """Give orders to the engine on the own instance, and stage weights for it."""

    async def state(self) -> EngineState:
        """Ask the engine for its state.

        Raises BackendUnavailableError.
        """

    async def stage(self, model: ModelName, index: ChunkIndex, content: bytes) -> None:
        """Put a chunk where the engine loads from.

        Raises BackendError.
        """

    async def read_staged(self, model: ModelName, index: ChunkIndex) -> bytes | None:
        """Read a staged chunk back; None if it is missing.

        Raises BackendUnavailableError.
        """

    async def load(
        self, model: ModelName, version: int, *, orders: int, interrupt: bool
    ) -> OrderAnswer:
        """Order the engine to load what is staged.

        Calls in progress end first unless they are to be interrupted. Raises LostAnswerError or
        BackendUnavailableError.
        """
