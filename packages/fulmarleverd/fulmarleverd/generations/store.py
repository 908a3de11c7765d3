"""Storage of the accepted configuration in rows of the platform's table."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from fulmarlever.clock import Clock
from fulmarlever.config.reader import configuration_digest
from fulmarlever.outcomes import (
    Conflict,
    OutcomeUnknown,
    Refused,
    Unavailable,
    failed,
)
from fulmarlever.structure.table import ABSENT, Applied, Change, Row
from fulmarleverd.generations.accepted import AcceptedGeneration
from fulmarleverd.generations.drains import DRAIN_PREFIX, drained_workers
from fulmarleverd.generations.packing import pack_text, unpack_text
from fulmarleverd.kernel import Service

HEAD_KEY = "config/head"
MAX_STORED_BODIES = 20
APPLY_RECORD_TTL_S = 86400.0
MAX_WRITE_ATTEMPTS = 4
RETRY_DELAY_S = 0.1

ApplyResult = AcceptedGeneration | Conflict | Refused | Unavailable | OutcomeUnknown


def body_key(generation: int) -> str:
    """Return the key of the row that holds a generation's text."""
    return f"config/body/{generation}"


def apply_key(apply_id: str) -> str:
    """Return the key of the row that records the result of an apply."""
    return f"config/apply/{apply_id}"


@dataclass(slots=True, frozen=True)
class Head:
    """The row with the number and the digest of the generation in force.

    ``version`` is the version of the row in the table.
    """

    generation: int = 0
    digest: str = ""
    version: int = ABSENT

    @classmethod
    def from_rows(cls, rows: Mapping[str, Row]) -> Head:
        """Return the head from rows by key, or generation 0 when there is none."""
        row = rows.get(HEAD_KEY)
        if row is None:
            return cls()
        return cls(row.value["generation"], row.value["digest"], row.version)


@dataclass(slots=True, frozen=True)
class PollResult:
    """The result of a poll: the drained workers and a newer generation, if any."""

    newer: AcceptedGeneration | None
    drained: frozenset[str]


