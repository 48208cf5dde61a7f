"""Check addresses that others wrote, before anything connects to them."""

import ipaddress
import re
from collections.abc import Callable

from egretrouter.core.errors import ValidationError

MAX_PORT = 65_535
MAX_ADDRESS_CHARACTERS = 64
"""More than the longest IP address with a port."""
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)


class AddressMalformedError(ValidationError):
    """A text is not an IPv4 address, or has no valid port."""


def check_host(text: str) -> str:
    """Return a text that is an IPv4 address.

    Raises AddressMalformedError.
    """
    try:
        ipaddress.IPv4Address(text)
    except ValueError as error:
        raise AddressMalformedError(
            f"address is {_quote(text)}, expected an IPv4 address such as '10.0.0.1'"
        ) from error
    return text


def check_address(text: str) -> str:
    """Return a text that is an IPv4 address with a port.

    Raises AddressMalformedError.
    """
    return _check_address(text, check_host)


def check_any_address(text: str) -> str:
    """Return a text that is an IPv4 address, or an IPv6 address in brackets, with a port.

    Raises AddressMalformedError.
    """
    return _check_address(text, _check_any_host)


def _check_any_host(text: str) -> None:
    if not (text.startswith("[") and text.endswith("]")):
        check_host(text)
        return
    try:
        ipaddress.IPv6Address(text[1:-1])
    except ValueError as error:
        raise AddressMalformedError(
            f"address is {_quote(text)}, expected an IP address such as '[fd00::1]'"
        ) from error


def _check_address(text: str, check: Callable[[str], object]) -> str:
    host, _, port = text.rpartition(":") if len(text) <= MAX_ADDRESS_CHARACTERS else ("", "", "")
    if not (_PORT.fullmatch(port) and 1 <= int(port) <= MAX_PORT):
        raise AddressMalformedError(
            f"address is {_quote(text)}, expected an IPv4 address and a port from 1 to {MAX_PORT} "
            "such as '10.0.0.1:80'"
        )
    check(host)
    return text


def _quote(text: str) -> str:
    return repr(text[:MAX_ADDRESS_CHARACTERS])
