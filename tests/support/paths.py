"""Where the project's files are."""

from pathlib import Path

PROJECT_ROOT = Path(__file__).parents[2]
