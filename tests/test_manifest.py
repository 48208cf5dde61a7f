"""Test manifests of weights."""

import pytest

from egretrouter.core.errors import CorruptedChunkError, ManifestMismatchError
from egretrouter.core.identifiers import ChunkIndex, Digest, ModelName, VersionName
from egretrouter.core.weights import Manifest, build_manifest, split_chunks

CONTENT = bytes(range(256)) * 40


@pytest.fixture
def manifest() -> Manifest:
    return build_manifest(
        model=ModelName("cotacoes"), version=VersionName("v1"), content=CONTENT, chunk_bytes=1000
    )


class TestManifest:
    """Guard against accepting content that differs from the pinned manifest."""

    def test_verifies_its_own_chunks_and_weights(self, manifest: Manifest) -> None:
        pieces = split_chunks(CONTENT, chunk_bytes=1000)
        for index, piece in enumerate(pieces):
            manifest.verify_chunk(ChunkIndex(index), piece)
        manifest.verify_weights(pieces)
        assert manifest.weight_bytes == len(CONTENT)

    @pytest.mark.parametrize("damage", [b"", CONTENT[:999], b"x" + CONTENT[1:1000]])
    def test_rejects_a_damaged_chunk(self, manifest: Manifest, damage: bytes) -> None:
        with pytest.raises(CorruptedChunkError):
            manifest.verify_chunk(ChunkIndex(0), damage)

    def test_rejects_chunks_in_another_order(self, manifest: Manifest) -> None:
        pieces = split_chunks(CONTENT[:2000], chunk_bytes=1000)
        with pytest.raises(CorruptedChunkError):
            manifest.verify_weights(reversed(pieces))

    def test_rejects_a_manifest_with_another_digest(self, manifest: Manifest) -> None:
        with pytest.raises(ManifestMismatchError, match="pins"):
            Manifest.from_json(manifest.to_json(), pinned_digest=Digest("0" * 64))

    def test_round_trips_through_json(self, manifest: Manifest) -> None:
        assert Manifest.from_json(manifest.to_json(), pinned_digest=manifest.digest) == manifest
