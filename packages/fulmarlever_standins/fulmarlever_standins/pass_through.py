"""A bare pass-through, the yardstick for the daemon's cost on the request path."""

from __future__ import annotations

from aiohttp import ClientSession, TCPConnector, web

from fulmarlever_standins.http import MAX_BODY_BYTES

HOP_BY_HOP = {"connection", "content-length", "host", "transfer-encoding"}


class PassThrough:
    """Sends each request to one target and gives back its answer, nothing more."""

    def __init__(self, target: str) -> None:
        self.target = target
        self._session: ClientSession | None = None

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/{service}/{path:.*}", self.handle)
        app.cleanup_ctx.append(self._run_session)
        return app

    async def handle(self, request: web.Request) -> web.Response:
        """Forward one request, both bodies read whole."""
        body = await request.read()
        async with self._session.request(
            request.method,
            f"http://{self.target}/{request.match_info['path']}",
            data=body or None,
            headers=_end_to_end(request.headers),
        ) as answer:
            return web.Response(
                body=await answer.read(),
                status=answer.status,
                headers=_end_to_end(answer.headers),
            )

    async def _run_session(self, app: web.Application) -> object:
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector) as self._session:
            yield


def _end_to_end(headers: object) -> list[tuple[str, str]]:
    return [pair for pair in headers.items() if pair[0].lower() not in HOP_BY_HOP]
