"""The registry of routes and what their handlers share."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from importlib import import_module
from typing import Any

from aiohttp import web

from fulmarlever.outcomes import failed
from fulmarlever.registry import Registry
from fulmarleverd.api.problems import from_failure
from fulmarleverd.kernel import Kernel

RouteHandler = Callable[[Kernel, web.Request], Awaitable[web.StreamResponse]]

ROUTES: Registry[RouteHandler] = Registry("route")


ROUTE_MODULES = ("configuration", "handover", "report", "views", "work")


def load_routes() -> None:
    """Import the modules of the routes so that they register themselves."""
    for name in ROUTE_MODULES:
        import_module(f"fulmarleverd.api.{name}")


def route(method: str, path: str) -> Callable[[RouteHandler], RouteHandler]:
    """Return a decorator that registers the handler of a method and path."""
    return ROUTES.register(f"{method} {path}")


def answer(result: Any) -> web.Response:
    """Return a result as JSON, or the problem for a failure."""
    if failed(result):
        return from_failure(result)
    return web.json_response(result)


async def read_options(
    request: web.Request, **types: type | tuple[type, ...]
) -> dict[str, Any]:
    """Return the JSON object of a request with its options checked by type.

    An option may be left out when its types include ``type(None)``. Raise
    ``HTTPBadRequest`` naming everything that is wrong.
    """
    try:
        body = json.loads(await request.text() or "{}")
    except (ValueError, RecursionError) as exc:
        raise web.HTTPBadRequest(text=f"the body is not JSON: {exc}") from None
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(text="the body is not a JSON object")
    wrong = [f"unknown option {name!r}" for name in body if name not in types]
    for name, wanted in types.items():
        if not _is_of_type(body.get(name), wanted):
            wrong.append(f"option {name!r} is missing or of a wrong type")
    if wrong:
        raise web.HTTPBadRequest(text="; ".join(wrong))
    return {name: body.get(name) for name in types}


def _is_of_type(value: Any, wanted: type | tuple[type, ...]) -> bool:
    # In Python a truth value is also an int, in JSON it is not.
    if isinstance(value, bool):
        return wanted is bool
    return isinstance(value, wanted) and _is_encodable(value)


def _is_encodable(value: Any) -> bool:
    # JSON can spell half of a surrogate pair, which no digest or row can hold.
    if not isinstance(value, str):
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
