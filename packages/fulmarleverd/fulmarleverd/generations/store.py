"""The rows of the accepted configuration in the platform's table."""

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
from fulmarleverd.generations.accepted import Accepted
from fulmarleverd.generations.drains import DRAIN_PREFIX, drained_workers
from fulmarleverd.generations.packing import pack_text, unpack_text
from fulmarleverd.kernel import Service

HEAD_KEY = "config/head"
KEPT_BODIES = 20
APPLY_MARK_TTL_S = 86400.0
WRITE_TRIES = 4
RETRY_PAUSE_S = 0.1

ApplyResult = Accepted | Conflict | Refused | Unavailable | OutcomeUnknown


def body_key(generation: int) -> str:
    """Return the key of the row with a generation's text."""
    return f"config/body/{generation}"


def mark_key(apply_id: str) -> str:
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
class Polled:
    """The result of one poll: a newer generation, if any, and the drained workers."""

    newer: Accepted | None
    drained: frozenset[str]


class GenerationStore:
    """Reads and compare-and-swap writes of generations.

    ``pause_s`` is the pause before a write of unknown outcome is sent again.
    """

    __slots__ = ("_platform", "_clock", "_pause_s")

    def __init__(
        self, platform: Service, clock: Clock, pause_s: float = RETRY_PAUSE_S
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._pause_s = pause_s

    async def poll(self, known: int) -> Polled | Unavailable:
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
            return Polled(None, drained)
        body = await self._read_body(head, rows)
        return body if failed(body) else Polled(body, drained)

    async def _read_body(
        self, head: Head, rows: Mapping[str, Row]
    ) -> Accepted | Unavailable:
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
        return Accepted(head.generation, head.digest, text, value["submissions"])

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
        rows = await self._platform.read([HEAD_KEY, mark_key(apply_id)])
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
            return _lost_against(in_force)
        submissions = await self._submissions(head, jobs)
        if failed(submissions):
            return submissions
        accepted = Accepted(in_force + 1, digest, text, submissions)
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
        self, accepted: Accepted, head: Head, apply_id: str
    ) -> ApplyResult:
        """Write until the outcome is certain or the tries are used up.

        The same change may be sent again: its condition on the head lets at most one
        of the copies take effect.
        """
        change = _change(accepted, head, apply_id)
        is_unknown = False
        for number in range(WRITE_TRIES):
            await asyncio.sleep(self._pause_s * number)
            result = await self._platform.write(change)
            if isinstance(result, Applied):
                return accepted
            if isinstance(result, Unavailable) and not is_unknown:
                return result
            is_unknown = is_unknown or isinstance(result, OutcomeUnknown)
            settled = await self._read_back(accepted, head, apply_id)
            if settled is not None:
                return settled
        return OutcomeUnknown(
            f"the table does not tell whether {apply_id} took effect; repeat it with "
            "the same apply id to find out"
        )

    async def _read_back(
        self, accepted: Accepted, head: Head, apply_id: str
    ) -> ApplyResult | None:
        """Return the outcome of a write if the rows show it."""
        rows = await self._platform.read([HEAD_KEY, mark_key(apply_id)])
        if failed(rows):
            return None
        earlier = _earlier_result(rows, apply_id, accepted.digest, accepted.text)
        if earlier is not None:
            return earlier
        now = Head.from_rows(rows)
        return _lost_against(now.generation) if now.version != head.version else None


def _change(accepted: Accepted, head: Head, apply_id: str) -> Change:
    generation = accepted.generation
    mark = {
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
            mark_key(apply_id): mark,
        },
        deletes=[body_key(generation - KEPT_BODIES)],
        ttl_s={mark_key(apply_id): APPLY_MARK_TTL_S},
    )


def _earlier_result(
    rows: Mapping[str, Row], apply_id: str, digest: str, text: str
) -> Accepted | Refused | None:
    """Return the result of an earlier apply with the same id."""
    row = rows.get(mark_key(apply_id))
    if row is None:
        return None
    mark = row.value
    if mark["digest"] != digest:
        return Refused(f"apply id {apply_id} was used for another file")
    return Accepted(mark["generation"], digest, text, mark["submissions"])


def _lost_against(generation: int) -> Conflict:
    return Conflict(f"generation {generation} is in force", (HEAD_KEY,))
