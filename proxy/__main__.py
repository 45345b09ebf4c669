"""Starts a proxy: `python -m proxy`, with the configuration file that the environment names.

All other modules are imported after the handler for SIGHUP is installed: the import takes a while, and
a reload signal during it would otherwise end the process.
"""

from __future__ import annotations

import signal
import sys

from proxy.early_signal import EarlySignal


def main() -> int:
    """Run a proxy and return the exit code of its process."""
    early_hangup = EarlySignal(signal.SIGHUP)
    from proxy import process

    return process.run(early_hangup)


if __name__ == "__main__":
    sys.exit(main())
