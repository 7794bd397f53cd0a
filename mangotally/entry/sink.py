"""Forwards a streaming response to the caller of a request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from mangotally.entry import caller_connections, headers
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    import multidict

    from mangotally.entry import events


class CallerSink:
    """Forwards events to the caller of a request."""

    def __init__(
        self,
        request: web.BaseRequest,
        before_headers: Callable[[web.StreamResponse], None],
    ) -> None:
        """Initialises the sink; no headers have been sent yet.

        Args:
            request: The caller's request.
            before_headers: Called with the answer before its headers are sent.
        """
        self._request = request
        self._before_headers = before_headers
        self._response: web.StreamResponse | None = None
        self._data: list[bytes] = []

    @property
    def text(self) -> bytes:
        """Data of the events so far, each ended by a line feed."""
        return b"".join(each + b"\n" for each in self._data)

    async def begin(self, received: multidict.CIMultiDictProxy[str]) -> None:
        """Receives the target's headers, before the first event."""
        self._response = web.StreamResponse(
            headers=headers.response_headers(received)
        )

    async def send_events(self, complete: list[events.Event]) -> None:
        """Sends complete events.

        Raises:
            ConnectionAbortedError: The caller does not read them.
        """
        response = await self._prepared_response()
        self._data += [each.data for each in complete]
        timeout_s = clock_lib.to_seconds(caller_connections.UNREAD_TIMEOUT_MS)
        try:
            async with asyncio.timeout(timeout_s):
                await response.write(b"".join(each.raw for each in complete))
        except TimeoutError:
            # Its target waits too, and its slot is of no use to anybody.
            self.abort()
            raise ConnectionAbortedError("events-unread") from None

    async def end(self) -> web.StreamResponse:
        """Ends the answer as complete."""
        response = await self._prepared_response()
        await response.write_eof()
        return response

    def abort(self) -> None:
        """Aborts the connection, so that the answer can't look complete."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _prepared_response(self) -> web.StreamResponse:
        assert self._response is not None
        if not self._response.prepared:
            self._before_headers(self._response)
            await self._response.prepare(self._request)
        return self._response
