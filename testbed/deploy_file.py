"""The deploy file of a tree: how its program is built and run."""

from __future__ import annotations

import shlex
import sys
import tomllib
from pathlib import Path

from testbed.paths import PROJECT_ROOT

DEPLOY_FILE = Path("deploy", "balancer.toml")  # in a tree
DEPLOYED_INTERPRETER = ".venv/bin/python"
DEPLOYED_PROGRAM = f"{DEPLOYED_INTERPRETER} -m proxy"


class DeployFileError(RuntimeError):
    """A deploy file can't be used."""


class UnreadableDeployFileError(DeployFileError):
    """A deploy file can't be read, or is no TOML."""

    def __init__(self, path: Path, error: Exception) -> None:
        super().__init__(f"{path} can't be read: {error}")
        self.path = path


class MissingDeployKeyError(DeployFileError):
    """A deploy file lacks a key, or its value is no text."""

    def __init__(self, path: Path, key: str) -> None:
        super().__init__(f"{path} has no {key}")
        self.path, self.key = path, key


class UnknownRunCommandError(DeployFileError):
    """This tree's `run` does not start the program in the expected way."""

    def __init__(self, command: str) -> None:
        super().__init__(f"run in the deploy file does not contain {DEPLOYED_PROGRAM!r}: {command}")
        self.command = command


def read_deploy_file(root: Path) -> dict[str, object]:
    """Read the deploy file of a tree.

    Raises:
        UnreadableDeployFileError: There is none, or it is no TOML.
    """
    path = root / DEPLOY_FILE
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise UnreadableDeployFileError(path, error) from error


def deploy_text(deploy: dict[str, object], key: str, root: Path) -> str:
    """Return the text of a key in the deploy file of a tree.

    Raises:
        MissingDeployKeyError: The key is missing or empty, or its value is no text.
    """
    value = deploy.get(key)
    if not isinstance(value, str) or not value:
        raise MissingDeployKeyError(root / DEPLOY_FILE, key)
    return value


def run_command(module: str = "proxy") -> str:
    """Return this tree's `run` as a shell command, with the present interpreter.

    Args:
        module: The module that runs in place of the program.

    Raises:
        UnknownRunCommandError: `run` does not name the program in the expected way.
    """
    command = deploy_text(read_deploy_file(PROJECT_ROOT), "run", PROJECT_ROOT)
    if DEPLOYED_PROGRAM not in command:
        raise UnknownRunCommandError(command)
    return command.replace(DEPLOYED_PROGRAM, f"{shlex.quote(sys.executable)} -m {module}")
