"""The configuration of one proxy as typed values, and the errors for an invalid configuration.

`proxy.config_file` reads it from a file. The listener owns the configuration in force, and `proxy.reload`
replaces it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from balancer.errors import RowandealError

if TYPE_CHECKING:
    from balancer.settings import Settings
    from proxy.address import Address
    from proxy.discovery.messages import EndpointListMessage

MAX_PROBLEM_LENGTH = 300  # characters of an error's text, so that it stays one short line in the log


class ConfigError(RowandealError):
    """The configuration can't be used; the text is one line.

    Attributes:
        problem: The description of the error.
        source: The file or environment variable that contains the error; empty if `problem` names it.
    """

    def __init__(self, problem: str, source: str = "") -> None:
        super().__init__(f"{source}: {problem}" if source else problem)
        self.problem = problem
        self.source = source


class ConfigPathNotSetError(ConfigError):
    """The environment names no configuration file."""

    def __init__(self) -> None:
        super().__init__("RELAY_CONFIG is not set")


class ConfigFileError(ConfigError):
    """The configuration file can't be read, or its content is invalid."""

    def __init__(self, path: str, error: Exception) -> None:
        super().__init__(" ".join(str(error).split())[:MAX_PROBLEM_LENGTH], path)


class CachedListError(ConfigError):
    """The endpoint list in the configuration file is invalid."""

    def __init__(self, error: Exception) -> None:
        super().__init__(f"the known list can't be read: {error}"[:MAX_PROBLEM_LENGTH])


@dataclass(slots=True, frozen=True)
class Config:
    """One proxy's configuration.

    Attributes:
        name: The proxy's name.
        listen: The address at which it listens for clients.
        discovery: The address at which discovery listens.
        seed: The seed of the balancer's random numbers.
        max_sockets: The largest number of file descriptors that the proxy may use.
        memory_limit: The largest amount of memory in bytes that the proxy may use.
        cached_list: The endpoint list at the time when the file was written, in its JSON form. It is only
            used at the start of the process; a reload only reports that it differs.
        settings: The balancer's settings.
        class_indices: The position of each class in the settings, by name.
        tenant_indices: The position of each tenant in the settings, by name.
        zone_indices: The position of each zone in the settings, by name.
        machine_type_indices: The position of each machine type in the settings, by name.
        backend_idle_timeout: Seconds after which backends close idle connections.
        dial_timeout: Seconds after which a dial to a backend fails.
        version_label: The version label in the file; empty if there is none.
        settings_digest: A digest of the settings in the file.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    memory_limit: int
    cached_list: EndpointListMessage
    settings: Settings
    class_indices: dict[str, int]
    tenant_indices: dict[str, int]
    zone_indices: dict[str, int]
    machine_type_indices: dict[str, int]
    backend_idle_timeout: float
    dial_timeout: float
    version_label: str = ""
    settings_digest: str = ""

    @property
    def longest_deadline(self) -> float:
        """The longest time in seconds that any client waits for a response."""
        return max(request_class.deadline for request_class in self.settings.classes)

    def version(self, count: int) -> str:
        """Return the version that operators see: the label, or a count if there is none, and the digest.

        Args:
            count: The number of configurations that this process has applied, including this one.
        """
        return f"{self.version_label or count}-{self.settings_digest}"
