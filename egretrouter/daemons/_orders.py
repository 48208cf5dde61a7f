"""Send the orders of an agent to its engine."""

import asyncio
import random
from collections.abc import AsyncIterator

import msgspec
from eliot import log_message

from egretrouter.backends import Engine, EngineReport
from egretrouter.core.errors import (
    BackendError,
    EgretrouterError,
    LostAnswerError,
    OrderError,
    StaleFencingNumberError,
)
from egretrouter.core.identifiers import Digest
from egretrouter.core.membership import LoadReport
from egretrouter.core.rollout import LoadVersion, UnloadVersion
from egretrouter.core.weights import VersionReference
from egretrouter.daemons._copies import CopyService
from egretrouter.daemons._lease import OrderLeaseService

ATTEMPTS = 5
"""Attempts of one order; with doubling waits they last about 8 s, longer than the restart of an
engine's listener, and short enough that a broken engine is reported as failed."""
FIRST_RETRY_SECONDS = 0.5


class EngineOrders:
    """Load and unload versions one at a time, and retry after transient failures."""

    def __init__(
        self,
        *,
        engine: Engine,
        lease: OrderLeaseService,
        copies: CopyService,
        rng: random.Random,
        retry_seconds: float = FIRST_RETRY_SECONDS,
    ) -> None:
        self._engine = engine
        self._lease = lease
        self._copies = copies
        self._rng = rng
        self._retry_seconds = retry_seconds
        self._order_lock = asyncio.Lock()

    async def load(self, command: LoadVersion) -> None:
        """Load a version from chunk memory.

        Raises EgretrouterError when the engine refuses it or keeps failing.
        """
        async with self._order_lock:
            for attempt in range(ATTEMPTS):
                try:
                    await self._send_load_order(command)
                except (BackendError, StaleFencingNumberError) as error:
                    self._report_if_stale(error)
                    if attempt + 1 == ATTEMPTS:
                        raise
                    log_message("agent:load_retried", error=str(error))
                    await self._wait_before_retry(attempt)
                    # The engine's report shows whether an order whose answer was lost took effect.
                    if isinstance(error, LostAnswerError) and await self._is_loaded(
                        command.version.manifest_digest
                    ):
                        return
                else:
                    return

    async def unload(self, command: UnloadVersion) -> None:
        """Unload a version; the engine's next report shows whether that took effect."""
        async with self._order_lock:
            try:
                await self._send_unload_order(command.version)
            except EgretrouterError as error:
                self._report_if_stale(error)
                log_message("agent:unload_failed", error=str(error))

    async def _send_load_order(self, command: LoadVersion) -> None:
        version = command.version
        # The chunks may be dropped after the time for which peers are served, so copy them again.
        manifest = await self._copies.ensure_copied(version)
        if manifest.weights_digest is None:
            raise OrderError(f"manifest of {version.model}/{version.version} has no whole digest")
        await self._engine.load(
            model=version.model,
            version=version.version,
            manifest_digest=version.manifest_digest,
            weights_digest=manifest.weights_digest,
            content=self._read_while_permitted(version.manifest_digest),
            fencing_number=await self._lease.wait_for_permission(),
            base_model=command.base_model,
        )

    async def _read_while_permitted(self, digest: Digest) -> AsyncIterator[bytes]:
        """Yield the content of a load that may last longer than the permission to order it.

        An engine does not carry out an order whose content breaks off.
        """
        async for part in self._copies.content(digest):
            await self._lease.renew_permission()
            yield part

    async def _send_unload_order(self, version: VersionReference) -> None:
        await self._engine.unload(
            model=version.model,
            version=version.version,
            fencing_number=await self._lease.wait_for_permission(),
        )

    async def _is_loaded(self, digest: Digest) -> bool:
        try:
            report = await self._engine.report()
        except BackendError:
            return False
        return any(loaded.manifest_digest == digest for loaded in report.loaded)

    async def _wait_before_retry(self, attempt: int) -> None:
        jitter = 0.5 + self._rng.random()
        await asyncio.sleep(self._retry_seconds * 2**attempt * jitter)

    def _report_if_stale(self, error: EgretrouterError) -> None:
        if isinstance(error, StaleFencingNumberError):
            self._lease.report_stale_number()


class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """Carry what an engine reports: its versions, its load and its highest fencing number."""

    loaded: tuple[VersionReference, ...]
    load: LoadReport
    fencing_number: int


async def read_engine(engine: Engine) -> EngineState:
    """Return the state of an engine, an empty one if it does not answer."""
    try:
        report = await engine.report()
    except BackendError:
        # An engine that does not answer has nothing loaded that a call could use.
        report = EngineReport()
    loaded = tuple(
        msgspec.convert(version, VersionReference, from_attributes=True)
        for version in report.loaded
    )
    load = LoadReport(queued_calls=report.queued_calls, running_calls=report.running_calls)
    return EngineState(loaded=loaded, load=load, fencing_number=report.fencing_number)
