"""Split JSON into its parts without decoding them."""

import re
from collections.abc import Iterator
from itertools import pairwise

import msgspec

from egretrouter.core.decoding import DECODE_ERRORS

# Text without quotes and strings without brackets or commas, which need no closer look.
_PLAIN = re.compile(rb'(?:[^"]++|"[^"\\,\[\]{}]*+")*+', re.DOTALL)
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)
_BRACKETS = re.compile(rb"[\[{]+|[\]}]+")
_STRUCTURE = re.compile(rb"[,\[\]{}]")
_KEY = re.compile(rb'\s*"([^"\\]*+)"\s*:', re.DOTALL)


class JsonStructureError(ValueError):
    """Brackets of JSON are unbalanced, or the text is no array or object."""


def split_items(content: bytes) -> list[bytes]:
    """Return the items of an array or the members of an object, which may themselves be malformed.

    Unlike a decoder it goes through nesting of any depth.

    Raises JsonStructureError.
    """
    content = content.strip()
    if content[:1] not in (b"[", b"{"):
        raise JsonStructureError(f"expected an array or an object, got {content[:20]!r}")
    bounds = pairwise([0, *_find_bounds(_blank_strings(content))])
    items = [content[start + 1 : end].strip() for start, end in bounds]
    return items if items != [b""] else []


def _blank_strings(content: bytes) -> bytes:
    """Return the content with spaces in place of strings that contain brackets or commas."""
    parts = []
    position = 0
    while position < len(content):
        plain = _PLAIN.match(content, position)
        assert plain is not None
        parts.append(plain[0])
        position = plain.end()
        if position < len(content):
            string = _STRING.match(content, position)
            if string is None:
                raise JsonStructureError(f"the string at byte {position} is not closed")
            parts.append(b" " * (string.end() - position))
            position = string.end()
    return b"".join(parts)


def _find_bounds(content: bytes) -> Iterator[int]:
    """Yield the positions of the commas between items, and of the bracket that ends the last."""
    position = 1
    while (found := _STRUCTURE.search(content, position)) is not None:
        position = found.start()
        if found[0] in (b"[", b"{"):
            position = _find_end(content, position)
        else:
            yield position
            if found[0] != b",":
                if position + 1 != len(content):
                    raise JsonStructureError(f"the brackets end at byte {position}")
                return
        position += 1
    raise JsonStructureError("brackets are not closed")


def _find_end(content: bytes, start: int) -> int:
    """Return the position of the bracket that closes the one at the start."""
    depth = 0
    for run in _BRACKETS.finditer(content, start):
        first, end = run.span()
        if content[first] in b"[{":
            depth += end - first
        elif depth > end - first:
            depth -= end - first
        else:
            return first + depth - 1
    raise JsonStructureError(f"the bracket at byte {start} is not closed")


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
