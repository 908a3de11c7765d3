"""The rows that the scheduler keeps in the store, and their msgpack forms."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any
from zlib import crc32

import msgpack

from fulmarlever.outcomes import Failure
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.specs import (
    JobSpec,
    QueueSpec,
    WorkerKey,
    pack_fields,
    unpack_step,
)

JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
LEASE_TABLE = "lease"
LEASE_KEY = "scheduler"
SUMMARY_TABLE = "summary"
SUMMARY_KEY = "pending"
OVERLOAD_KEY = "overload"
ADMISSION_KEY = "admission"
INTERFERENCE_KEY = "pressure"
RUN_TIMES_KEY = "run-times"
CANCEL_SUFFIX = "/cancel"
PART_INFIX = "/part-"
# The store applies the transactions of one partition one at a time. Jobs are spread
# over many partitions, so that while the store is slow, submissions wait neither for
# each other nor for the owner's commits.
JOB_PARTITIONS = tuple(f"jobs-{number:02d}" for number in range(16))
SINGLE_PARTITION = ("",)

FORMAT_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    msgpack.UnpackException,
    zlib.error,
)
# Smaller values are not compressed.
MIN_COMPRESSED_BYTES = 256
COMPRESSION_LEVEL = 1
# The first byte of a zlib stream. In msgpack it would stand for a bare number.
ZLIB_MARK = b"\x78"


class BadRow(Failure):
    """A row of the scheduler's tables cannot be decoded."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class JobRow:
    """An accepted job with its queue as configured at its acceptance.

    ``accepted_s`` is the Unix time of the acceptance in seconds.
    """

    spec: JobSpec
    queue: QueueSpec
    accepted_s: float


@dataclass(slots=True, frozen=True)
class LeaseRow:
    """The holder of the scheduler's lease; an empty ``vm`` means that it is released.

    ``token`` is the holder's fencing token. ``sequence`` makes the value of each commit
    unique. ``unresponsive`` lists workers that do not answer the holder and get no
    lease from it.
    """

    vm: str
    incarnation: str
    token: int
    sequence: int
    unresponsive: tuple[UnresponsiveWorker, ...] = ()


@dataclass(slots=True, frozen=True)
class UnresponsiveWorker:
    """A worker that does not answer.

    ``lease_left_s`` is the time in seconds for which the lease of its running tasks may
    still last.
    """

    key: WorkerKey
    lease_left_s: float


def pack(value: Any) -> bytes:
    """Encode plain data to msgpack."""
    return msgpack.packb(value)


def pack_large(value: list) -> bytes:
    """Encode plain data in msgpack, compressed if that is worthwhile."""
    data = pack(value)
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return zlib.compress(data, COMPRESSION_LEVEL)


def unpack(data: bytes) -> Any:
    """Decode plain data from msgpack; raise one of ``FORMAT_ERRORS`` if malformed."""
    if data[:1] == ZLIB_MARK:
        data = zlib.decompress(data)
    return msgpack.unpackb(data, strict_map_key=False)


def pack_job(row: JobRow) -> bytes:
    """Encode a job to the value of its row."""
    spec = row.spec
    timing = (spec.repetitions, spec.start_at_s, spec.interval_s)
    steps = [pack_fields(step) for step in spec.steps]
    queue = pack_fields(row.queue)
    return pack_large([queue, row.accepted_s, spec.payload, steps, timing])


def unpack_job(stored: StoredRow) -> JobRow | BadRow:
    """Decode a job from its row."""
    try:
        queue, accepted_s, payload, steps, timing = unpack(stored.value)
        unpacked = tuple(unpack_step(step) for step in steps)
        spec = JobSpec(stored.key, payload, unpacked, *timing)
        return JobRow(spec, QueueSpec(**queue), accepted_s)
    except FORMAT_ERRORS as exc:
        return BadRow(f"job row {stored.key!r}: {type(exc).__name__}: {exc}")


