"""Find and check operators' files and settings."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any

from pydantic import Field, TypeAdapter

from egretrouter.core.configuration import (
    ALL_FILES,
    DeploymentFile,
    FilesRejectedError,
    ModelServiceFile,
    PlainServiceFile,
    collect,
)
from egretrouter.core.settings import AgentSettings, RouterSettings
from egretrouter.core.validation import Mistake, MistakesError, decode, read_content

KINDS: dict[str, type[Any]] = {
    "deployment": DeploymentFile,
    "model": ModelServiceFile,
    "plain": PlainServiceFile,
    "router": RouterSettings,
    "agent": AgentSettings,
}
OPERATORS_KINDS = ("deployment", "model", "plain")
ANY_ADAPTER: TypeAdapter[Any] = TypeAdapter(
    Annotated[
        DeploymentFile | ModelServiceFile | PlainServiceFile | RouterSettings | AgentSettings,
        Field(discriminator="kind"),
    ]
)


def read_files(paths: Iterable[Path]) -> tuple[dict[str, bytes], list[Mistake]]:
    """Read files, and all JSON files below directories; return contents and mistakes."""
    contents: dict[str, bytes] = {}
    mistakes: list[Mistake] = []
    for path in paths:
        found = sorted(path.rglob("*.json")) if _is_directory(path) else [path]
        if not found:
            mistakes.append(Mistake(file=str(path), problem="the directory has no *.json file"))
        for file in found:
            try:
                contents[str(file)] = read_content(file)
            except MistakesError as error:
                mistakes.extend(error.mistakes)
    return contents, mistakes


def _is_directory(path: Path) -> bool:
    try:
        return path.is_dir()
    except OSError:
        # Reading the path as a file reports the reason.
        return False


def check_files(paths: Iterable[Path]) -> int:
    """Check files of every kind and return their number.

    Raises MistakesError with the mistakes of all files.
    """
    contents, mistakes = read_files(paths)
    operators_files = {}
    for name, content in contents.items():
        if kind_of(content) in OPERATORS_KINDS:
            operators_files[name] = content
            continue
        try:
            decode(content, ANY_ADAPTER, file=name)
        except MistakesError as error:
            mistakes.extend(error.mistakes)
    if operators_files:
        try:
            collect(operators_files)
        except FilesRejectedError as error:
            # One service's file can be checked without the rest of its deployment.
            mistakes.extend(entry for entry in error.mistakes if entry.file != ALL_FILES)
    if mistakes:
        raise MistakesError(mistakes)
    return len(contents)


def kind_of(content: bytes) -> str | None:
    """Return the kind that a file states, if it can be read."""
    try:
        value = json.loads(content)
    except (ValueError, RecursionError):
        return None
    kind = value.get("kind") if isinstance(value, dict) else None
    return kind if isinstance(kind, str) else None
