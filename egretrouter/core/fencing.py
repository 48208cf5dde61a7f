"""Decide whether an agent may give orders to its endpoint, by fencing numbers."""

import random
from enum import Enum
from functools import singledispatchmethod
from typing import Any

import msgspec

from egretrouter.core._fencing_messages import (
    AcquireLease,
    AnswerLost,
    EndpointReported,
    EndpointUnresponsive,
    EraBegun,
    FencingRecord,
    GiveOrder,
    LeaseCommand,
    LeaseHeld,
    LeaseLost,
    LeaseMessage,
    NumberConflicted,
    NumberRead,
    NumberTaken,
    OrderRequested,
    QueryEndpoint,
    ReadNumber,
    RefuseOrder,
    StaleOrderRejected,
    TakeNumber,
    Tick,
)
from egretrouter.core.eras import FIRST_ERA, lowest_number
from egretrouter.core.errors import OrderError, StaleFencingNumberError
from egretrouter.core.identifiers import EndpointId, Epoch, InstanceId

__all__ = [
    "FENCING_KEY_PREFIX",
    "LEASE_SECONDS",
    "AcquireLease",
    "AnswerLost",
    "EndpointGuard",
    "EndpointReported",
    "EndpointUnresponsive",
    "EraBegun",
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
    "OrderLease",
    "OrderRequested",
    "QueryEndpoint",
    "ReadNumber",
    "RefuseOrder",
    "StaleOrderRejected",
    "TakeNumber",
    "Tick",
]

FENCING_KEY_PREFIX = "fencing/"
LEASE_SECONDS = 5.0
"""An agent that was paused for longer reads its number again before the next order."""

FIRST_BACKOFF_SECONDS = 0.2
LONGEST_BACKOFF_SECONDS = 5.0
MAXIMUM_PENDING_ORDERS = 64


class LeaseState(Enum):
    """List the states of an order lease."""

    NEW = "new"
    TAKING = "taking"
    ASKING = "asking"
    WAITING = "waiting"
    HELD = "held"
    LOST = "lost"


