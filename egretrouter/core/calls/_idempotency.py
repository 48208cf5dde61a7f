"""Decide which calls may be repeated and recognize a repeated request."""

import hashlib
import re
from collections.abc import Mapping

import msgspec

from egretrouter.core.configuration import IdempotencyRule, ModelServiceFile, PlainServiceFile
from egretrouter.core.errors import ValidationError
from egretrouter.core.identifiers import Digest

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""PUT and DELETE are idempotent by RFC 9110 only if the service keeps to it; a rule says so."""
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

    A model completion changes nothing outside its engine, so repeating it costs only tokens, and a
    caller sees no second answer because nothing is forwarded twice. For a plain service the first
    matching rule decides, then the method. A path that a service could read as another one may
    escape the operators' rules, so it is never repeated.
    """
    if isinstance(service, ModelServiceFile):
        return True
    path = path.partition("?")[0]
    if _AMBIGUOUS_PATH.search(path):
        return False
    for rule in service.idempotency:
        if _matches(rule, method=method, path=path, headers=headers):
            return rule.idempotent
    return method in SAFE_METHODS


def _matches(rule: IdempotencyRule, *, method: str, path: str, headers: Mapping[str, str]) -> bool:
    prefix = rule.path_prefix.rstrip("/")
    below = path == prefix or path.startswith(prefix + "/")
    has_header = rule.header is None or rule.header.lower() in headers
    return below and has_header and rule.method in {"*", method}


def check_key(key: str) -> str:
    """Return a valid idempotency key.

    Raises ValidationError if it is empty, too long or not visible ASCII.
    """
    if not _KEY.fullmatch(key):
        raise ValidationError(
            f"Idempotency-Key {key[:40]!r} must be 1 to {MAX_KEY_LENGTH} visible ASCII characters"
        )
    return key


def request_fingerprint(*, method: str, path: str, content_type: str, content: bytes) -> Digest:
    """Return the digest by which a repeated request is recognized; the path has the query.

    Other headers are left out: a caller's library changes them (traceparent, date) on a repeat.
    """
    hasher = hashlib.blake2b(msgspec.msgpack.encode((method, path, content_type)), digest_size=32)
    hasher.update(content)
    return Digest(hasher.hexdigest())
