"""Place, settle and end the idempotency claim of one call."""

import asyncio
import time
from collections.abc import Callable

import msgspec

from egretrouter.core.calls import (
    MAX_OBJECT_BYTES,
    AnswerData,
    AnswerHead,
    AttemptMessage,
    CallState,
    ClaimAnswer,
    ClaimDecided,
    ClaimEnd,
    ClaimEntry,
    ClaimStatus,
    ClaimVerdict,
    DeferToClaim,
    EndClaim,
    FailCaller,
    PlaceClaim,
    RecordTarget,
    SettledClaim,
    Target,
    TargetDenied,
    TargetRecorded,
    decide_settled_claim,
    key_digest,
    prepare_claim_answer,
    request_fingerprint,
)
from egretrouter.core.digests import content_digest
from egretrouter.core.errors import BackendUnavailableError, Outcome
from egretrouter.daemons._caller_stream import CallerStream
from egretrouter.daemons._claims import ClaimService
from egretrouter.daemons._routed_call import RoutedCall
from egretrouter.protocol.answers import decode_head

IN_PROGRESS_REASON = "idempotency_key_in_progress"
MISMATCH_REASON = "idempotency_key_reused"
UNSETTLED_REASON = "claim_unsettled"
NOT_KEPT_REASON = "answer_not_kept"
RETRY_AFTER_SECONDS = 1.0
# A settled claim is replaced in the next round; another call may claim the key in between.
PLACE_ROUNDS = 3
READ_TIMEOUT_SECONDS = 2.0


class KeptAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the complete answer to an earlier request with the same key."""

    head: AnswerHead
    content: bytes


def create_claim(call: RoutedCall, *, claims: ClaimService) -> "CallClaim | None":
    """Create the claim of a call that must not run twice; return None if it has no key."""
    if call.idempotency_key is None:
        return None
    return CallClaim(call, key=call.idempotency_key, claims=claims)


class CallClaim:
    """Record the targets and the end of a call, or answer it from another call's claim."""

    def __init__(self, call: RoutedCall, *, key: str, claims: ClaimService) -> None:
        self._call = call
        self._claims = claims
        self._key_digest = key_digest(workspace=call.workspace, service=call.route.service, key=key)
        headers = {name.lower(): value for name, value in call.headers}
        self._fingerprint = request_fingerprint(
            method=call.method,
            path=call.path,
            content_type=headers.get("content-type", ""),
            content=call.content,
        )
        # Claims are compared across routers and outlive processes, so they use the wall clock.
        left_seconds = call.deadline_at_seconds - time.monotonic()
        self._deadline_at_seconds = claims.now_seconds + left_seconds
        self._decision: ClaimDecided | None = None
        self._settlement: tuple[SettledClaim, KeptAnswer | None] | None = None
        self._placed_locally = False
        self._head: AnswerHead | None = None
        self._answer_data: list[bytes] = []
        self._size_bytes = 0

    async def execute(
        self,
        command: RecordTarget | DeferToClaim,
        *,
        dispatch: Callable[[AttemptMessage], None],
        stream: CallerStream,
    ) -> None:
        """Record a target and dispatch the result, or answer from the claim of another call."""
        if isinstance(command, RecordTarget):
            dispatch(await self._record_target(command.attempt, command.target))
        else:
            self._write_answer(await self._resolve_deferred(), stream)

    async def _record_target(self, attempt: int, target: Target) -> TargetRecorded | TargetDenied:
        replaces: ClaimEntry | None = None
        for _ in range(PLACE_ROUNDS):
            self._decision, is_local = await self._claims.place(
                self._build_place_message(attempt, target, replaces)
            )
            self._placed_locally = self._placed_locally or is_local
            verdict, entry = self._decision.verdict, self._decision.entry
            if verdict is ClaimVerdict.GRANTED:
                return TargetRecorded(attempt=attempt)
            if verdict in {ClaimVerdict.STORE_OUT, ClaimVerdict.SHARD_FULL}:
                return TargetDenied(attempt=attempt, held_elsewhere=False)
            if verdict is not ClaimVerdict.SETTLE or entry is None:
                break
            self._settlement = await self._settle_claim(entry)
            if self._settlement[0] is not SettledClaim.REPLACE:
                break
            replaces = entry
        return TargetDenied(attempt=attempt, held_elsewhere=True)

    def _build_place_message(
        self, attempt: int, target: Target, replaces: ClaimEntry | None
    ) -> PlaceClaim:
        return PlaceClaim(
            key_digest=self._key_digest,
            workspace=self._call.workspace,
            fingerprint=self._fingerprint,
            claim_id=self._call.call_id,
            router_id=self._claims.routers.own_id,
            attempt=attempt,
            target=target,
            deadline_at_seconds=self._deadline_at_seconds,
            replaces=replaces,
        )

    async def _settle_claim(self, entry: ClaimEntry) -> tuple[SettledClaim, KeptAnswer | None]:
        reply = await self._claims.settle_with_agent(entry.target)
        if reply is None:
            return decide_settled_claim(None, answer_kept=False), None
        kept = None
        if reply.HasField("head"):
            kept = KeptAnswer(head=decode_head(reply.head), content=reply.content)
        settled = decide_settled_claim(CallState(reply.state), answer_kept=kept is not None)
        if settled is SettledClaim.REPLAY and kept is not None:
            self._end_finished(entry.claim_id, kept)
        return settled, kept

    def record_answer(self, body: AnswerHead | AnswerData) -> None:
        """Record the head or data of the answer, as far as it can be stored."""
        if isinstance(body, AnswerHead):
            self._head = body
        else:
            self.record_answer_data(body.data)

    def record_answer_data(self, data: bytes) -> None:
        """Record data of the answer, or discard all of it above the size limit."""
        self._size_bytes += len(data)
        if self._size_bytes <= MAX_OBJECT_BYTES:
            self._answer_data.append(data)
        else:
            self._answer_data.clear()

    def record_end(self, end: ClaimEnd) -> None:
        """Record the end of the call in the background."""
        if end is ClaimEnd.FINISHED and self._head is not None:
            self._end_finished(
                self._call.call_id, KeptAnswer(head=self._head, content=b"".join(self._answer_data))
            )
            return
        status = None if end is ClaimEnd.RELEASED else ClaimStatus(end.value)
        self._send_end(self._call.call_id, status)

    def _end_finished(self, claim_id: str, kept: KeptAnswer) -> None:
        answer, content = prepare_claim_answer(
            status=kept.head.status, headers=kept.head.headers, content=kept.content
        )
        if self._size_bytes > MAX_OBJECT_BYTES:
            answer, content = msgspec.structs.replace(answer, content=None), None
        stored = None
        if content is not None:
            # The claim id makes the object unique to the claim, so both can be deleted together.
            stored = claim_id.encode() + b"\n" + content
            answer = msgspec.structs.replace(answer, content_digest=content_digest(stored))
        self._send_end(claim_id, ClaimStatus.FINISHED, answer, stored)

    def _send_end(
        self,
        claim_id: str,
        status: ClaimStatus | None,
        answer: ClaimAnswer | None = None,
        stored: bytes | None = None,
    ) -> None:
        message = EndClaim(
            key_digest=self._key_digest, claim_id=claim_id, status=status, answer=answer
        )
        self._claims.record_end(message, placed_locally=self._placed_locally, stored=stored)

    @staticmethod
    def _write_answer(answer: KeptAnswer | FailCaller, stream: CallerStream) -> None:
        if isinstance(answer, FailCaller):
            stream.fail(answer)
            return
        stream.forward(answer.head)
        stream.forward(AnswerData(data=answer.content))
        stream.finish()

    async def _resolve_deferred(self) -> KeptAnswer | FailCaller:
        decision = self._decision
        if decision is None or decision.verdict is ClaimVerdict.IN_PROGRESS:
            return _fail_unknown(IN_PROGRESS_REASON, retry_after_seconds=RETRY_AFTER_SECONDS)
        if decision.verdict is ClaimVerdict.MISMATCH:
            return FailCaller(outcome=Outcome.NOT_RUN, reason=MISMATCH_REASON)
        if decision.verdict is ClaimVerdict.REPLAY and decision.entry is not None:
            return await self._read_recorded_answer(decision.entry)
        return self._resolve_settled()

    def _resolve_settled(self) -> KeptAnswer | FailCaller:
        settled, kept = self._settlement or (SettledClaim.UNKNOWN, None)
        if settled is SettledClaim.REPLAY and kept is not None:
            return kept
        if settled is SettledClaim.UNKNOWN:
            return _fail_unknown(UNSETTLED_REASON)
        return _fail_unknown(IN_PROGRESS_REASON, retry_after_seconds=RETRY_AFTER_SECONDS)

    async def _read_recorded_answer(self, entry: ClaimEntry) -> KeptAnswer | FailCaller:
        answer = entry.answer
        if answer is None:
            return _fail_unknown(NOT_KEPT_REASON)
        content = answer.content
        if content is None and answer.content_digest is not None:
            try:
                async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                    stored = await self._claims.read_answer_object(answer.content_digest)
            except (BackendUnavailableError, TimeoutError):
                return _fail_unknown("answer_unreadable", retry_after_seconds=RETRY_AFTER_SECONDS)
            content = None if stored is None else stored.partition(b"\n")[2]
        if content is None:
            return _fail_unknown(NOT_KEPT_REASON)
        head = AnswerHead(status=answer.status, headers=answer.headers)
        return KeptAnswer(head=head, content=content)


def _fail_unknown(reason: str, *, retry_after_seconds: float = 0.0) -> FailCaller:
    # The request with this key may have run, so repeating it under a new key is not safe.
    return FailCaller(
        outcome=Outcome.UNKNOWN, reason=reason, retry_after_seconds=retry_after_seconds
    )
