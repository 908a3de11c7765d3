"""Decides for the owner which workers are distrusted, and logs the changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarleverd.scheduling.decisions import record

if TYPE_CHECKING:
    from fulmarleverd.scheduling.owner import Owner

# Limits the length of a log line.
MAX_LOGGED_JOBS = 5


def update_trust(owner: Owner, service: str) -> None:
    """Decide anew which workers of a service are distrusted for failed runs."""
    workers = [worker.failures for worker in owner.fleet.workers_of(service)]
    for failures in owner.failures.evaluate(workers, owner.now_s()):
        record(
            "worker-distrusted" if failures.is_distrusted else "worker-trusted",
            worker=failures.worker_id,
            score=round(failures.score, 2),
            jobs=failures.job_ids[:MAX_LOGGED_JOBS],
        )
        owner.changed.set()
