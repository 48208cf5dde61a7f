"""Define the commands, except the demo."""

import asyncio
import importlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal, TypeVar

import aiohttp
import cappa
from pydantic import TypeAdapter, ValidationError

from egretrouter.backends import HttpObjectStore, HttpWeightSource
from egretrouter.cli._demo import Demo
from egretrouter.cli._dump import fetch_state
from egretrouter.cli._exit import EXIT_CODES_HELP, ExitCode, exit_on_error
from egretrouter.cli._explain import explanation_json, explanation_lines, fetch_explanation
from egretrouter.cli._files import ANY_FILE_ADAPTER, KINDS, check_files, read_files
from egretrouter.cli._status import read_status, status_json, status_lines
from egretrouter.core.configuration import Difference, compare
from egretrouter.core.direct import ExplainQuery
from egretrouter.core.identifiers import ModelName
from egretrouter.core.settings import HttpUrl, load_agent_settings, load_router_settings
from egretrouter.core.validation import MistakesError, quoted, read_content
from egretrouter.publishing import (
    pin_manifests,
    publish,
    published_configuration,
)

Result = TypeVar("Result")
MAX_TIMEOUT_SECONDS = 3600
_URL_ADAPTER: TypeAdapter[str] = TypeAdapter(HttpUrl)


def parse_url(text: str) -> str:
    """Validate a URL argument and return it.

    Raises ValueError.
    """
    try:
        return _URL_ADAPTER.validate_python(text)
    except ValidationError as error:
        details = error.errors()[0]
        accepted = details.get("ctx", {}).get("expected", "")
        raise ValueError(f"{quoted(text)}: {details['msg']}; accepted: {accepted}") from None


def parse_seconds(text: str) -> float:
    """Parse a duration argument in seconds.

    Raises ValueError.
    """
    accepted = f"more than 0 and at most {MAX_TIMEOUT_SECONDS} seconds"
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= MAX_TIMEOUT_SECONDS:
        raise ValueError(f"{quoted(text)}: not a duration; accepted: {accepted}")
    return seconds


Paths = Annotated[
    list[Path],
    cappa.Arg(
        num_args=-1,
        required=True,
        help="Files of one deployment, or directories whose *.json files are read.",
    ),
]
StoreUrl = Annotated[
    str, cappa.Arg(long="--store", parse=parse_url, help="URL of the object store.")
]
TimeoutSeconds = Annotated[
    float,
    cappa.Arg(
        long="--timeout-seconds",
        parse=parse_seconds,
        help="Longest wait for one answer, in seconds.",
    ),
]
SettingsFile = Annotated[
    Path, cappa.Arg(long="--settings", help="JSON file with settings; see 'schema'.")
]


def parse_tokens(text: str) -> int:
    """Parse a number of tokens.

    Raises ValueError.
    """
    if not (text.isascii() and text.isdecimal()):
        raise ValueError(f"{quoted(text)}: not a count; accepted: a number of tokens")
    return int(text)


def _operators_url(address: str) -> str:
    """Return the URL of an operators' port, or exit if it is none."""
    try:
        return parse_url(address if "://" in address else f"http://{address}").rstrip("/")
    except ValueError as error:
        raise cappa.Exit(str(error).replace("[", r"\["), code=int(ExitCode.USAGE)) from None


def _run_with_session(
    request: Callable[[aiohttp.ClientSession], Awaitable[Result]],
) -> Result:
    async def main() -> Result:
        async with aiohttp.ClientSession() as session:
            return await request(session)

    with exit_on_error():
        return asyncio.run(main())


@cappa.command(
    help="Check operators' files and settings and list every mistake.", epilog=EXIT_CODES_HELP
)
@dataclass
class Check:
    """Validate configuration and settings files."""

    paths: Paths

    def __call__(self) -> None:
        """Print the number of valid files, or every mistake on standard error."""
        with exit_on_error():
            count = check_files(self.paths)
        print(f"{count} files are valid")


