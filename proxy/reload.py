"""Takes over a new configuration while the proxy runs.

Owns how many configurations have been put in force. Does not read the file (`proxy.config` does); the
configuration in force is the listener's.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from proxy.config import Config, ConfigError, load

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from proxy.discovery.endpoint_reader import EndpointReader
    from proxy.discovery.watch import DiscoveryClient
    from proxy.dispatcher import Dispatcher
    from proxy.downstream.listener import Listener
    from proxy.endpoint_table import EndpointTable
    from proxy.upstream import ConnectionPool

logger = logging.getLogger(__name__)

#: What identifies the process, and so needs a restart to change: the field, and what the log calls it.
IDENTITY_FIELDS = {
    "name": "name",
    "listen": "listen",
    "seed": "seed",
    "max_sockets": "sockets",
    "memory_limit": "memory",
    "cached_list": "known",
}


class ConfigReloader:
    """Puts new configurations in force, each complete and in one instant, or not at all."""

    def __init__(
        self,
        reader: EndpointReader,
        listener: Listener,
        dispatcher: Dispatcher,
        endpoint_table: EndpointTable,
        pool: ConnectionPool,
        discovery: DiscoveryClient,
        is_shutting_down: Callable[[], bool],
    ) -> None:
        self._reader = reader
        self._listener = listener
        self._dispatcher = dispatcher
        self._endpoint_table = endpoint_table
        self._pool = pool
        self._discovery = discovery
        self._is_shutting_down = is_shutting_down
        self._config_count = 1  # configurations in force so far, with the one of the start

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read the configuration file again and log what came of it.

        A file that can not be taken changes nothing, and says so in one line.
        """
        # The environment still names the discovery of the start: where it is now is up to the file.
        environ = {name: value for name, value in environ.items() if name != "RELAY_DISCOVERY"}
        try:
            lines = self.apply(load(environ))
        except ConfigError as error:
            logger.warning("reload: refused, version %s stays: %s", self._listener.version, error)
            return
        for line in lines:
            logger.info("reload: %s", line)

    def apply(self, proposed: Config) -> list[str]:
        """Take over what a new configuration may change: its settings, and where discovery is.

        Returns:
            A line of text for each thing to log.

        Raises:
            ConfigError: The settings need a restart; nothing has changed.
        """
        in_force = self._listener.config
        identity = {field: getattr(in_force, field) for field in IDENTITY_FIELDS}
        lines = [
            f"{IDENTITY_FIELDS[field]} is another, which needs a restart: the one of the start stays"
            for field, value in identity.items()
            if getattr(proposed, field) != value
        ]
        only_moved = replace(in_force, discovery=proposed.discovery)
        config = replace(proposed, **identity)
        version = self._listener.version
        if config != only_moved and self._is_shutting_down():
            # The shutdown goes by the settings that it began with; the endpoint list still counts.
            lines.append(f"the process is ending: version {version} stays")
            config = only_moved
        elif config != only_moved:
            self._apply_settings(config)
            self._config_count += 1
            version = config.version(self._config_count)
            lines.append(f"version {version} is in force")
        if config.discovery != in_force.discovery:
            lines.append(f"discovery is at {config.discovery}")
        self._listener.apply_config(config, version)
        self._discovery.move(config.discovery)
        return lines

    def _apply_settings(self, config: Config) -> None:
        """Put settings in force; ConfigError, with nothing changed, where they need a restart."""
        try:
            self._dispatcher.reconfigure(self._reader.settings_of(config), config.settings.classes)
        except ValueError as error:
            raise ConfigError(str(error)) from error
        self._pool.reconfigure(config.backend_idle_timeout, config.dial_timeout)
        self._endpoint_table.update_idle_quota(config.settings.fleet_size)
        self._dispatcher.end_misplaced_attempts()
