"""Passes a stream of events on to the caller of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from mangotally.entry import headers

if TYPE_CHECKING:
    from collections.abc import Callable

    import multidict

    from mangotally.entry import events


class CallerSink:
    """Passes events on to the caller of a request."""

    def __init__(
        self,
        request: web.BaseRequest,
        mark: Callable[[web.StreamResponse], None],
    ) -> None:
        """Makes a sink.

        Args:
            request: The caller's request.
            mark: Prepares an answer before its headers are sent.
        """
        self._request = request
        self._mark = mark
        self._response: web.StreamResponse | None = None
        self.data: list[bytes] = []

    async def begin(self, received: multidict.CIMultiDictProxy[str]) -> None:
        """Takes the target's headers, before the first event."""
        self._response = web.StreamResponse(
            headers=headers.response_headers(received)
        )

    async def send_events(self, found: list[events.Event]) -> None:
        """Sends events that have become whole."""
        response = await self._prepared()
        self.data += [each.data for each in found]
        await response.write(b"".join(each.raw for each in found))

    async def end(self) -> web.StreamResponse:
        """Ends the answer as whole."""
        response = await self._prepared()
        await response.write_eof()
        return response

    def abort(self) -> None:
        """Ends the connection so that the answer can't look complete."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _prepared(self) -> web.StreamResponse:
        assert self._response is not None
        if not self._response.prepared:
            self._mark(self._response)
            await self._response.prepare(self._request)
        return self._response
