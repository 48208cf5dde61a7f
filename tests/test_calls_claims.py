"""Test idempotency key claims, call classification and request fingerprints."""

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from egretrouter.core import calls
from egretrouter.core.calls import CallState, ClaimStatus, ClaimTable, ClaimVerdict, SettledClaim
from egretrouter.core.configuration import PlainServiceFile
from egretrouter.core.eras import order_version
from egretrouter.core.errors import Outcome, ValidationError
from egretrouter.core.identifiers import CallId, Digest, Epoch, InstanceId, WorkspaceId

ROUTER = InstanceId("router-1")


def place(claim: str, key: str = "k", *, attempt: int = 1, **other: Any) -> calls.PlaceClaim:
    target = calls.Target(
        agent_id=InstanceId("agent"),
        address="127.0.0.1:1",
        epoch=Epoch(1),
        call_id=CallId(f"{claim}.{attempt}"),
        expires_at_seconds=30.0,
    )
    fields = {"fingerprint": Digest("f"), "router_id": ROUTER, **other}
    return calls.PlaceClaim(
        key_digest=key,
        workspace=WorkspaceId("w"),
        claim_id=claim,
        attempt=attempt,
        target=target,
        deadline_at_seconds=30.0,
        **fields,
    )


class Store:
    """Execute one claim table's requests immediately, or hold them back."""

    def __init__(self, **limits: Any) -> None:
        self.table = ClaimTable(limits=calls.ClaimLimits(shards=1, **limits))
        self.version, self.content, self.era = 0, b"", 1
        self.decided: list[calls.ClaimDecided] = []
        self.held_commands: list[Any] = []
        self.holds_commands = False
        self.send(calls.RoutersChanged(routers=frozenset({ROUTER})))

    def send(self, message: Any, now: float = 0.0) -> "Store":
        for command in self.table.handle(message, now_seconds=now):
            if isinstance(command, calls.ClaimDecided):
                self.decided.append(command)
            elif self.holds_commands:
                self.held_commands.append(command)
            else:
                self.execute(command, now)
        return self

    def execute(self, command: Any, now: float = 0.0, *, is_acknowledged: bool = True) -> None:
        shard, request = command.shard, command.request
        reply: Any = calls.ShardWriteUndecided(shard=shard, request=request)
        if isinstance(command, calls.ReadShard):
            reply = calls.ShardRead(
                shard=shard,
                request=request,
                version=self.version,
                content=self.content,
                era=self.era,
            )
        elif command.expected_version == self.version:
            self.version, self.content = self.version + 1, command.content
            if is_acknowledged:
                reply = calls.ShardWritten(shard=shard, request=request, version=self.version)
        self.send(reply, now)

    def copy_of(self, other: "Store") -> "Store":
        """Use the same content as the table of another router."""
        self.version, self.content, self.era = other.version, other.content, other.era
        return self

    def restore(self, content: bytes) -> None:
        """Bring the store back from a copy, in a new era that gives versions out again."""
        self.era += 1
        self.content = content
        self.version = order_version(1, era=self.era) if content else 0

    def verdict(self, message: Any, now: float = 0.0) -> ClaimVerdict:
        self.send(message, now)
        return self.decided[-1].verdict


def end(claim: str, status: ClaimStatus | None, content: bytes = b"") -> calls.EndClaim:
    answer = calls.ClaimAnswer(status=201, content=content) if content else None
    return calls.EndClaim(key_digest="k", claim_id=claim, status=status, answer=answer)


