"""Test how a weight copy reacts to single messages."""

from random import Random

import pytest

from benchmarks.copy_loop import make_peers
from egretrouter.core.errors import CorruptedChunkError, ManifestMismatchError, WeightMemoryError
from egretrouter.core.identifiers import ChunkIndex, Digest, InstanceId, ModelName, VersionName
from egretrouter.core.limits import Backoff
from egretrouter.core.weights import (
    FETCHING_STATES,
    ORIGIN,
    AllowanceAsked,
    Announce,
    CancelFetch,
    ChunkArrived,
    ChunkFailed,
    ChunkMemory,
    ChunkRequested,
    CopyCommand,
    CopyCompleted,
    CopyHalted,
    CopyMessage,
    CopyRestarts,
    CopySettings,
    CopyState,
    FetchChunk,
    FetchManifest,
    GiveAllowance,
    LinkShares,
    Loaded,
    ManifestArrived,
    Missing,
    OriginAllowance,
    PeerAnnounced,
    PeersChanged,
    RefuseChunk,
    SendChunk,
    Superseded,
    Tick,
    TokenBucket,
    UploadEnded,
    VerifyWeights,
    WeightCopy,
    WeightsVerified,
    build_manifest,
    split_chunks,
)
from egretrouter.core.weights._sources import Sources

CONTENT = bytes(range(256)) * 4
PIECES = split_chunks(CONTENT, chunk_bytes=128)
ALL = (1 << len(PIECES)) - 1


class Harness:
    """Drive one weight copy message by message."""

    def __init__(
        self,
        *,
        peers: int = 1,
        budget: int = 1 << 30,
        memory: ChunkMemory | None = None,
        content: bytes = CONTENT,
        links: LinkShares | None = None,
    ) -> None:
        self.peers = make_peers(peers, zones=1, regions=1)
        self.manifest = build_manifest(
            model=ModelName("m"), version=VersionName("v"), content=content, chunk_bytes=128
        )
        self.memory = memory or ChunkMemory(weight_memory_bytes=2048)
        self.allowance = OriginAllowance(
            zone_bytes_per_minute=budget,
            instance_id=self.peers[0].instance_id,
            joined_seconds=-100.0,
        )
        self.copy = WeightCopy(
            manifest=self.manifest,
            pinned_digest=self.manifest.digest,
            own=self.peers[0],
            memory=self.memory,
            allowance=self.allowance,
            settings=CopySettings(),
            random=Random(3),
            links=links,
        )
        self.now = 0.0

    def dispatch(self, message: CopyMessage, *, after: float = 0.1) -> list[CopyCommand]:
        self.now += after
        return self.copy.handle(message, now_seconds=self.now)

    def start(self) -> list[CopyCommand]:
        commands = self.dispatch(PeersChanged(peers=tuple(self.peers)))
        return commands + self.dispatch(Tick(), after=1.5)

    def announce(self, peer: int, held: int = ALL) -> list[CopyCommand]:
        message = PeerAnnounced(peer=self.peers[peer].instance_id, held=held.to_bytes(1, "little"))
        return self.dispatch(message)

    def deliver_chunk(
        self, source: InstanceId, index: int, content: bytes | None = None
    ) -> list[CopyCommand]:
        content = PIECES[index] if content is None else content
        return self.dispatch(ChunkArrived(source=source, index=ChunkIndex(index), content=content))

    def deliver_all_chunks(self) -> list[CopyCommand]:
        return [c for index in range(len(PIECES)) for c in self.deliver_chunk(ORIGIN, index)]


def fetches(commands: list[CopyCommand]) -> list[FetchChunk]:
    return [command for command in commands if isinstance(command, FetchChunk)]


class TestSpoiltChunks:
    """Guard against an origin that is left unused for long after it spoilt a few chunks."""

    SETTINGS = CopySettings(strikes=3, quarantine_seconds=2.0, backoff_max_seconds=4.0)

    def quarantines(self, spoilt: list[bool]) -> list[float]:
        """Return the times in quarantine after chunks of the origin that are spoilt or sound."""
        sources = Sources(settings=self.SETTINGS, random=Random(1))
        found = []
        for is_spoilt in spoilt:
            if not is_spoilt:
                sources.record_success(ORIGIN)
                continue
            seconds = sources.record_corruption(ORIGIN, now_seconds=0.0)
            if seconds is not None:
                found.append(seconds)
        return found

    def test_sound_chunks_take_strikes_back(self) -> None:
        assert self.quarantines([True, *[False] * 24] * 20) == []
        assert self.quarantines([True, True, True]) == [2.0]

    def test_quarantine_of_the_origin_grows_to_a_bound(self) -> None:
        assert self.quarantines([True] * 12) == [2.0, 4.0, 4.0, 4.0]

    def test_quarantine_is_short_again_after_sound_chunks(self) -> None:
        assert self.quarantines([True] * 6 + [False] + [True] * 3) == [2.0, 4.0, 2.0]


class TestRestarts:
    """Guard against a failed copy that never starts again, or starts without end."""

    def test_starts_are_delayed_up_to_a_bound(self) -> None:
        restarts: CopyRestarts[str] = CopyRestarts(
            Backoff(Random(1), base_seconds=0.3, limit_seconds=4.0)
        )
        assert restarts.may_start("v2", now_seconds=0.0)
        for _ in range(40):
            restarts.record_failure("v2", now_seconds=10.0)
            assert restarts.may_start("v2", now_seconds=14.0)
            assert restarts.may_start("v3", now_seconds=10.0)
        assert not restarts.may_start("v2", now_seconds=10.0)
        restarts.record_success("v2")
        assert restarts.may_start("v2", now_seconds=10.0)


class TestVerification:
    """Guard against weights that are partial, mixed or different from those pinned."""

    def test_completes_only_after_the_weights_are_verified(self) -> None:
        harness = Harness()
        harness.start()
        commands = harness.deliver_all_chunks()
        assert VerifyWeights() in commands
        assert CopyCompleted() not in commands
        assert CopyCompleted() in harness.dispatch(WeightsVerified(matches=True))

    def test_halts_if_the_weights_do_not_match(self) -> None:
        harness = Harness()
        harness.start()
        harness.deliver_all_chunks()
        halted = harness.dispatch(WeightsVerified(matches=False))[-1]
        assert isinstance(halted, CopyHalted)
        assert isinstance(halted.error, CorruptedChunkError)
        assert harness.copy.state is CopyState.HALTED

    def test_stores_no_corrupted_chunk(self) -> None:
        harness = Harness()
        harness.start()
        harness.deliver_chunk(ORIGIN, 0, b"x" * 128)
        assert harness.memory.held(harness.manifest.digest) == 0

    def test_stores_the_first_of_two_results_once(self) -> None:
        harness = Harness()
        harness.start()
        harness.deliver_chunk(ORIGIN, 0)
        harness.deliver_chunk(InstanceId("i9"), 0, b"x" * 128)
        assert harness.memory.get(harness.manifest.digest, ChunkIndex(0)) == PIECES[0]

    def test_a_changed_manifest_at_the_origin_halts(self) -> None:
        harness = Harness()
        started = harness.start()
        commands = []
        for fetch in fetches(started)[:1] * 3:
            commands += harness.deliver_chunk(ORIGIN, fetch.index, b"other")
        assert FetchManifest() in commands
        second = fetches(started)[1]
        assert CancelFetch(source=ORIGIN, index=second.index) in commands
        other = ManifestArrived(content=Harness(content=CONTENT[::-1]).manifest.to_json())
        assert FetchManifest() in harness.dispatch(other)
        halted = harness.dispatch(other)[-1]
        assert isinstance(halted, CopyHalted)
        assert isinstance(halted.error, ManifestMismatchError)

    def test_a_spoilt_manifest_does_not_halt(self) -> None:
        """A copy was given up for good after one spoilt manifest of its origin."""
        harness = Harness()
        harness.start()
        harness.dispatch(ManifestArrived(content=b"{"))
        for content in (CONTENT[::-1], CONTENT, CONTENT[::-1], CONTENT[1:] + b"x"):
            manifest = Harness(content=content).manifest
            harness.dispatch(ManifestArrived(content=manifest.to_json()))
            assert harness.copy.state in FETCHING_STATES
        assert CopyCompleted() not in harness.deliver_all_chunks()
        assert CopyCompleted() in harness.dispatch(WeightsVerified(matches=True))

    def test_manifests_that_are_all_different_are_not_asked_for_without_end(self) -> None:
        harness = Harness()
        harness.start()
        asked = 0
        for number in range(10):
            manifest = Harness(content=CONTENT[1:] + bytes([number])).manifest
            commands = harness.dispatch(ManifestArrived(content=manifest.to_json()), after=0.0)
            asked += commands.count(FetchManifest())
        assert asked == 1

    def test_refuses_a_manifest_that_is_not_pinned(self) -> None:
        harness = Harness()
        with pytest.raises(ManifestMismatchError, match="pins"):
            WeightCopy(
                manifest=harness.manifest,
                pinned_digest=Digest("0" * 64),
                own=harness.peers[0],
                memory=harness.memory,
                allowance=harness.allowance,
                settings=CopySettings(),
                random=Random(1),
            )

    def test_refuses_weights_that_do_not_fit(self) -> None:
        with pytest.raises(WeightMemoryError):
            Harness(memory=ChunkMemory(weight_memory_bytes=1000))


class TestSupersession:
    """Guard against fetches and memory that remain after a version was replaced."""

    def test_cancels_fetches_and_frees_memory(self) -> None:
        memory = ChunkMemory(weight_memory_bytes=1024)
        harness = Harness(memory=memory)
        started_fetches = fetches(harness.start())
        commands = harness.dispatch(Superseded())
        assert {CancelFetch(source=o.source, index=o.index) for o in started_fetches} == set(
            commands
        )
        newer = Harness(memory=memory, content=CONTENT[::-1])
        assert newer.memory.held(newer.manifest.digest) == 0
        assert harness.deliver_chunk(ORIGIN, 0) == []
        assert memory.held(harness.manifest.digest) == 0

    def test_ends_serving_some_time_after_the_load(self) -> None:
        harness = Harness()
        harness.start()
        harness.deliver_all_chunks()
        harness.dispatch(WeightsVerified(matches=True))
        harness.dispatch(Loaded())
        harness.dispatch(Tick(), after=119.0)
        assert harness.copy.state is CopyState.COMPLETED
        harness.dispatch(Tick(), after=2.0)
        assert harness.copy.state is CopyState.ENDED

    def test_a_restarted_copy_reuses_the_chunks_in_memory(self) -> None:
        memory = ChunkMemory(weight_memory_bytes=1024)
        harness = Harness(memory=memory)
        harness.start()
        harness.deliver_all_chunks()
        harness.dispatch(Superseded())
        assert VerifyWeights() in Harness(memory=memory).start()


class TestSources:
    """Guard against waiting for a peer that is slow, departed or busy."""

    def test_hedges_a_stalled_fetch_and_cancels_the_slower(self) -> None:
        # With a single chunk, no later planning step can cancel the slower fetch.
        harness = Harness(peers=3, content=CONTENT[:128], budget=0)
        harness.start()
        first = fetches(harness.announce(1, held=1))
        assert [fetch.source for fetch in first] == [harness.peers[1].instance_id]
        assert not fetches(harness.announce(2, held=1))
        second = fetches(harness.dispatch(Tick(), after=4.5))
        assert harness.peers[2].instance_id in {o.source for o in second if o.index == 0}
        commands = harness.deliver_chunk(harness.peers[2].instance_id, 0)
        assert CancelFetch(source=harness.peers[1].instance_id, index=ChunkIndex(0)) in commands

    def test_drops_fetches_from_a_departed_peer(self) -> None:
        harness = Harness(peers=2)
        harness.start()
        harness.announce(1, held=1)
        commands = harness.dispatch(PeersChanged(peers=tuple(harness.peers[:1])))
        assert CancelFetch(source=harness.peers[1].instance_id, index=ChunkIndex(0)) in commands

    def test_removes_a_chunk_that_a_peer_reports_as_missing(self) -> None:
        harness = Harness(peers=2)
        harness.start()
        harness.announce(1, held=1)
        peer = harness.peers[1].instance_id
        failed = ChunkFailed(source=peer, index=ChunkIndex(0), reason=Missing())
        assert peer not in {fetch.source for fetch in fetches(harness.dispatch(failed))}


