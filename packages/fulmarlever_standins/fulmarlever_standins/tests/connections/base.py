"""A test case that lets a crowd of clients connect to a daemon's process."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import tempfile
import unittest
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

from fulmarlever_standins.tests.connections.crowd import Crowd, Target

# VM settings of the daemons under test; lower than in a deployment, so that a small
# crowd shows a fault. A daemon at rest uses up to 60 MB.
MEMORY_MB = 120
MAX_FDS = 4100
# With this limit there are descriptors for half of the crowd.
FEW_FDS = 400
# The platform keeps these for files; sockets and pipes share the rest.
FILE_FDS = 200
CROWD_SIZE = 400

# A daemon that hasn't answered after this time is taken to hang.
ANSWER_LIMIT_S = 60.0
RETRY_INTERVAL_S = 0.2
SAMPLE_INTERVAL_S = 0.05
BYTES_PER_KB = 1024
# Locked by the process that runs a crowd.
LOCK_PATH = Path(tempfile.gettempdir(), "fulmarlever-crowd.lock")


class Measurement:
    """What a process used at most: memory in bytes, and sockets and pipes.

    ``is_alive`` tells whether it existed when it was last looked at.
    """

    __slots__ = ("pid", "memory_bytes", "fds", "is_alive")

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.memory_bytes = 0
        self.fds = 0
        self.is_alive = True

    def sample(self) -> None:
        """Look at the process once more."""
        directory = Path("/proc", str(self.pid))
        try:
            status = (directory / "status").read_text()
            fds = sum(1 for _ in _sockets_and_pipes(directory / "fd"))
        except OSError:
            self.is_alive = False
            return
        fields = dict(line.split(":", 1) for line in status.splitlines())
        # A process that has ended, but was not waited for, has no memory.
        self.is_alive = "VmHWM" in fields
        peak = int(fields["VmHWM"].split()[0]) * BYTES_PER_KB if self.is_alive else 0
        self.memory_bytes = max(self.memory_bytes, peak)
        self.fds = max(self.fds, fds)

    async def run(self) -> None:
        """Look at the process again and again."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def __str__(self) -> str:
        memory_mb = self.memory_bytes / (1 << 20)
        return f"alive {self.is_alive}, {memory_mb:.0f} MB, {self.fds} fds"


def _sockets_and_pipes(directory: Path) -> Iterator[Path]:
    for link in directory.iterdir():
        with contextlib.suppress(FileNotFoundError):
            if str(link.readlink()).startswith(("socket:", "pipe:")):
                yield link


async def measure_crowd(
    pid: int,
    address: tuple[str, int],
    target: Target,
    kinds: tuple[str, ...],
    ask: Callable[[], Awaitable[bool]],
) -> tuple[Measurement, bool]:
    """Let a crowd connect to a daemon; return what it used and whether it answered.

    ``ask`` makes one ordinary request and returns whether it was served. It is called
    when the crowd has sent everything and stays open; a refused caller retries.
    """
    found = Measurement(pid)
    sampler = asyncio.create_task(found.run())
    crowd = Crowd(address, target, kinds, CROWD_SIZE)
    try:
        await crowd.run()
        is_served = await _ask_until_served(ask, found)
        found.sample()
    finally:
        sampler.cancel()
        crowd.close()
    logging.getLogger("crowd").info("%s: %s, answered %s", kinds, found, is_served)
    return found, is_served


async def _ask_until_served(
    ask: Callable[[], Awaitable[bool]], found: Measurement
) -> bool:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ANSWER_LIMIT_S):
            while found.is_alive:
                if await ask():
                    return True
                await asyncio.sleep(RETRY_INTERVAL_S)
    return False


class CrowdTestCase(unittest.TestCase):
    """Runs crowds one at a time on this machine, and checks the daemon afterwards.

    The crowds run outside asynchronous test cases, whose debug mode slows the clients.
    """

    @classmethod
    def setUpClass(cls) -> None:
        lock = cls.enterClassContext(LOCK_PATH.open("w"))
        fcntl.flock(lock, fcntl.LOCK_EX)

    def check(self, found: Measurement, is_served: bool, max_fds: int) -> None:
        """Fail if the daemon ended, used too much, or answered no ordinary request."""
        self.assertTrue(found.is_alive, f"the daemon ended: {found}")
        self.assertLessEqual(found.memory_bytes, MEMORY_MB << 20, str(found))
        self.assertLessEqual(found.fds, max_fds - FILE_FDS, str(found))
        self.assertTrue(is_served, f"no answer to an ordinary request: {found}")
