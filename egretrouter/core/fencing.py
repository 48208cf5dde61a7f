"""Decide whether an agent may give orders to its endpoint."""

import random
from enum import Enum
from functools import singledispatchmethod
from typing import Any

import msgspec

from egretrouter.core._fencing_messages import (
    AnswerLost,
    AskEndpoint,
    Begin,
    EndpointReported,
    EndpointSilent,
    FencingRecord,
    GiveOrder,
    LeaseCommand,
    LeaseHeld,
    LeaseLost,
    LeaseMessage,
    NumberConflicted,
    NumberRead,
    NumberTaken,
    OrderFoundStale,
    OrderWanted,
    ReadNumber,
    RefuseOrder,
    TakeNumber,
    Tick,
)
from egretrouter.core.errors import OrderError, StaleFencingNumberError
from egretrouter.core.identifiers import EndpointId, Epoch, InstanceId

__all__ = [
    "FENCING_KEY_PREFIX",
    "LEASE_SECONDS",
    "AnswerLost",
    "AskEndpoint",
    "Begin",
    "EndpointGuard",
    "EndpointReported",
    "EndpointSilent",
    "FencingRecord",
    "GiveOrder",
    "LeaseCommand",
    "LeaseHeld",
    "LeaseLost",
    "LeaseMessage",
    "LeaseState",
    "NumberConflicted",
    "NumberRead",
    "NumberTaken",
    "OrderFoundStale",
    "OrderLease",
    "OrderWanted",
    "ReadNumber",
    "RefuseOrder",
    "TakeNumber",
    "Tick",
]

FENCING_KEY_PREFIX = "fencing/"
LEASE_SECONDS = 5.0
"""An agent paused for longer re-reads its number before the next order."""

FIRST_BACKOFF_SECONDS = 0.2
LONGEST_BACKOFF_SECONDS = 5.0
MAXIMUM_PENDING_ORDERS = 64


class LeaseState(Enum):
    """Name the states of an order lease."""

    NEW = "new"
    TAKING = "taking"
    ASKING = "asking"
    WAITING = "waiting"
    HELD = "held"
    LOST = "lost"


