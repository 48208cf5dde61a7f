"""Claim idempotency keys in the store, or at the router that owns a key's shard."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from typing import Any

import grpc
import msgspec
from eliot import log_message
from mode import Service

from egretrouter.backends import ObjectStore
from egretrouter.core.calls import (
    ClaimCommand,
    ClaimDecided,
    ClaimLimits,
    ClaimMessage,
    ClaimTable,
    ClaimTick,
    ClaimVerdict,
    DeleteAnswer,
    EndClaim,
    EraBegun,
    PlaceClaim,
    ReadShard,
    RoutersChanged,
    ShardRead,
    ShardUnavailable,
    ShardWriteUndecided,
    ShardWritten,
    Target,
    WriteShard,
    shard_of,
)
from egretrouter.core.decoding import DECODE_ERRORS
from egretrouter.core.digests import content_digest
from egretrouter.core.eras import FIRST_ERA, version_era
from egretrouter.core.errors import (
    BackendError,
    BackendUnavailableError,
    LostAnswerError,
    ObjectMissingError,
    ProtocolError,
    RateLimitedError,
    ValidationError,
    VersionConflictError,
)
from egretrouter.core.identifiers import Digest
from egretrouter.core.limits._token_bucket import TokenBucket
from egretrouter.daemons._claim_routers import ClaimRouters
from egretrouter.daemons._settle import settle
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.transport._rpc import ChannelPool

CLAIM_KEY_PREFIX = "claims/"
ANSWER_KEY_PREFIX = "claims/answers/"
ERA_KEY_PREFIX = "claims/eras/"
ERA_CHECK_SHARD = 0
TICK_SECONDS = 0.5
FLUSH_POLL_SECONDS = 0.02
# The store accepts several hundred writes per second from all processes together.
STORE_WRITES_PER_SECOND = 300.0
# Half of the budget of store calls for claims, because reads share it. At 20 writes per second,
# one of three routers would take 2.1 s to write its 43 shards, and claims are refused after 2 s.
MAX_ROUTER_WRITES_PER_SECOND = 60.0
WRITE_BURST = 10.0
WRITE_TRIES = 3
MAX_RATE_LIMIT_WAIT_SECONDS = 0.5
DELETE_TRIES = 3
DELETE_RETRY_SECONDS = 30.0
# Longer than the claim table takes to decide, so that only a lost owner reaches this timeout.
FORWARD_TIMEOUT_SECONDS = 2.5


class ClaimService(Service):
    """Run the claim table of a router and execute its commands."""

    def __init__(
        self,
        *,
        routers: ClaimRouters,
        store: ObjectStore,
        channels: ChannelPool,
        rng: random.Random,
        limits: ClaimLimits | None = None,
        clock: Callable[[], float] = time.time,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.routers = routers
        self.limits = limits or ClaimLimits()
        self.forwarded_total = 0
        self.received_total = 0
        self._table = ClaimTable(limits=self.limits)
        self._store = store
        self._channels = channels
        self._rng = rng
        self._clock = clock
        self._write_bucket = _create_write_bucket(1)
        self._bucket_router_count = 1
        self._write_lock = asyncio.Lock()
        self._decision_futures: dict[tuple[str, int], set[asyncio.Future[ClaimDecided]]] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._end_tasks: set[asyncio.Task[None]] = set()

    @property
    def now_seconds(self) -> float:
        """Return the wall-clock time for the timestamps of claims."""
        return self._clock()

    async def place(self, message: PlaceClaim) -> tuple[ClaimDecided, bool]:
        """Place a claim; return the decision and whether this router's own table made it."""
        owner = self.routers.find_owner(self._find_shard(message.key_digest))
        if owner is not None:
            request = pb.ClaimRequest(place=msgspec.msgpack.encode(message))
            reply = await self._forward_to_owner(owner, request)
            if reply is not None:
                try:
                    return msgspec.msgpack.decode(reply.decided, type=ClaimDecided), False
                except DECODE_ERRORS as error:
                    log_message("claims:reply_malformed", owner=owner[0], error=str(error))
        return await self._place_locally(message), True

    def record_end(self, message: EndClaim, *, placed_locally: bool, stored: bytes | None) -> None:
        """Record the end of a claim in the background, after writing its answer object."""
        if not self.should_stop:
            end = self._store_end(message, placed_locally=placed_locally, stored=stored)
            task = self._spawn(end)
            self._end_tasks.add(task)
            task.add_done_callback(self._end_tasks.discard)

    async def flush_ends(self, *, timeout_seconds: float) -> bool:
        """Wait until the ends of claims are stored, and return whether they are."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                while self._end_tasks or self._table.has_pending_ends:  # noqa: ASYNC110
                    await asyncio.sleep(FLUSH_POLL_SECONDS)
                return True
        return False

    async def settle_with_agent(self, target: Target) -> pb.SettleReply | None:
        """Query an agent for the state of a call; return None if it does not answer."""
        return await settle(self._channels, target)

    async def read_answer_object(self, digest: Digest) -> bytes | None:
        """Read an answer object; return None if it is missing or its digest differs.

        Raises BackendUnavailableError.
        """
        try:
            content = (await self._store.get(ANSWER_KEY_PREFIX + digest)).content
        except ObjectMissingError:
            return None
        return content if content_digest(content) == digest else None

    async def handle_claim_request(self, request: pb.ClaimRequest) -> pb.ClaimReply:
        """Execute a claim request that another router forwarded.

        Raises ProtocolError if the request is malformed.
        """
        self.received_total += 1
        reply = pb.ClaimReply(router_id=self.routers.own_id)
        try:
            if request.WhichOneof("body") == "place":
                place = msgspec.msgpack.decode(request.place, type=PlaceClaim)
                self.routers.record_router_id(place.router_id)
                # The table compares the claim's router with the routers that it was given last.
                self._dispatch(RoutersChanged(routers=self.routers.live_ids()))
                reply.decided = msgspec.msgpack.encode(await self._place_locally(place))
            else:
                self._dispatch(msgspec.msgpack.decode(request.end, type=EndClaim))
        except DECODE_ERRORS as error:
            raise ProtocolError(f"forwarded claim is malformed: {error}") from error
        return reply

    def _find_shard(self, digest: str) -> int:
        return shard_of(digest, shards=self.limits.shards)

    async def _forward_to_owner(
        self, owner: tuple[Any, str], request: pb.ClaimRequest
    ) -> pb.ClaimReply | None:
        instance_id, address = owner
        stub = pb_grpc.PeersStub(self._channels.channel(address))
        self.forwarded_total += 1
        try:
            reply: pb.ClaimReply = await stub.ForwardClaim(
                request, metadata=self._channels.metadata, timeout=FORWARD_TIMEOUT_SECONDS
            )
        except grpc.aio.AioRpcError as error:
            log_message("claims:owner_silent", owner=instance_id, code=error.code().name)
            self.routers.record_unresponsive(instance_id)
            return None
        self.routers.record_router_id(reply.router_id)
        return reply

    async def _place_locally(self, message: PlaceClaim) -> ClaimDecided:
        future: asyncio.Future[ClaimDecided] = asyncio.get_running_loop().create_future()
        key = (message.claim_id, message.attempt)
        self._decision_futures.setdefault(key, set()).add(future)
        try:
            self._dispatch(message)
            # The table decides in time by itself; this timeout covers a claim that was released.
            async with asyncio.timeout(self.limits.place_timeout_seconds + 2 * TICK_SECONDS):
                return await future
        except TimeoutError:
            verdict = ClaimVerdict.STORE_OUT
            return ClaimDecided(claim_id=message.claim_id, attempt=message.attempt, verdict=verdict)
        finally:
            futures = self._decision_futures[key]
            futures.discard(future)
            if not futures:
                del self._decision_futures[key]

    async def _store_end(
        self, message: EndClaim, *, placed_locally: bool, stored: bytes | None
    ) -> None:
        if stored is not None and not await self._write_answer(stored):
            assert message.answer is not None
            without_content = msgspec.structs.replace(message.answer, content_digest=None)
            message = msgspec.structs.replace(message, answer=without_content)
        owner = self.routers.find_owner(self._find_shard(message.key_digest))
        if owner is not None:
            request = pb.ClaimRequest(end=msgspec.msgpack.encode(message))
            is_accepted = await self._forward_to_owner(owner, request) is not None
            # A pending write of this router's own table may still take effect after a release.
            if is_accepted and not (placed_locally and message.status is None):
                return
        self._dispatch(message)

    async def _write_answer(self, stored: bytes) -> bool:
        key = ANSWER_KEY_PREFIX + content_digest(stored)
        for _ in range(WRITE_TRIES):
            await self._wait_for_write_slot()
            try:
                await self._store.put(key, stored, expected_version=0)
            except VersionConflictError:
                return True
            except LostAnswerError:
                continue
            except BackendError as error:
                log_message("claims:answer_not_stored", error=type(error).__name__)
                return False
            return True
        return False

    def _dispatch(self, message: ClaimMessage) -> None:
        try:
            commands = self._table.handle(message, now_seconds=self._clock())
        except ValidationError as error:
            log_message("claims:shard_malformed", error=str(error))
            return
        for command in commands:
            self._execute(command)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        background_task = asyncio.create_task(work)
        self._background_tasks.add(background_task)
        background_task.add_done_callback(self._background_tasks.discard)
        return background_task

    @singledispatchmethod
    def _execute(self, command: ClaimCommand) -> None:
        raise TypeError(f"router got unexpected claim command {command!r}")

    @_execute.register
    def _resolve_decision(self, command: ClaimDecided) -> None:
        for future in self._decision_futures.get((command.claim_id, command.attempt), ()):
            if not future.done():
                future.set_result(command)

    @_execute.register
    def _start_read(self, command: ReadShard) -> None:
        self._spawn(self._read_shard(command))

    async def _read_shard(self, command: ReadShard) -> None:
        shard, request = command.shard, command.request
        version, content = 0, b""
        try:
            stored = await self._store.get(f"{CLAIM_KEY_PREFIX}{shard}")
            version, content = stored.version, stored.content
            era = version_era(version) if self._store.era else 0
        except ObjectMissingError:
            era = self._store.era
        except BackendError as error:
            log_message("claims:read_failed", shard=shard, error=type(error).__name__)
            self._dispatch(ShardUnavailable(shard=shard, request=request))
            return
        self._dispatch(
            ShardRead(shard=shard, request=request, version=version, content=content, era=era)
        )

    @_execute.register
    def _start_write(self, command: WriteShard) -> None:
        self._spawn(self._write_shard(command))

    async def _write_shard(self, command: WriteShard) -> None:
        shard, request = command.shard, command.request
        try:
            version = await self._put_shard(command)
        except (VersionConflictError, LostAnswerError) as error:
            log_message("claims:write_undecided", shard=shard, error=type(error).__name__)
            self._dispatch(ShardWriteUndecided(shard=shard, request=request))
        except BackendError as error:
            log_message("claims:write_failed", shard=shard, error=type(error).__name__)
            self._dispatch(ShardUnavailable(shard=shard, request=request))
        else:
            self._dispatch(ShardWritten(shard=shard, request=request, version=version))

    async def _put_shard(self, command: WriteShard) -> int:
        key, expected = f"{CLAIM_KEY_PREFIX}{command.shard}", command.expected_version
        for _ in range(WRITE_TRIES - 1):
            await self._wait_for_write_slot()
            try:
                return await self._store.put(key, command.content, expected_version=expected)
            except RateLimitedError as error:
                # A write refused by the rate limit had no effect, so it can be retried.
                wait_seconds = min(error.retry_after_seconds, MAX_RATE_LIMIT_WAIT_SECONDS)
                await asyncio.sleep(wait_seconds * (1.0 + self._rng.random()))
        await self._wait_for_write_slot()
        return await self._store.put(key, command.content, expected_version=expected)

    @_execute.register
    def _start_delete(self, command: DeleteAnswer) -> None:
        self._spawn(self._delete_answer(command.content_digest))

    async def _delete_answer(self, digest: Digest) -> None:
        for _ in range(DELETE_TRIES):
            await self._wait_for_write_slot()
            try:
                await self._store.delete(ANSWER_KEY_PREFIX + digest)
            except (BackendUnavailableError, LostAnswerError):
                await asyncio.sleep(DELETE_RETRY_SECONDS)
            except BackendError:
                # The object has already been deleted.
                return
            else:
                return

    async def _wait_for_write_slot(self) -> None:
        """Wait in FIFO order until this router's share of the store's write rate allows a write."""
        async with self._write_lock:
            await asyncio.sleep(self._write_bucket.wait_seconds(now_seconds=time.monotonic()))
            self._write_bucket.take(now_seconds=time.monotonic())

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            self._update_write_bucket(self.routers.count())
            self._dispatch(RoutersChanged(routers=self.routers.live_ids()))
            self._dispatch(EraBegun(era=self._store.era))
            self._dispatch(ClaimTick())
            await self.sleep(TICK_SECONDS)

    @Service.task
    async def _check_era(self) -> None:
        """Read the store's era from time to time while a restore could lose claims."""
        noticed_era = FIRST_ERA
        while not self.should_stop:
            await self.sleep(self.limits.era_check_seconds)
            era = self._store.era
            with contextlib.suppress(BackendError):
                if era > noticed_era:
                    await self._read_notice(era)
                    noticed_era = era
                elif era and self._table.knows_claims:
                    # Each answer tells the era, also that the object does not exist.
                    await self._store.get(f"{CLAIM_KEY_PREFIX}{ERA_CHECK_SHARD}")

    async def _read_notice(self, era: int) -> None:
        """Read when the first router noticed an era, or record that this one did.

        Raises BackendError.
        """
        key = f"{ERA_KEY_PREFIX}{era}"
        try:
            content = (await self._store.get(key)).content
        except ObjectMissingError:
            content = msgspec.json.encode(self._clock())
            with contextlib.suppress(VersionConflictError):
                await self._store.put(key, content, expected_version=0)
            return
        try:
            noticed_at_seconds = msgspec.json.decode(content, type=float)
        except msgspec.MsgspecError as error:
            log_message("claims:notice_malformed", key=key, error=str(error))
            return
        self._dispatch(EraBegun(era=era, noticed_at_seconds=noticed_at_seconds))

    def _update_write_bucket(self, routers: int) -> None:
        if routers == self._bucket_router_count:
            return
        self._bucket_router_count = routers
        self._write_bucket = _create_write_bucket(routers)

    async def on_stop(self) -> None:
        """Cancel pending writes; the calls behind them are settled with their agents later."""
        for background_task in list(self._background_tasks):
            background_task.cancel()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            **self._table.snapshot(),
            "router_id": self.routers.own_id,
            "live_routers": sorted(self.routers.live_ids()),
            "forwarded_total": self.forwarded_total,
            "received_total": self.received_total,
        }


def _create_write_bucket(routers: int) -> TokenBucket:
    rate = min(MAX_ROUTER_WRITES_PER_SECOND, STORE_WRITES_PER_SECOND / routers)
    return TokenBucket(rate_per_second=rate, burst=WRITE_BURST, now_seconds=time.monotonic())
