"""Fakes of the services that the request path uses, and a scripted backend server."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

from aiohttp import web

from fulmarlever.clock import Clock
from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarlever.structure.configuration import Configuration, ServiceSpec
from fulmarlever.structure.fleet import BackendServer
from fulmarlever_standins.table import MemoryTable
from fulmarleverd.kernel import Kernel, Service
from fulmarleverd.services.admission import Admission
from fulmarleverd.services.callers import Callers
from fulmarleverd.services.claims import Claims
from fulmarleverd.services.membership import Membership
from fulmarleverd.services.router import Router
from fulmarleverd.services.slots import Slots
from fulmarleverd.settings import PeerSettings
from fulmarleverd.tests.base import FakePlatform, make_kernel


class FakeConfig(Service):
    name = "config"
    configuration = Configuration()

    def current(self):
        return self.configuration


class FakeNetwork:
    """Connects fake memberships.

    ``disconnected`` holds pairs of VMs that cannot reach each other, ``ended`` the
    identities of daemons that are proved to have ended, and ``frozen`` the VMs whose
    daemons are suspended.
    """

    def __init__(self):
        self.members = {}
        self.disconnected = set()
        self.ended = set()
        self.frozen = set()

    def is_disconnected(self, one, other):
        if self.frozen & {one, other}:
            return True
        return frozenset((one, other)) in self.disconnected


class FakeMembership(Service):
    name = "membership"

    def __init__(self, kernel, network, incarnation=1):
        super().__init__(kernel)
        self.network = network
        self.identity = f"{self.settings.vm}#{incarnation}"
        self.handlers = {}
        self.topics = {}
        network.members[self.settings.vm] = self

    def live(self, zone=None):
        return [
            PeerSettings(vm, m.settings.zone, "127.0.0.1", 0)
            for vm, m in self.network.members.items()
            if vm != self.settings.vm
            and zone in (None, m.settings.zone)
            and not self.network.is_disconnected(vm, self.settings.vm)
            and m.identity not in self.network.ended
        ]

    def is_ended(self, vm, incarnation):
        return f"{vm}#{incarnation}" in self.network.ended

    def publish(self, topic, value):
        self.topics[topic] = value

    def view(self, topic):
        members = self.network.members
        return {p.vm: members[p.vm].topics.get(topic, {}) for p in self.live()}

    def handle(self, message_class, handler):
        self.handlers[message_class] = handler

    async def call(self, vm, message, timeout_s):
        if vm not in self.network.members or self.network.is_disconnected(
            vm, self.settings.vm
        ):
            return Unavailable("no stream")
        handler = self.network.members[vm].handlers[type(message)]
        try:
            async with asyncio.timeout(timeout_s):
                return await handler(message)
        except TimeoutError:
            return OutcomeUnknown("no reply")


class ScriptedServer:
    """A backend server that counts requests and injects faults.

    The header ``X-Fault`` of a request names the fault, ``X-Work-Ms`` the time to
    answer in milliseconds, and ``X-Answer-Bytes`` the size of padding in the answer.
    ``overruns`` counts requests that arrived when ``limit`` were in progress.
    """

    def __init__(self, limit=8):
        self.limit = limit
        self.runs = Counter()
        self.in_progress = 0
        self.max_in_progress = 0
        self.overruns = 0
        self.connections = 0
        self.max_connections = 0
        self.state = ""
        self.slow_s = 0.0

    async def start(self):
        server = web.Server(self.answer)
        self.runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await self.site.start()
        self.server = server
        self.port = self.runner.addresses[0][1]

    async def stop(self):
        await self.runner.cleanup()

    async def answer(self, http):
        self.runs[http.headers.get("X-Request-Id", "")] += 1
        self.in_progress += 1
        self.max_in_progress = max(self.max_in_progress, self.in_progress)
        self.max_connections = max(self.max_connections, len(self.server.connections))
        self.overruns += self.in_progress > self.limit
        try:
            return await self.work(http)
        finally:
            self.in_progress -= 1

    async def work(self, http):
        body = await http.read()
        work_s = int(http.headers.get("X-Work-Ms", "0")) / 1000 + self.slow_s
        if work_s:
            await asyncio.sleep(work_s)
        fault = http.headers.get("X-Fault", "")
        if fault in FAULTS:
            return FAULTS[fault](http)
        text = http.headers.get("X-Request-Id", "").encode() + b":" + body
        text += b"." * int(http.headers.get("X-Answer-Bytes", "0"))
        headers = {"X-Backend-State": self.state} if self.state else {}
        return web.Response(body=text, headers=headers)


def close(http):
    http.transport.close()
    return web.Response()


def truncate(http):
    http.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
    return close(http)


def without_length(http):
    http.transport.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
    return close(http)


def garbage(http):
    http.transport.write(b"SMTP ready\r\n\r\n")
    return close(http)


def twice(http):
    extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
    loop = asyncio.get_running_loop()
    loop.call_later(0.02, http.transport.write, extra)
    return web.Response(body=http.headers["X-Request-Id"].encode() + b":")


FAULTS = {
    "close": close,
    "truncate": truncate,
    "without-length": without_length,
    "garbage": garbage,
    "twice": twice,
}


def server_row(servers, zone="a", service="filling", slots=8):
    """Return the value of the row ``servers/{zone}`` for scripted servers."""
    entries = {
        f"{service}/{index}": BackendServer(
            f"{service}/{index}",
            service,
            zone,
            f"worker-{index}",
            "127.0.0.1",
            getattr(server, "port", 1),
            slots,
        ).to_wire()
        for index, server in enumerate(servers)
    }
    return {"servers": entries}


def spec(name="filling", **changes):
    return replace(ServiceSpec(name, "portland", guaranteed_share=0.25), **changes)


def build(
    network: FakeNetwork | None,
    table: MemoryTable,
    vm: str = "entry-a-1",
    specs: tuple[ServiceSpec, ...] = (),
    clock: Clock | None = None,
    incarnation: int = 1,
    **settings: object,
) -> Kernel:
    """Return a kernel, not started, with the request path on fake services.

    With ``network`` set to ``None`` it has the real membership service.
    """
    fields = {"caller_port": 0, "unready_before_drain_s": 0.0, **settings}
    kernel = make_kernel(clock or Clock(), vm=vm, **fields)
    kernel.add(FakePlatform(kernel, table))
    config = FakeConfig(kernel)
    configured = specs or (spec(),)
    services = {s.name: s for s in configured}
    config.configuration = Configuration(services=services)
    kernel.add(config)
    if network is None:
        kernel.add(Membership(kernel))
    else:
        kernel.add(FakeMembership(kernel, network, incarnation))
    for service in (Slots, Admission, Claims, Router, Callers):
        kernel.add(service.from_config(kernel))
    return kernel
