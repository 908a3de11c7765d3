"""Keeps new runs off the workers of the zones that the operator has evacuated.

Only what has not begun is withdrawn: planned runs are dropped and starts without an
answer are stopped, so that their tasks start elsewhere. Runs at work stay.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.evacuation.zones import EvacuatedZones
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.metrics import EVACUATED_RUNS
from fulmarleverd.scheduling.owner import ZONE_EVACUATED, Owner


class Evacuation:
    """Applies the evacuated zones to the workers and the runs of an owner."""

    def __init__(self, owner: Owner, evacuated: EvacuatedZones) -> None:
        self._owner = owner
        self._evacuated = evacuated

    async def prepare(self) -> None:
        """Wait until the zones are known and apply them, before the first plan."""
        await self._evacuated.wait_until_recent()
        self.apply()

    async def run(self) -> None:
        """Apply every further change until cancelled."""
        while True:
            if self._evacuated.zones != self._owner.fleet.evacuated_zones:
                self.apply()
            await self._evacuated.wait_for_change()

    def apply(self) -> None:
        """Apply the zones as they are known now."""
        fleet = self._owner.fleet
        earlier = fleet.evacuated_zones
        zones = self._evacuated.zones
        fleet.set_evacuated_zones(zones)
        self._record_changes(zones - earlier, earlier - zones)
        for run in list(self._unconfirmed_runs()):
            self._withdraw(run)
        self.update_gauge()
        self._owner.changed.set()

    def _record_changes(
        self, evacuated: Iterable[str], restored: Iterable[str]
    ) -> None:
        """Log each change with the number of the zone's workers and their runs."""
        workers: Counter[str] = Counter()
        runs: Counter[str] = Counter()
        for worker in self._owner.fleet:
            workers[worker.entry.zone] += 1
            runs[worker.entry.zone] += len(worker.runs)
        for event, zones in (
            ("zone-evacuated", evacuated),
            ("zone-restored", restored),
        ):
            for zone in sorted(zones):
                record(event, zone=zone, workers=workers[zone], runs=runs[zone])

    def _unconfirmed_runs(self) -> Iterator[Run]:
        """Yield the runs in evacuated zones that no worker has accepted yet.

        If such a run belongs to a gang, its other runs are included: the gang cannot go
        on without one of them.
        """
        found: dict[Run, None] = {}
        for worker in self._owner.fleet:
            if not worker.is_evacuated:
                continue
            for run in worker.runs.values():
                if run.state in (RunState.PLANNED, RunState.SENT):
                    found[run] = None
                    if run.task.step.spec.is_gang:
                        found.update(dict.fromkeys(_gang_runs(run)))
        yield from found

    def _withdraw(self, run: Run) -> None:
        """Drop a run that certainly has not begun, and stop one that may have."""
        is_unsent = run.is_refused and not run.may_arrive_late
        if run.state is RunState.SENT and is_unsent:
            # The last start was refused on the way, and the next one is not sent yet.
            self._owner.drop_run(run, ZONE_EVACUATED)
        else:
            self._owner.stop_run(run, ZONE_EVACUATED)

    def update_gauge(self) -> None:
        """Publish how many runs are still in progress in each evacuated zone."""
        runs: Counter[str] = Counter()
        for worker in self._owner.fleet:
            if worker.is_evacuated:
                runs[worker.entry.zone] += len(worker.runs)
        EVACUATED_RUNS.clear()
        for zone, count in runs.items():
            EVACUATED_RUNS.labels(zone).set(count)


def _gang_runs(run: Run) -> Iterator[Run]:
    """Yield the runs of a gang that were started together with a run."""
    for task in run.task.step.tasks:
        if run.number in task.runs:
            yield task.runs[run.number]
