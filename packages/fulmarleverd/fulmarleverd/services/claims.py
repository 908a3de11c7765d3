"""The service ``claims``: each idempotency key of a non-idempotent request runs once.

A claim is a row in the platform's table, inserted before the request is dispatched. A
daemon that finds an existing row does not dispatch the request and answers from the
row instead.
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
MAX_STORED_ANSWER_BYTES = 16384
RETRY_AFTER_IN_PROGRESS_S = 1.0
MAX_RECORDING_WAIT_S = 0.1
RETRY_AFTER_TABLE_DOWN_S = 5.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_RECORDING_S = 120.0
MAX_RECORDINGS = 1000


@dataclass(slots=True)
class Claim:
    """The right to dispatch the request of one key.

    ``version`` is the version of the row. It is ``None`` when the request runs without
    a row because the table is unavailable and its service allows that.
    """

    row_key: str
    token: str
    digest: str
    version: int | None


ClaimResult = Claim | Answer | InProgress | NotRun | OutcomeUnknown
"""A claim, or what is known about the earlier request with the key."""


@SERVICES.register("claims")
class Claims(Service):
    """Claims idempotency keys and records the answers of their requests."""

    name = "claims"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._claim_numbers = itertools.count(1)
        self._recordings: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Find the services that claims depend on."""
        self.platform = self.kernel.find("platform")
        self.membership = self.kernel.find("membership")

    async def begin(
        self, service: str, key: str, digest: str, is_required: bool = True
    ) -> ClaimResult:
        """Claim a key, or return what is known about the earlier request with it.

        ``digest`` identifies the content of the request. With ``is_required`` false,
        the claim succeeds without a row while the table is unavailable. ``NotRun``
        means that this request was not and will not be dispatched.
        """
        number = next(self._claim_numbers)
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
            return NotRun(
                "idempotency keys cannot be claimed now", RETRY_AFTER_TABLE_DOWN_S
            )
        return result

    async def _insert(self, claim: Claim) -> ClaimResult | Unavailable:
        change = Change(
            {claim.row_key: ABSENT},
            {claim.row_key: self._row_value(claim, "started")},
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
    ) -> ClaimResult:
        rows = await self.platform.read([claim.row_key])
        if failed(rows):
            self._start_recording(self._remove_unconfirmed(claim))
            return NotRun(
                "the claim of the idempotency key cannot be confirmed now",
                RETRY_AFTER_TABLE_DOWN_S,
            )
        row = rows.get(claim.row_key)
        if row is not None and row.value["token"] == claim.token:
            claim.version = row.version
            return claim
        if row is not None:
            return self._result_from_row(claim, row)
        if isinstance(result, OutcomeUnknown):
            # The insert may still take effect, but the request is not dispatched.
            self._start_recording(self._remove_unconfirmed(claim))
        return NotRun("the idempotency key was not claimed", RETRY_AFTER_IN_PROGRESS_S)

    def _result_from_row(self, claim: Claim, row: Row) -> ClaimResult:
        """Return the result for a request whose key another request has claimed."""
        value = row.value
        if value["digest"] != claim.digest:
            return NotRun(
                "the idempotency key was used for another request", 1.0, status=422
            )
        if value["state"] == "done" and value["answer"] is not None:
            return Answer.from_row(value["answer"])
        if value["state"] == "done":
            return OutcomeUnknown("the request ran, but its answer was not stored")
        if value["state"] == "unknown" or self._is_ended(value):
            return OutcomeUnknown("an earlier request with this key may have run")
        return InProgress(
            "a request with this key is in progress", RETRY_AFTER_IN_PROGRESS_S
        )

    def _is_ended(self, value: dict[str, Any]) -> bool:
        vm, incarnation = split_identity(self.membership.identity)
        if value["vm"] == vm:
            return value["incarnation"] < incarnation
        return self.membership.is_ended(value["vm"], value["incarnation"])

    async def finish(self, claim: Claim, answer: Answer) -> None:
        """Record the answer, or the unknown outcome, of a dispatched request.

        Return when it is recorded, so that a repeat through another entry VM gets the
        same answer, or after ``MAX_RECORDING_WAIT_S``; the recording then continues in
        the background. Bodies above ``MAX_STORED_ANSWER_BYTES`` are not stored.
        """
        if claim.version is None:
            return
        state = "unknown" if answer.outcome else "done"
        stored = None
        if state == "done" and len(answer.body) <= MAX_STORED_ANSWER_BYTES:
            stored = answer.to_row()
        change = Change(
            {claim.row_key: claim.version},
            {claim.row_key: self._row_value(claim, state, stored)},
            ttl_s={claim.row_key: CLAIM_TTL_S},
        )
        recording = self._start_recording(self._commit_until_known(change))
        if recording is not None:
            await asyncio.wait((recording,), timeout=MAX_RECORDING_WAIT_S)

    def release(self, claim: Claim) -> None:
        """Delete the claim of a request that certainly did not run."""
        if claim.version is not None:
            change = Change({claim.row_key: claim.version}, deletes=[claim.row_key])
            self._start_recording(self._commit_until_known(change))

    def _row_value(
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

    def _start_recording(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task | None:
        if len(self._recordings) >= MAX_RECORDINGS:
            coroutine.close()
            return None
        task = self.spawn(coroutine, "claim record")
        self._recordings.add(task)
        task.add_done_callback(self._recordings.discard)
        return task

    async def _commit_until_known(self, change: Change) -> None:
        """Retry a conditional write until the table has applied or rejected it.

        Stop after ``MAX_RECORDING_S``.
        """
        backoff_s = INITIAL_BACKOFF_S
        end = self.clock.monotonic() + MAX_RECORDING_S
        while self.clock.monotonic() < end:
            result = await self.platform.commit(change, WritePriority.CLAIMS)
            if isinstance(result, Applied | Conflict):
                return
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _remove_unconfirmed(self, claim: Claim) -> None:
        """Remove the row that an insert of unknown outcome may have created.

        Look for the row until it is found, for at most ``MAX_RECORDING_S``.
        """
        backoff_s = INITIAL_BACKOFF_S
        end = self.clock.monotonic() + MAX_RECORDING_S
        while self.clock.monotonic() < end:
            rows = await self.platform.read([claim.row_key])
            row = None if failed(rows) else rows.get(claim.row_key)
            if row is not None and row.value["token"] == claim.token:
                claim.version = row.version
                change = Change({claim.row_key: row.version}, deletes=[claim.row_key])
                await self._commit_until_known(change)
                return
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def drain(self) -> None:
        """Wait until the results of finished requests are recorded."""
        if self._recordings:
            left_s = self.kernel.drain_left_s()
            await asyncio.wait(set(self._recordings), timeout=left_s)
