"""Split JSON into its parts without decoding them."""

import re
from collections.abc import Iterator
from itertools import pairwise

import msgspec

from egretrouter.core.decoding import DECODE_ERRORS

_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{]+|[\]}]+|,', re.DOTALL)
_KEY = re.compile(rb'\s*"([^"\\]*+)"\s*:', re.DOTALL)


class JsonStructureError(ValueError):
    """Brackets of JSON are unbalanced, or the text is no array or object."""


def split_items(content: bytes) -> list[bytes]:
    """Return the items of an array or the members of an object, which may themselves be malformed.

    Unlike a decoder it goes through nesting of any depth, and one pass is enough.

    Raises JsonStructureError.
    """
    content = content.strip()
    if content[:1] not in (b"[", b"{"):
        raise JsonStructureError(f"expected an array or an object, got {content[:20]!r}")
    bounds = pairwise([0, *_find_bounds(content)])
    items = [content[start + 1 : end].strip() for start, end in bounds]
    return items if items != [b""] else []


def _find_bounds(content: bytes) -> Iterator[int]:
    """Yield the positions of the commas between items, and of the bracket that ends the last."""
    depth = 0
    for token in _TOKEN.finditer(content):
        start, end = token.span()
        first = content[start]
        if first == ord(","):
            if depth == 1:
                yield start
        elif first in b"[{":
            depth += end - start
        elif first in b"]}":
            if depth <= end - start:
                if start + depth != len(content):
                    raise JsonStructureError(f"the brackets end at byte {start + depth - 1}")
                yield start + depth - 1
                return
            depth -= end - start
    raise JsonStructureError(f"{depth} brackets are not closed")


def split_members(content: bytes) -> dict[str, bytes]:
    """Return the members of an object by their keys; keys with escapes are left out.

    Raises JsonStructureError.
    """
    keys = [(_KEY.match(member), member) for member in split_items(content)]
    return {
        key[1].decode(errors="replace"): member[key.end() :].strip()
        for key, member in keys
        if key is not None
    }


def split_list(content: bytes, key: str) -> list[msgspec.Raw]:
    """Return the items of a list in an object; each of them may be malformed.

    Raises one of DECODE_ERRORS if the object itself can't be read.
    """
    try:
        members = msgspec.json.decode(content, type=dict[str, msgspec.Raw])
        return msgspec.json.decode(members.get(key, b"null"), type=list[msgspec.Raw])
    except DECODE_ERRORS:
        # Even to skip an item the decoder has to go through it.
        return [msgspec.Raw(i) for i in split_items(split_members(content).get(key, b""))]
