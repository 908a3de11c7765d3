"""Computes when the leases of the tasks on an unresponsive worker have expired."""

from __future__ import annotations

from collections.abc import Iterable

from fulmarlever.clock import Clock
from fulmarleverd.scheduling.calls.outstanding import MAX_LATE_S
from fulmarleverd.scheduling.jobs.runs import Run
from fulmarleverd.scheduling.persistence.rows import UnresponsiveWorker
from fulmarleverd.scheduling.specs import Bounds, WorkerKey
from fulmarleverd.scheduling.term.lease import SchedulerLease
from fulmarleverd.scheduling.workers.fleet import MIN_CLOCK_RATE, Fleet, Worker

# Added to the length of a lease, for delays of timers and for rounding.
LEASE_MARGIN_S = 0.3
# Long enough for running tasks to survive a network partition of some seconds, short
# enough for the tasks of a lost worker to run elsewhere soon.
MAX_WORKER_LEASE_S = 7.5
# The value of the lease's row, which lists the workers, has to stay small.
MAX_UNRESPONSIVE_LISTED = 100


class LeaseEnds:
    """The ends of the leases on workers that this owner or earlier owners granted.

    ``worker_lease_s`` is the length of the leases that this owner grants. Times are
    seconds on the clock of the scheduler's lease.
    """

    __slots__ = (
        "worker_lease_s",
        "_lease",
        "_clock",
        "_max_lease_s",
        "_longest_lease_s",
        "_earlier_leases_end_s",
    )

    def __init__(self, lease: SchedulerLease, clock: Clock, bounds: Bounds) -> None:
        self.worker_lease_s = min(bounds.worker_lease_s, MAX_WORKER_LEASE_S)
        self._lease = lease
        self._clock = clock
        # A lease on a worker whose clock is slow lasts longer by the owner's clock.
        self._max_lease_s = self.worker_lease_s / MIN_CLOCK_RATE + LEASE_MARGIN_S
        # A call that was meant for a former incarnation of a worker states the end of a
        # lease by that one's clock, which may be any time for the next one.
        self._longest_lease_s = bounds.worker_lease_s / MIN_CLOCK_RATE + LEASE_MARGIN_S
        # By then the runs of earlier owners have ended, but for those that workers
        # report to this owner.
        self._earlier_leases_end_s = lease.earlier_extensions_end_s + self._max_lease_s

    def end_s(self, worker: Worker) -> float:
        """Return when nothing runs any more on a worker that stays unresponsive."""
        own_s = worker.lease_granted_at_s + self._max_lease_s
        if not worker.first_answer_s:
            return max(self.earlier_end_s(worker.key), own_s)
        # Since that answer the worker has refused the tokens of earlier calls.
        is_certain = not worker.may_have_former_calls
        longest_s = self._max_lease_s if is_certain else self._longest_lease_s
        return max(worker.first_answer_s + longest_s, own_s)

    def late_start_end_s(self, run: Run) -> float:
        """Return when a run has ended whose start may arrive at a next incarnation.

        The start got no answer, or was sent by an earlier owner. It is carried out by
        whichever incarnation has the address when it arrives, unless that one has
        already seen a higher token.
        """
        sent_s = run.last_sent_s or self._lease.earlier_extensions_end_s
        return sent_s + MAX_LATE_S + self._longest_lease_s

    def earlier_end_s(self, key: WorkerKey) -> float:
        """Return when the leases that earlier owners granted to a worker expire."""
        return self._lease.earlier_lease_ends_s.get(key, self._earlier_leases_end_s)

    def unresponsive_workers(
        self, fleet: Fleet, orphans: Iterable[Run]
    ) -> list[UnresponsiveWorker]:
        """Return the workers that do not answer and may still run tasks.

        ``orphans`` are runs on workers that are not known yet. At most
        ``MAX_UNRESPONSIVE_LISTED`` workers are returned. The next owner waits longer
        for one that is left out, which is safe.
        """
        ends_s = {
            worker.key: self.end_s(worker)
            for worker in fleet
            if worker.is_unresponsive and worker.runs
        }
        now = self._clock.boot()
        earlier = self._lease.earlier_lease_ends_s.items()
        unanswered = {run.worker_key for run in orphans}
        unanswered.update(key for key, end_s in earlier if end_s > now)
        for key in unanswered:
            worker = fleet.find(key)
            if worker is None:
                ends_s[key] = self.earlier_end_s(key)
            elif not worker.is_reachable:
                ends_s[key] = self.end_s(worker)
        listed = list(ends_s.items())[:MAX_UNRESPONSIVE_LISTED]
        return [UnresponsiveWorker(key, max(0.0, end_s - now)) for key, end_s in listed]
