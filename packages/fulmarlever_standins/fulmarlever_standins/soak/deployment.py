"""Daemons in separate processes that use a platform stand-in in this process."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Iterator
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout

from fulmarlever.outcomes import failed
from fulmarlever_standins.authority.evacuations import (
    EvacuationObserver,
    is_store_disturbed,
)
from fulmarlever_standins.authority.network import Network
from fulmarlever_standins.authority.record import RunRecord
from fulmarlever_standins.authority.server import PlatformServer
from fulmarlever_standins.authority.worker import RunKey, WorkerCore
from fulmarlever_standins.processes import ChildProcess, ProcessError
from fulmarlever_standins.relay import Link, LinkMode
from fulmarlever_standins.topology import reserve_loopback_prefix
from fulmarleverd.platform.formats import CONFIG_KEY, OPERATOR_TABLE, WORKERS_TABLE
from fulmarleverd.platform.settings import SETTINGS_VARIABLE
from fulmarleverd.scheduling.persistence.rows import (
    LEASE_KEY,
    LEASE_TABLE,
    lease_row,
    unpack_lease,
)

DAEMON = [sys.executable, "-m", "fulmarleverd", "--interface", "authority"]
CALLER_PORT = 7100
READY_PORT = 7101
METRICS_PORT = 7110
RELAY_PORT = 7300
HOST = "desk.example"
QUEUES = ("labels", "plans")
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
ZONES = ("x", "y", "z")
BOUNDS = {"holdMaxMs": 6000, "stopTimeoutMs": 200, "graceS": 6, "evacuateMs": 5000}


class SoakDaemon:
    """One daemon with its process, its settings file and its link to the store.

    ``has_active_fault`` is set while a fault is applied to its process.
    """

    def __init__(self, name: str, address: str, directory: Path) -> None:
        self.name = name
        self.address = address
        self.settings_path = directory / f"{name}.json"
        variables = {SETTINGS_VARIABLE: str(self.settings_path)}
        self.process = ChildProcess(name, DAEMON, directory, variables)
        self.link: Link | None = None
        self.has_active_fault = False

    @property
    def caller_address(self) -> str:
        """Return the address that serves callers, as ``HOST:PORT``."""
        return f"{self.address}:{CALLER_PORT}"

    def write_settings(self, grace_s: int = BOUNDS["graceS"]) -> None:
        """Write the settings file that the next start or reload reads."""
        host, port = self.link.listen
        settings = {
            "nodeName": self.name,
            "zone": "z",
            "ip": self.address,
            "listenAddrs": {
                "front": self.caller_address,
                "readyAddr": f"{self.address}:{READY_PORT}",
            },
            "portRange": [METRICS_PORT, METRICS_PORT + 5],
            "bounds": {**BOUNDS, "graceS": grace_s},
            "platform": {"address": f"{host}:{port}"},
        }
        self.settings_path.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the daemon's process."""
        await self.process.start()


