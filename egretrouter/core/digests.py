"""Compute the digests that pin content."""

import hashlib

from egretrouter.core.identifiers import Digest


def content_digest(content: bytes) -> Digest:
    """Return the BLAKE2b-256 digest of content."""
    return Digest(hashlib.blake2b(content, digest_size=32).hexdigest())