@cappa.command(help="Print the JSON Schema of files and settings.", epilog=EXIT_CODES_HELP)
@dataclass
class Schema:
    """Print the JSON Schema of one kind of file or of all kinds."""

    kind: Annotated[
        Literal["deployment", "model", "plain", "router", "agent"] | None,
        cappa.Arg(long="--kind", help="Kind of file; all kinds by default."),
    ] = None

    def __call__(self) -> None:
        """Print the schema on standard output."""
        adapter = ANY_FILE_ADAPTER if self.kind is None else TypeAdapter(KINDS[self.kind])
        print(json.dumps(adapter.json_schema(), indent=2))


@cappa.command(help="Print the state of a process as JSON.", epilog=EXIT_CODES_HELP)
@dataclass
class Dump:
    """Fetch and print the state dump of a process."""

    address: Annotated[
        str, cappa.Arg(help="Operators' address and port, like 127.0.0.1:9100, or a URL.")
    ]
    token_file: Annotated[
        Path | None,
        cappa.Arg(long="--token-file", help="File with the bearer token of the operators' port."),
    ] = None
    timeout_seconds: TimeoutSeconds = 10.0

    def __call__(self) -> None:
        """Print the state on standard output."""
        url = _operators_url(self.address)
        state = _run_with_session(
            lambda session: fetch_state(
                session, url, token_file=self.token_file, timeout_seconds=self.timeout_seconds
            )
        )
        print(json.dumps(state, indent=2, sort_keys=True))


@cappa.command(
    help="Ask a router that reaches endpoints directly where it would send a call, and why.",
    epilog=EXIT_CODES_HELP,
)
@dataclass
class Explain:
    """Print where a router would send a call now, without sending it."""

    address: Annotated[str, cappa.Arg(help="Address and port of the router's metrics, or a URL.")]
    host: Annotated[str, cappa.Arg(long="--host", help="Host header of the call.")]
    path: Annotated[str, cappa.Arg(long="--path", help="Path of the call, without a query.")]
    key_file: Annotated[
        Path | None, cappa.Arg(long="--key-file", help="File with the API key of the call.")
    ] = None
    model: Annotated[str | None, cappa.Arg(long="--model", help="Model of the call.")] = None
    prompt_tokens: Annotated[
        int, cappa.Arg(long="--prompt-tokens", parse=parse_tokens, help="Tokens of the prompt.")
    ] = 0
    answer_tokens: Annotated[
        int,
        cappa.Arg(
            long="--answer-tokens", parse=parse_tokens, help="Largest number of answer tokens."
        ),
    ] = 0
    expected_answer_tokens: Annotated[
        int | None,
        cappa.Arg(
            long="--expected-answer-tokens",
            parse=parse_tokens,
            help="The caller's estimate of the answer tokens.",
        ),
    ] = None
    json: Annotated[bool, cappa.Arg(long="--json", help="Print one JSON object.")] = False
    timeout_seconds: TimeoutSeconds = 5.0

    def __call__(self) -> None:
        """Print the decision on standard output."""
        url = _operators_url(self.address)
        explanation = _run_with_session(
            lambda session: fetch_explanation(
                session, url, self._query(), timeout_seconds=self.timeout_seconds
            )
        )
        lines = explanation_lines(explanation)
        print(explanation_json(explanation) if self.json else "\n".join(lines))

    def _query(self) -> ExplainQuery:
        key = None
        if self.key_file is not None:
            key = read_content(self.key_file).decode("latin-1").strip()
        return ExplainQuery(
            host=self.host,
            path=self.path,
            key=key,
            model=None if self.model is None else ModelName(self.model),
            prompt_tokens=self.prompt_tokens,
            answer_tokens=self.answer_tokens,
            expected_answer_tokens=self.expected_answer_tokens,
        )


