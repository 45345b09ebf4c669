"""Child processes that each run one object: calls go over a pipe, one by one, into the child's event loop.

This module owns the processes and the calls; it knows nothing of the objects that run there.
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

CALL_TIMEOUT = 120.0  # seconds that one call may take
EXIT_TIMEOUT = 5.0  # seconds in which a child ends by itself


class ChildError(RuntimeError):
    """A call to a child process failed."""


class ChildEndedError(ChildError):
    """The child process has ended."""

    def __init__(self) -> None:
        super().__init__("the child process has ended")


class ChildTimeoutError(ChildError):
    """A call took too long."""

    def __init__(self, seconds: float) -> None:
        super().__init__(f"no result within {seconds:g} s")
        self.seconds = seconds


class CallFailedError(ChildError):
    """A call raised an exception in the child.

    Attributes:
        traceback: The exception's traceback, as text.
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
    """What a call returned, or the traceback of what it raised."""

    value: Any = None
    error: str | None = None


class ChildProcess:
    """A process that runs the object `factory(*args)`, whose methods and coroutines are called by name."""

    def __init__(self, factory: Callable[..., Any], *args: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self._process = context.Process(target=_serve, args=(child_pipe, factory, args), daemon=True)
        self._process.start()
        child_pipe.close()
        self.pid = self._process.pid or 0

    def send(self, method: str, *args: Any, **kwargs: Any) -> None:
        """Start a call; each one must be followed by one `result`.

        Raises:
            ChildEndedError: The child has ended.
        """
        try:
            self._pipe.send(_Call(method, args, kwargs))
        except OSError as error:
            raise ChildEndedError from error

    def result(self, timeout: float = CALL_TIMEOUT) -> Any:
        """Wait for the result of the oldest call that was started.

        Args:
            timeout: Seconds to wait at most.

        Raises:
            CallFailedError: The call raised an exception.
            ChildTimeoutError: The call takes longer.
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
            ChildError: As in `send` and `result`.
        """
        self.send(method, *args, **kwargs)
        return self.result()

    def usage(self) -> Usage:
        """Read what the process has spent, without calling into it."""
        return process_usage(self.pid)

    def close(self) -> None:
        """End the process."""
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
    """Make the same call in several children at once, and return their results in order."""
    called = list(children)
    for child in called:
        child.send(method, *args, **kwargs)
    return [child.result() for child in called]


def _serve(pipe: Connection, factory: Callable[..., Any], args: tuple[Any, ...]) -> None:
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_answer_calls(pipe, factory, args))


async def _answer_calls(pipe: Connection, factory: Callable[..., Any], args: tuple[Any, ...]) -> None:
    """Answer calls until the parent has closed its end of the pipe."""
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
