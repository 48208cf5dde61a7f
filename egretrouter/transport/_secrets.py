"""Read the shared secrets of a deployment, again when their file changes."""

import hmac
from pathlib import Path

from eliot import log_message

from egretrouter.core.errors import ValidationError


class SecretError(ValidationError):
    """The file of shared secrets holds none."""


class SharedSecrets:
    """Offer the first secret of a file to peers and accept any of them.

    A file with the new secret above the old one lets the processes change over one by one.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._modified: int | None = None
        self._secrets: tuple[str, ...] = ()
        self._read()
        if not self._secrets:
            raise SecretError(f"{str(path)!r} holds no secret; one a line is accepted")

    def offered(self) -> str:
        """Return the secret that this process proves itself with."""
        self._read()
        return self._secrets[0]

    def accepts(self, secret: str) -> bool:
        """Tell whether a peer's secret is one of the file."""
        self._read()
        # Every secret is compared, so that the time taken tells nothing.
        matches = [hmac.compare_digest(secret.encode(), s.encode()) for s in self._secrets]
        return any(matches)

    def _read(self) -> None:
        try:
            modified = self._path.stat().st_mtime_ns
            if modified == self._modified:
                return
            lines = self._path.read_text(encoding="utf-8").split()
        except OSError as error:
            if self._modified is None:
                raise
            log_message("security:secrets_not_read", error=str(error))
            return
        self._modified = modified
        # A file that is being written may be empty for a moment.
        self._secrets = tuple(lines) or self._secrets
