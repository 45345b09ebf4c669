"""`python -m emulator RUN`: see `emulator.cli`."""

from __future__ import annotations

import sys

from emulator.cli import main

if __name__ == "__main__":
    sys.exit(main())
