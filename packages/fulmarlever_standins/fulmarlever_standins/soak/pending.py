"""Compares the number of waiting jobs that daemons in touch give with what has begun.

Each daemon is judged by what it went through itself: it counts as in touch while its
process runs without a fault, its link is open, and the store answers it.
"""

from __future__ import annotations

import asyncio
from collections import Counter

from aiohttp import ClientError

from fulmarlever_standins.relay import LinkMode
from fulmarlever_standins.soak.callers import Callers, Outcome
from fulmarlever_standins.soak.deployment import HOST, QUEUES, Deployment, SoakDaemon

POLL_S = 0.05
ASK_PERIOD_S = 0.25
# A daemon counts as in touch this long after its last fault or the store's.
SETTLED_AFTER_S = 4.0
# How long after its acceptance a job counts as waiting until it has begun.
VISIBLE_S = 5.0
MIN_PENDING_SHARE = 0.5


class PendingWatch:
    """Asks the daemons in touch throughout a soak; ``violations`` has a line a fault.

    An answer counts if its daemon was in touch from before the question on. One that
    gives no number tells nothing wrong.
    """

    def __init__(self, deployment: Deployment, callers: Callers) -> None:
        self.violations: list[str] = []
        self.answers = 0
        self._deployment = deployment
        self._callers = callers
        self._disturbed_s: dict[str, float] = {}
        self._store_disturbed_s = asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Look and ask again and again, until cancelled."""
        await asyncio.gather(self._look(), *map(self._ask, self._deployment.daemons))

    async def _look(self) -> None:
        while True:
            now_s = asyncio.get_running_loop().time()
            if self._deployment.network.is_store_down:
                self._store_disturbed_s = now_s
            for daemon in self._deployment.daemons:
                if self._is_disturbed(daemon):
                    self._disturbed_s[daemon.name] = now_s
            await asyncio.sleep(POLL_S)

    def _is_disturbed(self, daemon: SoakDaemon) -> bool:
        return (
            daemon.has_active_fault
            or not daemon.process.is_running
            or daemon.link.mode is not LinkMode.OPEN
            or daemon.name in self._deployment.network.refused_vms
        )

    def _contact_s(self, daemon: SoakDaemon) -> float:
        """Return for how many seconds a daemon has been in touch."""
        since_s = max(
            self._disturbed_s.get(daemon.name, 0.0),
            self._store_disturbed_s,
            self._deployment.network.unanswered_s,
        )
        return asyncio.get_running_loop().time() - since_s

    async def _ask(self, daemon: SoakDaemon) -> None:
        while True:
            await asyncio.sleep(ASK_PERIOD_S)
            for queue in QUEUES:
                if self._contact_s(daemon) < SETTLED_AFTER_S:
                    break
                asked_s = asyncio.get_running_loop().time()
                pending = await self._pending(daemon, queue)
                waiting = self._waiting(asked_s)[queue]
                if pending is None or self._contact_s(daemon) < SETTLED_AFTER_S:
                    continue
                self.answers += 1
                if pending < MIN_PENDING_SHARE * waiting:
                    given = f"{daemon.name} gives {pending} waiting jobs of {queue}"
                    self.violations.append(f"{given}, {waiting} wait")

    async def _pending(self, daemon: SoakDaemon, queue: str) -> int | None:
        url = f"http://{daemon.caller_address}/{queue}/"
        session = self._deployment.session
        try:
            async with session.get(url, headers={"Host": HOST}) as resp:
                return (await resp.json())["pending"] if resp.status == 200 else None
        except (TimeoutError, OSError, ClientError, ValueError):
            return None

    def _waiting(self, asked_s: float) -> Counter[str]:
        """Return by queue how many jobs accepted long before have not begun."""
        begun = {task.split(".")[0] for task in self._deployment.record.starts}
        return Counter(
            job.queue
            for job in self._callers.jobs
            if job.outcome is Outcome.ACCEPTED
            and not job.may_be_cancelled
            and job.accepted_at_s < asked_s - VISIBLE_S
            and job.id not in begun
        )
