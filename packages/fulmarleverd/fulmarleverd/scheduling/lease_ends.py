"""When the leases of running tasks are certainly over on a worker that stays silent."""

from __future__ import annotations

from collections.abc import Iterable

from fulmarlever.clock import Clock
from fulmarleverd.scheduling.fleet import SLOWEST_CLOCK, Fleet, Worker
from fulmarleverd.scheduling.lease import SchedulerLease
from fulmarleverd.scheduling.rows import UnresponsiveWorker
from fulmarleverd.scheduling.runs import Run, WorkerKey
from fulmarleverd.scheduling.specs import Bounds

# Beside the computed end of a lease, for timers and rounding.
LEASE_MARGIN_S = 0.3
# Long enough for what runs to outlive a partition of some seconds, short enough for the
# tasks of a lost worker to run elsewhere soon.
MAX_WORKER_LEASE_S = 7.5
# Named in the lease's row, whose value is small.
MAX_SILENT_NAMED = 100


class LeaseEnds:
    """What one owner knows of the leases on workers, its predecessors' included.

    Times are seconds on the clock of the scheduler's lease.
    """

    __slots__ = ("worker_lease_s", "_lease", "_clock", "_length_s", "_earlier_end_s")

    def __init__(self, lease: SchedulerLease, clock: Clock, bounds: Bounds) -> None:
        self.worker_lease_s = min(bounds.worker_lease_s, MAX_WORKER_LEASE_S)
        self._lease = lease
        self._clock = clock
        self._length_s = self.worker_lease_s / SLOWEST_CLOCK + LEASE_MARGIN_S
        # Whatever an earlier owner started has ended by then, unless it is seen here.
        self._earlier_end_s = lease.earlier_extensions_end_s + self._length_s

    def end_s(self, worker: Worker) -> float:
        """Return the time after which nothing runs on a worker that stays silent."""
        if worker.first_answer_s:
            # From then on the worker has refused the tokens of earlier owners.
            return max(worker.first_answer_s, worker.granted_s) + self._length_s
        own_s = worker.granted_s + self._length_s
        return max(self.earlier_end_s(worker.key), own_s)

    def earlier_end_s(self, key: WorkerKey) -> float:
        """Return when the leases are over that earlier owners gave to a worker."""
        return self._lease.earlier_lease_ends_s.get(key, self._earlier_end_s)

    def unresponsive_workers(
        self, fleet: Fleet, orphans: Iterable[Run]
    ) -> list[UnresponsiveWorker]:
        """Return the workers that do not answer and may still run tasks.

        ``orphans`` are runs on workers that are not known yet. Workers left out cost a
        successor time, and nothing else.
        """
        ends_s = {
            worker.key: self.end_s(worker)
            for worker in fleet
            if worker.is_silent and worker.runs
        }
        now = self._clock.boot()
        earlier = self._lease.earlier_lease_ends_s.items()
        unseen = {run.worker_key for run in orphans}
        unseen.update(key for key, end_s in earlier if end_s > now)
        for key in unseen:
            worker = fleet.find(key)
            if worker is None:
                ends_s[key] = self.earlier_end_s(key)
            elif not worker.is_reachable:
                ends_s[key] = self.end_s(worker)
        named = list(ends_s.items())[:MAX_SILENT_NAMED]
        return [UnresponsiveWorker(key, max(0.0, end_s - now)) for key, end_s in named]
