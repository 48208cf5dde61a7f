"""Define the manifest, which lists the chunks of a version of weights."""

import hashlib
from collections.abc import Iterable
from typing import Annotated

import msgspec

from egretrouter.core.decoding import DECODE_ERRORS
from egretrouter.core.digests import DigestAlgorithm, chunk_digest, content_digest
from egretrouter.core.errors import CorruptedChunkError, ManifestMismatchError
from egretrouter.core.identifiers import ChunkIndex, Digest, ModelName, VersionName

DEFAULT_CHUNK_BYTES = 256 * 1024
MAX_CHUNK_BYTES = 2**40
"""Far more than any chunk has, so that sums of lengths can be computed with."""


class ChunkSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one chunk by its length and digest."""

    length_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_CHUNK_BYTES)]
    digest: Digest


class Manifest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """List the ordered chunks and the overall digest of one version of weights."""

    model: ModelName
    version: VersionName
    chunks: tuple[ChunkSpec, ...]
    weights_digest: Digest | None = None
    """None if only the chunks have digests."""
    chunk_algorithm: DigestAlgorithm = DigestAlgorithm.BLAKE2B

    @property
    def weight_bytes(self) -> int:
        """Return the total length of all chunks."""
        return sum(chunk.length_bytes for chunk in self.chunks)

    @property
    def digest(self) -> Digest:
        """Return the digest of the encoded manifest, which the configuration pins."""
        return content_digest(self.to_json())

    def to_json(self) -> bytes:
        """Encode the manifest as JSON, with sorted keys for a stable digest."""
        return msgspec.json.encode(self, order="deterministic")

    @classmethod
    def from_json(cls, content: bytes, *, pinned_digest: Digest | None = None) -> "Manifest":
        """Decode a manifest and check it against the pinned digest.

        Raises ManifestMismatchError if the content is malformed or has another digest.
        """
        if pinned_digest is not None and content_digest(content) != pinned_digest:
            raise ManifestMismatchError(
                f"manifest has digest {content_digest(content)}, "
                f"but the configuration pins {pinned_digest}"
            )
        try:
            return msgspec.json.decode(content, type=cls)
        except DECODE_ERRORS as error:
            raise ManifestMismatchError(f"manifest is malformed: {error}") from error

    def verify_chunk(self, index: ChunkIndex, content: bytes) -> None:
        """Check the content of one chunk against the manifest.

        Raises CorruptedChunkError if its length or digest differs.
        """
        spec = self.chunks[index]
        found = chunk_digest(content, self.chunk_algorithm)
        if len(content) != spec.length_bytes or found != spec.digest:
            raise CorruptedChunkError(
                f"chunk {index} of {self.model}/{self.version} does not match digest {spec.digest}"
            )

    def verify_weights(self, contents: Iterable[bytes]) -> None:
        """Check all chunks, given in order, against the digest of the weights.

        Raises CorruptedChunkError if the digest differs.
        """
        if self.weights_digest is None:
            return
        hasher = hashlib.blake2b(digest_size=32)
        for content in contents:
            hasher.update(content)
        if hasher.hexdigest() != self.weights_digest:
            raise CorruptedChunkError(
                f"weights of {self.model}/{self.version} do not match digest {self.weights_digest}"
            )


def build_manifest(
    *,
    model: ModelName,
    version: VersionName,
    content: bytes,
    chunk_bytes: int = DEFAULT_CHUNK_BYTES,
) -> Manifest:
    """Split content into chunks and build the manifest with their digests."""
    chunks = tuple(
        ChunkSpec(length_bytes=len(piece), digest=content_digest(piece))
        for piece in split_chunks(content, chunk_bytes=chunk_bytes)
    )
    return Manifest(
        model=model, version=version, chunks=chunks, weights_digest=content_digest(content)
    )


def split_chunks(content: bytes, *, chunk_bytes: int) -> list[bytes]:
    """Split content into chunks of equal length; the last one may be shorter."""
    return [content[start : start + chunk_bytes] for start in range(0, len(content), chunk_bytes)]
