"""Check addresses that others wrote, before anything connects to them."""

import ipaddress

from egretrouter.core.errors import ValidationError

MAX_PORT = 65_535
MAX_ADDRESS_CHARACTERS = 21
"""The length of the longest IPv4 address with a port."""


class AddressMalformedError(ValidationError):
    """A text is not an IPv4 address, or has no valid port."""


def check_host(text: str) -> str:
    """Return a text that is an IPv4 address.

    Raises AddressMalformedError.
    """
    try:
        ipaddress.IPv4Address(text[: MAX_ADDRESS_CHARACTERS + 1])
    except ValueError as error:
        raise AddressMalformedError(
            f"address is {_quote(text)}, expected an IPv4 address such as '10.0.0.1'"
        ) from error
    return text


def check_address(text: str) -> str:
    """Return a text that is an IPv4 address with a port.

    Raises AddressMalformedError.
    """
    host, _, port = text[: MAX_ADDRESS_CHARACTERS + 1].rpartition(":")
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= MAX_PORT):
        raise AddressMalformedError(
            f"address is {_quote(text)}, expected an IPv4 address and a port from 1 to {MAX_PORT} "
            "such as '10.0.0.1:80'"
        )
    check_host(host)
    return text


def _quote(text: str) -> str:
    return repr(text[: 2 * MAX_ADDRESS_CHARACTERS])
