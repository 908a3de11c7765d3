"""Warnings about entries that no worker of the current VM list can run."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from fulmarlever.config.document import Document, KeyPath
from fulmarlever.config.references import format_amount, largest_size
from fulmarlever.structure.configuration import Configuration, JobSpec, ServiceSpec
from fulmarlever.structure.fleet import VM

WORKER_ROLE = "worker"


def check_fleet(document: Document, cfg: Configuration, vms: Iterable[VM]) -> None:
    """Add a warning for each zone, VM and size that no listed worker matches.

    These are warnings and not errors, because the VM list lags behind the fleet.
    Without any worker in ``vms``, nothing is checked.
    """
    workers = [vm for vm in vms if vm.role == WORKER_ROLE]
    if not workers:
        return
    zones = {vm.zone for vm in workers}
    for index, zone in enumerate(cfg.zones):
        if zone not in zones:
            message = f"the VM list has no worker in zone {zone!r}"
            document.add(("zones", index), message, is_warning=True)
    for path, spec in _workloads(cfg):
        _check_workload(document, path, spec, workers)


def _workloads(cfg: Configuration) -> Iterator[tuple[KeyPath, ServiceSpec | JobSpec]]:
    for service in cfg.services.values():
        yield ("services", service.name), service
    for job in cfg.jobs.values():
        yield ("jobs", job.name), job


def _check_workload(
    document: Document, path: KeyPath, spec: ServiceSpec | JobSpec, workers: list[VM]
) -> None:
    names = {vm.name for vm in workers}
    for vm in spec.vms:
        if vm not in names:
            message = f"the VM list has no worker {vm!r}"
            document.add((*path, "vms"), message, is_warning=True)
    capacities = [
        vm.size
        for vm in workers
        if (not spec.zones or vm.zone in spec.zones)
        and (not spec.vms or vm.name in spec.vms)
    ]
    if not capacities or any(spec.size.fits_in(capacity) for capacity in capacities):
        return
    largest = largest_size(capacities)
    reasons = [
        f"needs {format_amount(spec.size, name)}, and the largest listed worker has "
        f"{format_amount(largest, name)}"
        for name in spec.size.dimensions_exceeding(largest)
    ]
    reason = "; ".join(reasons) or "no one listed worker has room in every dimension"
    document.add((*path, "size"), f"cannot run now: {reason}", is_warning=True)