class TestRestoredStore:
    """Guard against a call that runs again because the store lost its claim."""

    @pytest.mark.parametrize("lost", ["claim", "end"])
    def test_a_claim_that_the_store_lost_is_not_granted_again(self, lost: str) -> None:
        store = Store()
        assert store.verdict(place("a")) is ClaimVerdict.GRANTED
        copy = store.content if lost == "end" else b""
        store.send(end("a", ClaimStatus.FINISHED, b"contract"))
        store.restore(copy)
        assert store.verdict(place("b"), 1.0) is ClaimVerdict.REPLAY
        assert calls.ClaimShard.from_bytes(store.content).entries["k"].answer is not None

    def test_lost_claims_are_written_back_without_a_request(self) -> None:
        store = Store()
        store.verdict(place("a"))
        kept = store.content
        store.restore(b"")
        store.send(calls.EraBegun(era=2), 1.0)
        assert store.content == kept
        written = store.version
        store.send(calls.ClaimTick(), 2.0)
        assert store.version == written

    def test_another_router_grants_nothing_until_lost_claims_are_back(self) -> None:
        store = Store()
        store.verdict(place("a"))
        store.restore(b"")
        other = Store().copy_of(store)
        assert other.verdict(place("b"), 1.0) is ClaimVerdict.STORE_OUT
        store.send(calls.EraBegun(era=2), 2.0)
        other.copy_of(store)
        assert other.verdict(place("c"), 3.0) is ClaimVerdict.IN_PROGRESS
        later = 1.0 + calls.ClaimLimits().restore_hold_seconds
        assert other.verdict(place("d", "another"), later - 0.1) is ClaimVerdict.STORE_OUT
        assert other.verdict(place("e", "another"), later) is ClaimVerdict.GRANTED

    def test_a_later_attempt_that_the_store_lost_is_not_replaced(self) -> None:
        store = Store()
        store.verdict(place("a"))
        copy = store.content
        first = calls.ClaimShard.from_bytes(copy).entries["k"]
        assert store.verdict(place("a", attempt=2)) is ClaimVerdict.GRANTED
        store.restore(copy)
        other = Store().copy_of(store)
        replacing = place("b", router_id=InstanceId("router-2"), replaces=first)
        assert other.verdict(replacing, 31.0) is ClaimVerdict.STORE_OUT
        store.send(calls.EraBegun(era=2), 31.0)
        entry = calls.ClaimShard.from_bytes(store.content).entries["k"]
        assert entry.attempt == 2

    def test_a_router_that_starts_long_after_a_restore_grants_claims(self) -> None:
        store = Store()
        store.restore(b"")
        assert store.verdict(place("a"), 1000.0) is ClaimVerdict.STORE_OUT
        limits = calls.ClaimLimits()
        held_seconds = limits.restore_hold_seconds + limits.clock_skew_seconds
        recent = calls.EraBegun(era=2, noticed_at_seconds=1001.0 - held_seconds)
        store.send(recent, 1000.0)
        assert store.verdict(place("b"), 1000.0) is ClaimVerdict.STORE_OUT
        store.send(calls.EraBegun(era=2, noticed_at_seconds=10.0), 1000.0)
        assert store.verdict(place("c"), 1000.0) is ClaimVerdict.GRANTED

    def test_an_update_acknowledged_in_an_earlier_era_is_not_believed(self) -> None:
        store = Store()
        store.holds_commands = True
        store.send(place("a"))
        store.execute(store.held_commands.pop())
        (write,) = store.held_commands
        store.holds_commands = False
        store.restore(b"")
        store.send(calls.EraBegun(era=2), 1.0)
        written = calls.ShardWritten(shard=write.shard, request=write.request, version=1)
        store.send(written, 1.0)
        assert store.decided[-1].verdict is ClaimVerdict.GRANTED
        assert "k" in calls.ClaimShard.from_bytes(store.content).entries


