"""Define the ports to a platform where routers call endpoints directly."""

from collections.abc import Mapping
from enum import Enum
from typing import Protocol

import msgspec
from multidict import CIMultiDict

from egretrouter.core.direct import (
    Endpoint,
    Evacuation,
    FleetMember,
    LoadReport,
    RoutingTable,
    StoreRevision,
    WeightVersion,
)
from egretrouter.core.errors import BackendError, ValidationError
from egretrouter.core.identifiers import (
    ChunkIndex,
    EndpointId,
    ModelName,
    PromptPartId,
    WorkspaceId,
)


class HistoryGoneError(BackendError):
    """The store has dropped changes since a revision; the caller must list the objects again."""


class CallHeadersError(ValidationError):
    """A caller's headers are malformed."""


class StateKind(Enum):
    """List the kinds of shared state in the store."""

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    WEIGHTS = "weights"
    EVACUATIONS = "evacuations"


StateItem = RoutingTable | Endpoint | WeightVersion | Evacuation


class StateEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Report a change of an object, or its removal if there is no item.

    An entry that cannot be decoded counts as removed, since nothing in it can be used.
    """

    name: str
    item: StateItem | None
    revision: int = 0
    """The store's revision of the change; 0 if it is not known."""
    malformed: bool = False
    """Whether the entry exists, though nothing in it can be used."""


class StateListing(msgspec.Struct, frozen=True, kw_only=True):
    """Carry all objects of a kind at one revision of the store."""

    items: tuple[StateItem, ...]
    revision: StoreRevision
    """Revision of the store, from which a watch must start."""
    content_revision: StoreRevision
    """Revision of the newest object."""
    malformed: tuple[str, ...] = ()
    """Names of objects that exist but can't be decoded."""


class StateChanges(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the changes of a kind since a revision."""

    events: tuple[StateEvent, ...]
    revision: StoreRevision
    """Revision of the store; the changes are complete only if its era is that of the start."""


class StateStore(Protocol):
    """Define access to the store of the shared state and of the list of processes."""

    async def list_state(self, kind: StateKind) -> StateListing:
        """List all objects of a kind.

        Raises BackendUnavailableError or RateLimitedError.
        """

    async def watch_state(
        self, kind: StateKind, *, after_revision: StoreRevision, wait_seconds: float
    ) -> StateChanges:
        """Wait for changes of a kind; the result is empty if there are none within wait_seconds.

        Raises HistoryGoneError, BackendUnavailableError or RateLimitedError.
        """

    async def register(self, member: FleetMember) -> int:
        """Add this process to the list of processes, or update its entry.

        Return the era of the store that has the entry. Raises BackendError.
        """

    async def list_members(self) -> list[FleetMember]:
        """Return the registered processes, of which some may no longer run.

        Raises BackendUnavailableError or RateLimitedError.
        """


class CallHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the parsed headers of a caller's request."""

    call_id: str
    deadline_seconds: float | None = None
    key: str | None = None
    model: ModelName | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    """Largest number of answer tokens that the caller accepts."""
    expected_answer_tokens: int = 0
    """The caller's estimate of the answer's length, right at the median; 0 if there is none."""
    resume_after: str | None = None
    """Id of the last event that the caller received."""
    shared_parts: tuple[PromptPartId, ...] = ()
    """The parts of the prompt that other calls may have too, in order."""


class SendHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the values that the router adds to the headers of a request to an endpoint."""

    endpoint_id: EndpointId
    deadline_seconds: float
    workspace: WorkspaceId | None = None
    resume_after: str | None = None
    exact_version: int | None = None
    priority: int | None = None


class AnswerHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the parsed headers of an endpoint's answer."""

    call_id: str | None
    has_receipt: bool
    """Whether the answer carries the endpoint's receipt, which proves that the endpoint sent it."""
    not_run: bool
    """Whether the endpoint states that the call has not run and never will."""
    load: LoadReport | None = None
    version: int | None = None
    limit_per_second: float | None = None
    """The rate of calls that the endpoint accepts from all routers together, if it names one."""
    leaving: bool = False
    """Whether the endpoint leaves and is to get no new calls."""
    misdirected: bool = False
    """Whether the answer may come from another endpoint than the one that the call named."""
    pause_seconds: float | None = None
    """For how long the endpoint, which turned the call away, wants no calls of this router."""
    malformed_pause: str | None = None
    """What the endpoint sent instead of such a time."""


class CallDialect(Protocol):
    """Define the translation between the platform's headers and the product's types."""

    def read_call(self, headers: Mapping[str, str]) -> CallHeaders:
        """Parse the headers of a caller's request.

        Raises CallHeadersError.
        """

    def request_headers(self, headers: CIMultiDict[str], send: SendHeaders) -> CIMultiDict[str]:
        """Return the headers to send to an endpoint, given those of the caller."""

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHeaders:
        """Parse the headers of an endpoint's answer."""

    def response_headers(self, headers: CIMultiDict[str]) -> CIMultiDict[str]:
        """Return the headers to send to the caller, given those of the endpoint."""

    def local_answer_headers(self, call: CallHeaders) -> CIMultiDict[str]:
        """Return the headers of an answer that the router generates itself."""


class OrderAnswer(Enum):
    """List the answers of an engine to a load order."""

    ACCEPTED = "accepted"
    IN_EFFECT = "in_effect"
    CONFLICT = "conflict"
    REFUSED = "refused"


class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the state that an engine reports to the agent on its instance."""

    load: LoadReport
    busy: bool
    orders: int
    """Number of load orders that the engine has accepted since its start."""

    @property
    def leaving(self) -> bool:
        """Return whether the engine leaves and is to get no new load orders."""
        return self.load.leaving


class StagedEngine(Protocol):
    """Define access to the engine on the same instance, which loads weights staged before."""

    async def state(self) -> EngineState:
        """Fetch the engine's load, busy flag and order count.

        Raises BackendUnavailableError.
        """

    async def stage(self, model: ModelName, index: ChunkIndex, content: bytes) -> None:
        """Write a chunk to the engine's staging area.

        Raises BackendError.
        """

    async def read_staged(self, model: ModelName, index: ChunkIndex) -> bytes | None:
        """Read a chunk from the staging area, or return None if it is missing.

        Raises BackendUnavailableError.
        """

    async def load(
        self, model: ModelName, version: int, *, orders: int, interrupt: bool
    ) -> OrderAnswer:
        """Order the engine to load the staged chunks.

        The engine finishes its calls first, unless interrupt is set. The order takes effect only
        if the engine has accepted `orders` orders so far. Raises LostAnswerError or
        BackendUnavailableError.
        """
