"""Reads the entries of the endpoint list, in discovery's form, into typed values.

Owns the numbers that the names of zones and machine types have in this process. Does not own the list itself,
nor the connection that it comes on.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from balancer.endpoints import Endpoint, EndpointId, EndpointStatus
from proxy.config import Address, Config, ConfigError, read_address

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balancer.settings import RequestClass, Settings

STATUSES = {
    "in_service": EndpointStatus.UP,
    "terminating": EndpointStatus.DRAINING,
    "terminated": EndpointStatus.GONE,
}
MAX_NAMES = 4096  # names of zones, or of machine types, that are told apart
UNKNOWN_NAME = -1  # the number of all names beyond those

Places = tuple[int, ...] | None  # the zones or machine types that a class is bound to; None: any


@dataclass(slots=True, frozen=True)
class DiscoveredEndpoint:
    """One entry of the list: what the decisions see of a backend, and the address where it listens."""

    endpoint: Endpoint
    address: Address


def endpoint_id(name: str) -> EndpointId:
    """Return the id of an endpoint by its name, the same at every proxy and after every restart."""
    return int.from_bytes(name.encode(), "big")


class NameIndex:
    """The numbers of zones, or of machine types; a name keeps its number while the process lives.

    So placement stays right across a change of settings: endpoints that were read before it still say where
    they are, and a number never comes to mean another zone or machine type.
    """

    def __init__(self, names: Mapping[str, int]) -> None:
        self._numbers = dict(names)

    def number_of(self, name: str) -> int:
        """Return the number of a name, a new one for a name that is new.

        More than `MAX_NAMES` names are not told apart, or they would fill the memory: `UNKNOWN_NAME` stands
        for all others.
        """
        number = self._numbers.get(name)
        if number is not None:
            return number
        if len(self._numbers) >= MAX_NAMES:
            return UNKNOWN_NAME
        return self._numbers.setdefault(name, max(self._numbers.values(), default=-1) + 1)

    def translate(self, places: Places, names: Mapping[str, int]) -> Places:
        """Return the numbers that places of a configuration have in this process.

        Args:
            places: Places in the configuration's list of names; None stands for any.
            names: The configuration's names, in its order.
        """
        if places is None:
            return None
        listed = list(names)
        return tuple(sorted({self.number_of(listed[place]) for place in places}))


class EndpointReader:
    """Turns entries in discovery's form into endpoints; names of zones and machine types become numbers."""

    def __init__(self, zones: Mapping[str, int], machine_types: Mapping[str, int]) -> None:
        self._zones = NameIndex(zones)
        self._machine_types = NameIndex(machine_types)

    def endpoint(self, entry: Mapping[str, Any]) -> DiscoveredEndpoint:
        """Read one entry; no class is bound to a zone or machine type that the settings do not name."""
        endpoint = Endpoint(
            endpoint_id(entry["name"]),
            STATUSES[entry["status"]],
            self._zones.number_of(entry.get("zone", "")),
            entry.get("group", 0),
            entry.get("weight", 1.0),
            entry.get("since_ms", 0) / 1000.0,
            self._machine_types.number_of(entry.get("type", "")),
        )
        return DiscoveredEndpoint(endpoint, read_address(entry["address"]))

    def endpoints(self, message: Mapping[str, Any]) -> list[DiscoveredEndpoint]:
        """Read all entries of a message."""
        return [self.endpoint(entry) for entry in message["endpoints"]]

    def check(self, message: Mapping[str, Any]) -> None:
        """Check the list that a configuration names.

        Raises:
            ConfigError: It can not be read.
        """
        try:
            int(message["index"])
            self.endpoints(message)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ConfigError(f"the known list can't be read: {error!r}") from error

    def settings_of(self, config: Config) -> Settings:
        """Return a configuration's settings with the numbers that zones and machine types have here."""
        classes = tuple(self._translate_class(row, config) for row in config.settings.classes)
        return replace(config.settings, classes=classes)

    def _translate_class(self, request_class: RequestClass, config: Config) -> RequestClass:
        machine_types = self._machine_types.translate(
            request_class.allowed_machine_types, config.machine_type_indices
        )
        zones = self._zones.translate(request_class.allowed_zones, config.zone_indices)
        return replace(request_class, allowed_machine_types=machine_types, allowed_zones=zones)
