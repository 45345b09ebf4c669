"""The network address of a listening process, and its text form."""

from __future__ import annotations

from typing import NamedTuple

from proxy.json_values import InvalidEntryError

MAX_PORT = 65535


class Address(NamedTuple):
    """The address at which a process listens.

    Attributes:
        host: The host name or IP address.
        port: The TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as `host:port`, as in the configuration."""
        return f"{self.host}:{self.port}"


def read_address(key: str, value: object) -> Address:
    """Read an address of the form `host:port`.

    Args:
        key: The key of the value, for the error message.
        value: The value.

    Raises:
        InvalidEntryError: The value does not have this form.
    """
    if isinstance(value, str):
        host, _, port = value.rpartition(":")
        if host and port.isascii() and port.isdigit() and int(port) <= MAX_PORT:
            return Address(host, int(port))
    raise InvalidEntryError(key=key, value=value, expected="an address of the form host:port")
