"""Serve callers over TLS and reload certificates without a restart."""

import asyncio
import ssl
from pathlib import Path

from eliot import log_message

from egretrouter.core.settings import TlsSettings

RELOAD_SECONDS = 2.0


class CallerTls:
    """Manage the TLS context of the callers' port."""

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._loaded_mtimes = self._read_mtimes()
        self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        if settings.authority_file is not None:
            self.context.load_verify_locations(settings.authority_file)
            self.context.verify_mode = ssl.CERT_REQUIRED
        self._load()

    async def keep_current(self) -> None:
        """Reload the certificate whenever its files change."""
        while True:
            await asyncio.sleep(RELOAD_SECONDS)
            self.reload()

    def reload(self) -> None:
        """Reload the certificate if its files changed; keep the old one if the pair is invalid."""
        mtimes = self._read_mtimes()
        if mtimes == self._loaded_mtimes:
            return
        try:
            self._load()
        except (ssl.SSLError, OSError) as error:
            # Certificate and key are separate files, so perhaps only one of them is replaced yet.
            log_message("router:certificate_not_loaded", error=str(error))
            return
        self._loaded_mtimes = mtimes
        log_message("router:certificate_loaded", file=self._settings.certificate_file)

    def _load(self) -> None:
        self.context.load_cert_chain(
            self._settings.certificate_file, self._settings.private_key_file
        )

    def _read_mtimes(self) -> tuple[int, ...]:
        files = (self._settings.certificate_file, self._settings.private_key_file)
        try:
            return tuple(Path(file).stat().st_mtime_ns for file in files)
        except OSError:
            return ()
