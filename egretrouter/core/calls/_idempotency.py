"""Classify calls as idempotent and identify repeated requests."""

import hashlib
import re
from collections.abc import Mapping

import msgspec

from egretrouter.core.configuration import IdempotencyRule, ModelServiceFile, PlainServiceFile
from egretrouter.core.errors import ValidationError
from egretrouter.core.identifiers import Digest

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""PUT and DELETE need a rule, because not every service implements them as RFC 9110 requires."""
MAX_KEY_LENGTH = 255
_KEY = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_LENGTH}}}")
_AMBIGUOUS_PATH = re.compile(r"//|/\.{1,2}(/|$)|%2e|%2f|%5c|\\", re.IGNORECASE)


def is_idempotent(
    service: ModelServiceFile | PlainServiceFile,
    *,
    method: str,
    path: str,
    headers: Mapping[str, str],
) -> bool:
    """Return whether a call may be repeated; header names are lower-case.

    A model completion has no effect outside its engine, so repeating it costs only tokens. No part
    of its answer is forwarded twice, so the caller sees one answer. For a plain service the first
    matching rule applies, otherwise the method. A call with an ambiguous path is never repeated,
    because the service may resolve it to a path that the operators' rules exclude.
    """
    if isinstance(service, ModelServiceFile):
        return True
    path = path.partition("?")[0]
    if _AMBIGUOUS_PATH.search(path):
        return False
    for rule in service.idempotency:
        if _rule_matches(rule, method=method, path=path, headers=headers):
            return rule.idempotent
    return method in SAFE_METHODS


def _rule_matches(
    rule: IdempotencyRule, *, method: str, path: str, headers: Mapping[str, str]
) -> bool:
    prefix = rule.path_prefix.rstrip("/")
    is_path_covered = path == prefix or path.startswith(prefix + "/")
    has_header = rule.header is None or rule.header.lower() in headers
    return is_path_covered and has_header and rule.method in {"*", method}


def check_key(key: str) -> str:
    """Return a valid idempotency key.

    Raises ValidationError if the key is empty, too long or not visible ASCII.
    """
    if not _KEY.fullmatch(key):
        raise ValidationError(
            f"Idempotency-Key {key[:40]!r} must be 1 to {MAX_KEY_LENGTH} visible ASCII characters"
        )
    return key


def request_fingerprint(*, method: str, path: str, content_type: str, content: bytes) -> Digest:
    """Return the digest that identifies repeats of a request; the path includes the query.

    Other headers are excluded: client libraries change them on a retry (traceparent, date).
    """
    hasher = hashlib.blake2b(msgspec.msgpack.encode((method, path, content_type)), digest_size=32)
    hasher.update(content)
    return Digest(hasher.hexdigest())
