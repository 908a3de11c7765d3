"""The HTTP client of the workers' protocol."""

from __future__ import annotations

from typing import Any

import aiohttp

from fulmarlever.outcomes import OutcomeUnknown, Refused, Unavailable
from fulmarlever.structure.fleet import VM
from fulmarleverd.placement.orders import (
    Ended,
    Started,
    StartOrder,
    StopOrder,
    SyncAnswer,
    SyncOrder,
    ThrottleOrder,
)

CALL_TIMEOUT_S = 2.0
STOP_EXTRA_S = 5.0

Missing = Refused | Unavailable | OutcomeUnknown


class WorkerClient:
    """Calls to workers over kept-alive connections."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self, vm: VM, order: StartOrder) -> Started | Missing:
        """Order a start; repeating it with the same attempt is harmless."""
        answer = await self._post(vm, "start", order.to_wire(), CALL_TIMEOUT_S)
        if isinstance(answer, dict):
            return Started(answer.get("address") or "", answer.get("port") or 0)
        return answer

    async def sync(self, vm: VM, order: SyncOrder) -> SyncAnswer | Missing:
        """Renew, acknowledge and read the worker's tasks in one call."""
        answer = await self._post(vm, "sync", order.to_wire(), CALL_TIMEOUT_S)
        if isinstance(answer, dict):
            return SyncAnswer.from_wire(answer)
        return answer

    async def stop(self, vm: VM, order: StopOrder) -> Ended | Missing:
        """Order a stop and wait for the end of the attempt."""
        timeout_s = order.drain_s + CALL_TIMEOUT_S + STOP_EXTRA_S
        answer = await self._post(vm, "stop", order.to_wire(), timeout_s)
        if isinstance(answer, dict):
            return Ended(
                answer["state"],
                answer.get("checkpoint") or "",
                answer.get("reason") or "",
                str(answer.get("result") or ""),
            )
        return answer

    async def throttle(self, vm: VM, order: ThrottleOrder) -> bool | Missing:
        """Set the share of its cores that a task may use."""
        answer = await self._post(vm, "throttle", order.to_wire(), CALL_TIMEOUT_S)
        return True if isinstance(answer, dict) else answer

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _post(
        self, vm: VM, call: str, body: dict[str, Any], timeout_s: float
    ) -> dict[str, Any] | Missing:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            )
        url = f"http://{vm.address}:{vm.port}/v1/{call}"
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.post(url, json=body, timeout=timeout) as response:
                answer = await response.json()
                status = response.status
        except aiohttp.ClientConnectorError:
            return Unavailable(f"worker {vm.name} refused the connection")
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return OutcomeUnknown(f"worker {vm.name} gave no answer")
        if status == 200:
            return answer
        return Refused(answer.get("reason") or f"status {status}")
