"""Starts a proxy: `python -m proxy`, with the configuration file that the environment names.

All other modules are imported after the handler for SIGHUP is installed: the import takes a while, and
a reload signal during it would otherwise end the process.
"""

from __future__ import annotations

import signal
import sys

from proxy.early_signal import EarlySignal

#: Modules of the standard library that would load OpenSSL. `asyncio` and `hashlib` can do without them, and
#: the proxy speaks plain TCP.
OPENSSL_MODULES = ("ssl", "_hashlib")


def skip_openssl() -> None:
    """Do not load OpenSSL: it would take a seventh of the least memory that a proxy gets."""
    for name in OPENSSL_MODULES:
        sys.modules[name] = None  # type: ignore[assignment]  # an import of it now raises ImportError


def main() -> int:
    """Run a proxy and return the exit code of its process."""
    early_hangup = EarlySignal(signal.SIGHUP)
    skip_openssl()
    from proxy import process

    return process.run(early_hangup)


if __name__ == "__main__":
    sys.exit(main())
