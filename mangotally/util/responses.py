"""Reads HTTP response bodies up to a size limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aiohttp


async def read_limited(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes | None:
    """Returns the body of a response.

    Args:
        response: The response.
        max_bytes: Maximum size of the body.

    Returns:
        The body, or None if it is larger.
    """
    data = bytearray()
    async for chunk in response.content.iter_any():
        data += chunk
        if len(data) > max_bytes:
            return None
    return bytes(data)
