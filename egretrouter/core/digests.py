"""Compute content digests of configuration parts, manifests and chunks."""

import hashlib
from enum import Enum

from egretrouter.core.identifiers import Digest


def content_digest(content: bytes) -> Digest:
    """Return the BLAKE2b-256 digest of content in hexadecimal."""
    return Digest(hashlib.blake2b(content, digest_size=32).hexdigest())


class DigestAlgorithm(Enum):
    """List the algorithms of chunk digests."""

    BLAKE2B = "blake2b"
    SHA256 = "sha256"


def chunk_digest(content: bytes, algorithm: DigestAlgorithm) -> Digest:
    """Return the digest of a chunk with the algorithm that its manifest specifies."""
    if algorithm is DigestAlgorithm.SHA256:
        return Digest(hashlib.sha256(content).hexdigest())
    return content_digest(content)
