"""Calls to other processes whose unexpected errors concern one call alone.

What goes wrong in a call as foreseen is returned as a failure. Any other error, such as
a fault in the encoding of one worker's fields, would end the task of its caller and
with it the scheduling of all jobs. Here it is logged with the peer's id, and the call
counts as one without an answer.
"""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

from loguru import logger as log

from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarleverd.scheduling.ports import (
    Admission,
    AdmissionCalls,
    Command,
    CommandResult,
    Rejected,
    WorkerCalls,
    WorkerReport,
)
from fulmarleverd.scheduling.specs import WorkerEntry

Result = TypeVar("Result")


class ContainedWorkerCalls:
    """The calls to workers; see ``WorkerCalls``."""

    __slots__ = ("_calls",)

    def __init__(self, calls: WorkerCalls) -> None:
        self._calls = calls

    async def start(self, worker: WorkerEntry, command: Command) -> CommandResult:
        """Start a run of a task."""
        return await _contain(self._calls.start(worker, command), worker.id)

    async def stop(self, worker: WorkerEntry, command: Command) -> CommandResult:
        """Stop a run."""
        return await _contain(self._calls.stop(worker, command), worker.id)

    async def set_speed_limit(
        self, worker: WorkerEntry, command: Command, percent: int
    ) -> CommandResult:
        """Limit a run to a percentage of its full speed."""
        call = self._calls.set_speed_limit(worker, command, percent)
        return await _contain(call, worker.id)

    async def extend_lease(
        self,
        worker: WorkerEntry,
        token: int,
        lease_until_ms: int,
        last_end_committed: int,
        wait_s: float,
    ) -> WorkerReport | Rejected | Unavailable | OutcomeUnknown:
        """Extend the lease and wait for a report; see ``WorkerCalls.extend_lease``."""
        call = self._calls.extend_lease(
            worker, token, lease_until_ms, last_end_committed, wait_s
        )
        return await _contain(call, worker.id)


class ContainedAdmissionCalls:
    """The calls to the admission service; see ``AdmissionCalls``."""

    __slots__ = ("_calls",)

    def __init__(self, calls: AdmissionCalls) -> None:
        self._calls = calls

    async def admit(
        self, step: str, worker_ids: list[str], timeout_s: float
    ) -> Admission | Unavailable | OutcomeUnknown:
        """Ask which of the given workers may run a step."""
        call = self._calls.admit(step, worker_ids, timeout_s)
        return await _contain(call, "the admission service")


async def _contain(call: Awaitable[Result], peer: str) -> Result | OutcomeUnknown:
    """Return the result of a call, ``OutcomeUnknown`` after an unexpected error."""
    try:
        return await call
    except Exception as exc:
        log.bind(event="call-fault", peer=peer).opt(exception=exc).error(
            "an unexpected error in a call"
        )
        return OutcomeUnknown(f"unexpected error in the call: {exc!r}")
