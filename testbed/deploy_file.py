"""Reads the deploy file of a source tree, which says how the tree's program is built and run."""

from __future__ import annotations

import shlex
import sys
import tomllib
from pathlib import Path

from testbed.paths import PROJECT_ROOT

DEPLOY_FILE = Path("deploy", "balancer.toml")  # relative to the root of a source tree
DEPLOYED_INTERPRETER = ".venv/bin/python"
DEPLOYED_PROGRAM = f"{DEPLOYED_INTERPRETER} -m proxy"


class DeployFileError(RuntimeError):
    """A deploy file can't be used."""


class UnreadableDeployFileError(DeployFileError):
    """A deploy file can't be read, or is not valid TOML."""

    def __init__(self, path: Path, error: Exception) -> None:
        super().__init__(f"{path} can't be read: {error}")
        self.path = path


class MissingDeployKeyError(DeployFileError):
    """A deploy file lacks a key, or the key's value is not a non-empty string."""

    def __init__(self, path: Path, key: str) -> None:
        super().__init__(f"{path} has no {key}")
        self.path, self.key = path, key


class UnknownRunCommandError(DeployFileError):
    """The `run` key of this tree's deploy file does not contain `DEPLOYED_PROGRAM`."""

    def __init__(self, command: str) -> None:
        super().__init__(f"run in the deploy file does not contain {DEPLOYED_PROGRAM!r}: {command}")
        self.command = command


def read_deploy_file(root: Path) -> dict[str, object]:
    """Read the deploy file of a source tree.

    Raises:
        UnreadableDeployFileError: The file does not exist, can't be read, or is not valid TOML.
    """
    path = root / DEPLOY_FILE
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise UnreadableDeployFileError(path, error) from error


def deploy_text(deploy: dict[str, object], key: str, root: Path) -> str:
    """Return the string that the deploy file of a source tree has under a key.

    Raises:
        MissingDeployKeyError: The key is missing or empty, or its value is not a string.
    """
    value = deploy.get(key)
    if not isinstance(value, str) or not value:
        raise MissingDeployKeyError(root / DEPLOY_FILE, key)
    return value


def run_command(module: str = "proxy") -> str:
    """Return this tree's `run` command for the shell, with the interpreter of this process.

    Args:
        module: The module to run instead of `proxy`.

    Raises:
        DeployFileError: The deploy file can't be read, or lacks the key.
        UnknownRunCommandError: `run` does not contain `DEPLOYED_PROGRAM`.
    """
    command = deploy_text(read_deploy_file(PROJECT_ROOT), "run", PROJECT_ROOT)
    if DEPLOYED_PROGRAM not in command:
        raise UnknownRunCommandError(command)
    return command.replace(DEPLOYED_PROGRAM, f"{shlex.quote(sys.executable)} -m {module}")
