"""Read the shared secrets of a deployment, and reload them when their file changes."""

import hmac
from pathlib import Path

from eliot import log_message

from egretrouter.core.errors import ValidationError


class SecretError(ValidationError):
    """The file of shared secrets contains no secret."""


class SharedSecrets:
    """Read shared secrets from a file: send the first to peers, and accept all of them.

    With the new secret above the old one, the processes can be switched over one at a time.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._modified_ns: int | None = None
        self._secrets: tuple[str, ...] = ()
        self._read()
        if not self._secrets:
            raise SecretError(f"{str(path)!r} contains no secret; one a line is accepted")

    def current(self) -> str:
        """Return the secret by which this process authenticates itself to peers."""
        self._read()
        return self._secrets[0]

    def is_accepted(self, secret: str) -> bool:
        """Return whether a peer's secret is in the file."""
        self._read()
        # Every secret is compared, so that the duration reveals nothing about a match.
        matches = [hmac.compare_digest(secret.encode(), s.encode()) for s in self._secrets]
        return any(matches)

    def _read(self) -> None:
        try:
            modified_ns = self._path.stat().st_mtime_ns
            if modified_ns == self._modified_ns:
                return
            lines = self._path.read_text(encoding="utf-8").split()
        except OSError as error:
            if self._modified_ns is None:
                raise
            log_message("security:secrets_not_read", error=str(error))
            return
        self._modified_ns = modified_ns
        # The file may be empty while it is being written, so the previous secrets are kept.
        self._secrets = tuple(lines) or self._secrets
