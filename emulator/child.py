"""Child processes that hold a role: calls go over a pipe, one by one, into the child's event loop."""

from __future__ import annotations

import asyncio
import contextlib
import inspect
import multiprocessing
import traceback
from collections.abc import Callable, Iterable
from multiprocessing.connection import Connection
from types import TracebackType
from typing import Any

from emulator.meter import Usage, of

CALL = 120.0  # seconds that one call may take
END = 5.0  # seconds in which a child ends by itself


class ChildError(RuntimeError):
    """A call failed in the child, or the child is gone or too slow."""


class Child:
    """A process in which `factory(*args)` is made; its methods, coroutines too, are called by name."""

    def __init__(self, factory: Callable[..., Any], *args: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, theirs = context.Pipe()
        self._process = context.Process(target=_serve, args=(theirs, factory, args), daemon=True)
        self._process.start()
        theirs.close()
        self.pid = self._process.pid or 0

    def send(self, method: str, *args: Any, **kwargs: Any) -> None:
        """Begin a call; every one is followed by one `result`."""
        try:
            self._pipe.send((method, args, kwargs))
        except OSError as fault:
            raise ChildError(f"{method}: the process is gone") from fault

    def result(self, timeout: float = CALL) -> Any:
        """What the oldest call begun returned; ChildError where it failed or takes longer."""
        try:
            if not self._pipe.poll(timeout):
                raise ChildError(f"no answer within {timeout:g} s")
            good, value = self._pipe.recv()
        except (EOFError, OSError) as fault:
            raise ChildError("the process is gone") from fault
        if not good:
            raise ChildError(value)
        return value

    def call(self, method: str, *args: Any, **kwargs: Any) -> Any:
        """Call a method and wait."""
        self.send(method, *args, **kwargs)
        return self.result()

    def usage(self) -> Usage:
        """What the process has spent, read from outside."""
        return of(self.pid)

    def close(self) -> None:
        """End the process."""
        self._pipe.close()
        self._process.join(END)
        if self._process.is_alive():
            self._process.kill()
            self._process.join(END)

    def __enter__(self) -> Child:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()


def call_all(children: Iterable[Child], method: str, *args: Any, **kwargs: Any) -> list[Any]:
    """The same call at all of them at once; their results in order."""
    called = list(children)
    for child in called:
        child.send(method, *args, **kwargs)
    return [child.result() for child in called]


def _serve(pipe: Connection, factory: Callable[..., Any], args: tuple[Any, ...]) -> None:
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_answer(pipe, factory, args))


async def _answer(pipe: Connection, factory: Callable[..., Any], args: tuple[Any, ...]) -> None:
    """Answer calls until the parent has let go of the pipe."""
    calls: asyncio.Queue[Any] = asyncio.Queue()
    loop = asyncio.get_running_loop()

    def take() -> None:
        try:
            calls.put_nowait(pipe.recv())
        except (EOFError, OSError):
            loop.remove_reader(pipe.fileno())
            calls.put_nowait(None)

    loop.add_reader(pipe.fileno(), take)
    role = factory(*args)
    while (call := await calls.get()) is not None:
        method, given, named = call
        try:
            value = getattr(role, method)(*given, **named)
            if inspect.isawaitable(value):
                value = await value
            answer = (True, value)
        except Exception:  # noqa: BLE001 - whatever it is, the parent gets it
            answer = (False, traceback.format_exc())
        with contextlib.suppress(OSError):
            pipe.send(answer)
