"""Converts the entries of the endpoint list from their JSON form into typed values.

It owns the numbers of zones and machine types in this process. It owns neither the list nor the connection on
which the list arrives.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, cast

from balancer.endpoints import Endpoint, EndpointId
from proxy.address import Address, read_address
from proxy.discovery.entry_errors import entry_error
from proxy.discovery.messages import STATUSES
from proxy.discovery.name_index import NameIndex
from proxy.json_values import EntryError, InvalidEntryError, require_entry, require_object

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balancer.settings import RequestClass, Settings
    from proxy.config import Config
    from proxy.discovery.messages import EndpointEntry

MS_PER_SECOND = 1000.0


@dataclass(slots=True, frozen=True)
class DiscoveredEndpoint:
    """One entry of the endpoint list.

    Attributes:
        endpoint: The backend as the balancer sees it.
        address: The address at which the backend listens.
    """

    endpoint: Endpoint
    address: Address


@dataclass(slots=True, frozen=True)
class EndpointList:
    """A complete endpoint list, or a change to it.

    Attributes:
        index: The version of the list after this update.
        endpoints: All endpoints, or only those that have changed.
        is_complete: Whether `endpoints` are all endpoints.
    """

    index: int
    endpoints: list[DiscoveredEndpoint]
    is_complete: bool


def endpoint_id(name: str) -> EndpointId:
    """Return the id of the endpoint with a name; it is the same in all proxies and after restarts."""
    return int.from_bytes(name.encode(), "big")


class EndpointReader:
    """Converts entries into endpoints, and names of zones and machine types into numbers."""

    def __init__(self, zones: Mapping[str, int], machine_types: Mapping[str, int]) -> None:
        """Prepare a reader.

        Args:
            zones: The numbers of the zones that the settings list, by name.
            machine_types: The numbers of the machine types that the settings list, by name.
        """
        self._zones = NameIndex(zones)
        self._machine_types = NameIndex(machine_types)

    def read_entry(self, entry: EndpointEntry) -> DiscoveredEndpoint:
        """Convert one entry.

        Zones and machine types that the settings do not list get new numbers. No class is restricted to them
        until a reload lists their names.

        Raises:
            EntryError: A value of the entry is missing or invalid.
        """
        try:
            endpoint = Endpoint(
                endpoint_id(entry["name"]),
                STATUSES[entry["status"]],
                self._zones.number_of(entry.get("zone", "")),
                entry.get("group", 0),
                entry.get("weight", 1.0),
                entry.get("since_ms", 0) / MS_PER_SECOND,
                self._machine_types.number_of(entry.get("type", "")),
            )
            return DiscoveredEndpoint(endpoint, read_address("address", entry["address"]))
        except EntryError:
            raise
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise entry_error(entry) from error

    def read_entries(self, message: Mapping[str, object]) -> list[DiscoveredEndpoint]:
        """Convert all entries of a message.

        Raises:
            EntryError: A value is missing or invalid.
        """
        entries = require_entry(message, "endpoints")
        if not isinstance(entries, Iterable):
            raise InvalidEntryError(key="endpoints", value=entries, expected="a list")
        endpoints: list[DiscoveredEndpoint] = []
        try:
            for entry in entries:
                endpoints.append(self.read_entry(entry))
        except EntryError as error:
            path = f"endpoints[{len(endpoints)}]"
            raise error.with_path(path) from error
        return endpoints

    def read_list(self, message: Mapping[str, object]) -> EndpointList:
        """Convert a message.

        Raises:
            EntryError: A value is missing or invalid.
        """
        endpoints = self.read_entries(require_object("the list", message))
        index = require_entry(message, "index")
        try:
            version = int(cast("int", index))
        except (TypeError, ValueError) as error:
            raise InvalidEntryError(key="index", value=index, expected="a whole number") from error
        return EndpointList(version, endpoints, is_complete=bool(message.get("snapshot")))

    def translate_settings(self, config: Config) -> Settings:
        """Return a configuration's settings with the numbers of zones and machine types in this process."""
        classes = tuple(self._translate_class(each, config) for each in config.settings.classes)
        return replace(config.settings, classes=classes)

    def _translate_class(self, request_class: RequestClass, config: Config) -> RequestClass:
        machine_types = self._machine_types.translate(
            request_class.allowed_machine_types, config.machine_type_indices
        )
        zones = self._zones.translate(request_class.allowed_zones, config.zone_indices)
        return replace(request_class, allowed_machine_types=machine_types, allowed_zones=zones)