class Deployment:
    """Daemons, workers, the links between them and a record of every run.

    ``late_starts`` has a line for each run that began in a zone too long after the
    operator had evacuated it.
    """

    def __init__(self, daemons: int, workers: int, directory: Path) -> None:
        prefix = reserve_loopback_prefix()
        self.directory = directory
        self.network = Network()
        self.record = RunRecord()
        self.evacuations = EvacuationObserver(
            self.network, BOUNDS["evacuateMs"] / 1000.0
        )
        self.late_starts: list[str] = []
        self.daemons = [
            SoakDaemon(f"vm{n}", f"127.{prefix}.1.{n + 1}", directory)
            for n in range(daemons)
        ]
        self.workers: dict[str, WorkerCore] = {}
        self.worker_links: dict[str, Link] = {}
        self.config_version = 0
        self.session: ClientSession | None = None
        self._server = PlatformServer(self.network)
        self._worker_count = workers
        self._address_prefix = prefix

    async def start(self) -> None:
        """Start the platform, the workers and the daemons; wait for readiness."""
        self.session = ClientSession(timeout=ClientTimeout(total=4.0))
        self.change_config()
        for number in range(self._worker_count):
            await self._add_worker(f"w{number}")
        for daemon in self.daemons:
            store = await self._server.serve_store(daemon.name)
            listen = f"{daemon.address}:{RELAY_PORT}"
            daemon.link = Link(daemon.name, listen, store)
            await daemon.link.start()
            daemon.write_settings()
            await daemon.start()
        for daemon in self.daemons:
            await self.wait_until_ready(daemon)

    async def close(self) -> None:
        """Stop every process, link and server."""
        for daemon in self.daemons:
            await daemon.process.stop()
        for link in self.links():
            await link.stop()
        if self.session is not None:
            await self.session.close()
        await self._server.close()

    def links(self) -> list[Link]:
        """Return the links of all daemons and workers."""
        own = [daemon.link for daemon in self.daemons if daemon.link is not None]
        return [*own, *self.worker_links.values()]

    def log_lines(self) -> Iterator[str]:
        """Yield the lines that all daemons have logged so far."""
        for daemon in self.daemons:
            with daemon.process.log_path.open(errors="replace") as lines:
                yield from lines

    def is_store_disturbed(self) -> bool:
        """Return whether the store is out of reach of a daemon, or slow to reach."""
        links = [daemon.link for daemon in self.daemons if daemon.link is not None]
        is_degraded = any(link.mode is not LinkMode.OPEN for link in links)
        return is_degraded or is_store_disturbed(self.network)

    def change_config(self) -> None:
        """Write the operator's configuration under a higher version."""
        self.config_version += 3
        routes = [
            {
                "name": name,
                "host": HOST,
                "pathPrefix": f"/{name}/",
                "service": "desk",
                "priority": priority,
                "maxAttempts": 4,
                "stretch": 2.0,
                "targetLatencyMs": 500,
                "timeoutMs": 3000,
            }
            for priority, name in enumerate(QUEUES)
        ]
        services = [{"name": "desk", "admissionCheck": True}]
        config = {
            "version": self.config_version,
            "routes": routes,
            "services": services,
            "limits": {},
        }
        self.network.store.put_json(OPERATOR_TABLE, CONFIG_KEY, config)

    async def _add_worker(self, name: str) -> None:
        """Serve a worker behind a link of its own."""
        listen = f"127.{self._address_prefix}.2.{len(self.workers) + 1}:{RELAY_PORT}"
        link = Link(name, listen, await self._server.serve_worker(listen))
        await link.start()
        self.worker_links[name] = link
        zone = ZONES[len(self.workers) % len(ZONES)]
        self._begin_incarnation(WorkerCore(name, listen, zone))

    def _begin_incarnation(self, worker: WorkerCore) -> None:
        # What a worker says of its start is a Unix time.
        worker.born = int(1000.0 * time.time())
        self.workers[worker.id] = worker
        self.record.attach(worker)
        record_start = worker.on_start

        def on_start(worker: WorkerCore, key: RunKey) -> None:
            record_start(worker, key)
            # A start that arrives late counts from when it would have arrived.
            late_s = self.evacuations.late_s(worker) - self.network.start_delay_s
            if late_s > 0.0:
                self.late_starts.append(
                    f"{key[0]} run {key[1]} began on {worker.id} of the evacuated zone "
                    f"{worker.zone}, {late_s:.2f} s late"
                )

        worker.on_start = on_start
        self.network.add_worker(worker)

    def crash_worker(self, name: str) -> None:
        """End an incarnation of a worker, its runs and its connections.

        The ends of the runs are never reported.
        """
        worker = self.workers[name]
        self.record.detach(worker)
        del self.network.workers[worker.address]
        self._server.reset_worker(worker.address)

    def remove_worker_entry(self, name: str) -> None:
        """Remove the entry of a worker that has sent no heartbeat for too long."""
        self.network.store.remove(WORKERS_TABLE, name)

    def restart_worker(self, name: str) -> None:
        """Begin another incarnation of a worker under its id and address."""
        old = self.workers[name]
        self._begin_incarnation(WorkerCore(old.id, old.address, old.zone, old.born + 1))

    def find_owner(self) -> SoakDaemon | None:
        """Return the daemon that the row of the scheduler's lease names, if any."""
        value = self.network.store.value(LEASE_TABLE, LEASE_KEY)
        row = unpack_lease(lease_row(value or b""))
        vm = "" if failed(row) else row.vm
        return next((daemon for daemon in self.daemons if daemon.name == vm), None)

    async def wait_until_ready(
        self, daemon: SoakDaemon, limit_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until a daemon is ready.

        Raise ``ProcessError`` if its process ends, and ``TimeoutError`` if it is not
        ready within ``limit_s`` seconds.
        """
        async with asyncio.timeout(limit_s):
            while not await self.is_ready(daemon):
                if not daemon.process.is_running:
                    raise ProcessError(
                        f"{daemon.name} ended: {daemon.process.log_tail()}"
                    )
                await asyncio.sleep(POLL_INTERVAL_S)

    async def is_ready(self, daemon: SoakDaemon) -> bool:
        """Return whether a daemon answers the readiness probe with status 200."""
        url = f"http://{daemon.address}:{READY_PORT}/readiness"
        try:
            async with self.session.get(url) as resp:
                return resp.status == 200
        except (TimeoutError, OSError, ClientError):
            return False
