"""Runs a service as the main task of a process until a stop signal."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import TYPE_CHECKING, Any

# Without this setting, uvloop opens an io_uring for its first event loop.
os.environ["UV_USE_IO_URING"] = "0"

import aiomisc

from mangotally.util import native

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Coroutine

_POOL_THREADS = 2
ServiceFactory = Callable[[], AbstractAsyncContextManager[object]]


def run_until_stopped(
    open_service: ServiceFactory,
    log_handler: AbstractAsyncContextManager[object] | None = None,
) -> None:
    """Runs a service until SIGTERM or SIGINT, then shuts it down.

    Args:
        open_service: Creates the service.
        log_handler: A context manager that is entered before the service and
            exited after it; it replaces the default `StderrCapture`.
    """
    with aiomisc.entrypoint(log_config=False, pool_size=_POOL_THREADS) as loop:
        loop.run_until_complete(_serve(open_service, log_handler))


def run(coroutine: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine to completion."""
    with aiomisc.entrypoint(log_config=False, pool_size=_POOL_THREADS) as loop:
        loop.run_until_complete(coroutine)


async def _serve(
    open_service: ServiceFactory,
    log_handler: AbstractAsyncContextManager[object] | None = None,
) -> None:
    async with (
        log_handler or native.StderrCapture(),
        _stop_signal() as stop_event,
        contextlib.AsyncExitStack() as stack,
    ):
        stop_task = asyncio.ensure_future(stop_event.wait())
        stack.callback(stop_task.cancel)
        start_task = asyncio.ensure_future(
            stack.enter_async_context(open_service())
        )
        await asyncio.wait(
            {start_task, stop_task}, return_when=asyncio.FIRST_COMPLETED
        )
        if not start_task.done():
            start_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await start_task
            _start_garbage_collector()
            await stop_task


def _start_garbage_collector() -> None:
    """Starts collections, from which objects created so far are excluded."""
    gc.freeze()
    gc.enable()


@contextlib.asynccontextmanager
async def _stop_signal() -> AsyncIterator[asyncio.Event]:
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_event.set)
    try:
        yield stop_event
    finally:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(signal_number)
