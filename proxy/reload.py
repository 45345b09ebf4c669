"""Applies a new configuration while the proxy runs.

It owns the number of configurations applied so far. It does not read the file (`proxy.config_file` does); the
configuration in force belongs to the listener.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from proxy.config import Config, ConfigError
from proxy.config_file import load

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from proxy.discovery.endpoint_reader import EndpointReader
    from proxy.discovery.watch import DiscoveryClient
    from proxy.dispatcher import Dispatcher
    from proxy.downstream.listener import Listener
    from proxy.endpoint_table import EndpointTable
    from proxy.upstream import ConnectionPool

logger = logging.getLogger(__name__)

#: What identifies the process, and therefore needs a restart to change: the fields of `Config`, and the
#: entries of the file that the log names.
IDENTITY_FIELDS = {
    "name": "name",
    "listen": "listen",
    "seed": "seed",
    "max_sockets": "sockets",
    "memory_limit": "memory",
    "cached_list": "known",
}


@dataclass(slots=True, frozen=True)
class ReloadTargets:
    """The parts of a proxy that a new configuration affects.

    Attributes:
        reader: Knows the numbers of zones and machine types.
        listener: Owns the configuration in force.
        dispatcher: Applies the settings to the balancer and to active requests.
        endpoint_table: Applies the fleet's size to the limit on idle connections.
        pool: Applies the timeouts of connections to backends.
        discovery: Applies the address of discovery.
    """

    reader: EndpointReader
    listener: Listener
    dispatcher: Dispatcher
    endpoint_table: EndpointTable
    pool: ConnectionPool
    discovery: DiscoveryClient


class ConfigReloader:
    """Applies new configurations, each completely and within one turn of the event loop, or not at all."""

    def __init__(self, targets: ReloadTargets, is_shutting_down: Callable[[], bool]) -> None:
        """Prepare for reloads.

        Args:
            targets: The parts to reconfigure.
            is_shutting_down: Returns whether the process is shutting down.
        """
        self._targets = targets
        self._is_shutting_down = is_shutting_down
        self._config_count = 1  # configurations applied so far, with the one at the start

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read the configuration file again, apply it and log the result.

        A file that can't be applied changes nothing, and is reported in one line.

        Args:
            environ: Names the file, as for `load`.
        """
        # The environment still names the discovery of the start: the current one is up to the file.
        environ = {name: value for name, value in environ.items() if name != "RELAY_DISCOVERY"}
        try:
            lines = self.apply(load(environ))
        except ConfigError as error:
            logger.warning("reload: refused, version %s stays: %s", self._targets.listener.version, error)
            return
        for line in lines:
            logger.info("reload: %s", line)

    def apply(self, proposed: Config) -> list[str]:
        """Apply what a new configuration may change: its settings, and the address of discovery.

        Returns:
            The lines to log.

        Raises:
            ConfigError: The settings need a restart; nothing has changed.
        """
        listener = self._targets.listener
        in_force = listener.config
        identity = {field: getattr(in_force, field) for field in IDENTITY_FIELDS}
        lines = [
            f"{IDENTITY_FIELDS[field]} is another, which needs a restart: the one of the start stays"
            for field, value in identity.items()
            if getattr(proposed, field) != value
        ]
        config = replace(proposed, **identity)
        with_discovery_only = replace(in_force, discovery=proposed.discovery)
        version = listener.version
        if config != with_discovery_only and self._is_shutting_down():
            # A shutdown keeps the settings that it began with; the endpoint list still matters.
            lines.append(f"the process is ending: version {version} stays")
            config = with_discovery_only
        elif config != with_discovery_only:
            self._apply_settings(config)
            self._config_count += 1
            version = config.version(self._config_count)
            lines.append(f"version {version} is in force")
        if config.discovery != in_force.discovery:
            lines.append(f"discovery is at {config.discovery}")
        listener.apply_config(config, version)
        self._targets.discovery.change_address(config.discovery)
        return lines

    def _apply_settings(self, config: Config) -> None:
        """Apply settings.

        Raises:
            ConfigError: They need a restart; nothing has changed.
        """
        targets = self._targets
        try:
            targets.dispatcher.reconfigure(targets.reader.translate_settings(config), config.settings.classes)
        except ValueError as error:
            raise ConfigError(str(error)) from error
        targets.pool.reconfigure(config.backend_idle_timeout, config.dial_timeout)
        targets.endpoint_table.update_idle_quota(config.settings.fleet_size)
        targets.dispatcher.end_misplaced_attempts()
