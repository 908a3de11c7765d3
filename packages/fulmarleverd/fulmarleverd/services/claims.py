"""The service ``claims``: each idempotency key of a non-idempotent request runs once.

A claim is a row inserted before the request is dispatched. Whoever finds a row there
does not dispatch, and answers from what the row says.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from fulmarlever.outcomes import (
    Conflict,
    InProgress,
    NotRun,
    OutcomeUnknown,
    Unavailable,
    failed,
)
from fulmarlever.structure.request import Answer
from fulmarlever.structure.table import ABSENT, Applied, Change, Row, WritePriority
from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.requests.metrics import CLAIMS
from fulmarleverd.requests.ownership import split_identity

CLAIM_TTL_S = 3600.0
MAX_KEPT_ANSWER_BYTES = 16384
RETRY_IN_PROGRESS_S = 1.0
RECORDING_WAIT_S = 0.1
RETRY_TABLE_DOWN_S = 5.0
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 5.0
LONGEST_RECORDING_S = 120.0
MAX_RECORDINGS = 1000


@dataclass(slots=True)
class Claim:
    """The right to dispatch the request of one key.

    ``version`` is that of the row, or ``None`` for a service that runs requests
    without claims while the table is away.
    """

    row_key: str
    token: str
    digest: str
    version: int | None


Begun = Claim | Answer | InProgress | NotRun | OutcomeUnknown
"""A claim, or what is known of the request that has the key."""


@SERVICES.register("claims")
class Claims(Service):
    """Claims on idempotency keys in the platform's table."""

    name = "claims"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._numbers = itertools.count(1)
        self._recordings: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Find the services that claims rest on."""
        self.platform = self.kernel.find("platform")
        self.membership = self.kernel.find("membership")

    async def begin(
        self, service: str, key: str, digest: str, is_required: bool = True
    ) -> Begun:
        """Claim a key, or return what is known of the request that has it.

        ``NotRun`` says that this request was not dispatched and never will be.
        """
        number = next(self._numbers)
        claim = Claim(
            f"claim/{service}/{key}",
            f"{self.membership.identity}/{number}",
            digest,
            None,
        )
        result = await self._insert(claim)
        if isinstance(result, Unavailable) and not is_required:
            CLAIMS.labels(service, "skipped").inc()
            return claim
        CLAIMS.labels(service, type(result).__name__).inc()
        if isinstance(result, Unavailable):
            return NotRun("claims cannot be made now", RETRY_TABLE_DOWN_S)
        return result

    async def _insert(self, claim: Claim) -> Begun | Unavailable:
        change = Change(
            {claim.row_key: ABSENT},
            {claim.row_key: self._value(claim, "started")},
            ttl_s={claim.row_key: CLAIM_TTL_S},
        )
        result = await self.platform.commit(change, WritePriority.CLAIMS)
        if isinstance(result, Applied):
            claim.version = result.versions[claim.row_key]
            return claim
        if isinstance(result, Unavailable):
            return result
        return await self._read_back(claim, result)

    async def _read_back(
        self, claim: Claim, result: Conflict | OutcomeUnknown
    ) -> Begun:
        rows = await self.platform.read([claim.row_key])
        if failed(rows):
            self._record(self._remove(claim))
            return NotRun("the claim cannot be confirmed now", RETRY_TABLE_DOWN_S)
        row = rows.get(claim.row_key)
        if row is not None and row.value["token"] == claim.token:
            claim.version = row.version
            return claim
        if row is not None:
            return self._judge(claim, row)
        if isinstance(result, OutcomeUnknown):
            # The insert may still take effect; nothing is dispatched under it.
            self._record(self._remove(claim))
        return NotRun("the claim was not made", RETRY_IN_PROGRESS_S)

    def _judge(self, claim: Claim, row: Row) -> Begun:
        """Return what a row of another dispatch says about this request."""
        value = row.value
        if value["digest"] != claim.digest:
            return NotRun("the key was used for another request", 1.0, status=422)
        if value["state"] == "done" and value["answer"] is not None:
            return Answer.from_row(value["answer"])
        if value["state"] == "done":
            return OutcomeUnknown("the request ran once; its answer was not kept")
        if value["state"] == "unknown" or self._is_ended(value):
            return OutcomeUnknown("an earlier request with this key may have run")
        return InProgress("a request with this key is in progress", RETRY_IN_PROGRESS_S)

    def _is_ended(self, value: dict[str, Any]) -> bool:
        vm, incarnation = split_identity(self.membership.identity)
        if value["vm"] == vm:
            return value["incarnation"] < incarnation
        return self.membership.is_ended(value["vm"], value["incarnation"])

    async def finish(self, claim: Claim, answer: Answer) -> None:
        """Record the answer, or the unknown outcome, of a dispatched request.

        Return when it is recorded, so that a repeat through another entry VM gets the
        same answer, but after ``RECORDING_WAIT_S`` at the latest; the recording goes
        on in the background.
        """
        if claim.version is None:
            return
        state = "unknown" if answer.outcome else "done"
        kept = None
        if state == "done" and len(answer.body) <= MAX_KEPT_ANSWER_BYTES:
            kept = answer.to_row()
        change = Change(
            {claim.row_key: claim.version},
            {claim.row_key: self._value(claim, state, kept)},
            ttl_s={claim.row_key: CLAIM_TTL_S},
        )
        recording = self._record(self._commit_until_known(change))
        if recording is not None:
            await asyncio.wait((recording,), timeout=RECORDING_WAIT_S)

    def release(self, claim: Claim) -> None:
        """Give up the claim of a request that certainly did not run."""
        if claim.version is not None:
            change = Change({claim.row_key: claim.version}, deletes=[claim.row_key])
            self._record(self._commit_until_known(change))

    def _value(
        self, claim: Claim, state: str, answer: list | None = None
    ) -> dict[str, Any]:
        vm, incarnation = split_identity(self.membership.identity)
        return {
            "vm": vm,
            "incarnation": incarnation,
            "token": claim.token,
            "state": state,
            "digest": claim.digest,
            "answer": answer,
        }

    def _record(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task | None:
        if len(self._recordings) >= MAX_RECORDINGS:
            coroutine.close()
            return None
        task = self.spawn(coroutine, "claim record")
        self._recordings.add(task)
        task.add_done_callback(self._recordings.discard)
        return task

    async def _commit_until_known(self, change: Change) -> None:
        """Repeat a conditional write until the table has taken or refused it."""
        pause_s = FIRST_PAUSE_S
        end = self.clock.monotonic() + LONGEST_RECORDING_S
        while self.clock.monotonic() < end:
            result = await self.platform.commit(change, WritePriority.CLAIMS)
            if isinstance(result, Applied | Conflict):
                return
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)

    async def _remove(self, claim: Claim) -> None:
        """Remove a row that an insert of unknown outcome may have left behind."""
        pause_s = FIRST_PAUSE_S
        end = self.clock.monotonic() + LONGEST_RECORDING_S
        while self.clock.monotonic() < end:
            rows = await self.platform.read([claim.row_key])
            row = None if failed(rows) else rows.get(claim.row_key)
            if row is not None and row.value["token"] == claim.token:
                claim.version = row.version
                change = Change({claim.row_key: row.version}, deletes=[claim.row_key])
                await self._commit_until_known(change)
                return
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)

    async def drain(self) -> None:
        """Wait until the results of finished requests are recorded."""
        if self._recordings:
            left_s = self.kernel.drain_left_s()
            await asyncio.wait(set(self._recordings), timeout=left_s)
