"""Hold the claim of one keyed call."""

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
from egretrouter.protocol import decode_head

IN_PROGRESS_REASON = "idempotency_key_in_progress"
MISMATCH_REASON = "idempotency_key_reused"
UNSETTLED_REASON = "claim_unsettled"
NOT_KEPT_REASON = "answer_not_kept"
RETRY_SECONDS = 1.0
# Each settled claim is replaced at once; another call may win the key in between.
PLACE_ROUNDS = 3
READ_TIMEOUT_SECONDS = 2.0


class KeptAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the whole answer of an earlier request with the same key."""

    head: AnswerHead
    content: bytes


def open_claim(call: RoutedCall, *, claims: ClaimService) -> "CallClaim | None":
    """Return the claim of a call that has a key and must not run twice."""
    if call.idempotency_key is None:
        return None
    return CallClaim(call, key=call.idempotency_key, claims=claims)


class CallClaim:
    """Record the targets and the end of one call, and answer for the claim of another."""

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
        # Claims are compared by routers and outlive processes, so they carry the wall clock.
        left_seconds = call.deadline_at_seconds - time.monotonic()
        self._deadline_at_seconds = claims.now_seconds + left_seconds
        self._decided: ClaimDecided | None = None
        self._settled: tuple[SettledClaim, KeptAnswer | None] | None = None
        self._placed_here = False
        self._head: AnswerHead | None = None
        self._pieces: list[bytes] = []
        self._size_bytes = 0

    async def step(
        self,
        command: RecordTarget | DeferToClaim,
        *,
        report: Callable[[AttemptMessage], None],
        stream: CallerStream,
    ) -> None:
        """Record a target and report what came of it, or answer from the claim of another call."""
        if isinstance(command, RecordTarget):
            report(await self._record(command.attempt, command.target))
        else:
            self._answer(await self._deferred(), stream)

    async def _record(self, attempt: int, target: Target) -> TargetRecorded | TargetDenied:
        replaces: ClaimEntry | None = None
        for _ in range(PLACE_ROUNDS):
            self._decided, here = await self._claims.place(self._message(attempt, target, replaces))
            self._placed_here = self._placed_here or here
            verdict, entry = self._decided.verdict, self._decided.entry
            if verdict is ClaimVerdict.GRANTED:
                return TargetRecorded(attempt=attempt)
            if verdict in {ClaimVerdict.STORE_OUT, ClaimVerdict.SHARD_FULL}:
                return TargetDenied(attempt=attempt, held_elsewhere=False)
            if verdict is not ClaimVerdict.SETTLE or entry is None:
                break
            self._settled = await self._settle(entry)
            if self._settled[0] is not SettledClaim.REPLACE:
                break
            replaces = entry
        return TargetDenied(attempt=attempt, held_elsewhere=True)

    def _message(self, attempt: int, target: Target, replaces: ClaimEntry | None) -> PlaceClaim:
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

    async def _settle(self, entry: ClaimEntry) -> tuple[SettledClaim, KeptAnswer | None]:
        reply = await self._claims.ask_agent(entry.target)
        if reply is None:
            return decide_settled_claim(None, answer_kept=False), None
        kept = None
        if reply.HasField("head"):
            kept = KeptAnswer(head=decode_head(reply.head), content=reply.content)
        judged = decide_settled_claim(CallState(reply.state), answer_kept=kept is not None)
        if judged is SettledClaim.REPLAY and kept is not None:
            self._finish(entry.claim_id, kept)
        return judged, kept

    def keep(self, body: AnswerHead | AnswerData) -> None:
        """Keep a piece of the answer for the claim, as far as it can be stored."""
        if isinstance(body, AnswerHead):
            self._head = body
        else:
            self.keep_data(body.data)

    def keep_data(self, data: bytes) -> None:
        """Keep the next bytes of the answer."""
        self._size_bytes += len(data)
        if self._size_bytes <= MAX_OBJECT_BYTES:
            self._pieces.append(data)
        else:
            self._pieces.clear()

    def end(self, end: ClaimEnd) -> None:
        """Record how the call ended, in the background."""
        if end is ClaimEnd.FINISHED and self._head is not None:
            self._finish(
                self._call.call_id, KeptAnswer(head=self._head, content=b"".join(self._pieces))
            )
            return
        status = None if end is ClaimEnd.RELEASED else ClaimStatus(end.value)
        self._end(self._call.call_id, status)

    def _finish(self, claim_id: str, kept: KeptAnswer) -> None:
        answer, content = prepare_claim_answer(
            status=kept.head.status, headers=kept.head.headers, content=kept.content
        )
        if self._size_bytes > MAX_OBJECT_BYTES:
            answer, content = msgspec.structs.replace(answer, content=None), None
        stored = None
        if content is not None:
            # The claim id makes the object the claim's own, so that it can be deleted with it.
            stored = claim_id.encode() + b"\n" + content
            answer = msgspec.structs.replace(answer, content_digest=content_digest(stored))
        self._end(claim_id, ClaimStatus.FINISHED, answer, stored)

    def _end(
        self,
        claim_id: str,
        status: ClaimStatus | None,
        answer: ClaimAnswer | None = None,
        stored: bytes | None = None,
    ) -> None:
        message = EndClaim(
            key_digest=self._key_digest, claim_id=claim_id, status=status, answer=answer
        )
        self._claims.end(message, placed_here=self._placed_here, stored=stored)

    @staticmethod
    def _answer(answer: KeptAnswer | FailCaller, stream: CallerStream) -> None:
        if isinstance(answer, FailCaller):
            stream.fail(answer)
            return
        stream.forward(answer.head)
        stream.forward(AnswerData(data=answer.content))
        stream.finish()

    async def _deferred(self) -> KeptAnswer | FailCaller:
        decided = self._decided
        if decided is None or decided.verdict is ClaimVerdict.IN_PROGRESS:
            return _unknown(IN_PROGRESS_REASON, retry_after_seconds=RETRY_SECONDS)
        if decided.verdict is ClaimVerdict.MISMATCH:
            return FailCaller(outcome=Outcome.NOT_RUN, reason=MISMATCH_REASON)
        if decided.verdict is ClaimVerdict.REPLAY and decided.entry is not None:
            return await self._recorded(decided.entry)
        return self._answer_settled()

    def _answer_settled(self) -> KeptAnswer | FailCaller:
        judged, kept = self._settled or (SettledClaim.UNKNOWN, None)
        if judged is SettledClaim.REPLAY and kept is not None:
            return kept
        if judged is SettledClaim.UNKNOWN:
            return _unknown(UNSETTLED_REASON)
        return _unknown(IN_PROGRESS_REASON, retry_after_seconds=RETRY_SECONDS)

    async def _recorded(self, entry: ClaimEntry) -> KeptAnswer | FailCaller:
        answer = entry.answer
        if answer is None:
            return _unknown(NOT_KEPT_REASON)
        content = answer.content
        if content is None and answer.content_digest is not None:
            try:
                async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                    stored = await self._claims.answer_object(answer.content_digest)
            except (BackendUnavailableError, TimeoutError):
                return _unknown("answer_unreadable", retry_after_seconds=RETRY_SECONDS)
            content = None if stored is None else stored.partition(b"\n")[2]
        if content is None:
            return _unknown(NOT_KEPT_REASON)
        head = AnswerHead(status=answer.status, headers=answer.headers)
        return KeptAnswer(head=head, content=content)


def _unknown(reason: str, *, retry_after_seconds: float = 0.0) -> FailCaller:
    # The request of this key may have run, so that a new key would not be safe.
    return FailCaller(
        outcome=Outcome.UNKNOWN, reason=reason, retry_after_seconds=retry_after_seconds
    )
