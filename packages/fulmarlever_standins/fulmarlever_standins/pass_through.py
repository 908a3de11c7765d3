"""A minimal HTTP proxy, the baseline for the overhead of a daemon on a request."""

from __future__ import annotations

from aiohttp import ClientSession, TCPConnector, web

from fulmarlever_standins.http import MAX_BODY_BYTES

HOP_BY_HOP_HEADERS = {"connection", "content-length", "host", "transfer-encoding"}


class PassThrough:
    """Forwards each request to ``target`` (``ADDRESS:PORT``) and returns the answer."""

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
        """Forward one request; both bodies are buffered completely."""
        body = await request.read()
        async with self._session.request(
            request.method,
            f"http://{self.target}/{request.match_info['path']}",
            data=body or None,
            headers=_end_to_end_headers(request.headers),
        ) as answer:
            return web.Response(
                body=await answer.read(),
                status=answer.status,
                headers=_end_to_end_headers(answer.headers),
            )

    async def _run_session(self, app: web.Application) -> object:
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector) as self._session:
            yield


def _end_to_end_headers(headers: object) -> list[tuple[str, str]]:
    return [
        pair for pair in headers.items() if pair[0].lower() not in HOP_BY_HOP_HEADERS
    ]
