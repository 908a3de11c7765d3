"""Reading of configuration files into the classes that the daemons hold."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from fulmarlever.config.document import Document
from fulmarlever.config.fleet_checks import check_fleet
from fulmarlever.config.plan import diff_configurations, warn_about_changed_jobs
from fulmarlever.config.references import Names, check_amounts, check_job, check_names
from fulmarlever.config.schema import (
    JobOptions,
    ServiceOptions,
    TeamOptions,
    WorkerGroupOptions,
    parse_name,
)
from fulmarlever.config.schema import (
    Names as NamesOption,
)
from fulmarlever.config.validation import nearest, validate
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
class Checked:
    """The result of a check: a configuration, unless there are errors, and warnings."""

    configuration: Configuration | None
    findings: tuple[Finding, ...]


def configuration_digest(text: str) -> str:
    """Return the digest that identifies the text of a configuration."""
    return hashlib.sha256(text.encode()).hexdigest()


def parse_configuration(
    text: str,
    file_name: str,
    submitted_s: float = 0.0,
    submissions: Mapping[str, float] | None = None,
) -> Configuration | Findings:
    """Return the configuration of a text, or every finding in it.

    ``submitted_s`` is the Unix time from which relative deadlines count;
    ``submissions`` gives another time for jobs that were submitted earlier.
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
) -> Checked:
    """Check a text whole and return what was found, warnings included.

    ``vms`` is the VM list; entries that it cannot carry are warned about, and so are
    changes that have no effect against the configuration in force.
    """
    document = Document.from_text(text, file_name)
    _check_top(document, ("zones", *SECTIONS))
    sections = {name: _read_section(document, name) for name in SECTIONS}
    zones = _read_zones(document)
    check_names(document, Names.from_document(document))
    cfg = _build(text, sections, zones, submitted_s, submissions or {})
    check_amounts(document, cfg)
    check_fleet(document, cfg, vms)
    if in_force is not None:
        warn_about_changed_jobs(document, diff_configurations(in_force, cfg))
    return _result(document, cfg)


def parse_jobs(
    text: str,
    file_name: str,
    cfg: Configuration,
    submitted_s: float,
    submissions: Mapping[str, float] | None = None,
) -> dict[str, JobSpec] | Findings:
    """Return the jobs of a text that has only the section ``jobs``.

    Teams, zones and VMs are those of the configuration in force. Times are as for
    :func:`parse_configuration`.
    """
    document = Document.from_text(text, file_name)
    _check_top(document, ("jobs",))
    options = _read_section(document, "jobs")
    check_names(document, Names.from_configuration(cfg))
    groups = {name: group.vms for name, group in cfg.workers.items()}
    jobs = {}
    for name, option in options.items():
        job_submitted_s = (submissions or {}).get(name, submitted_s)
        jobs[name] = _expand(option.to_job(name, job_submitted_s), groups)
        check_job(document, cfg, jobs[name])
        if name in cfg.services:
            document.add_at_key(("jobs", name), f"{name!r} is also a service")
    if not options and not document.findings:
        document.add((), "there is no job in this file")
    return Findings(document.findings) if document.findings else jobs


def _result(document: Document, cfg: Configuration) -> Checked:
    findings = tuple(sorted(document.findings))
    is_broken = any(not finding.is_warning for finding in findings)
    return Checked(None if is_broken else cfg, findings)


def _check_top(document: Document, known: tuple[str, ...]) -> None:
    value = document.value
    if isinstance(value, dict):
        for key in value:
            if key not in known:
                hint = nearest(key, known)
                document.add_at_key((key,), f"unknown section {key!r}{hint}")
    elif not document.findings:
        document.add((), "expected a mapping of sections")


def _read_zones(document: Document) -> tuple[str, ...]:
    value = document.value if isinstance(document.value, dict) else {}
    zones = validate(NamesOption, value.get("zones", ()), document, ("zones",)) or ()
    for index, zone in enumerate(zones):
        if zone in zones[:index]:
            document.add(("zones", index), f"zone {zone!r} is listed twice")
    return zones


def _read_section(document: Document, section: str) -> dict[str, Any]:
    value = document.value if isinstance(document.value, dict) else {}
    found = value.get(section)
    if found is not None and not isinstance(found, dict):
        document.add((section,), "expected a mapping from names to entries")
        return {}
    read = {}
    for name, entry in (found or {}).items():
        path = (section, name)
        try:
            parse_name(name)
        except ValueError as exc:
            document.add_at_key(path, str(exc))
        options = validate(SECTIONS[section], entry, document, path)
        if options is not None:
            read[name] = options
    return read


def _build(
    text: str,
    sections: dict[str, dict[str, Any]],
    zones: tuple[str, ...],
    submitted_s: float,
    submissions: Mapping[str, float],
) -> Configuration:
    workers = {n: option.to_group(n) for n, option in sections["workers"].items()}
    groups = {name: group.vms for name, group in workers.items()}
    services = {n: option.to_service(n) for n, option in sections["services"].items()}
    jobs = {
        n: option.to_job(n, submissions.get(n, submitted_s))
        for n, option in sections["jobs"].items()
    }
    return Configuration(
        digest=configuration_digest(text),
        zones=zones,
        workers=workers,
        teams={n: option.to_team(n) for n, option in sections["teams"].items()},
        services={n: _expand(spec, groups) for n, spec in services.items()},
        jobs={n: _expand(spec, groups) for n, spec in jobs.items()},
    )


def _expand(
    spec: ServiceSpec | JobSpec, groups: Mapping[str, tuple[str, ...]]
) -> ServiceSpec | JobSpec:
    """Replace names of worker groups by the VMs of the group."""
    vms = tuple(vm for name in spec.vms for vm in groups.get(name) or (name,))
    return replace(spec, vms=vms) if vms != spec.vms else spec
