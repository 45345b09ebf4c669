"""Starts a proxy: `python -m proxy`, with the configuration that the environment names.

It imports the program only once reload signals are kept: that import takes long, and they may come meanwhile.
"""

from __future__ import annotations

import signal
import sys

from proxy.early_signal import EarlySignal


def main() -> int:
    """Run a proxy and return the process's exit code."""
    hangup = EarlySignal(signal.SIGHUP)
    from proxy import process

    return process.run(hangup)


if __name__ == "__main__":
    sys.exit(main())
