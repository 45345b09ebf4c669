"""Applies a new configuration while the proxy runs.

It owns the count of applied configurations. `proxy.config_file` reads the file, and the listener owns the
configuration in force.
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

#: The fields of `Config` that can only change with a restart, because they identify the process or were used
#: at its start, and the names under which the log reports them.
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
    """The components of a proxy that a new configuration changes.

    Attributes:
        reader: Converts positions of zones and machine types into the numbers of this process.
        listener: Owns the configuration in force.
        dispatcher: Applies the settings to the balancer and to active requests.
        endpoint_table: Applies the fleet size to the limit on idle connections.
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
    """Applies new configurations: each completely and in one iteration of the event loop, or not at all."""

    def __init__(self, targets: ReloadTargets, is_shutting_down: Callable[[], bool]) -> None:
        """Prepare for reloads.

        Args:
            targets: The components to reconfigure.
            is_shutting_down: Returns whether the process is shutting down.
        """
        self._targets = targets
        self._is_shutting_down = is_shutting_down
        self._config_count = 1  # configurations applied so far, including the one at the start

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read the configuration file again, apply it and log the result.

        A configuration that can't be applied changes nothing, and its error is logged in one line.

        Args:
            environ: The environment that names the file, as for `load`.
        """
        # The environment contains the address of discovery at the start of the process, which may be
        # outdated. After a reload, the address in the file is used.
        environ = {name: value for name, value in environ.items() if name != "RELAY_DISCOVERY"}
        try:
            lines = self.apply(load(environ))
        except ConfigError as error:
            logger.warning("reload: refused, version %s stays: %s", self._targets.listener.version, error)
            return
        for line in lines:
            logger.info("reload: %s", line)

    def apply(self, proposed: Config) -> list[str]:
        """Apply the parts of a new configuration that may change: the settings and the address of discovery.

        Returns:
            The lines to log.

        Raises:
            ConfigError: The new settings are invalid or require a restart; nothing has changed.
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
            # The settings do not change during a shutdown, but updates of the endpoint list are still needed.
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
        """Apply new settings.

        Raises:
            ConfigError: They are invalid or require a restart; nothing has changed.
        """
        targets = self._targets
        try:
            targets.dispatcher.reconfigure(targets.reader.translate_settings(config), config.settings.classes)
        except ValueError as error:
            raise ConfigError(str(error)) from error
        targets.pool.reconfigure(config.backend_idle_timeout, config.dial_timeout)
        targets.endpoint_table.update_idle_quota(config.settings.fleet_size)
        targets.dispatcher.end_misplaced_attempts()
