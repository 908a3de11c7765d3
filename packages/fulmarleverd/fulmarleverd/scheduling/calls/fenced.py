"""Calls to workers that do nothing if they are carried out after a later call."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TypeVar

from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarleverd.scheduling.calls.outstanding import OutstandingCalls
from fulmarleverd.scheduling.calls.tokens import CallTokens
from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.ports import (
    REJECT_TOKEN,
    Command,
    CommandResult,
    Rejected,
    WorkerCalls,
    WorkerReport,
)
from fulmarleverd.scheduling.specs import WorkerEntry, WorkerKey

Result = TypeVar("Result")
# A call is overtaken by one with a higher token only if others got no answer meanwhile.
MAX_ATTEMPTS = 3


class FencedWorkerCalls:
    """The calls to workers; see ``WorkerCalls``.

    The token of a worker rises after each call without an answer. A call that another
    one with a higher token has overtaken is sent again with that token.
    """

    __slots__ = ("_calls", "_tokens", "_outstanding")

    def __init__(
        self, calls: WorkerCalls, tokens: CallTokens, outstanding: OutstandingCalls
    ) -> None:
        self._calls = calls
        self._tokens = tokens
        self._outstanding = outstanding

    async def start(self, worker: WorkerEntry, command: Command) -> CommandResult:
        """Start a run of a task."""

        def call(token: int) -> Awaitable[CommandResult]:
            return self._calls.start(worker, replace(command, token=token))

        until_ms = command.lease_until_ms
        return await self._send("start", worker, command.token, call, 0, until_ms)

    async def stop(self, worker: WorkerEntry, command: Command) -> CommandResult:
        """Stop a run."""

        def call(token: int) -> Awaitable[CommandResult]:
            return self._calls.stop(worker, replace(command, token=token))

        return await self._send("stop", worker, command.token, call)

    async def set_speed_limit(
        self, worker: WorkerEntry, command: Command, percent: int
    ) -> CommandResult:
        """Limit a run to a percentage of its full speed."""

        def call(token: int) -> Awaitable[CommandResult]:
            changed = replace(command, token=token)
            return self._calls.set_speed_limit(worker, changed, percent)

        return await self._send("speed limit", worker, command.token, call)

    async def extend_lease(
        self,
        worker: WorkerEntry,
        token: int,
        lease_until_ms: int,
        last_end_committed: int,
        wait_s: float,
    ) -> WorkerReport | Rejected | Unavailable | OutcomeUnknown:
        """Extend the lease and wait for a report; see ``WorkerCalls.extend_lease``."""

        def call(
            token: int,
        ) -> Awaitable[WorkerReport | Rejected | Unavailable | OutcomeUnknown]:
            return self._calls.extend_lease(
                worker, token, lease_until_ms, last_end_committed, wait_s
            )

        number = last_end_committed
        return await self._send("report", worker, token, call, number, lease_until_ms)

    async def _send(
        self,
        kind: str,
        worker: WorkerEntry,
        token: int,
        call: Callable[[int], Awaitable[Result]],
        number: int = 0,
        lease_until_ms: int = 0,
    ) -> Result:
        """Make a call that acknowledges the ends up to a number, 0 for none.

        ``lease_until_ms`` is the end of the lease that it asks for, 0 for none.
        """
        key = WorkerKey(worker.id, worker.incarnation)
        for _ in range(MAX_ATTEMPTS):
            with self._outstanding.sending(key, number > 0) as sent:
                result = await call(token)
                sent.is_answered = not isinstance(result, OutcomeUnknown)
            current = self._tokens.current(worker.id)
            if isinstance(result, OutcomeUnknown):
                record(
                    "call-unanswered",
                    result.reason,
                    call=kind,
                    worker=worker.id,
                    incarnation=worker.incarnation,
                    token=token,
                    number=number,
                    lease_until_ms=lease_until_ms,
                )
                # The first of several calls without an answer makes all of them older.
                if token == current:
                    self._tokens.rise(worker.id)
                return result
            is_refused = isinstance(result, Rejected) and result.reason == REJECT_TOKEN
            if not is_refused or token == current:
                return result
            token = current
        return result
