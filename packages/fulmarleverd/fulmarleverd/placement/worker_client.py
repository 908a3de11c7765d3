"""HTTP client for the workers' API."""

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

# Added to the drain time and the call timeout of a stop call.
STOP_EXTRA_S = 5.0

CallFailure = Refused | Unavailable | OutcomeUnknown


class WorkerClient:
    """Sends orders to workers over persistent HTTP connections.

    A call returns ``Refused`` if the worker rejected it, ``Unavailable`` if no
    connection could be made, and ``OutcomeUnknown`` if no valid answer arrived.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self, vm: VM, order: StartOrder) -> Started | CallFailure:
        """Start an attempt of a task; idempotent for the same attempt."""
        answer = await self._post(vm, "start", order.to_wire(), CALL_TIMEOUT_S)
        if isinstance(answer, dict):
            return Started(answer.get("address") or "", answer.get("port") or 0)
        return answer

    async def sync(self, vm: VM, order: SyncOrder) -> SyncAnswer | CallFailure:
        """Renew leases, acknowledge ended tasks and read the worker's tasks."""
        answer = await self._post(vm, "sync", order.to_wire(), CALL_TIMEOUT_S)
        if isinstance(answer, dict):
            return SyncAnswer.from_wire(answer)
        return answer

    async def stop(self, vm: VM, order: StopOrder) -> Ended | CallFailure:
        """Stop an attempt of a task and wait until it has ended."""
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

    async def throttle(self, vm: VM, order: ThrottleOrder) -> bool | CallFailure:
        """Set the share of its reserved cores that a task may use; true on success."""
        answer = await self._post(vm, "throttle", order.to_wire(), CALL_TIMEOUT_S)
        return True if isinstance(answer, dict) else answer

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _post(
        self, vm: VM, call: str, body: dict[str, Any], timeout_s: float
    ) -> dict[str, Any] | CallFailure:
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
            return OutcomeUnknown(f"worker {vm.name} did not answer")
        if status == 200:
            return answer
        return Refused(answer.get("reason") or f"status {status}")
