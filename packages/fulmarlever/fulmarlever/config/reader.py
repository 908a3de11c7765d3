"""Parsing and checking of configuration files and job submissions."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from fulmarlever.config.document import Document
from fulmarlever.config.fleet_checks import check_fleet
from fulmarlever.config.plan import diff_configurations, warn_about_changed_jobs
from fulmarlever.config.references import (
    KnownNames,
    check_job,
    check_references,
    check_resources,
)
from fulmarlever.config.schema import (
    JobOptions,
    NameList,
    ServiceOptions,
    TeamOptions,
    WorkerGroupOptions,
    parse_name,
)
from fulmarlever.config.validation import did_you_mean, validate
from fulmarlever.findings import Finding, Findings
from fulmarlever.structure.configuration import Configuration, JobSpec, ServiceSpec
from fulmarlever.structure.fleet import VM

SECTIONS = {
    "workers": WorkerGroupOptions,
    "teams": TeamOptions,
    "services": ServiceOptions,
    "jobs": JobOptions,
}

MAX_TEXT_BYTES = 1 << 20


@dataclass(slots=True, frozen=True)
class CheckResult:
    """The result of a check.

    ``configuration`` is ``None`` if any finding is an error. ``findings`` lists errors
    and warnings by line and column.
    """

    configuration: Configuration | None
    findings: tuple[Finding, ...]


def configuration_digest(text: str) -> str:
    """Return the SHA-256 digest that identifies a configuration text, in hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def parse_configuration(
    text: str,
    file_name: str,
    submitted_s: float = 0.0,
    submissions: Mapping[str, float] | None = None,
) -> Configuration | Findings:
    """Return the configuration that a YAML text declares, or all findings in it.

    ``file_name`` labels the findings. Relative job deadlines count from the Unix time
    ``submitted_s``, in seconds; ``submissions`` maps names of jobs that were submitted
    earlier to their own Unix time. Warnings alone are discarded.
    """
    checked = check_configuration(text, file_name, submitted_s, submissions)
    if checked.configuration is None:
        return Findings(checked.findings)
    return checked.configuration


def check_configuration(
    text: str,
    file_name: str,
    submitted_s: float = 0.0,
    submissions: Mapping[str, float] | None = None,
    vms: Iterable[VM] = (),
    in_force: Configuration | None = None,
) -> CheckResult:
    """Check a YAML text and return its configuration with all findings and warnings.

    The first four arguments are as for :func:`parse_configuration`. Entries that no
    worker in ``vms`` can run give warnings, and so do changes of jobs that ``in_force``
    already has, because these changes have no effect.
    """
    document = Document.from_text(text, file_name)
    _check_section_names(document, ("zones", *SECTIONS))
    sections = {name: _read_section(document, name) for name in SECTIONS}
    zones = _read_zones(document)
    check_references(document, KnownNames.from_document(document))
    cfg = _build(text, sections, zones, submitted_s, submissions or {})
    check_resources(document, cfg)
    check_fleet(document, cfg, vms)
    if in_force is not None:
        warn_about_changed_jobs(document, diff_configurations(in_force, cfg))
    return _check_result(document, cfg)


def parse_jobs(
    text: str,
    file_name: str,
    cfg: Configuration,
    submitted_s: float,
    submissions: Mapping[str, float] | None = None,
) -> dict[str, JobSpec] | Findings:
    """Return the jobs of a YAML text that has only the section ``jobs``, or findings.

    Teams, zones and VMs are those of ``cfg``, the configuration in force. The other
    arguments are as for :func:`parse_configuration`.
    """
    document = Document.from_text(text, file_name)
    _check_section_names(document, ("jobs",))
    options = _read_section(document, "jobs")
    check_references(document, KnownNames.from_configuration(cfg))
    groups = {name: group.vms for name, group in cfg.workers.items()}
    jobs = {}
    for name, entry in options.items():
        job_submitted_s = (submissions or {}).get(name, submitted_s)
        jobs[name] = _expand_worker_groups(entry.to_job(name, job_submitted_s), groups)
        check_job(document, cfg, jobs[name])
        if name in cfg.services:
            document.add_at_key(("jobs", name), f"{name!r} is also a service")
    if not options and not document.findings:
        document.add((), "there is no job in this file")
    return Findings(document.findings) if document.findings else jobs


def _check_result(document: Document, cfg: Configuration) -> CheckResult:
    findings = tuple(sorted(document.findings))
    has_errors = any(not finding.is_warning for finding in findings)
    return CheckResult(None if has_errors else cfg, findings)


def _check_section_names(document: Document, known_sections: tuple[str, ...]) -> None:
    value = document.value
    if isinstance(value, dict):
        for key in value:
            if key not in known_sections:
                hint = did_you_mean(key, known_sections)
                document.add_at_key((key,), f"unknown section {key!r}{hint}")
    elif not document.findings:
        document.add((), "expected a mapping of sections")


def _read_zones(document: Document) -> tuple[str, ...]:
    value = document.value if isinstance(document.value, dict) else {}
    zones = validate(NameList, value.get("zones", ()), document, ("zones",)) or ()
    for index, zone in enumerate(zones):
        if zone in zones[:index]:
            document.add(("zones", index), f"zone {zone!r} is listed twice")
    return zones


def _read_section(document: Document, section: str) -> dict[str, Any]:
    value = document.value if isinstance(document.value, dict) else {}
    entries = value.get(section)
    if entries is not None and not isinstance(entries, dict):
        document.add((section,), "expected a mapping from names to entries")
        return {}
    options_by_name = {}
    for name, entry in (entries or {}).items():
        path = (section, name)
        try:
            parse_name(name)
        except ValueError as exc:
            document.add_at_key(path, str(exc))
        options = validate(SECTIONS[section], entry, document, path)
        if options is not None:
            options_by_name[name] = options
    return options_by_name


def _build(
    text: str,
    sections: dict[str, dict[str, Any]],
    zones: tuple[str, ...],
    submitted_s: float,
    submissions: Mapping[str, float],
) -> Configuration:
    workers = {n: entry.to_group(n) for n, entry in sections["workers"].items()}
    groups = {name: group.vms for name, group in workers.items()}
    services = {n: entry.to_service(n) for n, entry in sections["services"].items()}
    jobs = {
        n: entry.to_job(n, submissions.get(n, submitted_s))
        for n, entry in sections["jobs"].items()
    }
    return Configuration(
        digest=configuration_digest(text),
        zones=zones,
        workers=workers,
        teams={n: entry.to_team(n) for n, entry in sections["teams"].items()},
        services={
            n: _expand_worker_groups(spec, groups) for n, spec in services.items()
        },
        jobs={n: _expand_worker_groups(spec, groups) for n, spec in jobs.items()},
    )


def _expand_worker_groups(
    spec: ServiceSpec | JobSpec, groups: Mapping[str, tuple[str, ...]]
) -> ServiceSpec | JobSpec:
    """Replace names of worker groups in ``spec.vms`` by the VMs of the group."""
    vms = tuple(vm for name in spec.vms for vm in groups.get(name) or (name,))
    return replace(spec, vms=vms) if vms != spec.vms else spec
