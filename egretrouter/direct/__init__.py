"""Provide settings, logging and lifecycle of processes that reach endpoints directly."""

from egretrouter.direct._logs import log_event, start_logging
from egretrouter.direct._process import run_until_stopped
from egretrouter.direct._settings import Bounds, DirectSettings, SettingsError, read_settings
from egretrouter.direct._sockets import open_session

__all__ = [
    "Bounds",
    "DirectSettings",
    "SettingsError",
    "log_event",
    "open_session",
    "read_settings",
    "run_until_stopped",
    "start_logging",
]
