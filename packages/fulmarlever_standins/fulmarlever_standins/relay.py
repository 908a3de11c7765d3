"""A TCP proxy whose links can be blocked, delayed or refused, to inject faults."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum

from aiohttp import web

from fulmarlever_standins.http import read_json, split_address

CHUNK_BYTES = 1 << 16


class LinkMode(StrEnum):
    """The modes of a link.

    ``HOLD`` accepts connections but forwards nothing, as a network partition does;
    data sent meanwhile arrives after the link is open again. ``ONE_WAY`` holds only
    the data from the target. ``SILENCE`` discards all further data of the connections
    that are open at the switch, while new ones work. ``DELAY`` delays each chunk.
    ``REFUSE`` closes all connections and refuses new ones.
    """

    OPEN = "open"
    HOLD = "hold"
    REFUSE = "refuse"
    DELAY = "delay"
    ONE_WAY = "one-way"
    SILENCE = "silence"


class Link:
    """A TCP proxy from one listening address to one target address."""

    def __init__(self, name: str, listen: str, target: str) -> None:
        self.name = name
        self.listen = split_address(listen)
        self.target = split_address(target)
        self.mode = LinkMode.OPEN
        self.delay_s = 0.0
        self.bytes_moved = 0
        self._can_forward = asyncio.Event()
        self._can_forward.set()
        self._can_answer = asyncio.Event()
        self._can_answer.set()
        # A flag shared by the connections since the last switch to SILENCE: each switch
        # sets it for them and puts a new one in place for later connections.
        self._silenced = [False]
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @classmethod
    def from_text(cls, text: str) -> Link:
        """Parse ``NAME=ADDRESS:PORT=TARGET:PORT``.

        Raise ``ValueError`` for malformed text.
        """
        name, listen, target = text.split("=")
        return cls(name, listen, target)

    async def start(self) -> None:
        """Listen for connections. Raise ``OSError`` if the address is in use."""
        address, port = self.listen
        self._server = await asyncio.start_server(
            self._accept, address, port, reuse_address=True
        )

    async def stop(self) -> None:
        """Stop listening and abort every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    async def switch(self, mode: LinkMode, delay_s: float = 0.0) -> None:
        """Change the mode. ``delay_s`` is the delay of each chunk in ``DELAY``."""
        was_refused = self.mode is LinkMode.REFUSE
        self.mode = mode
        self.delay_s = delay_s if mode is LinkMode.DELAY else 0.0
        _set_event(self._can_forward, mode is not LinkMode.HOLD)
        _set_event(self._can_answer, mode not in (LinkMode.HOLD, LinkMode.ONE_WAY))
        if mode is LinkMode.SILENCE:
            self._silenced[0] = True
            self._silenced = [False]
        if mode is LinkMode.REFUSE:
            await self.stop()
        elif was_refused:
            await self.start()

    def reset(self) -> None:
        """Abort every open connection; new ones are accepted."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._can_forward.wait()
            await self._forward(reader, writer)
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self.target)
        self._writers.add(target_writer)
        pumps = [
            asyncio.create_task(self._pump(reader, target_writer, self._can_forward)),
            asyncio.create_task(self._pump(target_reader, writer, self._can_answer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        can_forward: asyncio.Event,
    ) -> None:
        is_silenced = self._silenced
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await can_forward.wait()
                if is_silenced[0]:
                    continue
                if self.delay_s > 0:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                self.bytes_moved += len(data)
                await writer.drain()
            await can_forward.wait()


def _set_event(event: asyncio.Event, is_set: bool) -> None:
    if is_set:
        event.set()
    else:
        event.clear()


class Relay:
    """A set of links and the control interface that changes their modes."""

    def __init__(self, links: list[Link]) -> None:
        self.links = {link.name: link for link in links}

    def build_app(self) -> web.Application:
        """Return the application of the control port."""
        app = web.Application()
        app.router.add_post("/mode", self.set_mode)
        app.router.add_get("/links", self.get_links)
        return app

    async def set_mode(self, request: web.Request) -> web.Response:
        """Switch the links of a request to one mode."""
        data = await read_json(request)
        mode = LinkMode(data["mode"])
        for name in data["links"]:
            await self.links[name].switch(mode, float(data.get("delay_s", 0.0)))
        return web.json_response({})

    async def get_links(self, request: web.Request) -> web.Response:
        """Return the mode and the number of forwarded bytes of every link."""
        return web.json_response(
            {
                name: {"mode": link.mode, "bytes_moved": link.bytes_moved}
                for name, link in self.links.items()
            }
        )