class TestClaimTable:
    """Guard against two holders of a key and against wrong answers to a repeated request."""

    def test_repeat_is_in_progress_then_replayed(self) -> None:
        store = Store()
        assert store.verdict(place("a")) is ClaimVerdict.GRANTED
        assert store.verdict(place("b")) is ClaimVerdict.IN_PROGRESS
        assert store.verdict(place("c", fingerprint=Digest("g"))) is ClaimVerdict.MISMATCH
        store.send(end("a", ClaimStatus.FINISHED, b"contract"))
        assert store.verdict(place("d")) is ClaimVerdict.REPLAY
        entry = store.decided[-1].entry
        assert entry is not None
        assert entry.answer == calls.ClaimAnswer(status=201, content=b"contract")

    def test_batches_are_bounded_and_every_claim_is_decided(self) -> None:
        store = Store(batch_operations=10)
        store.holds_commands = True
        for number in range(25):
            store.send(place(f"c{number}", f"k{number}"))
        store.holds_commands = False
        store.execute(store.held_commands[0])
        assert [decided.verdict for decided in store.decided] == [ClaimVerdict.GRANTED] * 25
        assert store.version == 3

    def test_waiting_claims_join_one_update(self) -> None:
        store = Store()
        store.holds_commands = True
        for number in range(100):
            store.send(place(f"c{number}", f"k{number}"))
        store.holds_commands = False
        store.execute(store.held_commands[0])
        assert len(store.decided) == 100
        assert store.version == 1

    @pytest.mark.parametrize(
        ("now", "router"), [(31.0, ROUTER), (1.0, InstanceId("gone"))], ids=["late", "dead"]
    )
    def test_claim_of_a_late_or_dead_router_is_settled_and_replaced(
        self, now: float, router: InstanceId
    ) -> None:
        store = Store()
        store.send(place("a", router_id=router))
        assert store.verdict(place("b"), now) is ClaimVerdict.SETTLE
        entry = store.decided[-1].entry
        assert store.verdict(place("b", replaces=entry), now) is ClaimVerdict.GRANTED
        late = store.verdict(place("a", attempt=2, router_id=router), now)
        assert late is not ClaimVerdict.GRANTED

    def test_lost_reply_is_resolved_by_reading_the_shard_again(self) -> None:
        store = Store()
        store.send(place("z", "other"))
        store.holds_commands = True
        store.send(place("a"))
        store.holds_commands = False
        store.execute(store.held_commands[0], is_acknowledged=False)
        assert store.decided[-1].verdict is ClaimVerdict.GRANTED
        assert store.version == 2

    def test_late_write_of_a_released_claim_does_not_hold_the_key(self) -> None:
        store = Store()
        store.send(place("z", "other"))
        store.holds_commands = True
        store.send(place("a"))
        (write,) = store.held_commands
        store.send(calls.ShardUnavailable(shard=0, request=write.request))
        assert store.decided[-1].verdict is ClaimVerdict.STORE_OUT
        store.send(end("a", None))
        store.version, store.content = store.version + 1, write.content
        store.holds_commands = False
        store.execute(store.held_commands[-1])
        assert store.verdict(place("b")) is ClaimVerdict.GRANTED

    def test_place_times_out_while_the_store_does_not_answer(self) -> None:
        store = Store()
        store.holds_commands = True
        store.send(place("a"))
        store.send(calls.ClaimTick(), 3.0)
        assert store.decided[-1].verdict is ClaimVerdict.STORE_OUT

    def test_full_shard_refuses_until_claims_expire(self) -> None:
        store = Store(shard_bytes=700)
        verdicts = [store.verdict(place(f"c{n}", f"k{n}")) for n in range(4)]
        assert verdicts[0] is ClaimVerdict.GRANTED
        assert verdicts[-1] is ClaimVerdict.SHARD_FULL
        assert len(store.content) <= 700
        assert store.verdict(place("d", "d"), 4000.0) is ClaimVerdict.GRANTED

    @pytest.mark.parametrize(
        ("size", "inline", "stored"), [(10, True, False), (5000, False, True), (10**6 + 1, 0, 0)]
    )
    def test_large_answers_get_an_object_or_none(
        self, size: int, inline: bool, stored: bool
    ) -> None:
        answer, content = calls.prepare_claim_answer(status=200, headers=(), content=b"x" * size)
        assert (answer.content is not None) == inline
        assert (content is not None) == stored == (answer.content_digest is not None)

    @pytest.mark.parametrize(
        ("state", "kept", "expected"),
        [
            (CallState.TOMBSTONED, False, SettledClaim.REPLACE),
            (CallState.RUNNING, False, SettledClaim.IN_PROGRESS),
            (CallState.FINISHED, True, SettledClaim.REPLAY),
            (CallState.FINISHED, False, SettledClaim.UNKNOWN),
            (CallState.FORGOTTEN, False, SettledClaim.UNKNOWN),
            (None, False, SettledClaim.UNKNOWN),
        ],
    )
    def test_decides_a_settled_claim(
        self, state: CallState | None, kept: bool, expected: SettledClaim
    ) -> None:
        assert calls.decide_settled_claim(state, answer_kept=kept) is expected

    def test_owner_changes_only_if_it_left(self) -> None:
        routers = frozenset(InstanceId(f"r{number}") for number in range(15))
        for shard in range(20):
            owner = calls.shard_owner(shard, routers)
            assert owner is not None
            other = next(r for r in sorted(routers) if r != owner)
            assert calls.shard_owner(shard, routers - {other}) == owner


NEVER_RUN = {CallState.TOMBSTONED, CallState.REFUSED}


