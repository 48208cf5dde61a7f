"""Serve callers over TLS with certificates that can be replaced without a restart."""

import asyncio
import ssl
from pathlib import Path

from eliot import log_message

from egretrouter.core.settings import TlsSettings

RELOAD_SECONDS = 2.0


class CallerTls:
    """Own the TLS context of the callers' port."""

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._seen = self._modified()
        self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        if settings.authority_file is not None:
            self.context.load_verify_locations(settings.authority_file)
            self.context.verify_mode = ssl.CERT_REQUIRED
        self._load()

    async def keep_current(self) -> None:
        """Load the certificate again whenever its files change."""
        while True:
            await asyncio.sleep(RELOAD_SECONDS)
            self.reload()

    def reload(self) -> None:
        """Load the certificate if its files changed; a broken pair leaves the old one in use."""
        modified = self._modified()
        if modified == self._seen:
            return
        try:
            self._load()
        except (ssl.SSLError, OSError) as error:
            # Certificate and key are two files, so a reload may find only one of them replaced.
            log_message("router:certificate_not_loaded", error=str(error))
            return
        self._seen = modified
        log_message("router:certificate_loaded", file=self._settings.certificate_file)

    def _load(self) -> None:
        self.context.load_cert_chain(
            self._settings.certificate_file, self._settings.private_key_file
        )

    def _modified(self) -> tuple[int, ...]:
        files = (self._settings.certificate_file, self._settings.private_key_file)
        try:
            return tuple(Path(file).stat().st_mtime_ns for file in files)
        except OSError:
            return ()
