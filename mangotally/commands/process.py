"""Runs a service as the process's main work until it is told to stop."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import TYPE_CHECKING, Any

# uvloop would open an io_uring with its first loop.
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
    """Runs a service until SIGTERM or SIGINT, then closes it in order.

    Args:
        open_service: Makes the service.
        log_handler: Entered before and left after the service, in place
            of the handling of native libraries' lines.
    """
    with aiomisc.entrypoint(log_config=False, pool_size=_POOL_THREADS) as loop:
        loop.run_until_complete(_serve(open_service, log_handler))


def run(work: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine to its end."""
    with aiomisc.entrypoint(log_config=False, pool_size=_POOL_THREADS) as loop:
        loop.run_until_complete(work)


async def _serve(
    open_service: ServiceFactory,
    log_handler: AbstractAsyncContextManager[object] | None = None,
) -> None:
    async with (
        log_handler or native.StderrCapture(),
        _stop_signal() as stopped,
        contextlib.AsyncExitStack() as stack,
    ):
        waiting = asyncio.ensure_future(stopped.wait())
        stack.callback(waiting.cancel)
        starting = asyncio.ensure_future(
            stack.enter_async_context(open_service())
        )
        await asyncio.wait(
            {starting, waiting}, return_when=asyncio.FIRST_COMPLETED
        )
        if not starting.done():
            starting.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await starting
            _freeze_garbage_collector()
            await waiting


def _freeze_garbage_collector() -> None:
    """Keeps what a start leaves in memory out of later collections."""
    gc.collect()
    gc.freeze()


@contextlib.asynccontextmanager
async def _stop_signal() -> AsyncIterator[asyncio.Event]:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    try:
        yield stopped
    finally:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(number)
