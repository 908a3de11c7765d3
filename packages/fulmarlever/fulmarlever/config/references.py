"""Checks across entries of a configuration: references, sizes, quotas and shares."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from fulmarlever.config.document import Document, KeyPath
from fulmarlever.config.validation import did_you_mean
from fulmarlever.structure.configuration import Configuration, JobSpec, ServiceSpec
from fulmarlever.structure.size import DIMENSIONS, Size

WORKLOAD_SECTIONS = ("services", "jobs")
SHARE_TOLERANCE = 1e-9


class KnownNames:
    """The names that the entries of one file may refer to.

    ``vms`` holds the VMs of all worker groups, and ``groups`` the names of the groups.
    """

    __slots__ = ("teams", "zones", "vms", "groups")

    def __init__(
        self, teams: set[str], zones: set[str], vms: set[str], groups: set[str]
    ) -> None:
        self.teams = teams
        self.zones = zones
        self.vms = vms
        self.groups = groups

    @classmethod
    def from_document(cls, document: Document) -> KnownNames:
        """Collect the names in a file, including those of entries with findings."""
        groups = section_entries(document.value, "workers")
        vms = {vm for group in groups.values() for vm in string_items(group, "vms")}
        return cls(
            set(section_entries(document.value, "teams")),
            set(string_items(document.value, "zones")),
            vms,
            set(groups),
        )

    @classmethod
    def from_configuration(cls, cfg: Configuration) -> KnownNames:
        """Collect the names in an accepted configuration."""
        vms = {vm for group in cfg.workers.values() for vm in group.vms}
        return cls(set(cfg.teams), set(cfg.zones), vms, set(cfg.workers))


def section_entries(value: Any, section: str) -> dict[str, Any]:
    """Return the entries of a section by name; empty if the value is malformed."""
    found = value.get(section) if isinstance(value, dict) else None
    return found if isinstance(found, dict) else {}


def string_items(value: Any, option: str) -> list[str]:
    """Return the strings of a list option; empty if the value is malformed."""
    found = value.get(option) if isinstance(value, dict) else None
    items = found if isinstance(found, list) else []
    return [item for item in items if isinstance(item, str)]


def check_references(document: Document, names: KnownNames) -> None:
    """Add a finding for each unknown name and each name of both a job and a service.

    VM names are checked only if the worker groups declare any.
    """
    for section in WORKLOAD_SECTIONS:
        for name, entry in section_entries(document.value, section).items():
            _check_workload(document, names, (section, name), entry)
    for name, entry in section_entries(document.value, "workers").items():
        _check_name_list(
            document, ("workers", name), entry, "zones", names.zones, "zone"
        )
    _check_name_clashes(document)


def _check_workload(
    document: Document, names: KnownNames, path: KeyPath, entry: Any
) -> None:
    team = entry.get("team") if isinstance(entry, dict) else None
    if isinstance(team, str) and team not in names.teams:
        _add_unknown(document, (*path, "team"), "team", team, names.teams)
    _check_name_list(document, path, entry, "zones", names.zones, "zone")
    if names.vms:
        known = names.vms | names.groups
        _check_name_list(document, path, entry, "vms", known, "VM or worker group")


def _check_name_list(
    document: Document,
    path: KeyPath,
    entry: Any,
    option: str,
    known: set[str],
    kind: str,
) -> None:
    for index, name in enumerate(string_items(entry, option)):
        if name not in known:
            _add_unknown(document, (*path, option, index), kind, name, known)


def _add_unknown(
    document: Document, path: KeyPath, kind: str, name: str, known: set[str]
) -> None:
    document.add(path, f"unknown {kind} {name!r}{did_you_mean(name, known)}")


def _check_name_clashes(document: Document) -> None:
    # Task rows of services and jobs share one namespace in the platform's table.
    services = section_entries(document.value, "services")
    for name in section_entries(document.value, "jobs"):
        if name in services:
            document.add_at_key(("jobs", name), f"{name!r} is also a service")


def check_resources(document: Document, cfg: Configuration) -> None:
    """Add a finding for each size, quota, target or share that cannot be met."""
    _check_vms_in_one_group(document, cfg)
    for service in cfg.services.values():
        _check_size(document, cfg, ("services", service.name), service)
        _check_target(document, service)
    for job in cfg.jobs.values():
        check_job(document, cfg, job)
    _check_shares(document, cfg)


def check_job(document: Document, cfg: Configuration, job: JobSpec) -> None:
    """Add findings for a job whose tasks exceed every worker or the team's quota."""
    path = ("jobs", job.name)
    _check_size(document, cfg, path, job)
    team = cfg.teams.get(job.team)
    if team is None or team.quota is None:
        return
    for dimension in job.size.dimensions_exceeding(team.quota):
        document.add(
            (*path, "size"),
            f"one task needs {format_amount(job.size, dimension)}, over the quota "
            f"of team {team.name!r} of {format_amount(team.quota, dimension)}",
        )


def _check_size(
    document: Document, cfg: Configuration, path: KeyPath, spec: ServiceSpec | JobSpec
) -> None:
    if not any(getattr(spec.size, name) for name in DIMENSIONS):
        document.add((*path, "size"), "a size needs cores, memory or accelerators")
    capacities = list(_worker_capacities(cfg, spec))
    if not capacities or any(spec.size.fits_in(capacity) for capacity in capacities):
        return
    largest = largest_size(capacities)
    exceeded = list(spec.size.dimensions_exceeding(largest))
    if not exceeded:
        document.add((*path, "size"), "no one worker has room in every dimension")
    for dimension in exceeded:
        document.add(
            (*path, "size"),
            f"can never run: needs {format_amount(spec.size, dimension)}, and the "
            f"largest worker allowed has {format_amount(largest, dimension)}",
        )


def _worker_capacities(
    cfg: Configuration, spec: ServiceSpec | JobSpec
) -> Iterator[Size]:
    for group in cfg.workers.values():
        zones_match = (
            not spec.zones or not group.zones or set(spec.zones) & set(group.zones)
        )
        vms_match = not spec.vms or not group.vms or set(spec.vms) & set(group.vms)
        if zones_match and vms_match:
            yield group.size


def largest_size(sizes: list[Size]) -> Size:
    """Return the largest amount of each dimension over one or more sizes."""
    return Size(*(max(getattr(size, d) for size in sizes) for d in DIMENSIONS))


def format_amount(size: Size, dimension: str) -> str:
    """Return the amount of one dimension with its unit, such as ``2 cores``."""
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
    if total > 1 + SHARE_TOLERANCE:
        message = f"the guaranteed shares of all services add up to {total:.0%}"
        document.add_at_key(("services",), message)


def _check_vms_in_one_group(document: Document, cfg: Configuration) -> None:
    group_names: dict[str, str] = {}
    for group in cfg.workers.values():
        for index, vm in enumerate(group.vms):
            group_name = group_names.setdefault(vm, group.name)
            if group_name != group.name:
                path = ("workers", group.name, "vms", index)
                document.add(path, f"{vm!r} is also in worker group {group_name!r}")
