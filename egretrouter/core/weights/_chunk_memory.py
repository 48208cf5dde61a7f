"""Store verified chunks of several versions in bounded memory."""

from collections.abc import Iterator, Mapping

from egretrouter.core.errors import WeightMemoryError
from egretrouter.core.identifiers import ChunkIndex, Digest


class _StoredVersion:
    """Stored chunks and reservation of one version."""

    def __init__(self) -> None:
        self.chunks: dict[ChunkIndex, bytes] = {}
        self.stored_bytes = 0
        self.reserved_bytes: int | None = None
        self.replicas: dict[ChunkIndex, int] = {}

    @property
    def charged_bytes(self) -> int:
        """Return the bytes counted against the capacity: the reservation, or what is stored."""
        return self.stored_bytes if self.reserved_bytes is None else self.reserved_bytes


class ChunkMemory:
    """Store chunks by version; reserved versions are never evicted."""

    def __init__(self, *, weight_memory_bytes: int) -> None:
        self._capacity_bytes = weight_memory_bytes
        self._versions: dict[Digest, _StoredVersion] = {}

    def reserve(self, manifest_digest: Digest, *, weight_bytes: int) -> None:
        """Reserve memory for all chunks of a version, evicting released chunks as needed.

        Raises WeightMemoryError if it does not fit alongside the other reserved versions.
        """
        reserved = sum(
            version.reserved_bytes or 0
            for digest, version in self._versions.items()
            if digest != manifest_digest
        )
        if reserved + weight_bytes > self._capacity_bytes:
            raise WeightMemoryError(
                f"weights {manifest_digest} take {weight_bytes} bytes, but only "
                f"{self._capacity_bytes - reserved} of {self._capacity_bytes} bytes are free"
            )
        version = self._versions.setdefault(manifest_digest, _StoredVersion())
        version.reserved_bytes = weight_bytes
        self._evict()

    def release(self, manifest_digest: Digest, *, replicas: Mapping[ChunkIndex, int]) -> None:
        """Make the chunks of a version evictable, given how many peers hold each."""
        version = self._versions.get(manifest_digest)
        if version is not None:
            version.reserved_bytes = None
            version.replicas = dict(replicas)
            if not version.chunks:
                del self._versions[manifest_digest]

    def drop(self, manifest_digest: Digest) -> None:
        """Remove a version and its chunks immediately, reserved or not."""
        self._versions.pop(manifest_digest, None)

    def put(self, manifest_digest: Digest, index: ChunkIndex, content: bytes) -> None:
        """Store a verified chunk of a reserved version, unless it is stored already.

        Raises WeightMemoryError if the version has no reservation or would exceed it.
        """
        version = self._versions.get(manifest_digest)
        if version is None or version.reserved_bytes is None:
            raise WeightMemoryError(f"no memory is reserved for weights {manifest_digest}")
        if index in version.chunks:
            return
        if version.stored_bytes + len(content) > version.reserved_bytes:
            raise WeightMemoryError(
                f"weights {manifest_digest} exceed their {version.reserved_bytes} reserved bytes"
            )
        version.chunks[index] = content
        version.stored_bytes += len(content)

    def get(self, manifest_digest: Digest, index: ChunkIndex) -> bytes | None:
        """Return the content of a chunk, or None if it is not stored."""
        version = self._versions.get(manifest_digest)
        return version.chunks.get(index) if version else None

    def held(self, manifest_digest: Digest) -> int:
        """Return the bitmap of the stored chunks of a version."""
        version = self._versions.get(manifest_digest)
        return sum(1 << index for index in version.chunks) if version else 0

    def contents(self, manifest_digest: Digest) -> Iterator[bytes]:
        """Yield the contents of the stored chunks of a version, in index order."""
        version = self._versions.get(manifest_digest)
        chunks = version.chunks if version else {}
        for index in sorted(chunks):
            yield chunks[index]

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "capacity_bytes": self._capacity_bytes,
            "versions": {
                digest: {
                    "chunks": len(version.chunks),
                    "stored_bytes": version.stored_bytes,
                    "reserved_bytes": version.reserved_bytes,
                }
                for digest, version in self._versions.items()
            },
        }

    def _evict(self) -> None:
        excess = sum(v.charged_bytes for v in self._versions.values()) - self._capacity_bytes
        if excess <= 0:
            return
        # Evict the most replicated chunks first: they are cheap to fetch again, unlike a last copy.
        victims = sorted(
            (
                (-version.replicas.get(index, 0), age, digest, index)
                for age, (digest, version) in enumerate(self._versions.items())
                if version.reserved_bytes is None
                for index in version.chunks
            ),
        )
        for _, _, digest, index in victims:
            if excess <= 0:
                break
            version = self._versions[digest]
            size = len(version.chunks.pop(index))
            version.stored_bytes -= size
            excess -= size
            if not version.chunks:
                del self._versions[digest]
