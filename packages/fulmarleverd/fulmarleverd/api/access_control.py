"""Access control of the admin port: operators' tokens, rate limits and timeouts."""

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

PUBLIC_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})
OPERATOR = web.RequestKey("operator", str)
BURST_S = 2.0
MAX_SOURCES = 1024
BODY_TIMEOUT_S = 10.0
FAILED_LOGIN_COST = 10.0

REQUESTS = Counter(
    "fulmarlever_admin_requests",
    "Requests on the admin port.",
    ["route", "status"],
)


class Operators:
    """The operators that may use the API, identified by their tokens."""

    __slots__ = ("_tokens",)

    def __init__(self, tokens: Mapping[str, str]) -> None:
        self._tokens = {name: token.encode() for name, token in tokens.items()}

    def find(self, authorization: str) -> str:
        """Return the operator of an ``Authorization`` header, or an empty string.

        Every token is compared, each in constant time, so that the time does not
        depend on their contents.
        """
        scheme, _, presented = authorization.partition(" ")
        found = ""
        for name, token in self._tokens.items():
            if hmac.compare_digest(presented.strip().encode(errors="replace"), token):
                found = name
        return found if scheme.lower() == "bearer" else ""


class RateLimit:
    """A token bucket for each source address.

    Only the ``MAX_SOURCES`` most recent addresses are kept. A bucket holds the requests
    of ``BURST_S`` seconds.
    """

    __slots__ = ("_rate", "_clock", "_buckets")

    def __init__(self, per_s: float, clock: Clock) -> None:
        self._rate = per_s
        self._clock = clock
        self._buckets: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def take(self, source: str, cost: float = 1.0) -> bool:
        """Take ``cost`` tokens from a source's bucket; return false if it has none.

        The request is allowed when at least one token is left, so the bucket may
        become negative.
        """
        now = self._clock.monotonic()
        burst = max(1.0, self._rate * BURST_S)
        available, updated_at = self._buckets.pop(source, (burst, now))
        available = min(burst, available + (now - updated_at) * self._rate)
        is_allowed = available >= 1.0
        self._buckets[source] = (available - cost if is_allowed else available, now)
        if len(self._buckets) > MAX_SOURCES:
            self._buckets.popitem(last=False)
        return is_allowed


class AccessControl:
    """The middleware that checks every request to the admin port."""

    def __init__(self, operators: Operators, limit: RateLimit) -> None:
        self._operators = operators
        self._limit = limit

    @web.middleware
    async def __call__(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Check a request, run its handler, and return errors as problem answers."""
        response = self._reject(request) or await self._run(request, handler)
        resource = request.match_info.route.resource
        route = resource.canonical if resource else "unknown"
        REQUESTS.labels(route, str(response.status)).inc()
        return response

    def _reject(self, request: web.Request) -> web.Response | None:
        source = request.remote or ""
        if not self._limit.take(source):
            return problem(
                429, "too many requests", "this address exceeds the rate limit"
            )
        if request.path in PUBLIC_PATHS:
            return None
        operator = self._operators.find(request.headers.get("Authorization", ""))
        if not operator:
            self._limit.take(source, FAILED_LOGIN_COST)
            response = problem(401, "not allowed", "an operator's token is required")
            response.headers["WWW-Authenticate"] = "Bearer"
            return response
        request[OPERATOR] = operator
        return None

    async def _run(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            # The body is read completely before the handler changes anything.
            await asyncio.wait_for(request.read(), BODY_TIMEOUT_S)
            return await handler(request)
        except TimeoutError:
            return problem(
                408, "timeout", f"no complete body within {BODY_TIMEOUT_S:g} s"
            )
        except web.HTTPRequestEntityTooLarge as exc:
            return problem(413, "too large", exc.text or "the body is too large")
        except web.HTTPException as exc:
            return problem(exc.status, exc.reason, exc.text or exc.reason)
        except KernelError as exc:
            return problem(501, "not implemented", str(exc))
        except Exception:
            log.exception("{} {} failed", request.method, request.path)
            return problem(500, "failed", "see the daemon's log", "unknown")
