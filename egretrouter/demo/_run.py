"""Roll out weights in a fleet under live calls and report the figures."""

import asyncio
import math
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from egretrouter.core.configuration import (
    DeploymentFile,
    ModelServiceFile,
    Objective,
    PlacementFile,
    part_name,
)
from egretrouter.core.errors import EgretrouterError
from egretrouter.demo._fleet import Fleet, FleetOptions, Part
from egretrouter.demo._load import LoadGenerator

MEBIBYTE = 1024 * 1024
WINDOW_SECONDS = 20.0
"""Time in which the origin's link carries ORIGIN_COPIES, and an instance's INSTANCE_COPIES."""
ORIGIN_COPIES = 4
INSTANCE_COPIES = 2
DEFAULT_WEIGHT_BYTES = 8 * MEBIBYTE
FIRST_VERSION_BYTES = 256 * 1024
CHUNKS = 96
MIN_CHUNK_BYTES = 64 * 1024
MAX_CHUNK_BYTES = 4 * MEBIBYTE
START_TIMEOUT_SECONDS = 60.0
CALLS_PER_SECOND = 20.0
MEMORY_COPIES = 2.5
MINIMUM_INTER_REGION_BITS_PER_SECOND = 10_000_000


class DemoOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Configure a demo."""

    parts: dict[str, Part]
    weights: Path | None = None
    instances: int | None = None
    objective: Objective | None = None
    seed: int = 1


class DemoReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report the figures of a demo."""

    deployment: str
    objective: str
    weight_bytes: int
    origin_bytes: int
    busiest_minute_origin_bytes: int
    origin_bytes_per_minute: int
    replicas: int
    time_to_replicas_seconds: float
    copies_verified: int
    calls_sent: int
    calls_completed: int
    calls_not_run: int
    calls_unknown: int
    false_not_run: int
    max_executions_per_key: int
    wrong_answers: int
    first_token_p95_seconds: float
    failure_reasons: dict[str, int]
    seed: int

    def broken_promises(self) -> list[str]:
        """List the promises that were broken during the demo."""
        checks = {
            "an answer came from partial, mixed or other weights": self.wrong_answers > 0,
            "a non-idempotent call ran twice": self.max_executions_per_key > 1,
            "a call refused as not_run did run": self.false_not_run > 0,
            "the origin's budget was exceeded": (
                self.busiest_minute_origin_bytes > self.origin_bytes_per_minute
            ),
            "not every replica serves the new version": self.copies_verified < self.replicas,
        }
        return [promise for promise, is_broken in checks.items() if is_broken]


async def run_demo(options: DemoOptions, *, progress: Callable[[str], None]) -> DemoReport:
    """Serve a first version, roll the weights out under live calls, and return the figures.

    Raises TimeoutError if the fleet does not become ready.
    """
    content = await asyncio.to_thread(_load_weights, options)
    parts = _scale_parts(options, len(content))
    fleet = Fleet(
        parts,
        options=FleetOptions(
            seed=options.seed,
            weight_memory_bytes=int(len(content) * MEMORY_COPIES) + 4 * FIRST_VERSION_BYTES,
        ),
    )
    await fleet.start()
    try:
        return await _roll_out(fleet, options, content, progress)
    finally:
        await fleet.stop()


