"""Checks between the entries of a configuration: names, quotas, sizes and shares."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from fulmarlever.config.document import Document, KeyPath
from fulmarlever.config.validation import nearest
from fulmarlever.structure.configuration import Configuration, JobSpec, ServiceSpec
from fulmarlever.structure.size import DIMENSIONS, Size

WORKLOADS = ("services", "jobs")
ROUNDING = 1e-9


class Names:
    """The names that the entries of one file may refer to."""

    __slots__ = ("teams", "zones", "vms", "groups")

    def __init__(
        self, teams: set[str], zones: set[str], vms: set[str], groups: set[str]
    ) -> None:
        self.teams = teams
        self.zones = zones
        self.vms = vms
        self.groups = groups

    @classmethod
    def from_document(cls, document: Document) -> Names:
        """Collect the names of a file, also those of entries that have findings."""
        groups = entries(document.value, "workers")
        vms = {vm for group in groups.values() for vm in texts(group, "vms")}
        return cls(
            set(entries(document.value, "teams")),
            set(texts(document.value, "zones")),
            vms,
            set(groups),
        )

    @classmethod
    def from_configuration(cls, cfg: Configuration) -> Names:
        """Collect the names of a configuration in force."""
        vms = {vm for group in cfg.workers.values() for vm in group.vms}
        return cls(set(cfg.teams), set(cfg.zones), vms, set(cfg.workers))


def entries(value: Any, section: str) -> dict[str, Any]:
    """Return the entries of a section, or none where the value is malformed."""
    found = value.get(section) if isinstance(value, dict) else None
    return found if isinstance(found, dict) else {}


def texts(value: Any, option: str) -> list[str]:
    """Return the texts of a list option, or none where the value is malformed."""
    found = value.get(option) if isinstance(value, dict) else None
    items = found if isinstance(found, list) else []
    return [item for item in items if isinstance(item, str)]


def check_names(document: Document, names: Names) -> None:
    """Add a finding for each reference to a name that does not exist."""
    for section in WORKLOADS:
        for name, entry in entries(document.value, section).items():
            _check_workload(document, names, (section, name), entry)
    for name, entry in entries(document.value, "workers").items():
        _check_list(document, ("workers", name), entry, "zones", names.zones, "zone")
    _check_shared_names(document)


def _check_workload(
    document: Document, names: Names, path: KeyPath, entry: Any
) -> None:
    team = entry.get("team") if isinstance(entry, dict) else None
    if isinstance(team, str) and team not in names.teams:
        _add_unknown(document, (*path, "team"), "team", team, names.teams)
    _check_list(document, path, entry, "zones", names.zones, "zone")
    if names.vms:
        known = names.vms | names.groups
        _check_list(document, path, entry, "vms", known, "VM or worker group")


def _check_list(
    document: Document,
    path: KeyPath,
    entry: Any,
    option: str,
    known: set[str],
    kind: str,
) -> None:
    for index, name in enumerate(texts(entry, option)):
        if name not in known:
            _add_unknown(document, (*path, option, index), kind, name, known)


def _add_unknown(
    document: Document, path: KeyPath, kind: str, name: str, known: set[str]
) -> None:
    document.add(path, f"unknown {kind} {name!r}{nearest(name, known)}")


def _check_shared_names(document: Document) -> None:
    # Tasks of services and jobs share one name space in the table.
    services = entries(document.value, "services")
    for name in entries(document.value, "jobs"):
        if name in services:
            document.add_at_key(("jobs", name), f"{name!r} is also a service")


def check_amounts(document: Document, cfg: Configuration) -> None:
    """Add a finding for each size, quota or share that cannot be met."""
    _check_group_vms(document, cfg)
    for service in cfg.services.values():
        _check_size(document, cfg, ("services", service.name), service)
        _check_target(document, service)
    for job in cfg.jobs.values():
        check_job(document, cfg, job)
    _check_shares(document, cfg)


def check_job(document: Document, cfg: Configuration, job: JobSpec) -> None:
    """Add findings for a job that no worker or quota can take."""
    path = ("jobs", job.name)
    _check_size(document, cfg, path, job)
    team = cfg.teams.get(job.team)
    if team is None or team.quota is None:
        return
    for dimension in job.size.dimensions_exceeding(team.quota):
        document.add(
            (*path, "size"),
            f"one task needs {describe_amount(job.size, dimension)}, over the quota "
            f"of team {team.name!r} of {describe_amount(team.quota, dimension)}",
        )


def _check_size(
    document: Document, cfg: Configuration, path: KeyPath, spec: ServiceSpec | JobSpec
) -> None:
    if not any(getattr(spec.size, name) for name in DIMENSIONS):
        document.add((*path, "size"), "a size needs cores, memory or accelerators")
    rooms = list(_rooms(cfg, spec))
    if not rooms or any(spec.size.fits_in(room) for room in rooms):
        return
    largest = largest_size(rooms)
    over = list(spec.size.dimensions_exceeding(largest))
    if not over:
        document.add((*path, "size"), "no one worker has room in every dimension")
    for dimension in over:
        document.add(
            (*path, "size"),
            f"can never run: needs {describe_amount(spec.size, dimension)}, and the "
            f"largest worker allowed has {describe_amount(largest, dimension)}",
        )


def _rooms(cfg: Configuration, spec: ServiceSpec | JobSpec) -> Iterator[Size]:
    for group in cfg.workers.values():
        in_zone = (
            not spec.zones or not group.zones or set(spec.zones) & set(group.zones)
        )
        in_vms = not spec.vms or not group.vms or set(spec.vms) & set(group.vms)
        if in_zone and in_vms:
            yield group.size


def largest_size(sizes: list[Size]) -> Size:
    """Return the largest amount of each dimension."""
    return Size(*(max(getattr(size, d) for size in sizes) for d in DIMENSIONS))


def describe_amount(size: Size, dimension: str) -> str:
    """Return the amount of one dimension with its unit."""
    formats: dict[str, Callable[[Size], str]] = {
        "cores": lambda s: f"{s.cores:g} cores",
        "memory_mib": lambda s: f"{s.memory_mib / 1024:g}GiB of memory",
        "accelerators": lambda s: f"{s.accelerators} accelerators",
    }
    return formats[dimension](size)


def _check_target(document: Document, service: ServiceSpec) -> None:
    if service.target_s > service.max_run_s:
        document.add(
            ("services", service.name, "target"),
            f"the target of {service.target_s:g}s is over max_run of "
            f"{service.max_run_s:g}s",
        )


def _check_shares(document: Document, cfg: Configuration) -> None:
    total = sum(service.guaranteed_share for service in cfg.services.values())
    if total > 1 + ROUNDING:
        message = f"the guaranteed shares of all services add up to {total:.0%}"
        document.add_at_key(("services",), message)


def _check_group_vms(document: Document, cfg: Configuration) -> None:
    owners: dict[str, str] = {}
    for group in cfg.workers.values():
        for index, vm in enumerate(group.vms):
            owner = owners.setdefault(vm, group.name)
            if owner != group.name:
                path = ("workers", group.name, "vms", index)
                document.add(path, f"{vm!r} is also in worker group {owner!r}")
