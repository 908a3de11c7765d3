"""The HTTP client that waits for and controls the processes of a cluster."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from fulmarlever.polling import poll_until
from fulmarlever_standins.processes import ChildProcess, ProcessError

POLL_S = 0.05
READY_LIMIT_S = 30.0


class ControlClient:
    """A JSON client without a limit of connections; each call has 10 s."""

    def __init__(self) -> None:
        self._session = ClientSession(
            connector=TCPConnector(limit=0), timeout=ClientTimeout(total=10.0)
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def get(self, address: str, path: str) -> dict:
        """Return the JSON answer of a GET.

        Raise ``ClientResponseError`` for a status that reports an error.
        """
        async with self._session.get(f"http://{address}{path}") as answer:
            answer.raise_for_status()
            return await answer.json()

    async def post(self, address: str, path: str, data: dict) -> None:
        """Send a POST with a JSON body.

        Raise ``ClientResponseError`` for a status that reports an error.
        """
        async with self._session.post(f"http://{address}{path}", json=data) as answer:
            answer.raise_for_status()

    async def delete(self, address: str, path: str) -> None:
        """Send a DELETE.

        Raise ``ClientResponseError`` for a status that reports an error.
        """
        async with self._session.delete(f"http://{address}{path}") as answer:
            answer.raise_for_status()

    async def status(self, address: str, path: str) -> int:
        """Return the status of a GET, or 0 without an answer."""
        try:
            async with self._session.get(f"http://{address}{path}") as answer:
                return answer.status
        except (ClientError, TimeoutError):
            return 0

    async def wait_ready(
        self,
        process: ChildProcess,
        address: str,
        path: str,
        limit_s: float = READY_LIMIT_S,
    ) -> None:
        """Wait until a GET of a process answers 200.

        Raise ``ProcessError`` with the end of its log if it ends or ``limit_s`` seconds
        have passed.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_s
        while loop.time() < end:
            if not process.is_running:
                raise ProcessError(f"{process.name} ended:\n{process.log_tail()}")
            if await self.status(address, path) == 200:
                return
            await asyncio.sleep(POLL_S)
        raise ProcessError(
            f"{process.name} not ready in {limit_s} s:\n{process.log_tail()}"
        )


async def wait_for(
    condition: Callable[[], object], description: str, limit_s: float
) -> object:
    """Wait until a condition, plain or a coroutine, is true and return its value.

    Raise ``ProcessError`` with the description after ``limit_s`` seconds.
    """
    value = await poll_until(condition, limit_s, POLL_S)
    if value is None:
        raise ProcessError(f"{description}: not within {limit_s} s")
    return value