class OrderLease:
    """Hold one fencing number for one endpoint, without heartbeats."""

    def __init__(
        self,
        *,
        endpoint_id: EndpointId,
        instance_id: InstanceId,
        life: str,
        checks_fencing: bool,
        rng: random.Random,
        lease_seconds: float = LEASE_SECONDS,
    ) -> None:
        """Start without a number.

        An endpoint that ignores numbers costs one read for each order, and a new agent waits
        for the lease of the one before to end.
        """
        self._key = FENCING_KEY_PREFIX + endpoint_id
        self._instance_id = instance_id
        self._life = life
        self._checks_fencing = checks_fencing
        self._rng = rng
        self._lease_seconds = lease_seconds
        self._state = LeaseState.NEW
        self._number = 0
        self._proposed = 0
        self._endpoint_number = 0
        self._waits = False
        self._ready_at_seconds = 0.0
        self._must_reread = False
        self._reading_since_seconds: float | None = None
        self._sequence = 0
        self._attempts = 0
        self._retry_at_seconds: float | None = None
        self._last_seconds: float | None = None
        self._orders: list[str] = []

    @property
    def epoch(self) -> Epoch | None:
        """Return the fencing number while it is held."""
        return Epoch(self._number) if self._state is LeaseState.HELD else None

    @property
    def is_lost(self) -> bool:
        """Tell whether another agent has a higher number."""
        return self._state is LeaseState.LOST

    def snapshot(self) -> dict[str, Any]:
        """Return values for the state dump."""
        return {
            "key": self._key,
            "state": self._state.value,
            "number": self._number,
            "checks_fencing": self._checks_fencing,
            "must_reread": self._must_reread,
            "pending_orders": len(self._orders),
        }

    def handle(self, message: LeaseMessage, *, now_seconds: float) -> list[LeaseCommand]:
        """Handle one message and return the commands that follow from it."""
        last, self._last_seconds = self._last_seconds, now_seconds
        if last is not None and now_seconds - last > self._lease_seconds:
            self._note_pause()
        if self._state is LeaseState.LOST:
            return self._refuse_when_lost(message)
        return self._dispatch(message, now_seconds=now_seconds)

    def _note_pause(self) -> None:
        """Trust neither the number nor an answer that was on its way."""
        self._must_reread = True
        if self._reading_since_seconds is not None:
            self._reading_since_seconds = float("-inf")

    def _refuse_when_lost(self, message: LeaseMessage) -> list[LeaseCommand]:
        if not isinstance(message, OrderWanted):
            return []
        return [self._refusal(message.order_id)]

    @singledispatchmethod
    def _dispatch(self, message: LeaseMessage, *, now_seconds: float) -> list[LeaseCommand]:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_dispatch.register
    def _begin(self, message: Begin, *, now_seconds: float) -> list[LeaseCommand]:
        self._state = LeaseState.ASKING
        return [AskEndpoint()]

    @_dispatch.register
    def _endpoint_reported(
        self, message: EndpointReported, *, now_seconds: float
    ) -> list[LeaseCommand]:
        if self._state is not LeaseState.ASKING:
            return []
        self._endpoint_number = message.fencing_number
        self._state = LeaseState.TAKING
        self._attempts = 0
        return self._read(now_seconds)

    @_dispatch.register
    def _endpoint_silent(
        self, message: EndpointSilent, *, now_seconds: float
    ) -> list[LeaseCommand]:
        if self._state is LeaseState.ASKING:
            self._back_off(now_seconds)
        return []

    @_dispatch.register
    def _number_read(self, message: NumberRead, *, now_seconds: float) -> list[LeaseCommand]:
        since, self._reading_since_seconds = self._reading_since_seconds, None
        if since is None or message.sequence != self._sequence:
            # A late answer to an earlier read would make its content look newer than it is.
            self._reading_since_seconds = since
            return []
        record = (
            msgspec.json.decode(message.content, type=FencingRecord) if message.content else None
        )
        if self._state is LeaseState.TAKING:
            return self._take(record, message.version, now_seconds)
        return self._check(record, since, now_seconds)

    @_dispatch.register
    def _number_taken(self, message: NumberTaken, *, now_seconds: float) -> list[LeaseCommand]:
        if self._state is not LeaseState.TAKING:
            return []
        return self._taken(self._proposed, now_seconds)

    @_dispatch.register
    def _number_conflicted(
        self, message: NumberConflicted, *, now_seconds: float
    ) -> list[LeaseCommand]:
        # An earlier update whose answer was lost may be the cause; reading back settles it.
        return self._read(now_seconds) if self._state is LeaseState.TAKING else []

    @_dispatch.register
    def _answer_lost(self, message: AnswerLost, *, now_seconds: float) -> list[LeaseCommand]:
        self._reading_since_seconds = None
        self._back_off(now_seconds)
        return []

    @_dispatch.register
    def _order_wanted(self, message: OrderWanted, *, now_seconds: float) -> list[LeaseCommand]:
        if len(self._orders) >= MAXIMUM_PENDING_ORDERS:
            error = OrderError(f"{MAXIMUM_PENDING_ORDERS} orders wait for a fencing number")
            return [RefuseOrder(order_id=message.order_id, error=error)]
        self._orders.append(message.order_id)
        return self._serve(now_seconds)

    @_dispatch.register
    def _order_found_stale(
        self, message: OrderFoundStale, *, now_seconds: float
    ) -> list[LeaseCommand]:
        return self._lose(self._number + 1)

    @_dispatch.register
    def _tick(self, message: Tick, *, now_seconds: float) -> list[LeaseCommand]:
        if self._state is LeaseState.WAITING and now_seconds >= self._ready_at_seconds:
            return self._hold(now_seconds)
        if self._retry_at_seconds is not None and now_seconds >= self._retry_at_seconds:
            self._retry_at_seconds = None
            if self._state is LeaseState.ASKING:
                return [AskEndpoint()]
            if self._state is LeaseState.TAKING:
                return self._read(now_seconds)
        return self._serve(now_seconds)

    def _read(self, now_seconds: float) -> list[LeaseCommand]:
        self._reading_since_seconds = now_seconds
        self._sequence += 1
        return [ReadNumber(key=self._key, sequence=self._sequence)]

    def _back_off(self, now_seconds: float) -> None:
        self._attempts += 1
        delay = min(FIRST_BACKOFF_SECONDS * 2**self._attempts, LONGEST_BACKOFF_SECONDS)
        self._retry_at_seconds = now_seconds + delay * (0.5 + self._rng.random() / 2)

    def _take(
        self, record: FencingRecord | None, version: int, now_seconds: float
    ) -> list[LeaseCommand]:
        if record is not None and record.life == self._life:
            return self._taken(record.number, now_seconds)
        if record is not None and 0 < self._proposed < record.number:
            # An update whose answer was lost may have taken effect and been overruled since.
            return self._lose(record.number)
        self._waits = self._waits or (record is not None and not self._checks_fencing)
        known = record.number if record else 0
        self._proposed = max(known, self._endpoint_number) + 1
        taken = FencingRecord(number=self._proposed, instance_id=self._instance_id, life=self._life)
        content = msgspec.json.encode(taken)
        return [TakeNumber(key=self._key, content=content, expected_version=version)]

    def _taken(self, number: int, now_seconds: float) -> list[LeaseCommand]:
        self._number = number
        self._must_reread = self._must_reread or not self._checks_fencing
        if not self._waits:
            return self._hold(now_seconds)
        self._state = LeaseState.WAITING
        self._ready_at_seconds = now_seconds + self._lease_seconds
        return []

    def _hold(self, now_seconds: float) -> list[LeaseCommand]:
        self._state = LeaseState.HELD
        self._attempts = 0
        self._retry_at_seconds = None
        return [LeaseHeld(epoch=Epoch(self._number)), *self._serve(now_seconds)]

    def _serve(self, now_seconds: float) -> list[LeaseCommand]:
        """Give the waiting orders, or read the number first if it may be out of date."""
        if self._state is not LeaseState.HELD or not self._orders:
            return []
        if self._needs_read():
            if self._retry_at_seconds is not None or self._is_reading(now_seconds):
                return []
            return self._read(now_seconds)
        return self._give(now_seconds + self._lease_seconds)

    def _is_reading(self, now_seconds: float) -> bool:
        since = self._reading_since_seconds
        return since is not None and now_seconds - since < self._lease_seconds

    def _needs_read(self) -> bool:
        return self._must_reread or not self._checks_fencing

    def _check(
        self, record: FencingRecord | None, since_seconds: float, now_seconds: float
    ) -> list[LeaseCommand]:
        if self._state is not LeaseState.HELD:
            return []
        if record is not None and record.number > self._number:
            return self._lose(record.number)
        mine = record is not None and record.life == self._life
        valid_until_seconds = since_seconds + self._lease_seconds
        if not mine or now_seconds >= valid_until_seconds:
            self._back_off(now_seconds)
            return []
        self._must_reread = False
        self._attempts = 0
        return self._give(valid_until_seconds)

    def _give(self, valid_until_seconds: float) -> list[LeaseCommand]:
        orders, self._orders = self._orders, []
        return [
            GiveOrder(
                order_id=order,
                fencing_number=self._number,
                valid_until_seconds=valid_until_seconds,
            )
            for order in orders
        ]

    def _lose(self, number: int) -> list[LeaseCommand]:
        self._state = LeaseState.LOST
        orders, self._orders = self._orders, []
        return [LeaseLost(number=number), *map(self._refusal, orders)]

    def _refusal(self, order_id: str) -> RefuseOrder:
        error = StaleFencingNumberError(
            f"fencing number {self._number} of {self._key!r} was overtaken by another agent"
        )
        return RefuseOrder(order_id=order_id, error=error)


class EndpointGuard:
    """Check orders on behalf of an endpoint that does not check them itself."""

    def __init__(self, *, checks_order_giver: bool) -> None:
        """Start without a known number; the first order sets it."""
        self._checks_order_giver = checks_order_giver
        self._number = 0
        self._giver: InstanceId | None = None

    def admit(self, *, giver: InstanceId, fencing_number: int) -> None:
        """Admit an order with the highest number, from the one giver of that number.

        Raises StaleFencingNumberError or OrderError.
        """
        if fencing_number < self._number:
            raise StaleFencingNumberError(
                f"fencing number {fencing_number} is below {self._number}"
            )
        if fencing_number > self._number:
            self._number, self._giver = fencing_number, giver
        elif not self._checks_order_giver and giver != self._giver:
            raise OrderError(f"{giver!r} gives orders with the number of {self._giver!r}")

    def snapshot(self) -> dict[str, Any]:
        """Return values for the state dump."""
        return {"number": self._number, "giver": self._giver}
