"""Test the age of the summaries of other zones."""

import pytest

from benchmarks.virtual_zone import VirtualZone
from egretrouter.core.membership import MemberRole


class TestAgeOfSummaries:
    """Guard against routing by summaries that are minutes old."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_summaries_stay_fresh_in_zones_with_few_routers(self, seed: int) -> None:
        zone = VirtualZone(seed=seed)
        zones = [f"zone-{number}" for number in range(4)]
        names = [zone.add(f"{z}-{n}", zone=z, agent=n > 2) for z in zones for n in range(9)]
        zone.list_seeds(names, to=names)
        zone.run(10)
        routers = [n for n in zone.nodes.values() if n.own.role is MemberRole.ROUTER]
        for _ in range(12):
            zone.run(10)
            for router in routers:
                summaries = router.summaries(now_seconds=zone.now)
                assert len(summaries) == 3
                assert all(s.age_seconds < 25 for s in summaries)

    def test_a_new_router_receives_all_summaries_within_seconds(self) -> None:
        zone = VirtualZone(seed=1)
        zones = [f"zone-{number}" for number in range(10)]
        names = [zone.add(f"{z}-{n}", zone=z, agent=n > 2) for z in zones for n in range(4)]
        zone.list_seeds(names, to=names)
        zone.run(60)
        late = zone.add("late", zone="zone-0", agent=False)
        zone.list_seeds(names, to=[late])
        zone.run(5)
        assert len(zone.nodes[late].summaries(now_seconds=zone.now)) == 9
