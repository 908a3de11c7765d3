"""The HTTP server protocol for callers, with problem answers to malformed requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

from fulmarlever.structure.request import Answer, Outcome
from fulmarleverd.connections.framing import LimitExceeded
from fulmarleverd.connections.limits import ConnectionLimits
from fulmarleverd.connections.protocol import LimitedProtocol, LimitedServer
from fulmarleverd.requests.metrics import BAD_REQUESTS

MAX_LINE_BYTES = 8190
# The titles of refusals by reason; any other one is a malformed request.
FAULTS = {
    "body-bytes": "body too large",
    "head-time": "head late",
    "body-time": "body late",
}


class CallerProtocol(LimitedProtocol):
    """A caller's connection that answers malformed requests with a problem document."""

    async def start(self) -> None:
        """Serve the connection, and close it when it is cancelled while idle.

        Otherwise a request that arrives later would get neither answer nor reset.
        """
        try:
            await super().start()
        except asyncio.CancelledError:
            if self.transport is not None:
                self.transport.close()
            raise

    def refusal_response(self, exc: LimitExceeded) -> web.Response:
        """Return the problem answer to a request that is over a limit."""
        if exc.status == 503:
            fault = "too many requests"
        else:
            fault = FAULTS.get(exc.reason, "malformed request")
            BAD_REQUESTS.labels(fault).inc()
        # Heads over a limit are answered like any other malformed head.
        status = 400 if exc.status == 431 else exc.status
        answer = Answer.from_problem(status, fault, exc.detail)
        response = web.Response(body=answer.body, status=status)
        response.headers.update(answer.headers)
        return response

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a problem answer after which the connection is closed.

        Raise ``ConnectionError`` when part of an answer has been sent already.
        """
        if isinstance(exc, LimitExceeded):
            return super().handle_error(request, status, exc, message)
        if request.writer.output_size > 0:
            raise ConnectionError("part of an answer has been sent already")
        if status >= 500:
            self.log_exception("Error handling request", exc_info=exc)
        fault = "malformed request" if status < 500 else "internal error"
        outcome = Outcome.NOT_RUN if status < 500 else Outcome.UNKNOWN
        BAD_REQUESTS.labels(fault).inc()
        detail = type(exc).__name__ if exc is not None else fault
        answer = Answer.from_problem(status, fault, detail, outcome)
        response = web.Response(body=answer.body, status=status)
        response.headers.update(answer.headers)
        response.force_close()
        return response


class CallerServer(LimitedServer):
    """Creates a :class:`CallerProtocol` for each connection of a caller."""

    protocol_class = CallerProtocol

    def __init__(
        self, handler: Any, find_limits: Callable[[], ConnectionLimits]
    ) -> None:
        super().__init__(
            handler,
            find_limits,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )
