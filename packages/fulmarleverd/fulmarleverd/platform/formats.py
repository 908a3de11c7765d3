"""Decoders of the operator's configuration, workers' entries and callers' jobs."""

from __future__ import annotations

import re
from typing import Any

from fulmarlever.outcomes import Failure, Refused
from fulmarleverd.platform.json_values import (
    FORMAT_ERRORS,
    decode_json,
    require_address,
    require_count,
    require_key,
    require_number,
    require_text,
    require_type,
)
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.specs import (
    JobSpec,
    QueueSpec,
    SchedulingConfig,
    ServiceSpec,
    StepSpec,
    WorkerEntry,
)

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
WORKERS_TABLE = "servers"
WORKER_STATES = ("ready", "draining")
MAX_PAYLOAD_BYTES = 4000
MAX_TASKS = 20_000
JOB_ID_PATTERN = re.compile("[0-9a-fA-F]{16}")


class Undecodable(Failure):
    """A row does not have the expected format."""

    __slots__ = ()


def parse_config(row: StoredRow) -> SchedulingConfig | Undecodable:
    """Decode the operator's configuration."""
    try:
        data = decode_json(row.value)
        return SchedulingConfig(
            int(data["version"]),
            tuple(_parse_queue(route) for route in data["routes"]),
            tuple(_parse_service(service) for service in data["services"]),
            **_parse_limits(data.get("limits")),
        )
    except FORMAT_ERRORS as exc:
        return Undecodable(f"configuration: {exc!r}")


def _parse_limits(limits: Any) -> dict[str, Any]:
    """Decode the limits of requests; invalid ones are left out."""
    if not isinstance(limits, dict):
        return {}
    decoded = {
        "max_body_bytes": _positive(limits.get("maxBodyBytes"), int),
        "max_head_bytes": _positive(limits.get("maxHeaderBytes"), int),
        "head_s": _positive(limits.get("headerTimeoutMs"), float) / 1000.0,
        "idle_s": _positive(limits.get("idleTimeoutMs"), float) / 1000.0,
    }
    return {name: value for name, value in decoded.items() if value}


def _positive(value: Any, kind: type) -> Any:
    """Return a number that is over 0, and 0 for any other value."""
    try:
        return kind(max(0, require_number(value)))
    except FORMAT_ERRORS:
        return 0


def _parse_queue(route: dict) -> QueueSpec:
    return QueueSpec(
        name=require_text(route["name"]),
        host=require_text(route["host"]),
        path_prefix=require_text(route["pathPrefix"]),
        service=require_text(route["service"]),
        priority=int(route.get("priority", 0)),
        max_attempts=int(route.get("maxAttempts", 1)),
        stretch=float(route.get("stretch", 1.0)),
        target_latency_s=route.get("targetLatencyMs", 0) / 1000.0,
        timeout_s=route.get("timeoutMs", 3000) / 1000.0,
        **_parse_admission(route.get("advice")),
    )


def _parse_admission(advice: dict | None) -> dict[str, Any]:
    """Decode the options of the admission service for a queue, if it has any."""
    if not advice:
        return {}
    return {
        "needs_ticket": True,
        # The fixed duration of a call and the additional time for each worker in it.
        "decision_s": advice.get("decideMs", 0) / 1000.0,
        "decision_per_worker_s": advice.get("periodMs", 0) / 1000.0,
        "ticket_validity_s": advice.get("validityMs", 0) / 1000.0,
    }


def _parse_service(service: dict) -> ServiceSpec:
    # Whether the workers themselves reject tasks beyond their capacity.
    checks_capacity = bool(service.get("admissionCheck", False))
    health_path = require_text(service.get("healthPath", ""))
    return ServiceSpec(require_text(service["name"]), checks_capacity, health_path)


def parse_evacuated_zone(key: str) -> str | None | Undecodable:
    """Return the zone that a row of the operator's table evacuates.

    Return ``None`` if the row is about something else. The value of the row does not
    matter.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    zone = key.removeprefix(EVACUATION_PREFIX)
    if not zone or not zone.isprintable():
        return Undecodable(f"evacuation {key!r} names no zone")
    return zone


def parse_worker(row: StoredRow) -> WorkerEntry | Undecodable:
    """Decode a worker's entry; a malformed one is ``Undecodable``."""
    try:
        return _parse_worker_fields(row.key, decode_json(row.value))
    except FORMAT_ERRORS as exc:
        return Undecodable(f"worker entry {row.key}: {exc!r}")


