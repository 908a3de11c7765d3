"""Protection of the admin port: operators' tokens, rates and sizes."""

from __future__ import annotations

import asyncio
import hmac
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping

from aiohttp import web
from loguru import logger as log
from prometheus_client import Counter

from fulmarlever.clock import Clock
from fulmarlever.exceptions import KernelError
from fulmarleverd.api.problems import problem

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

OPEN_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})
OPERATOR = web.RequestKey("operator", str)
BURST_S = 2.0
MAX_SOURCES = 1024
BODY_LIMIT_S = 10.0
FAILED_LOGIN_COST = 10.0

REQUESTS = Counter(
    "fulmarlever_admin_requests",
    "Requests on the admin port.",
    ["route", "status"],
)


class Operators:
    """The operators that may use the API, by their tokens."""

    __slots__ = ("_tokens",)

    def __init__(self, tokens: Mapping[str, str]) -> None:
        self._tokens = {name: token.encode() for name, token in tokens.items()}

    def find(self, authorization: str) -> str:
        """Return the operator of an ``Authorization`` header, or an empty text.

        Every token is compared, each in constant time.
        """
        scheme, _, given = authorization.partition(" ")
        found = ""
        for name, token in self._tokens.items():
            if hmac.compare_digest(given.strip().encode(errors="replace"), token):
                found = name
        return found if scheme.lower() == "bearer" else ""


class RateLimit:
    """A token bucket for each source address, for a bounded number of sources."""

    __slots__ = ("_rate", "_clock", "_buckets")

    def __init__(self, per_s: float, clock: Clock) -> None:
        self._rate = per_s
        self._clock = clock
        self._buckets: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def take(self, source: str, cost: float = 1.0) -> bool:
        """Take from the bucket of a source; return false when it is empty."""
        now = self._clock.monotonic()
        full = max(1.0, self._rate * BURST_S)
        level, at = self._buckets.pop(source, (full, now))
        level = min(full, level + (now - at) * self._rate)
        is_allowed = level >= 1.0
        self._buckets[source] = (level - cost if is_allowed else level, now)
        if len(self._buckets) > MAX_SOURCES:
            self._buckets.popitem(last=False)
        return is_allowed


class Guard:
    """The middleware in front of every route."""

    def __init__(self, operators: Operators, limit: RateLimit) -> None:
        self._operators = operators
        self._limit = limit

    @web.middleware
    async def __call__(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Check a request, run its handler, and turn errors into problems."""
        response = self._refuse(request) or await self._run(request, handler)
        resource = request.match_info.route.resource
        route = resource.canonical if resource else "unknown"
        REQUESTS.labels(route, str(response.status)).inc()
        return response

    def _refuse(self, request: web.Request) -> web.Response | None:
        source = request.remote or ""
        if not self._limit.take(source):
            return problem(429, "too many requests", "this address sends too many")
        if request.path in OPEN_PATHS:
            return None
        operator = self._operators.find(request.headers.get("Authorization", ""))
        if not operator:
            self._limit.take(source, FAILED_LOGIN_COST)
            response = problem(401, "not allowed", "an operator's token is needed")
            response.headers["WWW-Authenticate"] = "Bearer"
            return response
        request[OPERATOR] = operator
        return None

    async def _run(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            # The body is read whole before the handler changes anything.
            await asyncio.wait_for(request.read(), BODY_LIMIT_S)
            return await handler(request)
        except TimeoutError:
            return problem(408, "timeout", f"no whole body in {BODY_LIMIT_S:g} s")
        except web.HTTPRequestEntityTooLarge as exc:
            return problem(413, "too large", exc.text or "the body is too large")
        except web.HTTPException as exc:
            return problem(exc.status, exc.reason, exc.text or exc.reason)
        except KernelError as exc:
            return problem(501, "not implemented", str(exc))
        except Exception:
            log.exception("{} {} failed", request.method, request.path)
            return problem(500, "failed", "see the daemon's log", "unknown")