class TestServing:
    """Guard against uploads that take link capacity from live requests."""

    def complete_harness(self, links: LinkShares | None = None) -> Harness:
        harness = Harness(links=links)
        harness.start()
        harness.deliver_all_chunks()
        return harness

    def request(self, harness: Harness, number: int) -> CopyCommand:
        peer = InstanceId(f"p{number}")
        return harness.dispatch(ChunkRequested(peer=peer, index=ChunkIndex(0)))[0]

    def test_is_busy_beyond_its_upload_slots(self) -> None:
        harness = self.complete_harness()
        replies = [self.request(harness, number) for number in range(5)]
        assert [type(reply) for reply in replies] == [SendChunk] * 4 + [RefuseChunk]
        harness.dispatch(UploadEnded(peer=InstanceId("p0"), index=ChunkIndex(0)))
        assert isinstance(self.request(harness, 9), SendChunk)

    def test_paces_uploads_to_the_share_of_the_link(self) -> None:
        bucket = TokenBucket(bytes_per_second=256.0, burst_bytes=128)
        harness = self.complete_harness(LinkShares(instance=bucket, between_regions=bucket))
        replies = [self.request(harness, number) for number in range(4)]
        delays = [r.delay_seconds for r in replies if isinstance(r, SendChunk)]
        assert delays == pytest.approx([0.0, 0.4, 0.8])
        assert isinstance(replies[3], RefuseChunk)

    def test_a_halted_copy_serves_nothing(self) -> None:
        harness = self.complete_harness()
        harness.dispatch(WeightsVerified(matches=False))
        reply = self.request(harness, 1)
        assert reply == RefuseChunk(peer=InstanceId("p1"), index=ChunkIndex(0), reason=Missing())

    def test_gives_allowance_only_when_it_needs_none(self) -> None:
        harness = Harness(budget=1024)
        harness.start()
        asked = AllowanceAsked(peer=InstanceId("p1"), size_bytes=100)
        assert not any(isinstance(c, GiveAllowance) for c in harness.dispatch(asked))
        harness.deliver_all_chunks()
        assert GiveAllowance(peer=InstanceId("p1"), size_bytes=100) in harness.dispatch(asked)


class TestStartOfACopy:
    """Guard against late announcements, for which peers wait while a copy starts."""

    def test_sends_the_bitmap_again_to_a_peer_that_had_no_copy_before(self) -> None:
        harness = Harness(peers=2)
        harness.start()
        other = harness.peers[1].instance_id
        assert harness.dispatch(PeerAnnounced(peer=other, held=b"")) == []
        assert harness.announce(1, held=0) == [Announce(peers=(other,), held=b"\0")]

    def test_announces_the_first_chunk_at_once_and_the_next_ones_in_batches(self) -> None:
        harness = Harness(peers=2)
        harness.start()
        harness.announce(1, held=0)
        harness.dispatch(Tick(), after=0.2)

        def announced(index: int, *, after: float) -> list[ChunkIndex]:
            harness.now += after
            commands = harness.deliver_chunk(ORIGIN, index)
            return [i for c in commands if isinstance(c, Announce) for i in c.added]

        assert announced(0, after=0.0) == [0]
        assert announced(1, after=-0.08) == []
        assert announced(2, after=0.0) == [1, 2]
        assert announced(3, after=10.0) == [3]
        assert announced(4, after=0.0) == []
