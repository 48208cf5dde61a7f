"""Map errors to exit codes and print them without a traceback."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from enum import IntEnum

import cappa

from egretrouter.core.configuration import ConfigurationError, PublicationUnsettledError
from egretrouter.core.errors import (
    EgretrouterError,
    LostAnswerError,
    PublishConflictError,
    ValidationError,
)
from egretrouter.core.validation import MistakesError


class ExitCode(IntEnum):
    """List the exit codes of all commands."""

    SUCCESS = 0
    MISTAKES = 1
    USAGE = 2
    UNAVAILABLE = 3
    CONFLICT = 4
    UNSETTLED = 5


EXIT_CODES_HELP = (
    "Exit codes: 0 success; 1 mistakes in files or settings; 2 wrong use of the command line; "
    "3 a system or process does not answer as expected, and no generation was published; "
    "4 another publication won the race, publish again; "
    "5 it is not known whether the publication took effect, publishing again is harmless; "
    "130 interrupted."
)


def exit_code(error: EgretrouterError) -> ExitCode:
    """Return the exit code for an error."""
    if isinstance(error, PublishConflictError):
        return ExitCode.CONFLICT
    if isinstance(error, PublicationUnsettledError | LostAnswerError):
        return ExitCode.UNSETTLED
    if isinstance(error, ConfigurationError) and not isinstance(error, MistakesError):
        # The store is reachable, but its content is not a valid configuration.
        return ExitCode.UNAVAILABLE
    return ExitCode.MISTAKES if isinstance(error, ValidationError) else ExitCode.UNAVAILABLE


@contextmanager
def exit_on_error() -> Iterator[None]:
    """Print an expected error on standard error and exit with its code."""
    try:
        yield
    except EgretrouterError as error:
        # cappa would interpret brackets in a JSON path as markup, so the message is printed here.
        print(error, file=sys.stderr)
        raise cappa.Exit(code=int(exit_code(error))) from error