def unpack_queue_name(stored: StoredRow) -> str | BadRow:
    """Decode only the name of a job's queue from the job's row."""
    try:
        return str(unpack(stored.value)[0]["name"])
    except FORMAT_ERRORS as exc:
        return BadRow(f"job row {stored.key!r}: {type(exc).__name__}: {exc}")


def unpack_interference(stored: StoredRow) -> dict[str, dict[str, float]] | BadRow:
    """Decode the learned interference coefficients, by serving image, then by image.

    A coefficient is the headroom that best-effort tasks of an image take from the
    serving image.
    """
    try:
        data = unpack(stored.value)
        return {
            serving: {image: float(value) for image, value in coefficients.items()}
            for serving, coefficients in data.items()
        }
    except FORMAT_ERRORS as exc:
        return BadRow(f"learned interference: {type(exc).__name__}: {exc}")


def pack_run_times(data: list, max_bytes: int) -> bytes:
    """Encode learned run times, without the last entries if they exceed a size."""
    version, entries = data
    packed = pack_large(data)
    while len(packed) > max_bytes and entries:
        entries = entries[: len(entries) * 3 // 4]
        packed = pack_large([version, entries])
    return packed


def unpack_run_times(stored: StoredRow) -> list | BadRow:
    """Decode learned run times, whose entries ``RunTimes`` checks."""
    try:
        return list(unpack(stored.value))
    except FORMAT_ERRORS as exc:
        return BadRow(f"learned run times: {type(exc).__name__}: {exc}")


def pack_lease(row: LeaseRow) -> bytes:
    """Encode the lease to the value of its row."""
    unresponsive = [
        (w.key.id, w.key.incarnation, w.lease_left_s) for w in row.unresponsive
    ]
    return pack([row.vm, row.incarnation, row.token, row.sequence, unresponsive])


def unpack_lease(stored: StoredRow) -> LeaseRow | BadRow:
    """Decode the lease from its row; older rows list no unresponsive workers."""
    try:
        vm, incarnation, token, sequence, *rest = unpack(stored.value)
        listed = rest[0] if rest else ()
        unresponsive = tuple(
            UnresponsiveWorker(WorkerKey(*key), left_s) for *key, left_s in listed
        )
        return LeaseRow(vm, incarnation, int(token), int(sequence), unresponsive)
    except FORMAT_ERRORS as exc:
        return BadRow(f"lease row: {type(exc).__name__}: {exc}")


def job_row(job_id: str, value: bytes = b"") -> StoredRow:
    """Return the row of an accepted job."""
    return StoredRow(JOBS_TABLE, job_id, value, partition=job_partition(job_id))


def cancel_row(job_id: str) -> StoredRow:
    """Return the row that requests the cancellation of a job."""
    key = job_id + CANCEL_SUFFIX
    return StoredRow(JOBS_TABLE, key, b"\x01", partition=job_partition(job_id))


def job_partition(job_id: str) -> str:
    """Return the partition of a job's rows in the table of jobs."""
    return JOB_PARTITIONS[crc32(job_id.encode()) % len(JOB_PARTITIONS)]


def table_partitions(table: str) -> tuple[str, ...]:
    """Return the partitions of a table."""
    return JOB_PARTITIONS if table == JOBS_TABLE else SINGLE_PARTITION


def progress_row(job_id: str, value: bytes = b"") -> StoredRow:
    """Return the row of a job's state and progress."""
    return StoredRow(PROGRESS_TABLE, job_id, value)


def progress_part_row(job_id: str, number: int, value: bytes = b"") -> StoredRow:
    """Return a row with a part of a job's progress that one row cannot hold.

    The parts are numbered from 0.
    """
    return StoredRow(PROGRESS_TABLE, f"{job_id}{PART_INFIX}{number}", value)


def lease_row(value: bytes = b"", version: int = 0) -> StoredRow:
    """Return the row of the scheduler's lease."""
    return StoredRow(LEASE_TABLE, LEASE_KEY, value, version)