class RegistryMachine(RuleBasedStateMachine):
    """Guard against a reported call state that a later message contradicts."""

    names = st.sampled_from(["a", "b", "c"])

    def __init__(self) -> None:
        super().__init__()
        limits = calls.RegistryLimits(running_calls=1, remembered_calls=2, settle_seconds=2.0)
        self.registry = calls.CallRegistry(
            epoch=Epoch(1), version_digests=frozenset({Digest("v")}), limits=limits
        )
        self.now = 0.0
        self.started: list[str] = []
        self.never_run_ids: set[str] = set()

    def send(self, message: Any) -> None:
        for command in self.registry.handle(message, now_seconds=self.now):
            if isinstance(command, calls.StartCall):
                self.started.append(command.call_id)
            elif isinstance(command, calls.SendFrame):
                self.record_refusal(command)
            elif isinstance(command, calls.ReplySettle) and command.state in NEVER_RUN:
                self.never_run_ids.add(command.call_id)

    def record_refusal(self, frame: calls.SendFrame) -> None:
        # A refusal for another epoch does not mean that the call did not run in this one.
        body = frame.body
        assert isinstance(body, calls.AnswerEnd | calls.AnswerFailure)
        if isinstance(body, calls.AnswerFailure) and body.reason != "other_epoch":
            self.never_run_ids |= {frame.call_id} if body.outcome is Outcome.NOT_RUN else set()

    @rule(name=names, epoch=st.sampled_from([1, 1, 2]))
    def admit(self, name: str, epoch: int) -> None:
        self.send(
            calls.AdmitCall(
                call_id=CallId(name),
                router_id=ROUTER,
                epoch=Epoch(epoch),
                version_digest=Digest("v"),
                expires_at_seconds=4.0,
                idempotent=False,
            )
        )

    @rule(name=names)
    def settle(self, name: str) -> None:
        self.send(calls.SettleCall(call_id=CallId(name), epoch=Epoch(1), expires_at_seconds=4.0))

    @rule(name=names)
    def finish(self, name: str) -> None:
        self.send(calls.CallStarted(call_id=CallId(name)))
        self.send(calls.CallFinished(call_id=CallId(name)))

    @rule(seconds=st.sampled_from([0.1, 1.0, 20.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.send(calls.Tick())

    @invariant()
    def runs_once_or_is_not_run(self) -> None:
        assert len(self.started) == len(set(self.started))
        assert not self.never_run_ids & set(self.started)


TestRegistryMachine = RegistryMachine.TestCase
TestRegistryMachine.settings = settings(max_examples=150, derandomize=True, deadline=None)

PLAIN = PlainServiceFile.model_validate(
    {
        "kind": "plain",
        "name": "orders",
        "placement": [{"zone": "cardiff-a", "replicas": 1}],
        "prefixes": ["/"],
        "idempotency": [
            {"method": "PUT", "path_prefix": "/labels", "idempotent": True},
            {"path_prefix": "/reports", "header": "X-Dry-Run", "idempotent": True},
            {"method": "GET", "path_prefix": "/next-number", "idempotent": False},
        ],
    }
)


class TestIdempotency:
    """Guard against repeating a call that has side effects."""

    @pytest.mark.parametrize(
        ("method", "path", "headers", "expected"),
        [
            ("GET", "/orders", {}, True),
            ("POST", "/orders", {}, False),
            ("PUT", "/orders", {}, False),
            ("PUT", "/labels/7?x=1", {}, True),
            ("PUT", "/labelsmith", {}, False),
            ("PUT", "/labels/../orders", {}, False),
            ("PUT", "/labels/%2e%2e/orders", {}, False),
            ("POST", "/reports", {"x-dry-run": "1"}, True),
            ("POST", "/reports", {}, False),
            ("GET", "/next-number", {}, False),
            ("GET", "//next-number", {}, False),
        ],
    )
    def test_classifies_by_rules(
        self, method: str, path: str, headers: dict[str, str], expected: bool
    ) -> None:
        found = calls.is_idempotent(PLAIN, method=method, path=path, headers=headers)
        assert found is expected

    @pytest.mark.parametrize("key", ["", "a b", "x" * 256, "a\n"])
    def test_rejects_a_malformed_key(self, key: str) -> None:
        with pytest.raises(ValidationError, match="Idempotency-Key"):
            calls.check_key(key)

    def test_fingerprint_differs_between_requests(self) -> None:
        request: dict[str, Any] = {
            "method": "POST",
            "path": "/orders",
            "content_type": "application/json",
            "content": b"{}",
        }
        changes = [{}, {"method": "PUT"}, {"path": "/orders?x"}, {"content": b"{ }"}]
        found = {calls.request_fingerprint(**{**request, **change}) for change in changes}
        assert len(found) == 4
