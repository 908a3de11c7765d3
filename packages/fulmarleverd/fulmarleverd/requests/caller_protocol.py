"""The HTTP server protocol for callers, with problem answers to malformed requests."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from fulmarlever.structure.request import Answer, Outcome
from fulmarleverd.requests.metrics import BAD_REQUESTS

MAX_LINE_BYTES = 8190


class CallerProtocol(RequestHandler):
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


class CallerServer(web.Server):
    """Creates a :class:`CallerProtocol` for each connection of a caller."""

    def __init__(self, handler: Any) -> None:
        super().__init__(handler, access_log=None)

    def __call__(self) -> CallerProtocol:
        """Return the protocol for a new connection."""
        return CallerProtocol(
            self,
            loop=self._loop,
            access_log=None,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )
