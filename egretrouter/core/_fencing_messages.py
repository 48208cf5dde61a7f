"""Define the messages and commands of the order lease."""

from typing import Annotated

import msgspec

from egretrouter.core.errors import OrderError
from egretrouter.core.identifiers import Epoch, InstanceId


class FencingRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record in the store which agent may give orders to an endpoint, and its fencing number."""

    number: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    instance_id: InstanceId
    life: str
    """Unique for each start of a process; shows whether a write with a lost answer took effect."""


class AcquireLease(msgspec.Struct, frozen=True, kw_only=True):
    """Request a fencing number for this agent."""


class NumberRead(msgspec.Struct, frozen=True, kw_only=True):
    """Report the record in the store; version 0 means that it does not exist."""

    content: bytes | None
    version: int
    sequence: int
    era: int = 0
    """The store's era, 0 if it tells none."""


class NumberTaken(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the conditional update took effect."""


class NumberConflicted(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the record did not have the expected version."""


class AnswerLost(msgspec.Struct, frozen=True, kw_only=True):
    """Report a lost answer or an error of the store; a write may have taken effect."""


class EndpointReported(msgspec.Struct, frozen=True, kw_only=True):
    """Report the endpoint's highest fencing number; 0 if it does not check numbers."""

    fencing_number: int = 0


class EndpointUnresponsive(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the endpoint did not answer the query."""


class OrderRequested(msgspec.Struct, frozen=True, kw_only=True):
    """Request permission to give one order."""

    order_id: str


class StaleOrderRejected(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the endpoint refused an order because it has a higher number."""


class EraBegun(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the store came back from a copy, which may lack this agent's number."""

    era: int


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """Advance the clock; sent about five times a second."""


LeaseMessage = (
    AcquireLease
    | NumberRead
    | NumberTaken
    | NumberConflicted
    | AnswerLost
    | EndpointReported
    | EndpointUnresponsive
    | OrderRequested
    | StaleOrderRejected
    | EraBegun
    | Tick
)


class ReadNumber(msgspec.Struct, frozen=True, kw_only=True):
    """Read the record; report NumberRead with the same sequence, or AnswerLost."""

    key: str
    sequence: int


class TakeNumber(msgspec.Struct, frozen=True, kw_only=True):
    """Update a version of the record; report NumberTaken, NumberConflicted or AnswerLost."""

    key: str
    content: bytes
    expected_version: int


class QueryEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Query the endpoint's state; report EndpointReported or EndpointUnresponsive."""


class LeaseHeld(msgspec.Struct, frozen=True, kw_only=True):
    """Report the agent's epoch; the state that the endpoint reported is kept without a reload."""

    epoch: Epoch


class GiveOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Give an order with a fencing number, unless valid_until_seconds has passed."""

    order_id: str
    fencing_number: int
    valid_until_seconds: float


class RefuseOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Refuse an order with the error to raise."""

    order_id: str
    error: OrderError


class LeaseLost(msgspec.Struct, frozen=True, kw_only=True):
    """Report that another agent has a higher number; this agent gives no further orders."""

    number: int


LeaseCommand = (
    ReadNumber | TakeNumber | QueryEndpoint | LeaseHeld | GiveOrder | RefuseOrder | LeaseLost
)
