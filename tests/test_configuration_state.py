"""Test that generations are activated completely and never revert."""

import random
from typing import Any

import pytest
from configuration_samples import sample_generation
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from egretrouter.core.configuration import (
    STORE_SOURCE,
    ApplyConfiguration,
    ConfigurationCommand,
    ConfigurationIndex,
    ConfigurationMessage,
    ConfigurationState,
    IndexFailed,
    IndexReceived,
    PartReceived,
    PartsFailed,
    PeerGeneration,
    RejectGeneration,
    RequestIndex,
    RequestParts,
    StartWatch,
    StopWatch,
    StoreUnresponsive,
    Tick,
    ZoneMembersChanged,
    select_watchers,
)
from egretrouter.core.digests import content_digest
from egretrouter.core.identifiers import (
    Digest,
    Generation,
    InstanceId,
    PublicationId,
    ZoneId,
)

ZONE = ZoneId("serra-z1")
PEERS = tuple(InstanceId(f"router-{n}") for n in range(6))
GENERATIONS = {number: sample_generation(number) for number in range(1, 9)}


def make(kind: type[ConfigurationState] = ConfigurationState, seed: int = 0) -> ConfigurationState:
    return kind(instance_id=PEERS[0], zone=ZONE, rng=random.Random(seed))


def parts(number: int, digests: tuple[Digest, ...]) -> list[PartReceived]:
    return [PartReceived(digest=d, content=GENERATIONS[number][1][d]) for d in digests]


def send(state: ConfigurationState, *messages: ConfigurationMessage, now: float = 0.0) -> list[Any]:
    commands: list[ConfigurationCommand] = []
    for message in messages:
        commands += state.handle(message, now_seconds=now)
    return commands


def activate(state: ConfigurationState, number: int) -> None:
    seen = IndexReceived(index=GENERATIONS[number][0], source=STORE_SOURCE)
    for command in send(state, seen):
        if isinstance(command, RequestParts):
            send(state, *parts(number, command.digests))
    assert state.generation == number


class TestConfigurationState:
    """Guard against reverted or mixed generations and endless fetching."""

    def test_reuses_parts_of_the_active_generation(self) -> None:
        state = make()
        activate(state, 1)
        request = send(state, IndexReceived(index=GENERATIONS[2][0], source=PEERS[1]))[0]
        assert request.source == PEERS[1]
        assert request.digests == (GENERATIONS[2][0].parts["service/llm-cotacoes"],)

    @pytest.mark.parametrize("source", [STORE_SOURCE, PEERS[1]])
    def test_ignores_stale_indexes(self, source: InstanceId) -> None:
        state = make()
        activate(state, 3)
        assert send(state, IndexReceived(index=GENERATIONS[2][0], source=source)) == []
        assert send(state, PeerGeneration(peer=PEERS[1], generation=Generation(2))) == []
        assert state.generation == 3

    def test_asks_another_source_after_a_corrupted_part(self) -> None:
        state = make()
        request = send(state, IndexReceived(index=GENERATIONS[1][0], source=PEERS[1]))[0]
        damaged = PartReceived(digest=request.digests[0], content=b"damaged", source=PEERS[1])
        again = send(state, damaged)[0]
        assert (again.source, again.digests) == (STORE_SOURCE, request.digests)
        assert state.snapshot()["corrupted_parts"] == 1

    def test_new_process_without_store_uses_the_highest_of_three_peers(self) -> None:
        state = make()
        send(state, ZoneMembersChanged(members=PEERS))
        store, *peers = send(state, Tick())
        assert store == RequestIndex(source=STORE_SOURCE)
        asked = [c.source for c in peers]
        assert len(set(asked) - {PEERS[0]}) == 3
        assert send(state, StoreUnresponsive()) == []
        assert send(state, IndexReceived(index=GENERATIONS[2][0], source=asked[0])) == []
        assert send(state, IndexReceived(index=GENERATIONS[5][0], source=asked[1])) == []
        (request,) = send(state, IndexFailed(source=asked[2]))
        assert request.source == asked[1]
        send(state, *parts(5, request.digests))
        assert state.generation == 5

    def test_new_process_prefers_a_peer_to_a_reverted_store(self) -> None:
        """Guard against activating an older generation on a restart while the store is restored."""
        state = make()
        send(state, Tick())
        assert send(state, IndexReceived(index=GENERATIONS[1][0], source=STORE_SOURCE)) == []
        peers = [c.source for c in send(state, ZoneMembersChanged(members=PEERS))]
        assert len(set(peers) - {PEERS[0]}) == 3
        for peer in peers[:2]:
            assert send(state, IndexReceived(index=GENERATIONS[5][0], source=peer)) == []
        (request,) = send(state, IndexFailed(source=peers[2]))
        send(state, *parts(5, request.digests))
        assert state.generation == 5

    def test_isolated_process_watches_whoever_ranks_first(self) -> None:
        """The last member of its zone counted two lost ones as the watchers."""
        state = make()
        first, *_ = select_watchers(ZONE, PEERS)
        assert first != PEERS[0]
        members = ZoneMembersChanged(members=PEERS, is_isolated=True)
        assert StartWatch() in send(state, members)
        assert StopWatch() in send(state, ZoneMembersChanged(members=PEERS))

    def test_survey_ends_without_an_unresponsive_peer(self) -> None:
        state = make()
        asked = send(state, ZoneMembersChanged(members=PEERS), StoreUnresponsive())[-1].source
        send(state, IndexReceived(index=GENERATIONS[4][0], source=asked))
        assert any(isinstance(c, RequestParts) for c in send(state, Tick(), now=10.0))

    def test_rejects_an_unreachable_generation_known_only_from_a_peer(self) -> None:
        state = make()
        activate(state, 1)
        commands = send(state, IndexReceived(index=GENERATIONS[8][0], source=PEERS[1]))
        for second in range(1, 400, 2):
            commands = send(state, Tick(), now=float(second))
            if any(isinstance(c, RejectGeneration) for c in commands):
                break
        else:
            raise AssertionError("unreachable generation 8 blocks lower ones indefinitely")
        activate(state, 2)

    def test_rejects_malformed_parts_once(self) -> None:
        state = make()
        activate(state, 1)
        content = b'{"kind": "other"}'
        digest = content_digest(content)
        index = ConfigurationIndex(
            generation=Generation(2),
            publication_id=PublicationId("malformed"),
            parts={"deployment": digest},
        )
        send(state, IndexReceived(index=index, source=PEERS[1]))
        (rejected,) = send(state, PartReceived(digest=digest, content=content))
        assert isinstance(rejected, RejectGeneration)
        assert send(state, PeerGeneration(peer=PEERS[1], generation=Generation(2))) == []
        activate(state, 3)

    def test_two_members_of_a_zone_watch_and_are_replaced(self) -> None:
        first, second = select_watchers(ZONE, PEERS)
        states = {
            p: ConfigurationState(instance_id=p, zone=ZONE, rng=random.Random(0)) for p in PEERS
        }
        started = [p for p in PEERS if send(states[p], ZoneMembersChanged(members=PEERS))]
        assert sorted(started) == sorted([first, second])
        remaining = tuple(p for p in PEERS if p != first)
        new_watchers = [
            p for p in remaining if send(states[p], ZoneMembersChanged(members=remaining))
        ]
        assert new_watchers == [p for p in select_watchers(ZONE, remaining) if p != second]
        assert send(states[new_watchers[0]], ZoneMembersChanged(members=PEERS)) == [StopWatch()]
        assert send(states[first], ZoneMembersChanged(members=remaining)) == [StopWatch()]
        assert send(states[first], ZoneMembersChanged(members=PEERS)) == [StartWatch()]


class RevertingState(ConfigurationState):
    """Omit the check that a generation is higher."""

    def _is_newer(self, index: ConfigurationIndex) -> bool:
        return True


class MixingState(ConfigurationState):
    """Omit the check that all parts have arrived, and use parts of older generations instead."""

    def _apply_if_complete(self, now_seconds: float) -> list[ConfigurationCommand]:
        if self._pending is not None:
            for name, digest in self._pending.parts.items():
                older = self._active.index.parts.get(name) if self._active else None
                if digest in self._missing_digests() and older is not None:
                    mixed = {**self._pending.parts, name: older}
                    self._pending = ConfigurationIndex(
                        generation=self._pending.generation,
                        publication_id=self._pending.publication_id,
                        parts=mixed,
                    )
        return super()._apply_if_complete(now_seconds)


class NoRetryState(ConfigurationState):
    """Omit the retry of failed fetches."""

    def _parts_source_failed(self, source: InstanceId, now_seconds: float) -> list[Any]:
        return []

    def _request_hinted_index(self, now_seconds: float) -> list[Any]:
        return []


def machine(kind: type[ConfigurationState]) -> type[RuleBasedStateMachine]:
    """Return a state machine test of five processes, a store and an unreliable network."""

    class Network(RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.now = 0.0
            self.published = 1
            self.store_up = True
            self.messages_in_flight: list[tuple[int, ConfigurationMessage]] = []
            self.nodes = [self._new(n) for n in range(5)]
            self.last_generations = [0] * 5

        def _new(self, number: int) -> ConfigurationState:
            return kind(instance_id=PEERS[number], zone=ZONE, rng=random.Random(number))

        def _deliver(self, number: int, message: ConfigurationMessage) -> None:
            for command in self.nodes[number].handle(message, now_seconds=self.now):
                self._execute(number, command)

        def _execute(self, number: int, command: ConfigurationCommand) -> None:
            if isinstance(command, ApplyConfiguration):
                applied = command.configuration
                assert applied.generation > self.last_generations[number], "generation reverted"
                self.last_generations[number] = applied.generation
                assert applied.index.parts == GENERATIONS[applied.generation][0].parts, "mixed"
                version = applied.model_services()[0].version
                assert version == f"v{applied.generation}", "mixed"
            elif isinstance(command, RequestIndex | RequestParts):
                self._answer(number, command)

        def _answer(self, number: int, command: RequestIndex | RequestParts) -> None:
            source = command.source
            if source == STORE_SOURCE:
                generation = self.published if self.store_up else 0
                contents = GENERATIONS[self.published][1] if self.store_up else {}
            else:
                peer = self.nodes[PEERS.index(source)]
                generation = peer.generation
                known = (d for p in GENERATIONS.values() for d in p[1])
                contents = {d: c for d in known if (c := peer.get_part(d)) is not None}
            if isinstance(command, RequestIndex):
                seen = IndexReceived(index=GENERATIONS[max(generation, 1)][0], source=source)
                self.messages_in_flight.append(
                    (number, seen if generation else IndexFailed(source=source))
                )
                return
            for digest in command.digests:
                if digest in contents:
                    part = PartReceived(digest=digest, content=contents[digest], source=source)
                    self.messages_in_flight.append((number, part))
                else:
                    self.messages_in_flight.append((number, PartsFailed(source=source)))

        @rule()
        def publish(self) -> None:
            self.published = min(self.published + 1, len(GENERATIONS))

        @rule(number=st.integers(0, 4), generation=st.integers(1, 8))
        def deliver_stored_index(self, number: int, generation: int) -> None:
            generation = min(generation, self.published)
            self._deliver(
                number, IndexReceived(index=GENERATIONS[generation][0], source=STORE_SOURCE)
            )

        @rule(number=st.integers(0, 4), peer=st.integers(0, 4))
        def gossip(self, number: int, peer: int) -> None:
            generation = self.nodes[peer].generation
            if number != peer:
                self._deliver(number, PeerGeneration(peer=PEERS[peer], generation=generation))

        @rule(
            data=st.data(), outcome=st.sampled_from(["deliver"] * 4 + ["lose", "double", "damage"])
        )
        def deliver_in_flight(self, data: st.DataObject, outcome: str) -> None:
            if not self.messages_in_flight:
                return
            position = data.draw(st.integers(0, len(self.messages_in_flight) - 1))
            number, message = self.messages_in_flight.pop(position)
            if outcome == "lose":
                return
            if outcome == "damage" and isinstance(message, PartReceived):
                message = PartReceived(digest=message.digest, content=b"?", source=message.source)
            self._deliver(number, message)
            if outcome == "double":
                self._deliver(number, message)

        @rule(up=st.booleans())
        def set_store_up(self, up: bool) -> None:
            self.store_up = up

        @rule(seconds=st.floats(0.1, 60))
        def tick(self, seconds: float) -> None:
            self.now += seconds
            for number in range(5):
                self._deliver(number, Tick())

        @rule(number=st.integers(0, 4))
        def restart(self, number: int) -> None:
            self.nodes[number] = self._new(number)
            self.last_generations[number] = 0
            self._deliver(number, ZoneMembersChanged(members=PEERS[:5]))

        @invariant()
        def memory_is_bounded(self) -> None:
            for node in self.nodes:
                assert len(node._contents) + len(node._pending_contents) <= 6
                assert len(node._hints) <= 4

        def teardown(self) -> None:
            self.store_up = True
            for _ in range(200):
                messages_in_flight, self.messages_in_flight = self.messages_in_flight, []
                for number, message in messages_in_flight:
                    self._deliver(number, message)
                self._deliver(
                    0, IndexReceived(index=GENERATIONS[self.published][0], source=STORE_SOURCE)
                )
                for number in range(1, 5):
                    self.gossip(number, number - 1)
                self.tick(1.0)
            assert {n.generation for n in self.nodes} == {self.published}, "no convergence"

    return Network


SETTINGS = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None, database=None
)

# Seeds needed up to about 60 examples to expose a mutant; 600 leave a margin for other seeds.
MUTANT_SETTINGS = settings(SETTINGS, max_examples=600, phases=[Phase.generate])


class TestConfigurationUnderFaults:
    """Guard against reverted, mixed or diverging generations.

    Messages are lost, duplicated, corrupted and delayed, and processes restart.
    """

    def test_invariants_hold(self) -> None:
        run_state_machine_as_test(machine(ConfigurationState), settings=SETTINGS)

    @pytest.mark.parametrize(
        ("kind", "failure"),
        [(RevertingState, "reverted"), (MixingState, "mixed"), (NoRetryState, "no convergence")],
    )
    def test_detects_a_missing_check(self, kind: type[ConfigurationState], failure: str) -> None:
        with pytest.raises(AssertionError, match=failure):
            run_state_machine_as_test(machine(kind), settings=MUTANT_SETTINGS)
