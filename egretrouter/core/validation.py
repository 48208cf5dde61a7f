"""Decode JSON files and report every mistake in them at once."""

import json
import math
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import msgspec
import pydantic
from pydantic import TypeAdapter

from egretrouter.core.errors import ValidationError

Value = TypeVar("Value")

MAX_FILE_BYTES = 1024 * 1024
"""The object API stores at most 1 MB per object, and each file becomes one object."""
MAX_QUOTED_CHARACTERS = 120


class Mistake(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one mistake with its location and the accepted values."""

    file: str
    path: str = "$"
    """The JSON path of the invalid value."""
    problem: str
    value: str | None = None
    """The invalid value as shortened JSON; None if there is no value."""
    accepted: str | None = None

    @property
    def reason(self) -> str:
        """Return the problem with the accepted values, if known."""
        return self.problem + (f"; accepted: {self.accepted}" if self.accepted else "")

    def __str__(self) -> str:
        """Format the mistake as one line."""
        quoted_value = f"{self.value}: " if self.value is not None else ""
        return f"{self.file}: {self.path}: {quoted_value}{self.reason}"


class MistakesError(ValidationError):
    """One or more files are invalid; lists every mistake."""

    def __init__(self, mistakes: Iterable[Mistake]) -> None:
        """Store the mistakes and format them one per line."""
        self.mistakes = tuple(mistakes)
        super().__init__("\n".join(map(str, self.mistakes)))


class _InvalidJsonError(ValueError):
    """A JSON text contains a construct that egretrouter does not accept."""


def read_file(path: Path, adapter: TypeAdapter[Value]) -> Value:
    """Read and decode one JSON file.

    Raises MistakesError if the file is unreadable or invalid.
    """
    return decode(read_content(path), adapter, file=str(path))


def read_content(path: Path) -> bytes:
    """Read one file of at most MAX_FILE_BYTES.

    Raises MistakesError if the file is unreadable or too large.
    """
    try:
        with path.open("rb") as stream:
            content = stream.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = (error.strerror if isinstance(error, OSError) else None) or str(error)
        problem = f"the file can't be read: {reason}"
        raise MistakesError([Mistake(file=str(path), problem=problem)]) from error
    if len(content) > MAX_FILE_BYTES:
        problem = f"the file has more than {MAX_FILE_BYTES} bytes"
        raise MistakesError([Mistake(file=str(path), problem=problem)])
    return content


def decode(content: bytes, adapter: TypeAdapter[Value], *, file: str) -> Value:
    """Decode JSON strictly, without type conversions or duplicate keys.

    Raises MistakesError if the content is invalid.
    """
    try:
        json.loads(
            content.decode(),
            object_pairs_hook=_unique_pairs,
            parse_constant=_reject_constant,
            parse_float=_finite_float,
        )
    except (ValueError, RecursionError) as error:
        problem = "the nesting is too deep" if isinstance(error, RecursionError) else str(error)
        raise MistakesError([Mistake(file=file, problem=f"not valid JSON: {problem}")]) from error
    try:
        return adapter.validate_json(content, strict=True)
    except pydantic.ValidationError as error:
        schema = adapter.json_schema()
        raise MistakesError(_collect_mistakes(error, file=file, schema=schema)) from error


def _unique_pairs(pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for key, value in pairs:
        if key in values:
            raise _InvalidJsonError(f"the key {quoted(key)} appears twice in one object")
        values[key] = value
    return values


def _reject_constant(text: str) -> NoReturn:
    raise _InvalidJsonError(f"{text} is not a JSON number")


def _finite_float(text: str) -> float:
    if not math.isfinite(value := float(text)):
        raise _InvalidJsonError(f"the number {text[:MAX_QUOTED_CHARACTERS]} is too large")
    return value


def quoted(value: object) -> str:
    """Return a value as JSON, shortened for an error message."""
    text = json.dumps(value, default=_json_fallback)
    if len(text) > MAX_QUOTED_CHARACTERS:
        return text[: MAX_QUOTED_CHARACTERS - 3] + "..."
    return text


def _json_fallback(value: object) -> object:
    if isinstance(value, pydantic.BaseModel):
        return value.model_dump(mode="json", exclude_unset=True)
    return str(value)


def join_names(names: Iterable[str]) -> str:
    """Return quoted names in sorted order, separated by commas."""
    return ", ".join(map(repr, sorted(names)))


def json_path(keys: Iterable[str | int]) -> str:
    """Return keys and indexes as a JSON path."""
    return "$" + "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in keys)


def _collect_mistakes(
    error: pydantic.ValidationError, *, file: str, schema: Mapping[str, Any]
) -> list[Mistake]:
    entries = [dict(entry) for entry in error.errors(include_url=False)]
    return [
        _to_mistake(entry, file=file, schema=schema)
        for entry in entries
        if not _is_caused_by_items(entry)
    ]


def _is_caused_by_items(entry: Mapping[str, Any]) -> bool:
    """Return whether a list is reported as too short only because its items are invalid."""
    return bool(
        entry["type"] == "too_short"
        and isinstance(entry["input"], list)
        and len(entry["input"]) >= entry["ctx"]["min_length"]
    )


def _to_mistake(entry: Mapping[str, Any], *, file: str, schema: Mapping[str, Any]) -> Mistake:
    kind, context = entry["type"], entry.get("ctx", {})
    keys: tuple[str | int, ...] = entry["loc"]
    # pydantic puts the tag of a union before the keys, but the tag is not part of the JSON path.
    variant = str(keys[0]) if keys and "discriminator" in schema else None
    keys = keys[1:] if variant is not None else keys
    problem = str(entry["msg"]).removeprefix("Value error, ")
    value: str | None = quoted(entry["input"])
    accepted = context.get("expected")
    if kind == "extra_forbidden":
        problem = "unknown field"
        accepted = join_names(_field_names(schema, variant=variant, keys=keys[:-1]))
    elif kind == "missing":
        problem, value = "required field is missing", None
    elif kind == "string_pattern_mismatch":
        problem, accepted = "invalid format", f"text that matches {context['pattern']}"
    elif kind == "json_invalid":
        problem, value = f"not valid JSON: {context['error']}", None
    elif kind in ("union_tag_invalid", "union_tag_not_found"):
        is_absent = kind == "union_tag_not_found"
        keys, value = ("kind",), None if is_absent else quoted(context["tag"])
        problem = "required field is missing" if is_absent else "unknown kind of file"
        accepted = join_names(schema["discriminator"]["mapping"])
    return Mistake(file=file, path=json_path(keys), problem=problem, value=value, accepted=accepted)


def _field_names(
    schema: Mapping[str, Any], *, variant: str | None, keys: Sequence[str | int]
) -> list[str]:
    """Return the fields of the object at a path of a JSON Schema."""
    node: Mapping[str, Any] = schema
    if variant is not None:
        node = {"$ref": schema["discriminator"]["mapping"].get(variant, "#/$defs/")}
    for key in (*keys, None):
        while "$ref" in node or "anyOf" in node:
            if "$ref" in node:
                node = schema.get("$defs", {}).get(node["$ref"].rsplit("/", 1)[1], {})
            else:
                node = next((entry for entry in node["anyOf"] if entry.get("type") != "null"), {})
        if key is not None:
            child = node.get("items") if isinstance(key, int) else node.get("properties", {})
            node = (child or {}) if isinstance(key, int) else (child or {}).get(key, {})
    return sorted(node.get("properties", {}))
