"""Obtain the manifest of a version from the origin or from another agent."""

import asyncio
import random
from collections.abc import Callable

from egretrouter.backends import WeightSource
from egretrouter.core.direct import FleetRole
from egretrouter.core.errors import BackendError, ManifestMismatchError
from egretrouter.core.identifiers import Digest, ModelName, VersionName
from egretrouter.core.weights import Manifest
from egretrouter.daemons._copies import CopyService
from egretrouter.direct._fleet_service import FleetService
from egretrouter.direct._logs import log_event

RETRY_SECONDS = 0.3


class ManifestFinder:
    """Request manifests from the origin, or from agents that have announced them."""

    def __init__(
        self,
        *,
        origin: WeightSource,
        fleet: FleetService,
        copies: CopyService,
        peer_port: int,
        rng: random.Random,
    ) -> None:
        self._origin = origin
        self._fleet = fleet
        self._copies = copies
        self._peer_port = peer_port
        self._rng = rng

    async def find(
        self, model: ModelName, version: int, *, is_wanted: Callable[[], bool]
    ) -> Manifest | None:
        """Return the manifest of a version, or None once is_wanted returns False."""
        name = f"{model}/{version}"
        while is_wanted():
            try:
                return await self._read_from_origin(model, version)
            except (BackendError, ManifestMismatchError) as error:
                log_event("weights:manifest_failed", version=name, error=str(error))
            for member in self._fleet.live_members(FleetRole.AGENT):
                digest = dict(member.copies).get(name)
                if digest is not None:
                    manifest = await self._fetch_from_peer(member.address, digest)
                    if manifest is not None:
                        return manifest
            await asyncio.sleep(RETRY_SECONDS * (0.5 + self._rng.random()))
        return None

    async def _read_from_origin(self, model: ModelName, version: int) -> Manifest:
        """Read the manifest, twice if no peer announced it, because the origin may corrupt it."""
        name = VersionName(str(version))
        first = await self._origin.manifest(model, name)
        digests = {
            digest
            for member in self._fleet.live_members(FleetRole.AGENT)
            for found, digest in member.copies
            if found == f"{model}/{version}"
        }
        manifest = Manifest.from_json(first)
        if manifest.digest not in digests and await self._origin.manifest(model, name) != first:
            raise ManifestMismatchError(
                f"the origin returned two different manifests for {model}/{version}"
            )
        return manifest

    async def _fetch_from_peer(self, address: str, digest: Digest) -> Manifest | None:
        content = await self._copies.manifest_from_peer(f"{address}:{self._peer_port}", digest)
        try:
            return Manifest.from_json(content) if content else None
        except ManifestMismatchError as error:
            log_event("weights:peer_manifest_malformed", peer=address, error=str(error))
            return None
