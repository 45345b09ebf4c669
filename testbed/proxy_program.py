"""The program of a proxy: the tree that it comes from, and the command that starts it.

The command comes from each tree's own deploy file, so that a tree whose packages have other names can be
measured too.
"""

from __future__ import annotations

import shlex
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from testbed.deploy_file import DEPLOY_FILE, deploy_text, read_deploy_file
from testbed.paths import PROJECT_ROOT
from testbed.processes import ManagedProcess, python_command, start_process

if TYPE_CHECKING:
    from contextlib import AsyncExitStack


class ProgramError(RuntimeError):
    """The command of a tree's deploy file can't start its proxy."""


class UnparsableRunError(ProgramError):
    """A deploy file's `run` is no shell command."""

    def __init__(self, root: Path, error: ValueError) -> None:
        super().__init__(f"{root / DEPLOY_FILE}: run can't be read: {error}")
        self.root = root


class MissingModuleError(ProgramError):
    """A deploy file's `run` names no Python module."""

    def __init__(self, root: Path) -> None:
        super().__init__(f"{root / DEPLOY_FILE}: run names no module by -m")
        self.root = root


class TreeNotBuiltError(ProgramError):
    """A tree lacks the interpreter that its deploy file's `build` creates."""

    def __init__(self, root: Path, interpreter: Path, build: str) -> None:
        super().__init__(f"{root} has no {interpreter}: build it first, from there, by {build}")
        self.root, self.interpreter, self.build = root, interpreter, build


@dataclass(slots=True, frozen=True)
class ProxyProgram:
    """The proxy of one tree; `command` is run from the tree's root."""

    root: Path
    command: tuple[str, ...]

    @classmethod
    def of_tree(cls, root: Path) -> ProxyProgram:
        """Find the command that starts the proxy of a tree.

        The proxy of this tree runs in the present interpreter, which needs no build and has the versions of
        the libraries that a result names. That of any other tree runs by its own deploy file's `run`, in a
        shell; `exec` in that command makes the process the proxy itself, which gets the signals.

        Raises:
            DeployFileError: The deploy file can't be read, or lacks a key.
            ProgramError: Its command can't start the proxy, or the tree has not been built.
        """
        deploy = read_deploy_file(root)
        run = deploy_text(deploy, "run", root)
        words = _words(run, root)
        if root.resolve() == PROJECT_ROOT:
            return cls(root, python_command("-m", _module(words, root)))
        interpreter = Path(words[0]) if words else Path()
        if len(interpreter.parts) > 1 and not (root / interpreter).exists():
            raise TreeNotBuiltError(root, interpreter, deploy_text(deploy, "build", root))
        return cls(root, ("/bin/sh", "-c", run))

    async def start(
        self,
        stack: AsyncExitStack,
        cores: frozenset[int],
        configuration: Path,
        *,
        discard_stderr: bool = False,
    ) -> ManagedProcess:
        """Start a proxy with a configuration file, on these cores; it is killed when the stack ends."""
        return await start_process(
            stack,
            self.command,
            cores,
            cwd=self.root,
            environment={"RELAY_CONFIG": str(configuration)},
            discard_stderr=discard_stderr,
        )


def _words(run: str, root: Path) -> list[str]:
    """Split a command into the words of the program that the shell becomes by `exec`."""
    try:
        words = shlex.split(run)
    except ValueError as error:
        raise UnparsableRunError(root, error) from error
    return words[words.index("exec") + 1 :] if "exec" in words else words


def _module(words: list[str], root: Path) -> str:
    """Return the module that a command of the form `PYTHON -m MODULE` runs."""
    if "-m" not in words[:-1]:
        raise MissingModuleError(root)
    return words[words.index("-m") + 1]
