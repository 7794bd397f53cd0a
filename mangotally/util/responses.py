"""Answers of HTTP servers, read within a bound."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aiohttp


async def read_limited(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes | None:
    """Returns an answer's body.

    Args:
        response: The answer.
        max_bytes: Largest body.

    Returns:
        The body, or None if it is larger.
    """
    data = bytearray()
    async for part in response.content.iter_any():
        data += part
        if len(data) > max_bytes:
            return None
    return bytes(data)
