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
OPERATOR_KINDS = ("deployment", "model", "plain")
ANY_FILE_ADAPTER: TypeAdapter[Any] = TypeAdapter(
    Annotated[
        DeploymentFile | ModelServiceFile | PlainServiceFile | RouterSettings | AgentSettings,
        Field(discriminator="kind"),
    ]
)


def read_files(paths: Iterable[Path]) -> tuple[dict[str, bytes], list[Mistake]]:
    """Read files, and the JSON files below directories; return contents by path and mistakes."""
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
        # The caller then reads the path as a file, and that error names the reason.
        return False


def check_files(paths: Iterable[Path]) -> int:
    """Check files of every kind and return their number.

    Raises MistakesError with the mistakes of all files.
    """
    contents, mistakes = read_files(paths)
    operator_files = {}
    for name, content in contents.items():
        if kind_of(content) in OPERATOR_KINDS:
            operator_files[name] = content
            continue
        try:
            decode(content, ANY_FILE_ADAPTER, file=name)
        except MistakesError as error:
            mistakes.extend(error.mistakes)
    if operator_files:
        try:
            collect(operator_files)
        except FilesRejectedError as error:
            # A single service's file may be checked without the rest of its deployment, so mistakes
            # about the set of files as a whole are ignored.
            mistakes.extend(entry for entry in error.mistakes if entry.file != ALL_FILES)
    if mistakes:
        raise MistakesError(mistakes)
    return len(contents)


def kind_of(content: bytes) -> str | None:
    """Return the `kind` field of a file, or None if the file is not valid JSON or has none."""
    try:
        value = json.loads(content)
    except (ValueError, RecursionError):
        return None
    kind = value.get("kind") if isinstance(value, dict) else None
    return kind if isinstance(kind, str) else None
