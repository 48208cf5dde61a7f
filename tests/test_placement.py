"""Test the assignment of services to agents."""

from collections import Counter

import pytest

from egretrouter.core.configuration import (
    Configuration,
    ConfigurationError,
    ConfigurationIndex,
    DeploymentFile,
    ModelServiceFile,
)
from egretrouter.core.digests import content_digest
from egretrouter.core.identifiers import (
    Generation,
    InstanceId,
    PublicationId,
    ServiceName,
    ZoneId,
)
from egretrouter.core.rollout import (
    PlacementMember,
    assign_services,
)

ZONE = ZoneId("serra-z1")


def configuration(*services: tuple[str, int], pinned: bool = True) -> Configuration:
    files = {
        ServiceName(name): ModelServiceFile.model_validate(
            {
                "kind": "model",
                "name": name,
                "model": name,
                "version": "v1",
                "manifest_digest": content_digest(name.encode()) if pinned else None,
                "placement": [{"zone": ZONE, "replicas": replicas}],
                "min_ready": 2,
            }
        )
        for name, replicas in services
    }
    deployment = DeploymentFile.model_validate(
        {
            "kind": "deployment",
            "name": "d",
            "zones": [{"name": ZONE, "region": "serra"}],
            "workspaces": [{"name": "w"}],
        }
    )
    index = ConfigurationIndex(
        generation=Generation(1), publication_id=PublicationId("p"), parts={}
    )
    return Configuration(index=index, deployment=deployment, services=files)


def members(count: int) -> list[PlacementMember]:
    return [PlacementMember(instance_id=InstanceId(f"i{n}"), zone=ZONE) for n in range(count)]


class TestPlacement:
    """Guard against agents that compute different assignments."""

    def test_fills_every_service_and_ignores_the_order_of_members(self) -> None:
        wanted = configuration(("alpha", 5), ("beta", 3))
        placed = assign_services(wanted, members(9))
        assert Counter(a.service for a in placed.values()) == {"alpha": 5, "beta": 3}
        assert assign_services(wanted, reversed(members(9))) == placed

    def test_a_lost_agent_moves_few_others(self) -> None:
        wanted = configuration(("alpha", 20), ("beta", 20))
        before = assign_services(wanted, members(45))
        after = assign_services(wanted, members(44))
        moved = [m for m in after if m in before and before[m].service != after[m].service]
        assert len(moved) <= 2

    def test_a_short_zone_keeps_min_ready_of_every_service(self) -> None:
        placed = assign_services(configuration(("alpha", 9), ("beta", 3)), members(5))
        assert Counter(a.service for a in placed.values())["beta"] >= 2

    def test_an_engine_of_one_service_runs_nothing_else(self) -> None:
        agents = [
            PlacementMember(
                instance_id=InstanceId(f"i{n}"), zone=ZONE, only_service=ServiceName("beta")
            )
            for n in range(4)
        ]
        placed = assign_services(configuration(("alpha", 2), ("beta", 2)), agents)
        assert {a.service for a in placed.values()} == {"beta"}

    def test_refuses_a_version_that_is_not_pinned(self) -> None:
        with pytest.raises(ConfigurationError, match="alpha"):
            assign_services(configuration(("alpha", 1), pinned=False), members(1))
