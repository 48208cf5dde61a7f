"""Define the messages and commands of the order lease."""

import msgspec

from egretrouter.core.errors import OrderError
from egretrouter.core.identifiers import Epoch, InstanceId


class FencingRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the store knows about the agent that gives orders to an endpoint."""

    number: int
    instance_id: InstanceId
    life: str
    """Unique for each start of a process, so that a lost answer can be settled."""


class Begin(msgspec.Struct, frozen=True, kw_only=True):
    """Begin to take a fencing number."""


class NumberRead(msgspec.Struct, frozen=True, kw_only=True):
    """Deliver the record as the store has it; version 0 means that there is none."""

    content: bytes | None
    version: int
    sequence: int


class NumberTaken(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that the conditional update took effect."""


class NumberConflicted(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that the record was at another version than expected."""


class AnswerLost(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that the store's answer was lost or refused; a write may have taken effect."""


class EndpointReported(msgspec.Struct, frozen=True, kw_only=True):
    """Deliver the highest fencing number that the endpoint knows; 0 if it ignores numbers."""

    fencing_number: int = 0


class EndpointSilent(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that the endpoint did not report."""


class OrderWanted(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for permission to give one order."""

    order_id: str


class OrderFoundStale(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that the endpoint refused an order because it knows a higher number."""


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """Let time pass; sent about five times a second."""


LeaseMessage = (
    Begin
    | NumberRead
    | NumberTaken
    | NumberConflicted
    | AnswerLost
    | EndpointReported
    | EndpointSilent
    | OrderWanted
    | OrderFoundStale
    | Tick
)


class ReadNumber(msgspec.Struct, frozen=True, kw_only=True):
    """Read the record; answer with NumberRead of the same sequence, or AnswerLost."""

    key: str
    sequence: int


class TakeNumber(msgspec.Struct, frozen=True, kw_only=True):
    """Write the record if it is at a version; answer NumberTaken, NumberConflicted, AnswerLost."""

    key: str
    content: bytes
    expected_version: int


class AskEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the endpoint what it has loaded; answer with EndpointReported or EndpointSilent."""


class LeaseHeld(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the agent's epoch; what the endpoint reported is taken over without a reload."""

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
    """Tell that another agent has a higher number; this one gives no order any more."""

    number: int


LeaseCommand = (
    ReadNumber | TakeNumber | AskEndpoint | LeaseHeld | GiveOrder | RefuseOrder | LeaseLost
)