@cappa.command(help="Run a router.", epilog=EXIT_CODES_HELP)
@dataclass
class Router:
    """Run a router with the settings of a file."""

    settings: SettingsFile

    def __call__(self) -> None:
        """Run until the process is stopped."""
        with exit_on_error():
            settings = load_router_settings(self.settings)
            importlib.import_module("egretrouter.daemons").run_router(settings)


@cappa.command(help="Run the agent of an endpoint.", epilog=EXIT_CODES_HELP)
@dataclass
class Agent:
    """Run an agent with the settings of a file."""

    settings: SettingsFile

    def __call__(self) -> None:
        """Run until the process is stopped."""
        with exit_on_error():
            settings = load_agent_settings(self.settings)
            importlib.import_module("egretrouter.daemons").run_agent(settings)


@cappa.command(help="Publish operators' files as the next generation.", epilog=EXIT_CODES_HELP)
@dataclass
class Publish:
    """Publish operators' files as the next generation, or show what would change."""

    paths: Paths
    store: StoreUrl
    origin: Annotated[
        str | None,
        cappa.Arg(
            long="--origin",
            parse=parse_url,
            help="URL of the origin, to look up manifest digests and the weights' sizes.",
        ),
    ] = None
    dry_run: Annotated[
        bool, cappa.Arg(long="--dry-run", help="Print what would change and publish nothing.")
    ] = False
    timeout_seconds: TimeoutSeconds = 5.0

    def __call__(self) -> None:
        """Print the published generation or, with --dry-run, the differences."""
        _run_with_session(self._publish)

    async def _publish(self, session: aiohttp.ClientSession) -> None:
        contents, mistakes = read_files(self.paths)
        if mistakes:
            raise MistakesError(mistakes)
        timeout_seconds = self.timeout_seconds
        store = HttpObjectStore(session, base_url=self.store, timeout_seconds=timeout_seconds)
        origin = None
        if self.origin is not None:
            origin = HttpWeightSource(
                session, base_url=self.origin, timeout_seconds=timeout_seconds
            )
        collection, sizes = await pin_manifests(contents, origin)
        if self.dry_run:
            published = await published_configuration(store)
            print_difference(compare(published, collection, weight_sizes=sizes))
            return
        publication = await publish(store, collection)
        note = "" if publication.created else " (the same files were in force already)"
        print(f"generation {publication.generation} is published{note}")


def print_difference(difference: Difference) -> None:
    """Print what a publication would change."""
    for name in difference.added:
        print(f"add service {name}")
    for name in difference.removed:
        print(f"remove service {name}")
    for part, changes in difference.changed.items():
        for change in changes:
            print(f"change {part} {change.path}: {quoted(change.before)} -> {quoted(change.after)}")
    if not (difference.added or difference.removed or difference.changed):
        print("no change")
    print(
        f"origin: {difference.origin_bytes} bytes, "
        f"{difference.origin_minutes:.1f} minutes within the budget"
    )
    for version in difference.unknown_versions:
        print(f"size of {version} is not known; --origin looks it up")


@cappa.command(
    help="Print the published generation and the status of every zone.", epilog=EXIT_CODES_HELP
)
@dataclass
class Status:
    """Print the published generation and the status of every zone."""

    store: StoreUrl
    json: Annotated[bool, cappa.Arg(long="--json", help="Print one JSON object.")] = False
    timeout_seconds: TimeoutSeconds = 5.0

    def __call__(self) -> None:
        """Print the status on standard output."""
        status = _run_with_session(
            lambda session: read_status(
                HttpObjectStore(session, base_url=self.store, timeout_seconds=self.timeout_seconds)
            )
        )
        print(status_json(status) if self.json else "\n".join(status_lines(status)))


@cappa.command(
    name="egretrouter",
    help="Distribute model weights in bursts and route calls to their replicas.",
    epilog=EXIT_CODES_HELP,
)
@dataclass
class Egretrouter:
    """Dispatch to the chosen subcommand."""

    command: cappa.Subcommands[
        Check | Schema | Dump | Explain | Router | Agent | Publish | Status | Demo
    ]
