"""Test the copy limits that are derived from the configuration."""

from typing import Any

from configuration_samples import deployment, encode, model

from egretrouter.core.configuration import (
    Configuration,
    ConfigurationIndex,
    Objective,
    assemble,
    collect,
)
from egretrouter.core.identifiers import Generation, PublicationId, ZoneId
from egretrouter.core.weights import TokenBucket
from egretrouter.daemons._zone_copies import copy_limits


def configuration(**distribution: Any) -> Configuration:
    files = encode(
        deployment=deployment(
            zones=[
                {"name": "serra-z1", "region": "serra"},
                {"name": "taquari-z1", "region": "taquari"},
                {"name": "taquari-z2", "region": "taquari"},
            ],
            distribution=distribution,
        ),
        model=model(
            placement=[
                {"zone": "serra-z1", "replicas": 2},
                {"zone": "taquari-z1", "replicas": 4},
                {"zone": "taquari-z2", "replicas": 6},
            ]
        ),
    )
    collection = collect(files)
    index = ConfigurationIndex(
        generation=Generation(1), publication_id=PublicationId("p"), parts=collection.parts
    )
    return assemble(index, collection.contents)


class TestCopyLimits:
    """Guard against agents that together exceed the configured budget and link share."""

    def test_divides_the_budget_and_the_link_between_regions(self) -> None:
        limits = copy_limits(
            configuration(
                origin_bytes_per_minute=3_000_000,
                inter_region_bits_per_second=8_000_000,
                inter_region_share=0.5,
                objective="origin-bytes",
            ),
            zone=ZoneId("taquari-z1"),
        )
        assert limits.zone_bytes_per_minute == 1_000_000
        assert limits.expected_members == 4
        assert limits.regional_bytes_per_second == 50_000
        assert limits.settings.objective is Objective.ORIGIN_BYTES


class TestTokenBucket:
    """Guard against a burst at the old rate after the configuration changed."""

    def test_a_lower_rate_lowers_the_burst(self) -> None:
        bucket = TokenBucket(bytes_per_second=1000, burst_bytes=1000)
        bucket.set_rate(100, burst_bytes=100)
        delay = bucket.reserve(200, now_seconds=0.0, max_delay_seconds=5.0)
        assert delay == 1.0
