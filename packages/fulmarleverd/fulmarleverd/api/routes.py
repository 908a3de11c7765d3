"""The registry of routes, and helpers for their handlers."""

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
    """Import the modules of the routes, which registers the routes."""
    for name in ROUTE_MODULES:
        import_module(f"fulmarleverd.api.{name}")


def route(method: str, path: str) -> Callable[[RouteHandler], RouteHandler]:
    """Return a decorator that registers a handler for a method and path."""
    return ROUTES.register(f"{method} {path}")


def answer(result: Any) -> web.Response:
    """Return a result as a JSON answer, or a failure as a problem answer."""
    if failed(result):
        return from_failure(result)
    return web.json_response(result)


async def read_options(
    request: web.Request, **types: type | tuple[type, ...]
) -> dict[str, Any]:
    """Return the options in the JSON object of a request, checked by type.

    ``types`` maps the name of each option to its type or types. An option is optional
    when these include ``type(None)``. Raise ``HTTPBadRequest`` that lists every error.
    """
    try:
        body = json.loads(await request.text() or "{}")
    except (ValueError, RecursionError) as exc:
        raise web.HTTPBadRequest(text=f"the body is not JSON: {exc}") from None
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(text="the body is not a JSON object")
    errors = [f"unknown option {name!r}" for name in body if name not in types]
    for name, expected in types.items():
        if not _is_of_type(body.get(name), expected):
            errors.append(f"option {name!r} is missing or of a wrong type")
    if errors:
        raise web.HTTPBadRequest(text="; ".join(errors))
    return {name: body.get(name) for name in types}


def _is_of_type(value: Any, expected: type | tuple[type, ...]) -> bool:
    # In Python a bool is also an int; in JSON it is not.
    if isinstance(value, bool):
        return expected is bool
    return isinstance(value, expected) and _is_encodable(value)


def _is_encodable(value: Any) -> bool:
    # JSON can contain half of a surrogate pair, which cannot be hashed or stored.
    if not isinstance(value, str):
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
