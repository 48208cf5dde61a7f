"""Offer manifests, chunk memory and the decisions of a copy of weights."""

from egretrouter.core.weights._manifest import (
    DEFAULT_CHUNK_BYTES,
    ChunkSpec,
    Manifest,
    build_manifest,
    split_chunks,
)

__all__ = [
    "DEFAULT_CHUNK_BYTES",
    "ChunkSpec",
    "Manifest",
    "build_manifest",
    "split_chunks",
]
