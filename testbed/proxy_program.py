"""The program of a proxy: its source tree, and the command that starts it.

The command comes from the deploy file of the source tree, so that a tree with other package names can be
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
    """The `run` command of a source tree can't start its proxy."""


class UnparsableRunError(ProgramError):
    """The `run` command of a deploy file can't be parsed as a shell command."""

    def __init__(self, root: Path, error: ValueError) -> None:
        super().__init__(f"{root / DEPLOY_FILE}: run can't be read: {error}")
        self.root = root


class MissingModuleError(ProgramError):
    """The `run` command of a deploy file does not name a Python module with `-m`."""

    def __init__(self, root: Path) -> None:
        super().__init__(f"{root / DEPLOY_FILE}: run names no module by -m")
        self.root = root


class TreeNotBuiltError(ProgramError):
    """A source tree lacks the interpreter that its `build` command creates."""

    def __init__(self, root: Path, interpreter: Path, build: str) -> None:
        super().__init__(f"{root} has no {interpreter}: build it first, from there, by {build}")
        self.root, self.interpreter, self.build = root, interpreter, build


@dataclass(slots=True, frozen=True)
class ProxyProgram:
    """The proxy of one source tree.

    Attributes:
        root: The root of the tree, which is the working directory of the command.
        command: The command that starts the proxy.
    """

    root: Path
    command: tuple[str, ...]

    @classmethod
    def of_tree(cls, root: Path) -> ProxyProgram:
        """Find the command that starts the proxy of a source tree.

        The proxy of this tree runs in the interpreter of this process. It needs no build, and it uses the
        library versions that a result names. The proxy of any other tree is started by a shell with the `run`
        command of its deploy file. The `exec` in that command replaces the shell, so that signals reach the
        proxy itself.

        Raises:
            DeployFileError: The deploy file can't be read, or lacks a key.
            ProgramError: The command can't start the proxy, or the tree has not been built.
        """
        deploy = read_deploy_file(root)
        run = deploy_text(deploy, "run", root)
        words = _command_words(run, root)
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
        """Start a proxy with a configuration file.

        Args:
            stack: Kills the proxy when it is closed.
            cores: The processor cores that the proxy may run on.
            configuration: The path of the configuration file.
            discard_stderr: Whether the proxy's standard error is discarded.
        """
        return await start_process(
            stack,
            self.command,
            cores,
            cwd=self.root,
            environment={"RELAY_CONFIG": str(configuration)},
            discard_stderr=discard_stderr,
        )


def _command_words(run: str, root: Path) -> list[str]:
    """Return the words of a shell command, from after `exec` if it has one."""
    try:
        words = shlex.split(run)
    except ValueError as error:
        raise UnparsableRunError(root, error) from error
    return words[words.index("exec") + 1 :] if "exec" in words else words


def _module(words: list[str], root: Path) -> str:
    """Return the module name of a command of the form `PYTHON -m MODULE`."""
    if "-m" not in words[:-1]:
        raise MissingModuleError(root)
    return words[words.index("-m") + 1]
