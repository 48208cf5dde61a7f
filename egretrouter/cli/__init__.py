"""Provide the command line interface."""

import os
import sys

import cappa

from egretrouter.cli._commands import Egretrouter

__all__ = ["main"]

INTERRUPTED_EXIT_CODE = 130


def main(argv: list[str] | None = None) -> None:
    """Run one command and exit with its code."""
    try:
        cappa.invoke(Egretrouter, argv=argv)
        sys.stdout.flush()
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED_EXIT_CODE)
    except BrokenPipeError:
        # The reader closed the pipe early, as `head` does. Redirecting stdout to /dev/null keeps
        # the flush at interpreter exit from failing again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
