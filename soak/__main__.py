"""Runs the command line: `python -m soak`."""

from __future__ import annotations

from soak.cli import command

if __name__ == "__main__":
    command()
