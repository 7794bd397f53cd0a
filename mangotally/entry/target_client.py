"""Sends requests to targets, directly or through another host."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import aiohttp

from mangotally.entry import sending
from mangotally.policy import path_checks
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.entry import forwarding, model, target_paths


_SILENCE_S = clock_lib.to_seconds(path_checks.SILENCE_MS)


class WatchedStream(sending.Stream):
    """A streaming response whose path to its target is checked."""

    def __init__(
        self,
        stream: sending.Stream,
        paths: target_paths.TargetPaths,
        clock: clock_lib.Clock,
        deadline_ms: float,
        is_repeatable: bool,
    ) -> None:
        """Takes over a stream.

        Args:
            stream: The stream.
            paths: Checks whether this host reaches any target.
            clock: Source of the current time.
            deadline_ms: When its caller stops waiting.
            is_repeatable: Whether the request may run more than once.
        """
        super().__init__(stream.headers, clock, deadline_ms)
        self._stream = stream
        self._paths = paths
        self._is_repeatable = is_repeatable

    async def read(self) -> bytes:
        """Returns the next bytes; see `Stream`."""
        while True:
            begin_ms = self._clock.now_ms()
            try:
                async with asyncio.timeout(_SILENCE_S):
                    data = await self._stream.read()
            except TimeoutError:
                await self._check_silence(begin_ms)
                continue
            except (aiohttp.ClientError, OSError):
                if await self._paths.check():
                    raise sending.PathLostError from None
                raise
            self._paths.record_answer()
            return data

    def close(self) -> None:
        """Closes the connection, so that the target stops generating."""
        self._stream.close()

    async def _check_silence(self, begin_ms: float) -> None:
        if not self._paths.is_silent_since(begin_ms):
            return
        if await self._paths.check() and self._is_repeatable:
            raise sending.PathLostError


class TargetClient:
    """Sends requests to targets.

    While this host reaches no target, other hosts send its requests. An
    outcome tells whether a failure may be a fault of this host's paths.
    """

    def __init__(
        self,
        sender: sending.Sender,
        paths: target_paths.TargetPaths,
        relays: forwarding.Relays,
        clock: clock_lib.Clock,
    ) -> None:
        """Initialises the client.

        Args:
            sender: HTTP client for the targets.
            paths: Checks whether this host reaches any target.
            relays: Sends requests through other hosts.
            clock: Source of the current time.
        """
        self._sender = sender
        self._paths = paths
        self._relays = relays
        self._clock = clock
        self._checks = background.DetachedTasks()

    def is_idle(self, address: str) -> bool:
        """Returns whether there is an idle connection to an address."""
        return self._sender.connections.is_idle(address)

    async def has_crashed(self, target: model.Target) -> bool:
        """Returns whether the process of a target has ended.

        False while this host reaches no target, as it can't tell.
        """
        if self._paths.is_cut_off:
            return False
        return await self._paths.is_refused(target.address)

    async def send(
        self,
        target: model.Target,
        request: sending.Outgoing,
        is_repeatable: bool,
    ) -> sending.Outcome:
        """Sends a request, and reads the answer or the head of a stream.

        Args:
            target: The target.
            request: The request.
            is_repeatable: Whether it may run more than once.
        """
        if self._paths.is_cut_off:
            return await self._relays.send(target.id, request)
        outcome = await self.send_directly(target, request, is_repeatable)
        if isinstance(outcome, sending.NotRun) and outcome.is_path_lost:
            return await self._relays.send(target.id, request)
        return outcome

    async def send_directly(
        self,
        target: model.Target,
        request: sending.Outgoing,
        is_repeatable: bool,
    ) -> sending.Outcome:
        """Sends a request without another host; see `send`."""
        outcome = await self._send_watched(target, request, is_repeatable)
        match outcome:
            case (
                sending.NotRun(is_reached=False)
                | sending.Broken(is_timeout=False)
            ):
                is_path_lost = await self._paths.check()
                return dataclasses.replace(outcome, is_path_lost=is_path_lost)
            case sending.Broken():
                return outcome
        self._paths.record_answer()
        if isinstance(outcome, sending.Stream):
            return WatchedStream(
                outcome,
                self._paths,
                self._clock,
                request.deadline_ms,
                is_repeatable,
            )
        return outcome

    async def can_forward(self) -> bool:
        """Returns whether this host may send requests of other hosts."""
        silent_ms = self._clock.now_ms() - path_checks.SILENCE_MS
        if self._paths.is_silent_since(silent_ms):
            return not await self._paths.check()
        return not self._paths.is_cut_off

    async def _send_watched(
        self,
        target: model.Target,
        request: sending.Outgoing,
        is_repeatable: bool,
    ) -> sending.Outcome:
        """Sends a request, and checks the paths if no target is heard.

        A request that may run again is given up once the paths are lost.
        """
        try:
            async with asyncio.timeout(None) as scope:
                watch = self._checks.start(self._watch(scope, is_repeatable))
                try:
                    return await self._sender.send(target.address, request)
                finally:
                    watch.cancel()
        except TimeoutError:
            return sending.Broken("targets-lost")

    async def _watch(self, scope: asyncio.Timeout, is_repeatable: bool) -> None:
        """Ends a scope once the paths are lost."""
        since_ms = self._clock.now_ms()
        while True:
            await asyncio.sleep(_SILENCE_S)
            if self._paths.is_silent_since(since_ms):
                is_cut_off = await self._paths.check()
                if is_cut_off and is_repeatable:
                    scope.reschedule(asyncio.get_running_loop().time())
                    return
            since_ms = self._clock.now_ms()
