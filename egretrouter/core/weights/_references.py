"""Identify versions of weights."""

import msgspec

from egretrouter.core.identifiers import Digest, ModelName, VersionName


class VersionReference(msgspec.Struct, frozen=True, kw_only=True):
    """Identify a version of a model or adapter by the digest of its manifest."""

    model: ModelName
    version: VersionName
    manifest_digest: Digest
