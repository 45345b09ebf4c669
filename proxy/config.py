"""The configuration of one proxy as typed values, and the errors of an unusable one.

`proxy.config_file` reads it. Which configuration is in force, the listener knows, and `proxy.reload` changes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from balancer.errors import RowandealError

if TYPE_CHECKING:
    from balancer.settings import Settings
    from proxy.address import Address
    from proxy.discovery.messages import EndpointListMessage

MAX_PROBLEM_LENGTH = 300  # characters of an error's text: one line of the log


class ConfigError(RowandealError):
    """The configuration can't be used; the text is one line.

    Attributes:
        problem: What is wrong.
        source: The file, environment variable or the like that is wrong; empty if the problem names it.
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
        listen: Where it listens for clients.
        discovery: Where discovery listens.
        seed: The seed of the balancer's random numbers.
        max_sockets: The number of descriptors that the proxy may use.
        memory_limit: The memory in bytes that it may use.
        cached_list: The endpoint list known when the file was written, in discovery's form. Only a starting
            process reads it; a reload compares it.
        settings: The balancer's settings.
        class_indices: The position of each class in the settings, by its name.
        tenant_indices: The position of each tenant in the settings, by its name.
        zone_indices: The position of each zone in the settings, by its name.
        machine_type_indices: The position of each machine type in the settings, by its name.
        backend_idle_timeout: Seconds after which backends close idle connections.
        dial_timeout: Seconds after which a dial to a backend fails.
        label: The version that the file states; empty if it states none.
        digest: A digest of the settings in the file.
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
    label: str = ""
    digest: str = ""

    @property
    def longest_deadline(self) -> float:
        """The seconds that a client waits for an answer at most."""
        return max(request_class.deadline for request_class in self.settings.classes)

    def version(self, count: int) -> str:
        """Return the version that operators see: the label, or else a count, and the digest.

        Args:
            count: The number of configurations that this process has applied, with this one.
        """
        return f"{self.label or count}-{self.digest}"
