"""Run the order lease of an endpoint for its agent."""

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
from egretrouter.core.decoding import DECODE_ERRORS
from egretrouter.core.eras import version_era
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
    """Run the order lease and issue permissions to give orders."""

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
        self._permission_futures: dict[str, asyncio.Future[GiveOrder]] = {}
        self._order_count = 0
        self._permitted_until_seconds = float("-inf")

    async def wait_for_permission(self) -> int:
        """Wait until an order may be given and return its fencing number.

        Raises OrderError if another agent has acquired the lease.
        """
        self._order_count += 1
        order_id = str(self._order_count)
        future: asyncio.Future[GiveOrder] = asyncio.get_running_loop().create_future()
        self._permission_futures[order_id] = future
        try:
            self._dispatch(OrderRequested(order_id=order_id))
            permission = await future
        finally:
            self._permission_futures.pop(order_id, None)
        if time.monotonic() >= permission.valid_until_seconds:
            raise OrderError("the permission to give an order lapsed before it was used")
        self._permitted_until_seconds = permission.valid_until_seconds
        number = permission.fencing_number
        self.guard.admit(giver=self._instance_id, fencing_number=number)
        return number

    async def renew_permission(self) -> None:
        """Wait for a new permission to go on with an order if the last one has lapsed.

        Raises OrderError if another agent has acquired the lease.
        """
        if time.monotonic() >= self._permitted_until_seconds:
            await self.wait_for_permission()

    def record_endpoint_number(self, fencing_number: int) -> None:
        """Record the highest fencing number in the endpoint's report; 0 if it checks none."""
        if self.lease.epoch is not None:
            self._dispatch(EndpointReported(fencing_number=fencing_number))

    def report_stale_number(self) -> None:
        """Report that the endpoint refused an order for its old fencing number."""
        self._dispatch(StaleOrderRejected())

    async def on_start(self) -> None:
        """Request the first fencing number."""
        self._dispatch(AcquireLease())

    async def on_stop(self) -> None:
        """Cancel the orders that still wait for permission."""
        for future in self._permission_futures.values():
            future.cancel()

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            await self.sleep(TICK_SECONDS)
            # Any call of the process may have told the era.
            self._dispatch(EraBegun(era=self._store.era))
            self._dispatch(Tick())

    def _dispatch(self, message: LeaseMessage) -> None:
        for command in self.lease.handle(message, now_seconds=time.monotonic()):
            self._execute(command)

    def _spawn(self, work: Coroutine[Any, Any, LeaseMessage]) -> None:
        async def run_and_dispatch() -> None:
            self._dispatch(await work)

        self.add_future(run_and_dispatch())

    @singledispatchmethod
    def _execute(self, command: LeaseCommand) -> None:
        raise TypeError(f"lease got unexpected command {command!r}")

    @_execute.register
    def _start_query(self, command: QueryEndpoint) -> None:
        self._spawn(self._query_endpoint())

    async def _query_endpoint(self) -> LeaseMessage:
        try:
            report = await self._engine.report()
        except BackendError:
            return EndpointUnresponsive()
        return EndpointReported(fencing_number=report.fencing_number)

    @_execute.register
    def _start_read(self, command: ReadNumber) -> None:
        self._spawn(self._read_number(command))

    async def _read_number(self, command: ReadNumber) -> LeaseMessage:
        try:
            stored = await self._store.get(command.key)
        except ObjectMissingError:
            era = self._store.era
            return NumberRead(sequence=command.sequence, content=b"", version=0, era=era)
        except BackendError:
            return AnswerLost()
        try:
            if stored.content:
                msgspec.json.decode(stored.content, type=FencingRecord)
        except DECODE_ERRORS as error:
            log_message("lease:record_malformed", key=command.key, error=str(error))
            return AnswerLost()
        return NumberRead(
            sequence=command.sequence,
            content=stored.content,
            version=stored.version,
            era=version_era(stored.version) if self._store.era else 0,
        )

    @_execute.register
    def _start_take(self, command: TakeNumber) -> None:
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

    @_execute.register
    def _grant_order(self, command: GiveOrder) -> None:
        future = self._permission_futures.get(command.order_id)
        if future is not None and not future.done():
            future.set_result(command)

    @_execute.register
    def _refuse_order(self, command: RefuseOrder) -> None:
        future = self._permission_futures.get(command.order_id)
        if future is not None and not future.done():
            future.set_exception(command.error)

    @_execute.register
    def _log_held(self, command: LeaseHeld) -> None:
        log_message("agent:lease_held", fencing_number=command.epoch)

    @_execute.register
    def _log_lost(self, command: LeaseLost) -> None:
        log_message("agent:lease_lost", **msgspec.structs.asdict(command))
