"""HTTP routes that inject faults into stand-ins.

    GET  /faults -> all fields
    POST /faults {"field": value, ...} -> all fields

Unknown fields and values of the wrong type are rejected.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

PATH = "/faults"


def add_routes(app: web.Application, get_faults: Callable[[], Any]) -> None:
    """Adds the fault routes to an application.

    Args:
        app: The stand-in's application.
        get_faults: Returns the dataclass instance that holds the faults.
    """

    async def show(_request: web.Request) -> web.Response:
        return web.json_response(dataclasses.asdict(get_faults()))

    async def change(request: web.Request) -> web.Response:
        body = await request.json()
        problem = _find_problem(get_faults(), body)
        if problem is not None:
            return web.Response(status=400, text=problem)
        for name, value in body.items():
            setattr(get_faults(), name, value)
        return await show(request)

    app.router.add_get(PATH, show)
    app.router.add_post(PATH, change)


def _find_problem(faults: Any, body: Any) -> str | None:
    if not isinstance(body, dict):
        return "not a mapping"
    known = dataclasses.asdict(faults)
    for name, value in body.items():
        if name not in known:
            return f"unknown fault {name!r}"
        is_number = isinstance(known[name], float) and type(value) is int
        if type(value) is not type(known[name]) and not is_number:
            return f"{name}: not a {type(known[name]).__name__}"
    return None
