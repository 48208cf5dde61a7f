"""Find the manifest of a version at the origin or at another agent."""

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
    """Ask the origin, and agents that have announced a manifest."""

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
        self, model: ModelName, version: int, *, wanted: Callable[[], bool]
    ) -> Manifest | None:
        """Return the manifest of a version, or None once it is not wanted any more."""
        name = f"{model}/{version}"
        while wanted():
            try:
                return await self._from_origin(model, version)
            except (BackendError, ManifestMismatchError) as error:
                log_event("weights:manifest_failed", version=name, error=str(error))
            for member in self._fleet.live(FleetRole.AGENT):
                digest = dict(member.copies).get(name)
                if digest is not None:
                    manifest = await self._from_peer(member.address, digest)
                    if manifest is not None:
                        return manifest
            await asyncio.sleep(RETRY_SECONDS * (0.5 + self._rng.random()))
        return None

    async def _from_origin(self, model: ModelName, version: int) -> Manifest:
        """Read the manifest twice: the origin may spoil what it sends."""
        name = VersionName(str(version))
        first = await self._origin.manifest(model, name)
        digests = {
            digest
            for member in self._fleet.live(FleetRole.AGENT)
            for found, digest in member.copies
            if found == f"{model}/{version}"
        }
        manifest = Manifest.from_json(first)
        if manifest.digest not in digests and await self._origin.manifest(model, name) != first:
            raise ManifestMismatchError(f"the origin sent two manifests for {model}/{version}")
        return manifest

    async def _from_peer(self, address: str, digest: Digest) -> Manifest | None:
        content = await self._copies.manifest_from_peer(f"{address}:{self._peer_port}", digest)
        return Manifest.from_json(content) if content else None
