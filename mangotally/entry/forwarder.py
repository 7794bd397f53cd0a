"""Sends requests to targets for hosts that can't reach them."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.entry import entry_pb2, forward_messages, sending

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    import multidict

    from mangotally.entry import directory as directory_lib
    from mangotally.entry import headers as headers_lib
    from mangotally.entry import known_closures, model, target_client
    from mangotally.util import clock as clock_lib


class Forwarder:
    """Sends requests to targets for hosts that can't reach them."""

    def __init__(
        self,
        client: target_client.TargetClient,
        directory: directory_lib.TargetDirectory,
        closures: known_closures.KnownClosures,
        names: headers_lib.HeaderNames,
        clock: clock_lib.Clock,
    ) -> None:
        """Initialises the forwarder.

        Args:
            client: Sends requests to targets.
            directory: Lists the targets.
            closures: Which targets must not get requests now.
            names: Names of headers.
            clock: Source of the current time.
        """
        self._client = client
        self._directory = directory
        self._closures = closures
        self._names = names
        self._clock = clock
        self.is_draining = False
        self.active_requests = 0

    async def forward(
        self, request: entry_pb2.ForwardRequest
    ) -> AsyncGenerator[entry_pb2.ForwardPart, None]:
        """Sends a request to its target, and yields the parts of the answer."""
        target = self._directory.find(ids.TargetId(request.target))
        is_able = (
            target is not None
            and not self.is_draining
            and self._closures.closure_of(target) is None
        )
        if not is_able or not await self._client.can_forward():
            yield forward_messages.end(entry_pb2.ForwardEnd.UNABLE)
            return
        assert target is not None
        self.active_requests += 1
        try:
            yield entry_pb2.ForwardPart(accepted=entry_pb2.ForwardAccepted())
            async with contextlib.aclosing(
                self._send(target, request)
            ) as parts:
                async for part in parts:
                    yield part
        finally:
            self.active_requests -= 1

    async def _send(
        self, target: model.Target, request: entry_pb2.ForwardRequest
    ) -> AsyncGenerator[entry_pb2.ForwardPart, None]:
        received: list[multidict.CIMultiDictProxy[str]] = []

        def observe(head: multidict.CIMultiDictProxy[str]) -> None:
            received.append(head)
            self._closures.observe_answer(
                target.id, head.getall(self._names.leaving, ())
            )

        outgoing = forward_messages.outgoing(
            request, self._clock.now_ms(), observe
        )
        outcome = await self._client.send_directly(
            target, outgoing, is_repeatable=False
        )
        if isinstance(outcome, sending.Stream):
            async with contextlib.aclosing(_stream_parts(outcome)) as parts:
                async for part in parts:
                    yield part
            return
        for headers in received:
            yield forward_messages.head(outcome, headers)
        match outcome:
            case sending.Whole():
                yield entry_pb2.ForwardPart(data=outcome.body)
                yield forward_messages.end(entry_pb2.ForwardEnd.COMPLETE)
            case sending.NotRun():
                yield forward_messages.end_not_run(outcome)
            case sending.Broken():
                yield forward_messages.end_broken(outcome)


async def _stream_parts(
    stream: sending.Stream,
) -> AsyncGenerator[entry_pb2.ForwardPart, None]:
    """Yields the parts of a stream, and closes it if that is broken off."""
    try:
        yield forward_messages.head(stream, stream.headers)
        async with contextlib.aclosing(stream.chunks()) as chunks:
            async for chunk in chunks:
                yield entry_pb2.ForwardPart(data=chunk)
    finally:
        if not stream.is_done:
            stream.close()
    if stream.failure is not None:
        yield forward_messages.end_broken(stream.failure)
    else:
        yield forward_messages.end(entry_pb2.ForwardEnd.COMPLETE)