class GenerationStore:
    """Reads generations from the table and writes them with compare-and-swap.

    A write of unknown outcome is sent again after ``retry_delay_s``, which grows
    linearly with the number of attempts.
    """

    __slots__ = ("_platform", "_clock", "_retry_delay_s")

    def __init__(
        self, platform: Service, clock: Clock, retry_delay_s: float = RETRY_DELAY_S
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._retry_delay_s = retry_delay_s

    async def poll(self, known: int) -> PollResult | Unavailable:
        """Read the drained workers and a generation newer than ``known``, if any.

        The text of the next generation is read together with the head, so one read
        is enough in the usual case.
        """
        keys = [HEAD_KEY, body_key(known + 1)]
        rows = await self._platform.read(keys, [DRAIN_PREFIX])
        if failed(rows):
            return rows
        drained = drained_workers(rows)
        head = Head.from_rows(rows)
        if head.generation <= known:
            return PollResult(None, drained)
        body = await self._read_body(head, rows)
        return body if failed(body) else PollResult(body, drained)

    async def _read_body(
        self, head: Head, rows: Mapping[str, Row]
    ) -> AcceptedGeneration | Unavailable:
        key = body_key(head.generation)
        if key not in rows:
            rows = await self._platform.read([key])
        if failed(rows):
            return rows
        if key not in rows:
            return Unavailable(f"the text of generation {head.generation} is missing")
        value = rows[key].value
        text = unpack_text(value["packed"])
        if text is None:
            return Unavailable(f"the text of generation {head.generation} is corrupt")
        return AcceptedGeneration(
            head.generation, head.digest, text, value["submissions"]
        )

    async def apply(
        self,
        text: str,
        jobs: list[str],
        expected: int | None,
        apply_id: str,
        known: int,
    ) -> ApplyResult:
        """Store a valid text as the next generation and return that generation.

        ``jobs`` are the names of the jobs in the text. ``expected`` is the generation
        that the operator's change is based on, or ``None`` for any, and ``known`` the
        highest one that this daemon has seen. An apply with the id of an earlier one
        returns the earlier result. Return ``Conflict`` when another generation than
        ``expected`` is in force, ``Refused`` when the id belongs to another text,
        ``Unavailable`` when nothing was stored and ``OutcomeUnknown`` otherwise.
        """
        rows = await self._platform.read([HEAD_KEY, apply_key(apply_id)])
        if failed(rows):
            return rows
        head = Head.from_rows(rows)
        digest = configuration_digest(text)
        earlier = _earlier_result(rows, apply_id, digest, text)
        if earlier is not None:
            return earlier
        if digest == head.digest and head.generation >= known:
            return await self._read_body(head, rows)
        in_force = max(head.generation, known)
        if expected is not None and expected != in_force:
            return _generation_conflict(in_force)
        submissions = await self._submissions(head, jobs)
        if failed(submissions):
            return submissions
        accepted = AcceptedGeneration(in_force + 1, digest, text, submissions)
        return await self._write(accepted, head, apply_id)

    async def _submissions(
        self, head: Head, jobs: list[str]
    ) -> dict[str, float] | Unavailable:
        """Return the submission times by job; jobs of the current text keep theirs."""
        earlier: dict[str, float] = {}
        if head.generation and jobs:
            body = await self._read_body(head, {})
            if failed(body):
                return body
            earlier = body.submissions
        now = self._clock.wall()
        return {job: earlier.get(job, now) for job in jobs}

    async def _write(
        self, accepted: AcceptedGeneration, head: Head, apply_id: str
    ) -> ApplyResult:
        """Write until the outcome is known or the attempts are used up.

        Sending the same change again is safe: it is conditional on the version of the
        head, so it takes effect at most once.
        """
        change = _change(accepted, head, apply_id)
        is_outcome_unknown = False
        for attempt in range(MAX_WRITE_ATTEMPTS):
            await asyncio.sleep(self._retry_delay_s * attempt)
            result = await self._platform.write(change)
            if isinstance(result, Applied):
                return accepted
            if isinstance(result, Unavailable) and not is_outcome_unknown:
                return result
            is_outcome_unknown = is_outcome_unknown or isinstance(
                result, OutcomeUnknown
            )
            outcome = await self._read_back(accepted, head, apply_id)
            if outcome is not None:
                return outcome
        return OutcomeUnknown(
            f"the outcome of {apply_id} cannot be read from the table; repeat it with "
            "the same apply id to find out"
        )

    async def _read_back(
        self, accepted: AcceptedGeneration, head: Head, apply_id: str
    ) -> ApplyResult | None:
        """Return the outcome of a write, or ``None`` while the rows do not show it."""
        rows = await self._platform.read([HEAD_KEY, apply_key(apply_id)])
        if failed(rows):
            return None
        earlier = _earlier_result(rows, apply_id, accepted.digest, accepted.text)
        if earlier is not None:
            return earlier
        current = Head.from_rows(rows)
        return (
            _generation_conflict(current.generation)
            if current.version != head.version
            else None
        )


def _change(accepted: AcceptedGeneration, head: Head, apply_id: str) -> Change:
    generation = accepted.generation
    record = {
        "generation": generation,
        "digest": accepted.digest,
        "submissions": accepted.submissions,
    }
    return Change(
        conditions={HEAD_KEY: head.version},
        writes={
            HEAD_KEY: {
                "generation": generation,
                "digest": accepted.digest,
                "apply_id": apply_id,
            },
            body_key(generation): {
                "packed": pack_text(accepted.text),
                "submissions": accepted.submissions,
            },
            apply_key(apply_id): record,
        },
        deletes=[body_key(generation - MAX_STORED_BODIES)],
        ttl_s={apply_key(apply_id): APPLY_RECORD_TTL_S},
    )


def _earlier_result(
    rows: Mapping[str, Row], apply_id: str, digest: str, text: str
) -> AcceptedGeneration | Refused | None:
    """Return the result of an earlier apply with the same id."""
    row = rows.get(apply_key(apply_id))
    if row is None:
        return None
    record = row.value
    if record["digest"] != digest:
        return Refused(f"apply id {apply_id} was already used for another file")
    return AcceptedGeneration(record["generation"], digest, text, record["submissions"])


def _generation_conflict(generation: int) -> Conflict:
    return Conflict(f"generation {generation} is in force", (HEAD_KEY,))