async def _roll_out(
    fleet: Fleet, options: DemoOptions, content: bytes, progress: Callable[[str], None]
) -> DemoReport:
    service = next(service for service in fleet.services() if isinstance(service, ModelServiceFile))
    replicas = sum(placement.replicas for placement in service.placement)
    progress(f"{len(fleet.routers)} routers and {len(fleet.agents)} agents are up")
    first = fleet.origin.add_version(
        service.model,
        service.version,
        random.Random(options.seed).randbytes(FIRST_VERSION_BYTES),
        chunk_bytes=MIN_CHUNK_BYTES,
    )
    await fleet.publish()
    await fleet.wait_for_replicas(first.digest, replicas, timeout_seconds=START_TIMEOUT_SECONDS)
    await fleet.wait_for_routes(
        [service.name for service in fleet.services()], timeout_seconds=START_TIMEOUT_SECONDS
    )
    progress(f"version {service.version} serves on {replicas} replicas")
    chunk_bytes = min(max(MIN_CHUNK_BYTES, len(content) // CHUNKS), MAX_CHUNK_BYTES)
    version = f"{service.version}-next"
    manifest = await asyncio.to_thread(
        fleet.origin.add_version, service.model, version, content, chunk_bytes=chunk_bytes
    )
    fleet.origin.link_bytes_per_second = len(content) * ORIGIN_COPIES / WINDOW_SECONDS
    origin_bytes_before = fleet.origin.sent_bytes
    load = LoadGenerator(
        fleet,
        manifest_digests=[first.digest, manifest.digest],
        calls_per_second=CALLS_PER_SECOND,
        seed=options.seed,
    )
    calls = asyncio.create_task(load.run())
    fleet.replace_part(service.model_copy(update={"version": version}))
    started_seconds = time.monotonic()
    await fleet.publish()
    progress(f"version {version} of {len(content)} bytes is published")
    watcher = asyncio.create_task(_report_replicas(fleet, manifest.digest, replicas, progress))
    bound_seconds = WINDOW_SECONDS / INSTANCE_COPIES
    try:
        await fleet.wait_for_replicas(
            manifest.digest, replicas, timeout_seconds=START_TIMEOUT_SECONDS + 6 * bound_seconds
        )
    finally:
        watcher.cancel()
    time_to_replicas_seconds = time.monotonic() - started_seconds
    load.stop()
    await calls
    counts = load.counts
    return DemoReport(
        deployment=fleet.deployment.name,
        objective=fleet.deployment.distribution.objective.value,
        weight_bytes=len(content),
        origin_bytes=fleet.origin.sent_bytes - origin_bytes_before,
        busiest_minute_origin_bytes=busiest_minute_bytes(fleet.origin.sent_bytes_by_second),
        origin_bytes_per_minute=fleet.deployment.distribution.origin_bytes_per_minute,
        replicas=replicas,
        time_to_replicas_seconds=round(time_to_replicas_seconds, 3),
        copies_verified=_count_verified_copies(fleet, manifest.digest),
        calls_sent=counts.sent,
        calls_completed=counts.completed,
        calls_not_run=counts.not_run,
        calls_unknown=counts.unknown,
        max_executions_per_key=load.max_executions_per_key(),
        false_not_run=counts.false_not_run,
        wrong_answers=counts.wrong_answers,
        first_token_p95_seconds=round(_quantile(counts.first_token_seconds, 0.95), 4),
        failure_reasons=dict(counts.reasons),
        seed=options.seed,
    )


async def _report_replicas(
    fleet: Fleet, digest: str, replicas: int, progress: Callable[[str], None]
) -> None:
    reported = -1
    while True:
        serving = fleet.count_replicas(digest)
        if serving != reported:
            reported = serving
            progress(f"{serving} of {replicas} replicas serve the new version")
        await asyncio.sleep(0.25)


def _load_weights(options: DemoOptions) -> bytes:
    if options.weights is not None:
        content = options.weights.read_bytes()
        if not content:
            raise DemoError(f"the weights file {str(options.weights)!r} is empty")
        return content
    return random.Random(options.seed + 1).randbytes(DEFAULT_WEIGHT_BYTES)


class DemoError(EgretrouterError):
    """Signal that the demo can't run with the given options."""


def _scale_parts(options: DemoOptions, weight_bytes: int) -> dict[str, Part]:
    """Scale link rates to the size of the weights, and set the number of instances."""
    parts = dict(options.parts)
    deployment = next(p for p in parts.values() if isinstance(p, DeploymentFile))
    instance_rate = weight_bytes * INSTANCE_COPIES / WINDOW_SECONDS
    zones = len(deployment.zones)
    distribution = deployment.distribution.model_copy(
        update={
            "objective": options.objective or deployment.distribution.objective,
            "instance_link_bytes_per_second": max(1024, int(instance_rate)),
            "link_share": 1.0,
            "origin_bytes_per_minute": (weight_bytes + 2 * FIRST_VERSION_BYTES)
            * max(zones, ORIGIN_COPIES),
            "inter_region_bits_per_second": max(
                MINIMUM_INTER_REGION_BITS_PER_SECOND, int(16 * instance_rate)
            ),
        }
    )
    parts[part_name(deployment)] = deployment.model_copy(update={"distribution": distribution})
    if options.instances is not None:
        service = next(p for p in parts.values() if isinstance(p, ModelServiceFile))
        parts[part_name(service)] = _resize_service(service, options.instances)
    return parts


def _resize_service(service: ModelServiceFile, instances: int) -> ModelServiceFile:
    zones = [placement.zone for placement in service.placement]
    placement = tuple(
        PlacementFile(
            zone=zone, replicas=instances // len(zones) + (index < instances % len(zones))
        )
        for index, zone in enumerate(zones)
    )
    return service.model_copy(update={"placement": placement})


def _count_verified_copies(fleet: Fleet, digest: str) -> int:
    return sum(digest in engine.loaded.values() for engine in fleet.engines().values())


def busiest_minute_bytes(bytes_by_second: dict[int, int]) -> int:
    """Return the highest number of bytes sent in any 60 consecutive seconds."""
    return max(
        (
            sum(sent for at, sent in bytes_by_second.items() if start <= at < start + 60)
            for start in bytes_by_second
        ),
        default=0,
    )


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return math.nan
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def print_progress(text: str) -> None:
    """Print a progress message on standard error."""
    print(text, file=sys.stderr, flush=True)
