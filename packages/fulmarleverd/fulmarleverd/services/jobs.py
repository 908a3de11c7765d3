"""The service through which operators submit, cancel, hand over and list batch jobs."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import ClassVar

from fulmarlever.outcomes import (
    Conflict,
    OutcomeUnknown,
    Refused,
    Unavailable,
    failed,
)
from fulmarlever.policies.placement import impossible_dimensions
from fulmarlever.structure.configuration import JobSpec
from fulmarlever.structure.fleet import VM
from fulmarlever.structure.size import DIMENSIONS, Size
from fulmarlever.structure.table import Applied, Change, WritePriority
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.kernel import SERVICES, Service
from fulmarleverd.placement.desired import WORKER_ROLE, worker_zones
from fulmarleverd.placement.job_rows import (
    LEAVING,
    NEW,
    OLD,
    JobRow,
    JobState,
    cancellation,
    handover,
    insertion,
)
from fulmarleverd.placement.quotas import zone_fraction, zone_quota

MAX_CHANGE_ATTEMPTS = 5
"""How often a change of a job is attempted when other writers change it meanwhile."""

ChangeFailure = Refused | Conflict | Unavailable | OutcomeUnknown


@dataclass(slots=True, frozen=True)
class JobView:
    """The status of a job as shown to operators.

    ``submitted_s`` is a Unix time in seconds, ``setup`` the setup that runs the job,
    and ``tasks`` the number of tasks by state.
    """

    name: str
    team: str
    state: str
    setup: str
    submitted_s: float
    tasks: dict[str, int]
    reason: str = ""

    def to_wire(self) -> dict:
        """Return the JSON form."""
        return {name: getattr(self, name) for name in self.__slots__}


@SERVICES.register("jobs")
class Jobs(Service):
    """Changes and lists batch jobs for operators, on any daemon of any zone.

    The placers of a job's zones are told of a change through their inbox rows. Every
    change returns ``Unavailable`` or ``OutcomeUnknown`` if the table does not confirm
    it, and is idempotent.
    """

    name: ClassVar[str] = "jobs"

    async def submit_spec(self, spec: JobSpec) -> JobRow | ChangeFailure:
        """Add a job and return its row.

        Return ``Refused`` if no worker or quota can ever hold one of its tasks, and
        ``Conflict`` if a job of that name with another declaration exists.
        """
        refused = self.check(spec)
        if refused is not None:
            return refused
        platform = self.kernel.find("platform")
        zones = worker_zones(platform.vms())
        if not zones and not spec.zones:
            return Unavailable("the VM list has not been read yet")
        row = JobRow.from_spec(spec, zones, now_s=self.clock.wall())
        result = await platform.commit(insertion(row), WritePriority.TASKS)
        if isinstance(result, Applied):
            self.kernel.find("timeline").record("job.submitted", detail=spec.name)
            return row
        if isinstance(result, Conflict):
            return await self._compare(spec)
        return result

    async def cancel(self, name: str) -> JobRow | ChangeFailure:
        """Request the cancellation of a job and return its row.

        A job that has already ended is returned unchanged. Return ``Refused`` for an
        unknown job and ``Conflict`` if other writers keep changing it.
        """
        for _ in range(MAX_CHANGE_ATTEMPTS):
            found = await self._find(name)
            if failed(found):
                return found
            row, version = found
            if row.cancel or row.state.is_final:
                return row
            change = cancellation(row, version)
            result = await self._commit(change)
            if isinstance(result, Applied):
                self.kernel.find("timeline").record("job.cancelled", detail=name)
                return JobRow.from_wire(change.writes[row.key])
            if not isinstance(result, Conflict):
                return result
        return Conflict(f"job {name!r} is being changed by others")

    async def handover(self, name: str, setup: str) -> JobRow | ChangeFailure:
        """Move a job to the setup ``old`` or ``new`` and return its row.

        The old setup gets a job only once none of its tasks runs in any zone. The new
        setup gets it at once: the operator asserts that the old one has stopped it.
        Return ``Refused`` for an unknown job, and ``Conflict`` if it is being moved to
        the old setup or other writers keep changing it.
        """
        for _ in range(MAX_CHANGE_ATTEMPTS):
            found = await self._find(name)
            if failed(found):
                return found
            row, version = found
            wanted = (NEW,) if setup == NEW else (OLD, LEAVING)
            if row.setup in wanted or row.state.is_final:
                return row
            if row.setup == LEAVING:
                return Conflict(f"job {name!r} is on its way to the old setup")
            change = handover(row, version, setup)
            result = await self._commit(change)
            if isinstance(result, Applied):
                self.kernel.find("timeline").record("job.handover", detail=name)
                return JobRow.from_wire(change.writes[row.key])
            if not isinstance(result, Conflict):
                return result
        return Conflict(f"job {name!r} is being changed by others")

    async def listing(self) -> list[JobView] | Unavailable:
        """Return the status of every job in the table."""
        platform = self.kernel.find("platform")
        rows = await platform.read([], ["job/", "task/"])
        if failed(rows):
            return rows
        tasks: dict[str, list[Task]] = {}
        for row in rows.values():
            if row.key.startswith("task/"):
                task = Task.from_wire(row.value)
                tasks.setdefault(task.owner, []).append(task)
        jobs = [r.value for r in rows.values() if r.key.startswith("job/")]
        return [_view(JobRow.from_wire(job), tasks) for job in jobs]

    def check(self, spec: JobSpec) -> Refused | None:
        """Return a refusal if a job's tasks can never run, else None.

        They cannot if no worker that the job may use is large enough, or if the team's
        quota in every zone is too small. Nothing is refused before the VM list is read.
        """
        vms = self.kernel.find("platform").vms()
        if not vms:
            return None
        problems = list(impossible_dimensions(spec.size, allowed_sizes(spec, vms)))
        problems.extend(self._over_quota(spec, vms))
        if problems:
            return Refused(f"job {spec.name!r} can never run: {'; '.join(problems)}")
        return None

    def _over_quota(self, spec: JobSpec, vms: dict[str, VM]) -> Iterator[str]:
        """Describe each dimension in which one task exceeds the quota of every zone."""
        team = self.kernel.find("config").current().teams.get(spec.team)
        if team is None or team.quota is None:
            return
        zones = spec.zones or worker_zones(vms)
        quotas = [zone_quota(team.quota, zone_fraction(vms, zone)) for zone in zones]
        for name in DIMENSIONS:
            wanted, quota = getattr(spec.size, name), getattr(team.quota, name)
            largest = max((getattr(q, name) for q in quotas), default=0)
            if quota and wanted > largest:
                yield (
                    f"{name}: {wanted:g} wanted, the quota of {team.name!r} leaves "
                    f"{largest:g} in a zone"
                )

    async def _commit(
        self, change: Change
    ) -> Applied | Conflict | Unavailable | OutcomeUnknown:
        return await self.kernel.find("platform").commit(change, WritePriority.TASKS)

    async def _find(self, name: str) -> tuple[JobRow, int] | Refused | Unavailable:
        key = f"job/{name}"
        rows = await self.kernel.find("platform").read([key])
        if failed(rows):
            return rows
        if key not in rows:
            return Refused(f"there is no job {name!r}")
        return JobRow.from_wire(rows[key].value), rows[key].version

    async def _compare(self, spec: JobSpec) -> JobRow | ChangeFailure:
        found = await self._find(spec.name)
        if failed(found):
            return found
        row, _ = found
        if row.spec != spec:
            return Conflict(f"another job {spec.name!r} exists", (row.key,))
        return row


def allowed_sizes(spec: JobSpec, vms: dict[str, VM]) -> list[Size]:
    """Return the sizes of the workers that a job's zones and VMs allow."""
    return [
        vm.size
        for vm in vms.values()
        if vm.role == WORKER_ROLE
        and (not spec.zones or vm.zone in spec.zones)
        and (not spec.vms or vm.name in spec.vms)
    ]


def _view(row: JobRow, tasks: dict[str, list[Task]]) -> JobView:
    counts: dict[str, int] = {}
    for result in row.parts.values():
        for state in (TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED):
            if number := getattr(result, str(state)):
                counts[str(state)] = counts.get(str(state), 0) + number
    reasons = {row.reason}
    for task in tasks.get(row.spec.name, ()):
        if task.zone not in row.parts:
            counts[str(task.state)] = counts.get(str(task.state), 0) + 1
            reasons.add(task.reason)
    return JobView(
        row.spec.name,
        row.spec.team,
        _state(row, counts),
        row.setup,
        row.submitted,
        counts,
        "; ".join(sorted(reasons - {""})),
    )


def _state(row: JobRow, counts: dict[str, int]) -> str:
    if row.state is not JobState.ACTIVE:
        return str(row.state)
    if row.cancel:
        return "cancelling"
    active = (TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING)
    return "running" if any(counts.get(str(s)) for s in active) else "queued"
