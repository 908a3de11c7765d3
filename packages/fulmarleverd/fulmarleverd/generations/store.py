"""The rows of the accepted configuration in the platform's table."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from fulmarlever.clock import Clock
from fulmarlever.config.reader import digest_of
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
    """Return the key of the row with a generation's text."""
    return f"config/body/{generation}"


def apply_key(apply_id: str) -> str:
    """Return the key of the row that shows that an apply took effect."""
    return f"config/apply/{apply_id}"


@dataclass(slots=True, frozen=True)
class Head:
    """The row that names the generation in force."""

    generation: int = 0
    digest: str = ""
    version: int = ABSENT

    @classmethod
    def from_rows(cls, rows: Mapping[str, Row]) -> Head:
        """Return the head among rows, or that of the empty configuration."""
        row = rows.get(HEAD_KEY)
        if row is None:
            return cls()
        return cls(row.value["generation"], row.value["digest"], row.version)


@dataclass(slots=True, frozen=True)
class PollResult:
    """The result of one poll: a newer generation, if any, and the drained workers."""

    newer: AcceptedGeneration | None
    drained: frozenset[str]


class GenerationStore:
    """Reads and compare-and-swap writes of generations.

    ``retry_delay_s`` is the pause before a write of unknown outcome is sent again.
    """

    __slots__ = ("_platform", "_clock", "_retry_delay_s")

    def __init__(
        self, platform: Service, clock: Clock, retry_delay_s: float = RETRY_DELAY_S
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._retry_delay_s = retry_delay_s

    async def poll(self, known: int) -> PollResult | Unavailable:
        """Return the drained workers, and the generation in force if it is newer.

        The next body is asked for together with the head, which makes one read of
        the usual case.
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
            return Unavailable(f"the text of generation {head.generation} is damaged")
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
        """Make a checked text the next generation.

        ``jobs`` names the jobs of the text, ``expected`` is the generation that the
        operator saw, and ``known`` the highest one that this daemon saw.
        """
        rows = await self._platform.read([HEAD_KEY, apply_key(apply_id)])
        if failed(rows):
            return rows
        head = Head.from_rows(rows)
        digest = digest_of(text)
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
        """Return the submission time of each job; earlier jobs keep theirs."""
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
        """Write until the outcome is certain or the tries are used up.

        The same change may be sent again: its condition on the head lets at most one
        of the copies take effect.
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
            f"the table does not tell whether {apply_id} took effect; repeat it with "
            "the same apply id to find out"
        )

    async def _read_back(
        self, accepted: AcceptedGeneration, head: Head, apply_id: str
    ) -> ApplyResult | None:
        """Return the outcome of a write if the rows show it."""
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
        return Refused(f"apply id {apply_id} was used for another file")
    return AcceptedGeneration(record["generation"], digest, text, record["submissions"])


def _generation_conflict(generation: int) -> Conflict:
    return Conflict(f"generation {generation} is in force", (HEAD_KEY,))
