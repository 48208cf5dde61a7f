"""Hold the order lease of an endpoint on behalf of its agent."""

import asyncio
import random
import time
import uuid
from collections.abc import Coroutine
from functools import singledispatchmethod
from typing import Any

import msgspec
from eliot import log_message
from mode import Service

from egretrouter.backends import Engine, ObjectStore
from egretrouter.core.errors import (
    BackendError,
    ObjectMissingError,
    OrderError,
    VersionConflictError,
)
from egretrouter.core.fencing import (
    AcquireLease,
    AnswerLost,
    EndpointGuard,
    EndpointReported,
    EndpointUnresponsive,
    GiveOrder,
    LeaseCommand,
    LeaseHeld,
    LeaseLost,
    LeaseMessage,
    NumberConflicted,
    NumberRead,
    NumberTaken,
    OrderLease,
    OrderRequested,
    QueryEndpoint,
    ReadNumber,
    RefuseOrder,
    StaleOrderRejected,
    TakeNumber,
    Tick,
)
from egretrouter.core.identifiers import EndpointId, InstanceId

TICK_SECONDS = 0.5


class OrderLeaseService(Service):
    """Own the order lease and hand out permissions to give orders."""

    def __init__(
        self,
        *,
        engine: Engine,
        endpoint_id: EndpointId,
        instance_id: InstanceId,
        checks_fencing: bool,
        checks_order_giver: bool,
        lease_seconds: float,
        store: ObjectStore,
        rng: random.Random,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.lease = OrderLease(
            endpoint_id=endpoint_id,
            instance_id=instance_id,
            incarnation=uuid.UUID(int=rng.getrandbits(128)).hex,
            checks_fencing=checks_fencing,
            rng=rng,
            lease_seconds=lease_seconds,
        )
        self.guard = EndpointGuard(checks_order_giver=checks_order_giver)
        self._instance_id = instance_id
        self._engine = engine
        self._store = store
        self._waiting: dict[str, asyncio.Future[GiveOrder]] = {}
        self._orders = 0

    async def permission(self) -> int:
        """Wait until an order may be given and return its fencing number.

        Raises OrderError if another agent took over.
        """
        self._orders += 1
        order_id = str(self._orders)
        future: asyncio.Future[GiveOrder] = asyncio.get_running_loop().create_future()
        self._waiting[order_id] = future
        try:
            self._tell(OrderRequested(order_id=order_id))
            permission = await future
        finally:
            self._waiting.pop(order_id, None)
        if time.monotonic() >= permission.valid_until_seconds:
            raise OrderError("the permission to give an order lapsed before it was used")
        number = permission.fencing_number
        self.guard.admit(giver=self._instance_id, fencing_number=number)
        return number

    def found_stale(self) -> None:
        """Learn that the endpoint refused an order for its old fencing number."""
        self._tell(StaleOrderRejected())

    async def on_start(self) -> None:
        """Ask for the first fencing number."""
        self._tell(AcquireLease())

    async def on_stop(self) -> None:
        """Refuse the orders that still wait."""
        for future in self._waiting.values():
            future.cancel()

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            await self.sleep(TICK_SECONDS)
            self._tell(Tick())

    def _tell(self, message: LeaseMessage) -> None:
        for command in self.lease.handle(message, now_seconds=time.monotonic()):
            self._obey(command)

    def _spawn(self, work: Coroutine[Any, Any, LeaseMessage]) -> None:
        async def report() -> None:
            self._tell(await work)

        self.add_future(report())

    @singledispatchmethod
    def _obey(self, command: LeaseCommand) -> None:
        raise TypeError(f"lease got unexpected command {command!r}")

    @_obey.register
    def _ask(self, command: QueryEndpoint) -> None:
        self._spawn(self._ask_endpoint())

    async def _ask_endpoint(self) -> LeaseMessage:
        try:
            report = await self._engine.report()
        except BackendError:
            return EndpointUnresponsive()
        return EndpointReported(fencing_number=report.fencing_number)

    @_obey.register
    def _read(self, command: ReadNumber) -> None:
        self._spawn(self._read_number(command))

    async def _read_number(self, command: ReadNumber) -> LeaseMessage:
        try:
            stored = await self._store.get(command.key)
        except ObjectMissingError:
            return NumberRead(sequence=command.sequence, content=b"", version=0)
        except BackendError:
            return AnswerLost()
        return NumberRead(sequence=command.sequence, content=stored.content, version=stored.version)

    @_obey.register
    def _take(self, command: TakeNumber) -> None:
        self._spawn(self._take_number(command))

    async def _take_number(self, command: TakeNumber) -> LeaseMessage:
        try:
            await self._store.put(
                command.key, command.content, expected_version=command.expected_version
            )
        except VersionConflictError:
            return NumberConflicted()
        except BackendError:
            return AnswerLost()
        return NumberTaken()

    @_obey.register
    def _give(self, command: GiveOrder) -> None:
        future = self._waiting.get(command.order_id)
        if future is not None and not future.done():
            future.set_result(command)

    @_obey.register
    def _refuse(self, command: RefuseOrder) -> None:
        future = self._waiting.get(command.order_id)
        if future is not None and not future.done():
            future.set_exception(command.error)

    @_obey.register
    def _held(self, command: LeaseHeld) -> None:
        log_message("agent:lease_held", fencing_number=command.epoch)

    @_obey.register
    def _lost(self, command: LeaseLost) -> None:
        log_message("agent:lease_lost", **msgspec.structs.asdict(command))
