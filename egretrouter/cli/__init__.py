"""Offer the command line."""

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
        # The reader of the output ended early, as 'head' does; nothing is left to print.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
