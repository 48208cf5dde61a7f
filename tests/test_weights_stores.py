"""Test ownership, chunk memory and budgets."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.copy_loop import make_peers
from egretrouter.core.digests import content_digest
from egretrouter.core.errors import WeightMemoryError
from egretrouter.core.identifiers import ChunkIndex, Digest, InstanceId, ZoneId
from egretrouter.core.weights import ChunkMemory, OriginAllowance, Ownership, Peer, TokenBucket

DIGESTS = [content_digest(bytes([number])) for number in range(40)]
A, B = Digest("a" * 64), Digest("b" * 64)
BUDGET = 60_000


class TestOwnership:
    """Guard against owners that depend on earlier membership views, and against uneven load."""

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.sets(st.integers(0, 29), min_size=1), min_size=1, max_size=6))
    def test_incremental_ranks_equal_fresh_ranks(self, views: list[set[int]]) -> None:
        everyone = make_peers(30, zones=2, regions=2)
        changed = Ownership(chunk_digests=DIGESTS)
        for view in views:
            peers = [everyone[number] for number in sorted(view)]
            changed.update(peers)
            fresh = Ownership(chunk_digests=DIGESTS)
            fresh.update(peers)
            for zone in (ZoneId("z0"), ZoneId("z1")):
                for index in map(ChunkIndex, range(len(DIGESTS))):
                    assert changed.owners(index, zone) == fresh.owners(index, zone)
                    assert changed.zone_order(index) == fresh.zone_order(index)
                for peer in peers:
                    own = peer.instance_id
                    assert changed.rank_masks(zone, own) == fresh.rank_masks(zone, own)

    def test_owners_that_leave_one_by_one_are_replaced_by_the_next(self) -> None:
        peers = make_peers(30, zones=1, regions=1)
        changed = Ownership(chunk_digests=DIGESTS)
        while len(peers) > 4:
            changed.update(peers)
            fresh = Ownership(chunk_digests=DIGESTS)
            fresh.update(peers)
            for index in map(ChunkIndex, range(len(DIGESTS))):
                assert changed.owners(index, ZoneId("z0")) == fresh.owners(index, ZoneId("z0"))
            peers.pop(len(peers) // 2)

    def test_every_chunk_has_one_best_owner_in_each_zone(self) -> None:
        peers = make_peers(30, zones=3, regions=3)
        ownership = Ownership(chunk_digests=DIGESTS)
        ownership.update(peers)
        for zone in (ZoneId(f"z{number}") for number in range(3)):
            masks = [ownership.rank_masks(zone, peer.instance_id)[0] for peer in peers]
            assert sum(mask.bit_count() for mask in masks) == len(DIGESTS)

    def test_newcomers_own_nothing_beside_established_agents(self) -> None:
        established, other = make_peers(2, zones=1, regions=1)
        newcomer = Peer(
            instance_id=other.instance_id, zone=other.zone, region=other.region, is_newcomer=True
        )
        ownership = Ownership(chunk_digests=DIGESTS)
        ownership.update([established, newcomer])
        assert ownership.owners(ChunkIndex(0), established.zone) == [established.instance_id]
        ownership.update([newcomer])
        assert ownership.owners(ChunkIndex(0), established.zone) == [newcomer.instance_id]


class TestChunkMemory:
    """Guard against unbounded memory and the eviction of the last copy of a chunk."""

    def test_evicts_what_many_peers_hold(self) -> None:
        memory = ChunkMemory(weight_memory_bytes=100)
        memory.reserve(A, weight_bytes=60)
        for number in range(6):
            memory.put(A, ChunkIndex(number), bytes(10))
        memory.release(A, replicas={ChunkIndex(n): 10 - n for n in range(6)})
        memory.reserve(B, weight_bytes=60)
        assert memory.held(A) == 0b111100

    def test_never_evicts_reserved_versions(self) -> None:
        memory = ChunkMemory(weight_memory_bytes=100)
        memory.reserve(A, weight_bytes=60)
        memory.put(A, ChunkIndex(0), bytes(60))
        with pytest.raises(WeightMemoryError, match="only 40 of 100"):
            memory.reserve(B, weight_bytes=41)
        assert memory.get(A, ChunkIndex(0)) == bytes(60)

    def test_refuses_chunks_without_or_beyond_a_reservation(self) -> None:
        memory = ChunkMemory(weight_memory_bytes=100)
        with pytest.raises(WeightMemoryError, match="no memory"):
            memory.put(A, ChunkIndex(0), bytes(1))
        memory.reserve(A, weight_bytes=10)
        with pytest.raises(WeightMemoryError, match="exceed"):
            memory.put(A, ChunkIndex(0), bytes(11))


def busiest_minute(spent: list[tuple[float, int]]) -> int:
    return max(
        (sum(size for t, size in spent if start <= t <= start + 59.999) for start, _ in spent),
        default=0,
    )


class TestOriginAllowance:
    """Guard against exceeding the budget in any sliding minute."""

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 2**32), st.integers(1, 12), st.integers(0, 12))
    def test_total_stays_within_the_budget(self, seed: int, established: int, joining: int) -> None:
        """Views lag by up to 12 s and differ; members join and leave; grants may get lost."""
        random = Random(seed)
        joined = {InstanceId(f"v{n}"): -1000.0 for n in range(established)}
        joined |= {InstanceId(f"j{n}"): random.uniform(0, 200) for n in range(joining)}
        left = {m: random.uniform(0, 300) for m in joined if random.random() < 0.3}
        agents: dict[InstanceId, OriginAllowance] = {}
        spent: list[tuple[float, int]] = []
        lag = {(a, b): random.uniform(0, 12) for a in joined for b in joined}
        for step in range(1, 1200):
            now = step / 4
            for member, since in joined.items():
                if since > now or left.get(member, 1e9) <= now:
                    continue
                if member not in agents:
                    agents[member] = OriginAllowance(
                        zone_bytes_per_minute=BUDGET, instance_id=member, joined_seconds=since
                    )
                agent = agents[member]
                # Agents may also see the same departure at different times.
                view = [
                    m
                    for m in joined
                    if joined[m] + lag[member, m] <= now < left.get(m, 1e9) + lag[member, m]
                ]
                agent.set_members(view, now_seconds=now)
                size = random.randrange(1, 4000)
                if random.random() < 0.7 and agent.try_spend(size, now_seconds=now):
                    spent.append((now, size))
                if random.random() < 0.1:
                    given = agent.grant(random.randrange(5000), now_seconds=now)
                    receiver = random.choice(list(agents.values()))
                    if given and random.random() < 0.8 and receiver is not agent:
                        receiver.receive_grant(given, now_seconds=now)
        assert busiest_minute(spent) <= BUDGET

    def test_uses_the_budget_when_all_spend(self) -> None:
        members = [InstanceId(f"v{n}") for n in range(4)]
        total = 0
        for member in members:
            agent = OriginAllowance(
                zone_bytes_per_minute=BUDGET, instance_id=member, joined_seconds=-1000.0
            )
            agent.set_members(members, now_seconds=0.0)
            while agent.try_spend(1000, now_seconds=1.0):
                total += 1000
        assert total == BUDGET

    def test_a_newcomer_and_a_resumed_agent_wait(self) -> None:
        agent = OriginAllowance(
            zone_bytes_per_minute=BUDGET, instance_id=InstanceId("a"), joined_seconds=0.0
        )
        assert not agent.try_spend(1, now_seconds=74.0)
        assert agent.try_spend(1, now_seconds=76.0)
        agent.resume(now_seconds=100.0)
        assert not agent.try_spend(1, now_seconds=114.0)
        assert agent.try_spend(1, now_seconds=116.0)

    def test_a_grant_expires_and_is_spent_once(self) -> None:
        agent = OriginAllowance(
            zone_bytes_per_minute=0, instance_id=InstanceId("a"), joined_seconds=0.0
        )
        agent.receive_grant(100, now_seconds=0.0)
        assert agent.try_spend(60, now_seconds=1.0)
        assert not agent.try_spend(60, now_seconds=2.0)
        agent.receive_grant(100, now_seconds=3.0)
        assert not agent.try_spend(60, now_seconds=14.0)

    def test_a_share_is_never_above_that_of_the_expected_members(self) -> None:
        """An agent that sees only itself must not take the whole zone's share."""
        agent = OriginAllowance(
            zone_bytes_per_minute=BUDGET,
            instance_id=InstanceId("a"),
            joined_seconds=-1000.0,
            expected_members=6,
        )
        assert agent.share_bytes(now_seconds=0.0) == BUDGET // 6


class TestTokenBucket:
    """Guard against exceeding the link's share over any period."""

    def test_delays_add_up_to_the_rate(self) -> None:
        bucket = TokenBucket(bytes_per_second=100.0, burst_bytes=50)
        delays = [bucket.reserve(50, now_seconds=0.0, max_delay_seconds=9.0) for _ in range(4)]
        assert delays == pytest.approx([0.0, 0.5, 1.0, 1.5])
        assert bucket.reserve(50, now_seconds=0.0, max_delay_seconds=1.0) == -1.0
        assert bucket.reserve(50, now_seconds=100.0, max_delay_seconds=1.0) == 0.0
