"""Test that no sequence of faults runs a call twice or wrongly reports one as not_run."""

from collections.abc import Callable
from typing import Any

import pytest
from calls_router import CALL_SECONDS
from calls_world import World
from msgspec.structs import replace

from egretrouter.core import calls
from egretrouter.core.calls import CallAttempt, CallRegistry, CallState, ClaimTable, SettledClaim
from egretrouter.core.calls._claim_batch import ClaimBatch
from egretrouter.core.calls._endpoint_call import EndpointCallState

SEEDS = 10_000
MUTANTS: list[Any] = []


def mutant(owner: Any, name: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Register a function that replaces a method and receives the original as first argument."""

    def register(function: Callable[..., Any]) -> Callable[..., Any]:
        MUTANTS.append(pytest.param(owner, name, function, id=function.__name__))
        return function

    return register


@mutant(CallRegistry, "_store_call")
def refused_ids_are_not_recorded(original: Any, self: Any, call_id: Any, call: Any) -> Any:
    return call.state is CallState.REFUSED or original(self, call_id, call)


@mutant(CallRegistry, "_store_call")
def ids_that_do_not_fit_are_admitted_later(original: Any, self: Any, *args: Any) -> Any:
    is_stored = original(self, *args)
    self._refuse_until_seconds = float("-inf")
    return is_stored


@mutant(CallRegistry, "_store_tombstone")
def settle_leaves_no_tombstone(original: Any, self: Any, *args: Any) -> None:
    pass


@mutant(CallRegistry, "_remove_expired_calls")
def ids_are_removed_at_once(original: Any, self: Any, now: float) -> None:
    for key in set(self._calls) - set(self._running) - set(self._kept_answers):
        del self._calls[key]


@mutant(CallRegistry, "handle")
def expiry_counts_from_arrival(original: Any, self: Any, message: Any, *, now_seconds: Any) -> Any:
    if isinstance(message, calls.AdmitCall):
        message = replace(message, expires_at_seconds=now_seconds + CALL_SECONDS)
    return original(self, message, now_seconds=now_seconds)


@mutant(CallRegistry, "handle")
def removed_ids_count_as_new(original: Any, self: Any, message: Any, *, now_seconds: Any) -> Any:
    if isinstance(message, calls.SettleCall):
        latest = max(message.expires_at_seconds, now_seconds - self._limits.settle_seconds)
        message = replace(message, expires_at_seconds=latest)
    return original(self, message, now_seconds=now_seconds)


@mutant(CallRegistry, "handle")
def another_epoch_settles(original: Any, self: Any, message: Any, **time: Any) -> Any:
    if isinstance(message, calls.SettleCall):
        message = replace(message, epoch=self.epoch)
    return original(self, message, **time)


@mutant(CallRegistry, "handle")
def failed_calls_count_as_not_run(original: Any, self: Any, message: Any, **time: Any) -> Any:
    if isinstance(message, calls.CallFailed) and message.call_id in self._running:
        self._calls[message.call_id].state = CallState.ADMITTED
    return original(self, message, **time)


@mutant(CallRegistry, "handle")
def copies_start_again(original: Any, self: Any, message: Any, **time: Any) -> Any:
    commands = original(self, message, **time)
    if isinstance(message, calls.AdmitCall) and not commands:
        return [calls.StartCall(call_id=message.call_id)]
    return commands


@mutant(CallAttempt, "_may_retry")
def any_call_is_retried(original: Any, self: Any) -> bool:
    return len(self._endpoint_calls) < 3


@mutant(CallAttempt, "_may_have_run")
def failures_are_reported_as_not_run(original: Any, self: Any) -> bool:
    return False


@mutant(CallAttempt, "handle")
def any_call_is_hedged(original: Any, self: Any, message: Any, **time: Any) -> Any:
    if isinstance(message, calls.HedgeDue) and not self.ended:
        return self._choose_endpoint()
    return original(self, message, **time)


@mutant(CallAttempt, "handle")
def ended_calls_are_sent(original: Any, self: Any, message: Any, **time: Any) -> Any:
    if isinstance(message, calls.TargetRecorded) and self.ended:
        return self._send_open(self._endpoint_calls[message.attempt])
    return original(self, message, **time)


@mutant(CallAttempt, "handle")
def later_targets_are_not_recorded(original: Any, self: Any, message: Any, **time: Any) -> Any:
    commands = original(self, message, **time)
    if isinstance(message, calls.EndpointChosen) and len(self._endpoint_calls) > 1 and commands:
        return self._send_open(self._endpoint_calls[len(self._endpoint_calls)])
    return commands


@mutant(CallAttempt, "_finish_answer")
def checksum_is_not_compared(original: Any, self: Any, endpoint_call: Any, body: Any) -> Any:
    return original(self, endpoint_call, endpoint_call.checksum.end())


@mutant(CallAttempt, "handle")
def sequence_is_not_checked(original: Any, self: Any, message: Any, **time: Any) -> Any:
    if isinstance(message, calls.FrameArrived) and isinstance(message.body, calls.AnswerEnd):
        endpoint_call = self._endpoint_call(message.attempt, EndpointCallState.OPEN)
        if endpoint_call is not None:
            endpoint_call.next_sequence = message.sequence
            message = replace(message, body=endpoint_call.checksum.end())
    return original(self, message, **time)


@mutant(CallAttempt, "_select_source")
def hedged_answers_are_mixed(original: Any, self: Any, endpoint_call: Any) -> Any:
    self._forwarded_bytes = endpoint_call.checksum.total_bytes
    return []


@mutant(ClaimTable, "handle")
def undecided_writes_count_as_written(original: Any, self: Any, message: Any, **time: Any) -> Any:
    if isinstance(message, calls.ShardWriteUndecided):
        version = self._shards[message.shard].version + 1
        message = calls.ShardWritten(shard=message.shard, request=message.request, version=version)
    return original(self, message, **time)


@mutant(ClaimBatch, "_replaces")
def settled_claims_replace_any_other(original: Any, self: Any, message: Any, entry: Any) -> Any:
    return message.replaces is not None


@mutant(ClaimBatch, "_is_expired")
def claims_expire_with_the_deadline(original: Any, self: Any, entry: Any, now: float) -> bool:
    return now > entry.deadline_at_seconds


@mutant(calls, "decide_settled_claim")
def claims_with_unknown_state_are_replaced(original: Any, state: Any, **kept: Any) -> SettledClaim:
    action = original(state, **kept)
    return SettledClaim.REPLACE if action is SettledClaim.UNKNOWN else action


class TestAtMostOnce:
    """Guard against double executions, false not_run and incomplete answers."""

    def test_ten_thousand_seeds_violate_no_guarantee(self) -> None:
        violations_by_seed = {
            seed: found for seed in range(SEEDS) if (found := World(seed).run().violations())
        }
        assert violations_by_seed == {}

    def test_runs_reach_every_outcome(self) -> None:
        results = {call.result for seed in range(300) for call in World(seed).run().calls}
        assert {"whole", "not_run", "unknown", "replay", "in_progress", "settle"} <= results

    @pytest.mark.parametrize(("owner", "name", "function"), MUTANTS)
    def test_detects_a_missing_check(
        self, owner: Any, name: str, function: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        original = getattr(owner, name)
        monkeypatch.setattr(
            owner, name, lambda *args, **kwargs: function(original, *args, **kwargs)
        )
        assert any(World(seed).run().violations() for seed in range(SEEDS))
