"""Starts a proxy: `python -m proxy`, with the configuration that the environment names.

All other modules are imported only once reload signals are recorded: that import takes long, and a
signal may arrive meanwhile.
"""

from __future__ import annotations

import signal
import sys

from proxy.early_signal import EarlySignal


def main() -> int:
    """Run a proxy and return the exit code of its process."""
    hangup = EarlySignal(signal.SIGHUP)
    from proxy import process

    return process.run(hangup)


if __name__ == "__main__":
    sys.exit(main())