class OrderLease:
    """Acquire and check the fencing number of one endpoint, without heartbeats."""

    def __init__(
        self,
        *,
        endpoint_id: EndpointId,
        instance_id: InstanceId,
        incarnation: str,
        checks_fencing: bool,
        rng: random.Random,
        lease_seconds: float = LEASE_SECONDS,
    ) -> None:
        """Start without a number.

        If the endpoint does not check numbers, every order needs a read of the store, and a new
        agent waits until the previous agent's lease has ended.
        """
        self._key = FENCING_KEY_PREFIX + endpoint_id
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._checks_fencing = checks_fencing
        self._rng = rng
        self._lease_seconds = lease_seconds
        self._state = LeaseState.NEW
        self._number = 0
        self._proposed_number = 0
        self._proposed_era = 0
        self._era = 0
        self._confirmed_era = 0
        self._endpoint_number = 0
        self._waits_for_previous_lease = False
        self._wait_until_seconds = 0.0
        self._must_reread = False
        self._read_started_seconds: float | None = None
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
        """Return whether another agent has a higher number."""
        return self._state is LeaseState.LOST

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "key": self._key,
            "state": self._state.value,
            "number": self._number,
            "era": self._era,
            "confirmed_era": self._confirmed_era,
            "checks_fencing": self._checks_fencing,
            "must_reread": self._must_reread,
            "pending_orders": len(self._orders),
        }

    def handle(self, message: LeaseMessage, *, now_seconds: float) -> list[LeaseCommand]:
        """Apply one message and return the resulting commands."""
        previous_seconds, self._last_seconds = self._last_seconds, now_seconds
        if previous_seconds is not None and now_seconds - previous_seconds > self._lease_seconds:
            self._distrust_after_pause()
        if self._state is LeaseState.LOST:
            return self._refuse_when_lost(message)
        return self._dispatch(message, now_seconds=now_seconds)

    def _distrust_after_pause(self) -> None:
        """Require a new read, because the number and the answer to a pending read may be stale."""
        self._must_reread = True
        if self._read_started_seconds is not None:
            self._read_started_seconds = float("-inf")

    def _refuse_when_lost(self, message: LeaseMessage) -> list[LeaseCommand]:
        if not isinstance(message, OrderRequested):
            return []
        return [self._refusal(message.order_id)]

    @singledispatchmethod
    def _dispatch(self, message: LeaseMessage, *, now_seconds: float) -> list[LeaseCommand]:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_dispatch.register
    def _on_acquire_lease(self, message: AcquireLease, *, now_seconds: float) -> list[LeaseCommand]:
        self._state = LeaseState.ASKING
        return [QueryEndpoint()]

    @_dispatch.register
    def _on_endpoint_reported(
        self, message: EndpointReported, *, now_seconds: float
    ) -> list[LeaseCommand]:
        if self._state is LeaseState.HELD and message.fencing_number > self._number:
            return self._lose_lease(message.fencing_number)
        if self._state is not LeaseState.ASKING:
            return []
        self._endpoint_number = message.fencing_number
        self._state = LeaseState.TAKING
        self._attempts = 0
        return self._read_number(now_seconds)

    @_dispatch.register
    def _on_endpoint_unresponsive(
        self, message: EndpointUnresponsive, *, now_seconds: float
    ) -> list[LeaseCommand]:
        if self._state is LeaseState.ASKING:
            self._schedule_retry(now_seconds)
        return []

    @_dispatch.register
    def _on_number_read(self, message: NumberRead, *, now_seconds: float) -> list[LeaseCommand]:
        read_started_seconds, self._read_started_seconds = self._read_started_seconds, None
        if read_started_seconds is None or message.sequence != self._sequence:
            # Taken for the answer to a newer read, a late one would make its content look current.
            self._read_started_seconds = read_started_seconds
            return []
        if message.era < self._era:
            self._schedule_retry(now_seconds)
            return []
        self._era = message.era
        record = (
            msgspec.json.decode(message.content, type=FencingRecord) if message.content else None
        )
        if self._state is LeaseState.TAKING:
            return self._propose_number(record, message.version, now_seconds)
        return self._confirm_number(record, message.version, read_started_seconds, now_seconds)

    @_dispatch.register
    def _on_number_taken(self, message: NumberTaken, *, now_seconds: float) -> list[LeaseCommand]:
        if self._state is not LeaseState.TAKING:
            return []
        self._confirmed_era = self._proposed_era
        return self._accept_number(self._proposed_number, now_seconds)

    @_dispatch.register
    def _on_number_conflicted(
        self, message: NumberConflicted, *, now_seconds: float
    ) -> list[LeaseCommand]:
        # The cause may be an earlier update whose answer was lost; a new read shows it.
        return self._read_number(now_seconds) if self._state is LeaseState.TAKING else []

    @_dispatch.register
    def _on_answer_lost(self, message: AnswerLost, *, now_seconds: float) -> list[LeaseCommand]:
        self._read_started_seconds = None
        self._schedule_retry(now_seconds)
        return []

    @_dispatch.register
    def _on_order_requested(
        self, message: OrderRequested, *, now_seconds: float
    ) -> list[LeaseCommand]:
        if len(self._orders) >= MAXIMUM_PENDING_ORDERS:
            error = OrderError(f"{MAXIMUM_PENDING_ORDERS} orders wait for a fencing number")
            return [RefuseOrder(order_id=message.order_id, error=error)]
        self._orders.append(message.order_id)
        return self._process_orders(now_seconds)

    @_dispatch.register
    def _on_stale_order_rejected(
        self, message: StaleOrderRejected, *, now_seconds: float
    ) -> list[LeaseCommand]:
        return self._lose_lease(self._number + 1)

    @_dispatch.register
    def _on_era_begun(self, message: EraBegun, *, now_seconds: float) -> list[LeaseCommand]:
        if message.era <= self._era:
            return []
        self._era = message.era
        if self._state is not LeaseState.HELD or self._is_era_confirmed():
            return []
        return self._read_number(now_seconds)

    @_dispatch.register
    def _on_tick(self, message: Tick, *, now_seconds: float) -> list[LeaseCommand]:
        if self._state is LeaseState.WAITING and now_seconds >= self._wait_until_seconds:
            return self._start_lease(now_seconds)
        if self._retry_at_seconds is not None and now_seconds >= self._retry_at_seconds:
            self._retry_at_seconds = None
            if self._state is LeaseState.ASKING:
                return [QueryEndpoint()]
            if self._state is LeaseState.TAKING:
                return self._read_number(now_seconds)
        return self._process_orders(now_seconds)

    def _read_number(self, now_seconds: float) -> list[LeaseCommand]:
        self._read_started_seconds = now_seconds
        self._sequence += 1
        return [ReadNumber(key=self._key, sequence=self._sequence)]

    def _schedule_retry(self, now_seconds: float) -> None:
        self._attempts += 1
        delay = min(FIRST_BACKOFF_SECONDS * 2**self._attempts, LONGEST_BACKOFF_SECONDS)
        self._retry_at_seconds = now_seconds + delay * (0.5 + self._rng.random() / 2)

    def _propose_number(
        self, record: FencingRecord | None, version: int, now_seconds: float
    ) -> list[LeaseCommand]:
        if record is not None and record.life == self._incarnation:
            self._confirmed_era = self._era
            return self._accept_number(record.number, now_seconds)
        known_number = max(self._proposed_number, self._number)
        if record is not None and 0 < known_number < record.number:
            # An update with a lost answer may have taken effect and been superseded since.
            return self._lose_lease(record.number)
        # A store that came back from a copy may have lost the record of a previous agent.
        has_previous = record is not None or self._era > FIRST_ERA
        self._waits_for_previous_lease = self._waits_for_previous_lease or (
            has_previous and not self._checks_fencing
        )
        stored_number = record.number if record else 0
        lowest = lowest_number(self._era)
        self._proposed_number = max(stored_number, self._endpoint_number, lowest) + 1
        self._proposed_era = self._era
        new_record = FencingRecord(
            number=self._proposed_number, instance_id=self._instance_id, life=self._incarnation
        )
        content = msgspec.json.encode(new_record)
        return [TakeNumber(key=self._key, content=content, expected_version=version)]

    def _accept_number(self, number: int, now_seconds: float) -> list[LeaseCommand]:
        self._number = number
        self._must_reread = self._must_reread or not self._checks_fencing
        if not self._waits_for_previous_lease:
            return self._start_lease(now_seconds)
        self._state = LeaseState.WAITING
        self._wait_until_seconds = now_seconds + self._lease_seconds
        return []

    def _start_lease(self, now_seconds: float) -> list[LeaseCommand]:
        self._state = LeaseState.HELD
        self._attempts = 0
        self._retry_at_seconds = None
        return [LeaseHeld(epoch=Epoch(self._number)), *self._process_orders(now_seconds)]

    def _process_orders(self, now_seconds: float) -> list[LeaseCommand]:
        """Give the pending orders, or read the number first if it may be out of date."""
        if self._state is not LeaseState.HELD or not self._orders:
            return []
        if self._needs_read():
            if self._retry_at_seconds is not None or self._is_reading(now_seconds):
                return []
            return self._read_number(now_seconds)
        return self._give_orders(now_seconds + self._lease_seconds)

    def _is_reading(self, now_seconds: float) -> bool:
        read_started_seconds = self._read_started_seconds
        return (
            read_started_seconds is not None
            and now_seconds - read_started_seconds < self._lease_seconds
        )

    def _needs_read(self) -> bool:
        return self._must_reread or not self._checks_fencing or not self._is_era_confirmed()

    def _is_era_confirmed(self) -> bool:
        """Return whether this agent's record was seen or written in the store's current era."""
        return self._era <= max(self._confirmed_era, FIRST_ERA)

    def _confirm_number(
        self,
        record: FencingRecord | None,
        version: int,
        read_started_seconds: float,
        now_seconds: float,
    ) -> list[LeaseCommand]:
        if self._state is not LeaseState.HELD:
            return []
        if record is not None and record.number > self._number:
            return self._lose_lease(record.number)
        is_own_record = record is not None and record.life == self._incarnation
        if not is_own_record and not self._is_era_confirmed():
            # The store lost the record, so the agent takes a number of the new era.
            self._state, self._proposed_number = LeaseState.TAKING, 0
            return self._propose_number(record, version, now_seconds)
        valid_until_seconds = read_started_seconds + self._lease_seconds
        if not is_own_record or now_seconds >= valid_until_seconds:
            self._schedule_retry(now_seconds)
            return []
        self._must_reread = False
        self._confirmed_era = self._era
        self._attempts = 0
        return self._give_orders(valid_until_seconds)

    def _give_orders(self, valid_until_seconds: float) -> list[LeaseCommand]:
        orders, self._orders = self._orders, []
        return [
            GiveOrder(
                order_id=order,
                fencing_number=self._number,
                valid_until_seconds=valid_until_seconds,
            )
            for order in orders
        ]

    def _lose_lease(self, number: int) -> list[LeaseCommand]:
        self._state = LeaseState.LOST
        orders, self._orders = self._orders, []
        return [LeaseLost(number=number), *map(self._refusal, orders)]

    def _refusal(self, order_id: str) -> RefuseOrder:
        error = StaleFencingNumberError(
            f"fencing number {self._number} of {self._key!r} was overtaken by another agent"
        )
        return RefuseOrder(order_id=order_id, error=error)


class EndpointGuard:
    """Check the orders for an endpoint that does not check them itself."""

    def __init__(self, *, checks_order_giver: bool) -> None:
        """Start without a number; the first order sets it."""
        self._checks_order_giver = checks_order_giver
        self._number = 0
        self._giver: InstanceId | None = None

    def admit(self, *, giver: InstanceId, fencing_number: int) -> None:
        """Admit an order with the highest number from the only agent that uses this number.

        Raises StaleFencingNumberError for a lower number, OrderError for another agent's number.
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
        """Return the state for the state dump."""
        return {"number": self._number, "giver": self._giver}
