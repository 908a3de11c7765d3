"""The operator's configuration, workers' entries and callers' jobs, decoded."""

from __future__ import annotations

import json
from typing import Any

from fulmarlever.outcomes import Failure, Refused
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
WORKERS_TABLE = "servers"
FORMAT_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
STATES = ("ready", "draining")
MAX_PAYLOAD_BYTES = 4000
MAX_TASKS = 20_000


class Undecodable(Failure):
    """A row or body does not have the expected form."""

    __slots__ = ()


def parse_config(row: StoredRow) -> SchedulingConfig | Undecodable:
    """Decode the operator's configuration."""
    try:
        data = json.loads(row.value)
        return SchedulingConfig(
            int(data["version"]),
            tuple(_queue(route) for route in data["routes"]),
            tuple(_service(service) for service in data["services"]),
            int(data.get("limits", {}).get("maxBodyBytes", 262144)),
        )
    except FORMAT_ERRORS as exc:
        return Undecodable(f"configuration: {exc!r}")


def _queue(route: dict) -> QueueSpec:
    return QueueSpec(
        name=route["name"],
        host=route["host"],
        path_prefix=route["pathPrefix"],
        service=route["service"],
        priority=int(route.get("priority", 0)),
        max_attempts=int(route.get("maxAttempts", 1)),
        stretch=float(route.get("stretch", 1.0)),
        target_latency_s=route.get("targetLatencyMs", 0) / 1000.0,
        timeout_s=route.get("timeoutMs", 3000) / 1000.0,
        **_admission(route.get("advice")),
    )


def _admission(advice: dict | None) -> dict[str, Any]:
    """Decode how the admission service decides about a queue's steps."""
    if not advice:
        return {}
    return {
        "needs_ticket": True,
        # The time of a call, and what each worker named in it adds.
        "decision_s": advice.get("decideMs", 0) / 1000.0,
        "decision_per_worker_s": advice.get("periodMs", 0) / 1000.0,
        "ticket_validity_s": advice.get("validityMs", 0) / 1000.0,
    }


def _service(service: dict) -> ServiceSpec:
    # The workers themselves reject what does not fit.
    guards = bool(service.get("admissionCheck", False))
    return ServiceSpec(service["name"], guards, service.get("healthPath", ""))


def parse_worker(row: StoredRow) -> WorkerEntry | Undecodable:
    """Decode a worker's entry; one that is malformed names no worker."""
    try:
        return _worker(row.key, json.loads(row.value))
    except FORMAT_ERRORS as exc:
        return Undecodable(f"entry {row.key}: {exc!r}")


def _worker(key: str, data: dict) -> WorkerEntry:
    state = data["state"]
    if state not in STATES:
        raise ValueError(f"unknown state {state!r}")
    capacity = data["capacity"]
    return WorkerEntry(
        id=key,
        # The Unix time at which this incarnation of the worker started.
        incarnation=str(_typed(data.get("born", 0), int)),
        service=_typed(data["service"], str),
        address=_typed(data["address"], str),
        zone=_typed(data["zone"], str),
        cpu_m=_typed(capacity["cpu"], int),
        memory_mb=_typed(capacity["memMb"], int),
        gpus=_typed(capacity.get("gpus", 0), int),
        labels=tuple(_typed(label, str) for label in data.get("labels", ())),
        machine=str(data.get("machine", "")),
        is_draining=state == "draining",
        remaining_s=data.get("remainingMs", 0) / 1000.0,
    )


def _typed(value: Any, kind: type) -> Any:
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not of type {kind.__name__}")
    return value


def parse_job(job_id: str, raw: bytes) -> JobSpec | Refused:
    """Decode a caller's job."""
    try:
        data = json.loads(raw)
        job = _job(job_id, data)
    except FORMAT_ERRORS as exc:
        return Refused(f"the job is malformed: {exc!r}")
    if len(job.payload.encode()) > MAX_PAYLOAD_BYTES:
        return Refused(f"the specification is over {MAX_PAYLOAD_BYTES} bytes")
    if sum(step.count for step in job.steps) > MAX_TASKS:
        return Refused(f"the job has over {MAX_TASKS} tasks")
    return job


def _job(job_id: str, data: dict) -> JobSpec:
    return JobSpec(
        job_id,
        _typed(data.get("spec", ""), str),
        tuple(_step(step) for step in data["phases"]),
        int(data.get("repetitions", 0)),
        data.get("startAtMs", 0) / 1000.0,
        data.get("intervalMs", 0) / 1000.0,
    )


def _step(step: dict) -> StepSpec:
    return StepSpec(
        count=_typed(step.get("count", 0), int),
        cpu_m=_typed(step.get("cpu", 0), int),
        memory_mb=_typed(step.get("memMb", 0), int),
        gpus=_typed(step.get("gpus", 0), int),
        estimate_s=step.get("estimateMs", 0) / 1000.0,
        after=tuple(_typed(number, int) for number in step.get("after", ())),
        checkpoints=bool(step.get("checkpointing")),
        is_gang=bool(step.get("gang")),
        is_rack_bound=bool(step.get("sameRack")),
        required_label=step.get("constraints", ""),
        # The rack where the data is.
        preferred_rack=step.get("affinity", ""),
        # At most this many tasks of the step on one worker.
        max_per_worker=int(step.get("antiAffinity", 0)),
        is_speculative=bool(step.get("speculative")),
        is_long_running=bool(step.get("longRunning")),
        image=step.get("image", ""),
        latency_target_s=step.get("targetMs", 0) / 1000.0,
        # The step's cores are not counted against a worker's capacity.
        is_best_effort=bool(step.get("fills")),
        max_unavailable=step.get("mayMiss"),
    )
