"""A TCP relay whose links can be cut, delayed or refused."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum

from aiohttp import web

from fulmarlever_standins.http import read_json, split_address

CHUNK_BYTES = 1 << 16


class LinkMode(StrEnum):
    """What a link does with connections.

    ``HOLD`` accepts connections and moves no byte, as a network partition does;
    what was sent meanwhile arrives after the link is open again. ``ONE_WAY`` holds
    only what the target answers. ``SILENCE`` makes the connections that are open now
    silent for good, while new ones work.
    """

    OPEN = "open"
    HOLD = "hold"
    REFUSE = "refuse"
    DELAY = "delay"
    ONE_WAY = "one-way"
    SILENCE = "silence"


class Link:
    """One listening address forwarded to one target."""

    def __init__(self, name: str, listen: str, target: str) -> None:
        self.name = name
        self.listen = split_address(listen)
        self.target = split_address(target)
        self.mode = LinkMode.OPEN
        self.delay_s = 0.0
        self.bytes_moved = 0
        self._moving = asyncio.Event()
        self._moving.set()
        self._answering = asyncio.Event()
        self._answering.set()
        # Replaced at each silencing, so that it holds for the older connections.
        self._silenced = [False]
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @classmethod
    def from_text(cls, text: str) -> Link:
        """Build a link from ``NAME=ADDRESS:PORT=TARGET:PORT``."""
        name, listen, target = text.split("=")
        return cls(name, listen, target)

    async def start(self) -> None:
        """Listen for connections."""
        address, port = self.listen
        self._server = await asyncio.start_server(
            self._accept, address, port, reuse_address=True
        )

    async def stop(self) -> None:
        """Stop listening and end every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    async def switch(self, mode: LinkMode, delay_s: float = 0.0) -> None:
        """Change the mode."""
        was_refused = self.mode is LinkMode.REFUSE
        self.mode = mode
        self.delay_s = delay_s if mode is LinkMode.DELAY else 0.0
        _set(self._moving, mode is not LinkMode.HOLD)
        _set(self._answering, mode not in (LinkMode.HOLD, LinkMode.ONE_WAY))
        if mode is LinkMode.SILENCE:
            self._silenced[0] = True
            self._silenced = [False]
        if mode is LinkMode.REFUSE:
            await self.stop()
        elif was_refused:
            await self.start()

    def reset(self) -> None:
        """End every open connection; new ones work."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._moving.wait()
            await self._forward(reader, writer)
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(*self.target)
        self._writers.add(far_writer)
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, self._moving)),
            asyncio.create_task(self._pump(far_reader, writer, self._answering)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            self._writers.discard(far_writer)
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        moving: asyncio.Event,
    ) -> None:
        silenced = self._silenced
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await moving.wait()
                if silenced[0]:
                    continue
                if self.delay_s > 0:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                self.bytes_moved += len(data)
                await writer.drain()
            await moving.wait()


def _set(event: asyncio.Event, is_set: bool) -> None:
    if is_set:
        event.set()
    else:
        event.clear()


class Relay:
    """Several links and the control calls that switch them."""

    def __init__(self, links: list[Link]) -> None:
        self.links = {link.name: link for link in links}

    def build_app(self) -> web.Application:
        """Return the application of the control port."""
        app = web.Application()
        app.router.add_post("/mode", self.set_mode)
        app.router.add_get("/links", self.get_links)
        return app

    async def set_mode(self, request: web.Request) -> web.Response:
        """Switch the named links to one mode."""
        data = await read_json(request)
        mode = LinkMode(data["mode"])
        for name in data["links"]:
            await self.links[name].switch(mode, float(data.get("delay_s", 0.0)))
        return web.json_response({})

    async def get_links(self, request: web.Request) -> web.Response:
        """Return the mode and the bytes moved of every link."""
        return web.json_response(
            {
                name: {"mode": link.mode, "bytes_moved": link.bytes_moved}
                for name, link in self.links.items()
            }
        )
