"""The rows that the scheduler keeps in the store, and their msgpack forms."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from zlib import crc32

import msgpack

from fulmarlever.outcomes import Failure
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.runs import WorkerKey
from fulmarleverd.scheduling.specs import (
    JobSpec,
    QueueSpec,
    pack_fields,
    unpack_step,
)

JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
LEASE_TABLE = "lease"
LEASE_KEY = "scheduler"
SUMMARY_TABLE = "summary"
SUMMARY_KEY = "pending"
PRESSURE_KEY = "pressure"
CANCEL_SUFFIX = "/cancel"
# A part takes one transaction after the other. So jobs are handed in on many parts, and
# neither wait for each other nor for the owner's commits while the store is slow.
JOB_PARTS = tuple(f"jobs-{number:02d}" for number in range(16))
ONLY_PART = ("",)

FORMAT_ERRORS = (ValueError, TypeError, KeyError, msgpack.UnpackException)


class BadRow(Failure):
    """A row of the scheduler's tables could not be decoded."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class JobRow:
    """An accepted job with its queue as it was at that time."""

    spec: JobSpec
    queue: QueueSpec
    accepted_s: float


@dataclass(slots=True, frozen=True)
class LeaseRow:
    """The holder of the scheduler's lease.

    ``sequence`` makes each commit of the holder distinct from all others. ``silent``
    names workers that do not answer the holder and get no lease from it.
    """

    vm: str
    incarnation: str
    token: int
    sequence: int
    silent: tuple[SilentWorker, ...] = ()


@dataclass(slots=True, frozen=True)
class SilentWorker:
    """A worker without an answer, and for how long its leases may still last."""

    key: WorkerKey
    lease_left_s: float


def pack(value: Any) -> bytes:
    """Return the stored form of plain data."""
    return msgpack.packb(value)


def unpack(data: bytes) -> Any:
    """Return plain data from its stored form."""
    return msgpack.unpackb(data, strict_map_key=False)


def pack_job(row: JobRow) -> bytes:
    """Return the value of a job's row."""
    spec = row.spec
    timing = (spec.repetitions, spec.start_at_s, spec.interval_s)
    steps = [pack_fields(step) for step in spec.steps]
    queue = pack_fields(row.queue)
    return pack([queue, row.accepted_s, spec.payload, steps, timing])


def unpack_job(stored: StoredRow) -> JobRow | BadRow:
    """Return a job from its row."""
    try:
        queue, accepted_s, payload, steps, timing = unpack(stored.value)
        unpacked = tuple(unpack_step(step) for step in steps)
        spec = JobSpec(stored.key, payload, unpacked, *timing)
        return JobRow(spec, QueueSpec(**queue), accepted_s)
    except FORMAT_ERRORS as exc:
        return BadRow(f"job row {stored.key!r}: {type(exc).__name__}: {exc}")


def unpack_learned(stored: StoredRow) -> dict[str, dict[str, float]] | BadRow:
    """Return the learned interference: coefficients by serving and other image."""
    try:
        data = unpack(stored.value)
        return {
            serving: {image: float(value) for image, value in coefficients.items()}
            for serving, coefficients in data.items()
        }
    except (*FORMAT_ERRORS, AttributeError) as exc:
        return BadRow(f"learned interference: {type(exc).__name__}: {exc}")


def pack_lease(row: LeaseRow) -> bytes:
    """Return the value of the lease's row."""
    silent = [(w.key.id, w.key.incarnation, w.lease_left_s) for w in row.silent]
    return pack([row.vm, row.incarnation, row.token, row.sequence, silent])


def unpack_lease(stored: StoredRow) -> LeaseRow | BadRow:
    """Return the lease from its row."""
    try:
        vm, incarnation, token, sequence, *rest = unpack(stored.value)
        named = rest[0] if rest else ()
        silent = tuple(SilentWorker(WorkerKey(*key), left_s) for *key, left_s in named)
        return LeaseRow(vm, incarnation, int(token), int(sequence), silent)
    except FORMAT_ERRORS as exc:
        return BadRow(f"lease row: {type(exc).__name__}: {exc}")


def job_row(job_id: str, value: bytes = b"") -> StoredRow:
    """Return the row of an accepted job."""
    return StoredRow(JOBS_TABLE, job_id, value, part=job_part(job_id))


def cancel_row(job_id: str) -> StoredRow:
    """Return the row that asks for the cancellation of a job."""
    key = job_id + CANCEL_SUFFIX
    return StoredRow(JOBS_TABLE, key, b"\x01", part=job_part(job_id))


def job_part(job_id: str) -> str:
    """Return the part of a job's own rows."""
    return JOB_PARTS[crc32(job_id.encode()) % len(JOB_PARTS)]


def table_parts(table: str) -> tuple[str, ...]:
    """Return the parts of a table."""
    return JOB_PARTS if table == JOBS_TABLE else ONLY_PART


def progress_row(job_id: str, value: bytes = b"") -> StoredRow:
    """Return the row with a job's state and progress."""
    return StoredRow(PROGRESS_TABLE, job_id, value)


def lease_row(value: bytes = b"", version: int = 0) -> StoredRow:
    """Return the row of the scheduler's lease."""
    return StoredRow(LEASE_TABLE, LEASE_KEY, value, version)
