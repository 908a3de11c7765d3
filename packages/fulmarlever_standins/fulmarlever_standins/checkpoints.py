"""Checkpoints of batch tasks in the platform's object store."""

from __future__ import annotations

import json

from aiohttp import ClientError, ClientSession, ClientTimeout

from fulmarlever_standins.runs import Run

TIMEOUT_S = 2.0


class CheckpointStore:
    """The client of the object store of one simulated worker."""

    def __init__(self, session: ClientSession, platform: str, zone: str) -> None:
        self.session = session
        self.url = f"http://{platform}/v1/objects"
        self.headers = {"X-Zone": zone}
        self.timeout = ClientTimeout(total=TIMEOUT_S)

    async def save(self, run: Run) -> str:
        """Store the progress of a run; return the object name, empty on a failure."""
        name = f"checkpoint/{run.order.task}/{run.order.attempt}"
        text = json.dumps({"task": run.order.task, "progress": run.progress})
        try:
            async with self.session.put(
                f"{self.url}/{name}",
                data=text,
                headers=self.headers,
                timeout=self.timeout,
            ) as answer:
                return name if answer.ok else ""
        except (ClientError, TimeoutError):
            return ""

    async def load(self, name: str) -> float | None:
        """Return the progress (0 to 1) stored under a name, or ``None`` on a failure.

        The progress of an empty name is 0.
        """
        if not name:
            return 0.0
        try:
            async with self.session.get(
                f"{self.url}/{name}", headers=self.headers, timeout=self.timeout
            ) as answer:
                if not answer.ok:
                    return None
                return float(json.loads(await answer.read())["progress"])
        except (ClientError, TimeoutError, ValueError, KeyError):
            return None
