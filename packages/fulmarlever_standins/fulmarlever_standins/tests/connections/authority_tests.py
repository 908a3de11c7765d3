"""Crowds of clients at a daemon of the mode ``--interface authority``.

Each test guards against one fault: the cost of a connection before its request is
complete has no bound, so that clients can make a daemon end, exceed the memory or the
descriptors of its VM, or leave ordinary callers without an answer.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path

from aiohttp import ClientError

from fulmarlever_standins.soak.deployment import (
    CALLER_PORT,
    HOST,
    METRICS_PORT,
    POLL_INTERVAL_S,
    READY_TIMEOUT_S,
    Deployment,
    SoakDaemon,
)
from fulmarlever_standins.tests.connections.base import (
    MAX_FDS,
    MEMORY_MB,
    CrowdTestCase,
    measure_crowd,
)
from fulmarlever_standins.tests.connections.cases import CASES

JOB = {"spec": "s", "phases": [{"count": 1, "cpu": 100, "estimateMs": 100}]}
JOB_PATH = "/labels/%016x"
LEASE_METRIC = "fulmarlever_lease_held 1.0"


class LimitedDaemon(SoakDaemon):
    """A daemon whose settings have lower limits of memory and descriptors."""

    max_fds = MAX_FDS

    def write_settings(self, *args: int) -> None:
        """Write the settings file that the next start reads."""
        super().write_settings(*args)
        settings = json.loads(self.settings_path.read_text())
        settings["limits"] = {"memoryMb": MEMORY_MB, "maxFds": self.max_fds}
        self.settings_path.write_text(json.dumps(settings))


class LimitedDeployment(Deployment):
    """Daemons with lower limits, whose owner of the lease is known."""

    def __init__(self, directory: Path, max_fds: int) -> None:
        super().__init__(2, 1, directory)
        self.daemons = [
            LimitedDaemon(daemon.name, daemon.address, directory)
            for daemon in self.daemons
        ]
        for daemon in self.daemons:
            daemon.max_fds = max_fds

    async def find_daemon(self, holds_lease: bool) -> SoakDaemon:
        """Wait for an owner of the lease; return it or a daemon that is not it."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                held = [await self._holds_lease(daemon) for daemon in self.daemons]
                if sum(held) == 1:
                    return self.daemons[held.index(holds_lease)]
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _holds_lease(self, daemon: SoakDaemon) -> bool:
        url = f"http://{daemon.address}:{METRICS_PORT}/metrics"
        async with self.session.get(url) as resp:
            return LEASE_METRIC in await resp.text()

    async def submit(self, daemon: SoakDaemon, number: int) -> bool:
        """Submit a job over a connection of its own; return whether it was accepted."""
        url = f"http://{daemon.caller_address}{JOB_PATH % number}"
        headers = {"Host": HOST, "Connection": "close"}
        try:
            async with self.session.post(url, json=JOB, headers=headers) as resp:
                return resp.status == 200
        except (TimeoutError, OSError, ClientError):
            return False


class AuthorityCrowdTests(CrowdTestCase):
    def test_a_daemon_without_the_lease_outlives_each_crowd(self):
        self.check_cases(holds_lease=False)

    def test_the_owner_of_the_lease_outlives_each_crowd(self):
        self.check_cases(holds_lease=True)

    def check_cases(self, holds_lease: bool) -> None:
        for case, kinds, max_fds in CASES:
            with self.subTest(case):
                results = asyncio.run(self.run_crowd(kinds, max_fds, holds_lease))
                self.check(*results, max_fds)

    async def run_crowd(
        self, kinds: tuple[str, ...], max_fds: int, holds_lease: bool
    ) -> tuple:
        with tempfile.TemporaryDirectory(prefix="fulmarlever-") as directory:
            deployment = LimitedDeployment(Path(directory), max_fds)
            try:
                await deployment.start()
                daemon = await deployment.find_daemon(holds_lease)
                return await measure_crowd(
                    daemon.process.pid,
                    (daemon.address, CALLER_PORT),
                    ("POST", JOB_PATH % 1, HOST),
                    kinds,
                    lambda: deployment.submit(daemon, 2),
                )
            finally:
                # A graceful stop would take seconds.
                for daemon in deployment.daemons:
                    await daemon.process.kill()
                await deployment.close()
