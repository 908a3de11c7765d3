"""The tasks that a zone should run according to the configuration and job rows."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from fulmarlever.structure.configuration import Configuration, ServiceSpec
from fulmarlever.structure.fleet import VM
from fulmarlever.structure.task import Task
from fulmarleverd.placement.job_rows import JobRow

WORKER_ROLE = "worker"


def worker_zones(vms: Mapping[str, VM]) -> tuple[str, ...]:
    """Return the names of the zones that have workers, sorted."""
    return tuple(sorted({vm.zone for vm in vms.values() if vm.role == WORKER_ROLE}))


def service_indices(spec: ServiceSpec, zone: str, zones: tuple[str, ...]) -> range:
    """Return the indices of the instances that a zone runs.

    Instances are assigned to the allowed zones in turn, so each zone's placer knows its
    own instances without asking the others. ``zones`` are the zones with workers.
    """
    allowed = sorted(spec.zones or zones)
    if zone not in allowed:
        return range(0)
    return range(allowed.index(zone), spec.instances, len(allowed))


def service_tasks(
    cfg: Configuration, zone: str, zones: tuple[str, ...]
) -> Iterator[Task]:
    """Yield a new task for each service instance of a zone."""
    for spec in cfg.services.values():
        for index in service_indices(spec, zone, zones):
            yield Task(zone, spec.name, index, is_service=True)


def job_tasks(row: JobRow, zone: str) -> Iterator[Task]:
    """Yield a new task for each index of a job that a zone places."""
    for index in row.indices(zone):
        yield Task(zone, row.spec.name, index)
