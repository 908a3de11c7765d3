"""A base class for tests of the request path over real connections."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp

from fulmarlever.structure.table import Change
from fulmarlever.tests.base import wait_until
from fulmarlever_standins.table import MemoryTable
from fulmarleverd.tests.requests.fakes import (
    FakeNetwork,
    ScriptedServer,
    build,
    server_row,
    spec,
)


class PathTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts daemons on fake services, scripted backend servers and an HTTP client."""

    specs = (spec(),)

    async def asyncSetUp(self):
        # Debug mode keeps a stack trace for each handle, which makes the tests with
        # many requests ten times slower.
        asyncio.get_running_loop().set_debug(False)
        self.network = FakeNetwork()
        self.table = MemoryTable()
        self.kernels = []
        self.servers = []
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        for kernel in self.kernels:
            await kernel.stop()
        for server in self.servers:
            await server.stop()

    async def serve(self, count=1, zone="a", slots=8, service=""):
        servers = [ScriptedServer(slots) for _ in range(count)]
        for server in servers:
            await server.start()
        row = server_row(servers, zone, service or self.specs[0].name, slots)
        for earlier in self.table.read([f"servers/{zone}"]):
            row["servers"].update(earlier.value["servers"])
        self.table.write(Change(writes={f"servers/{zone}": row}))
        self.servers.extend(servers)
        return servers

    async def daemon(self, vm="entry-a-1", **settings):
        settings.setdefault("drain_limit_s", 0.5)
        specs = settings.pop("specs", self.specs)
        kernel = build(self.network, self.table, vm, specs, **settings)
        await kernel.start()
        self.kernels.append(kernel)
        return kernel

    async def wait_for_slots(self, *kernels, service="filling"):
        """Wait until each of the daemons owns slots of a service."""
        await wait_until(
            lambda: all(k.find("slots").pool.capacity(service) for k in kernels)
        )

    async def ask(self, kernel, path="/filling/x", method="GET", **kwargs):
        """Send a request; return the status, headers and body of the answer."""
        url = f"http://127.0.0.1:{kernel.find('callers').port}{path}"
        async with self.session.request(method, url, **kwargs) as response:
            return response.status, response.headers, await response.read()