def _parse_worker_fields(key: str, data: dict) -> WorkerEntry:
    state = data["state"]
    if state not in WORKER_STATES:
        raise ValueError(f"unknown state {state!r}")
    # A worker's own entry has these fields, too; one without them is of another writer.
    require_text(data["version"])
    require_count(data["slots"])
    require_count(data["sequence"])
    capacity = data["capacity"]
    return WorkerEntry(
        id=require_key(key),
        # The Unix time at which this incarnation of the worker started identifies it.
        incarnation=str(require_count(data["born"])),
        service=require_text(data["service"]),
        address=require_address(data["address"]),
        zone=require_text(data["zone"]),
        cpu_m=require_count(capacity["cpu"]),
        memory_mb=require_count(capacity["memMb"]),
        gpus=require_count(capacity["gpus"]),
        labels=tuple(
            require_text(label) for label in require_type(data["labels"], list)
        ),
        machine=require_text(data.get("machine", "")),
        is_draining=state == "draining",
        remaining_s=require_number(data.get("remainingMs", 0)) / 1000.0,
        cold_left_s=require_number(data["coldLeftMs"]) / 1000.0,
    )


def is_job_id(text: str) -> bool:
    """Return whether a text can be the id of a job: 16 hexadecimal digits."""
    return JOB_ID_PATTERN.fullmatch(text) is not None


def parse_job(job_id: str, raw: bytes) -> JobSpec | Refused:
    """Decode the body of a caller's submission.

    A malformed job or id, one with more than ``MAX_PAYLOAD_BYTES`` of specification and
    one with more than ``MAX_TASKS`` tasks or steps is ``Refused``.
    """
    if not is_job_id(job_id):
        return Refused(f"{job_id[:80]!r} is not an id of 16 hexadecimal digits")
    try:
        data = decode_json(raw)
        # Steps without tasks are counted before they are decoded, which takes most of
        # the time: the largest body has room for 87,000 of them.
        if len(data["phases"]) > MAX_TASKS:
            return Refused(f"the job has over {MAX_TASKS} steps")
        job = _parse_job_fields(job_id, data)
    except FORMAT_ERRORS as exc:
        return Refused(f"the job is malformed: {exc!r}")
    if len(job.payload.encode()) > MAX_PAYLOAD_BYTES:
        return Refused(f"the specification is over {MAX_PAYLOAD_BYTES} bytes")
    if sum(step.count for step in job.steps) > MAX_TASKS:
        return Refused(f"the job has over {MAX_TASKS} tasks")
    return job


def _parse_job_fields(job_id: str, data: dict) -> JobSpec:
    return JobSpec(
        job_id,
        require_text(data.get("spec", "")),
        tuple(_parse_step(step) for step in data["phases"]),
        require_count(data.get("repetitions", 0)),
        require_number(data.get("startAtMs", 0)) / 1000.0,
        require_number(data.get("intervalMs", 0)) / 1000.0,
    )


def _parse_step(step: dict) -> StepSpec:
    may_miss = step.get("mayMiss")
    return StepSpec(
        count=require_count(step.get("count", 0)),
        cpu_m=require_count(step.get("cpu", 0)),
        memory_mb=require_count(step.get("memMb", 0)),
        gpus=require_count(step.get("gpus", 0)),
        estimate_s=require_number(step.get("estimateMs", 0)) / 1000.0,
        after=tuple(require_type(number, int) for number in step.get("after", ())),
        checkpoints=bool(step.get("checkpointing")),
        is_gang=bool(step.get("gang")),
        is_rack_bound=bool(step.get("sameRack")),
        required_label=require_text(step.get("constraints", "")),
        # The rack that holds the step's data.
        preferred_rack=require_text(step.get("affinity", "")),
        # The maximum number of tasks of the step on one worker.
        max_per_worker=require_count(step.get("antiAffinity", 0)),
        is_speculative=bool(step.get("speculative")),
        is_long_running=bool(step.get("longRunning")),
        image=require_text(step.get("image", "")),
        latency_target_s=require_number(step.get("targetMs", 0)) / 1000.0,
        # The step's cores do not count against a worker's capacity.
        is_best_effort=bool(step.get("fills")),
        max_unavailable=None if may_miss is None else require_count(may_miss),
    )
