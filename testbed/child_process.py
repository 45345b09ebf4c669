"""Child processes that each run one object, whose methods the parent calls over a pipe.

The child performs the calls in order, one at a time, in its event loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import inspect
import multiprocessing
import traceback
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from testbed.meter import Usage, process_usage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from multiprocessing.connection import Connection
    from types import TracebackType

CALL_TIMEOUT = 120.0  # seconds to wait for the result of a call
EXIT_TIMEOUT = 5.0  # seconds to wait for a child to exit, before and after SIGKILL


class ChildError(RuntimeError):
    """A call to a child process failed."""


class ChildEndedError(ChildError):
    """The child process has ended."""

    def __init__(self) -> None:
        super().__init__("the child process has ended")


class ChildTimeoutError(ChildError):
    """A call returned no result before its timeout."""

    def __init__(self, seconds: float) -> None:
        super().__init__(f"no result within {seconds:g} s")
        self.seconds = seconds


class CallFailedError(ChildError):
    """A call raised an exception in the child.

    Attributes:
        traceback: The exception's traceback as text.
    """

    def __init__(self, traceback: str) -> None:
        super().__init__(traceback)
        self.traceback = traceback


@dataclass(slots=True, frozen=True)
class _Call:
    method: str
    args: tuple[Any, ...]
    kwargs: Mapping[str, Any]


@dataclass(slots=True, frozen=True)
class _Reply:
    """The return value of a call, or the traceback of the exception that it raised."""

    value: Any = None
    error: str | None = None


class ChildProcess:
    """A process that runs the object `factory(*args)`.

    The parent calls the object's methods and coroutines by name.
    """

    def __init__(self, factory: Callable[..., Any], *args: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self._process = context.Process(target=_serve, args=(child_pipe, factory, args), daemon=True)
        self._process.start()
        child_pipe.close()
        self.pid = self._process.pid or 0

    def send(self, method: str, *args: Any, **kwargs: Any) -> None:
        """Start a call without waiting for its result; each `send` needs one `result`.

        Raises:
            ChildEndedError: The child has ended.
        """
        try:
            self._pipe.send(_Call(method, args, kwargs))
        except OSError as error:
            raise ChildEndedError from error

    def result(self, timeout: float = CALL_TIMEOUT) -> Any:
        """Wait for the result of the oldest call whose result has not been read.

        Args:
            timeout: Seconds to wait.

        Raises:
            CallFailedError: The call raised an exception.
            ChildTimeoutError: There was no result before the timeout.
            ChildEndedError: The child has ended.
        """
        try:
            if not self._pipe.poll(timeout):
                raise ChildTimeoutError(timeout)
            reply: _Reply = self._pipe.recv()
        except (EOFError, OSError) as error:
            raise ChildEndedError from error
        if reply.error is not None:
            raise CallFailedError(reply.error)
        return reply.value

    def call(self, method: str, *args: Any, **kwargs: Any) -> Any:
        """Call a method and wait for its result.

        Raises:
            ChildError: The call failed; see `send` and `result`.
        """
        self.send(method, *args, **kwargs)
        return self.result()

    def usage(self) -> Usage:
        """Return the process's resource usage, read from the operating system without a call to the child."""
        return process_usage(self.pid)

    def close(self) -> None:
        """Stop the process: close the pipe, and send SIGKILL if the child does not exit."""
        self._pipe.close()
        self._process.join(EXIT_TIMEOUT)
        if self._process.is_alive():
            self._process.kill()
            self._process.join(EXIT_TIMEOUT)

    def __enter__(self) -> ChildProcess:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()


def call_all(children: Iterable[ChildProcess], method: str, *args: Any, **kwargs: Any) -> list[Any]:
    """Make the same call in several children concurrently, and return their results in the given order."""
    targets = list(children)
    for child in targets:
        child.send(method, *args, **kwargs)
    return [child.result() for child in targets]


def _serve(pipe: Connection, factory: Callable[..., Any], args: tuple[Any, ...]) -> None:
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve_calls(pipe, factory, args))


async def _serve_calls(pipe: Connection, factory: Callable[..., Any], args: tuple[Any, ...]) -> None:
    """Perform calls and send their results until the parent closes its end of the pipe."""
    calls: asyncio.Queue[_Call | None] = asyncio.Queue()
    loop = asyncio.get_running_loop()

    def on_readable() -> None:
        try:
            calls.put_nowait(pipe.recv())
        except (EOFError, OSError):
            loop.remove_reader(pipe.fileno())
            calls.put_nowait(None)

    loop.add_reader(pipe.fileno(), on_readable)
    target = factory(*args)
    while (call := await calls.get()) is not None:
        reply = await _perform(target, call)
        with contextlib.suppress(OSError):
            pipe.send(reply)


async def _perform(target: Any, call: _Call) -> _Reply:
    try:
        value = getattr(target, call.method)(*call.args, **call.kwargs)
        if inspect.isawaitable(value):
            value = await value
    except Exception:  # noqa: BLE001 - any exception of the object is reported to the parent
        return _Reply(error=traceback.format_exc())
    return _Reply(value)
