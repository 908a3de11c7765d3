"""The row of a batch job, with a result by zone, and the changes to the row."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field, replace
from enum import StrEnum
from functools import lru_cache

import xxhash

from fulmarlever.structure.configuration import IsolationRule, JobSpec, Urgency
from fulmarlever.structure.size import Size
from fulmarlever.structure.table import ABSENT, Change

FINAL_ROW_TTL_S = 7 * 24 * 3600.0
"""How long the row of a submitted job is kept after its end."""

NEW, OLD, LEAVING = "new", "old", "leaving"
"""The owners of a job: this scheduler is ``NEW``, the one that it replaces ``OLD``.

A job is ``LEAVING`` during its handover from ``NEW`` to ``OLD``.
"""

SPLIT_CACHE_SIZE = 1024
"""The number of jobs whose split over the zones is cached."""


class JobState(StrEnum):
    """The states of a job. ``ACTIVE`` is the only one that is not final."""

    ACTIVE = "active"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the state never changes again."""
        return self is not JobState.ACTIVE


@dataclass(slots=True, frozen=True)
class ZoneResult:
    """The numbers of a job's tasks in one zone by final state.

    ``cancelled`` includes tasks that were never created. ``reason`` joins up to three
    distinct reasons of tasks that are not done.
    """

    done: int = 0
    failed: int = 0
    cancelled: int = 0
    reason: str = ""


@dataclass(slots=True, frozen=True)
class JobRow:
    """The row ``job/{name}``.

    ``zones`` are the zones among which the tasks are split; they are fixed when the
    row is first written. ``setup`` is the owner of the job's tasks: ``new``, ``old``,
    or ``leaving`` from the start of a handover to the old setup until every zone is
    in ``released`` or has a result. A zone in ``released`` runs no task of the job.
    ``generation`` is that of the configuration that declared the job, 0 for a
    submitted one. ``submitted`` is a Unix time in seconds. ``parts`` holds the results
    of the zones whose tasks have all ended, by zone.
    """

    spec: JobSpec
    submitted: float
    zones: tuple[str, ...]
    setup: str = NEW
    state: JobState = JobState.ACTIVE
    reason: str = ""
    generation: int = 0
    cancel: bool = False
    released: tuple[str, ...] = ()
    parts: dict[str, ZoneResult] = field(default_factory=dict)

    @property
    def key(self) -> str:
        """Return the key of the row."""
        return f"job/{self.spec.name}"

    @property
    def may_start_tasks(self) -> bool:
        """Return whether tasks of the job may start in this setup."""
        is_new = self.setup == NEW
        return is_new and not self.state.is_final and not self.cancel

    @classmethod
    def from_spec(
        cls, spec: JobSpec, zones: tuple[str, ...], now_s: float, generation: int = 0
    ) -> JobRow:
        """Build the first row of a job.

        ``zones`` are the zones with workers and ``now_s`` is a Unix time.
        """
        allowed = tuple(sorted(spec.zones or zones))
        return cls(spec, now_s, allowed, spec.setup, generation=generation)

    @classmethod
    def from_wire(cls, data: dict) -> JobRow:
        """Build the row from its stored form."""
        fields = {name: data[name] for name in cls.__slots__ if name in data}
        fields["spec"] = spec_from_wire(data["spec"])
        fields["zones"] = tuple(data["zones"])
        fields["released"] = tuple(data.get("released", ()))
        fields["state"] = JobState(data["state"])
        fields["parts"] = {
            zone: ZoneResult(**result) for zone, result in data["parts"].items()
        }
        return cls(**fields)

    def to_wire(self) -> dict:
        """Return the stored form."""
        data = {name: getattr(self, name) for name in self.__slots__}
        data["spec"] = spec_to_wire(self.spec)
        data["zones"] = list(self.zones)
        data["released"] = list(self.released)
        data["state"] = str(self.state)
        data["parts"] = {zone: asdict(result) for zone, result in self.parts.items()}
        return data

    def indices(self, zone: str) -> tuple[int, ...]:
        """Return the indices of the tasks that a zone places."""
        return _split(self.spec.name, self.spec.tasks, self.zones).get(zone, ())

    def zones_in_use(self) -> set[str]:
        """Return the zones that place at least one task of the job."""
        return set(_split(self.spec.name, self.spec.tasks, self.zones))

    def with_release(self, zone: str) -> JobRow:
        """Return the row after a zone released it; the last one makes it ``old``."""
        released = (*self.released, zone)
        is_last = self.zones_in_use() <= {*released, *self.parts}
        return replace(self, released=released, setup=OLD if is_last else self.setup)

    def with_zone_result(self, zone: str, result: ZoneResult) -> JobRow:
        """Return the row with one zone's result.

        The last result ends the job. If all other zones have released a job that is
        being handed over, it becomes ``old`` instead.
        """
        results = {**self.parts, zone: result}
        row = replace(self, parts=results)
        if not self.zones_in_use() <= results.keys():
            is_released = self.zones_in_use() <= {*self.released, *results}
            is_handed_over = is_released and self.setup == LEAVING
            return replace(row, setup=OLD) if is_handed_over else row
        reasons = "; ".join(sorted({p.reason for p in results.values() if p.reason}))
        return replace(row, state=_final_state(results), reason=reasons)


def inbox_key(zone: str, job: str) -> str:
    """Return the key of the inbox row that makes a zone's placer read a job."""
    return f"queue/{zone}/{job}"


def insertion(row: JobRow) -> Change:
    """Return the change that adds a job and notifies the placers of its zones."""
    return _with_inbox_rows(row, ABSENT)


def cancellation(row: JobRow, version: int) -> Change:
    """Return the change that cancels a job and notifies the placers of its zones."""
    return _with_inbox_rows(replace(row, cancel=True), version)


def handover(row: JobRow, version: int, setup: str) -> Change:
    """Return the change that hands a job over to a setup and notifies the placers."""
    if setup == NEW:
        return _with_inbox_rows(replace(row, setup=NEW, released=()), version)
    return _with_inbox_rows(replace(row, setup=LEAVING, released=()), version)


def _with_inbox_rows(row: JobRow, version: int) -> Change:
    change = Change({row.key: version}, {row.key: row.to_wire()})
    for zone in sorted(row.zones_in_use()):
        change.writes[inbox_key(zone, row.spec.name)] = {}
    return change


def _final_state(results: dict[str, ZoneResult]) -> JobState:
    if any(result.failed for result in results.values()):
        return JobState.FAILED
    if any(result.cancelled for result in results.values()):
        return JobState.CANCELLED
    return JobState.DONE


def rendezvous(key: str, nodes: tuple[str, ...]) -> str:
    """Return the node with the highest hash for a key, or an empty string.

    Rendezvous hashing: a change of the nodes moves as few keys as possible.
    """
    if not nodes:
        return ""
    return max(nodes, key=lambda node: _digest(key, node))


def _digest(key: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{node}".encode())


@lru_cache(maxsize=SPLIT_CACHE_SIZE)
def _split(name: str, tasks: int, zones: tuple[str, ...]) -> dict[str, tuple[int, ...]]:
    """Return the indices of a job's tasks by zone, split by rendezvous hashing."""
    indices_by_zone: dict[str, list[int]] = {}
    for index in range(tasks):
        indices_by_zone.setdefault(rendezvous(f"{name}/{index}", zones), []).append(
            index
        )
    return {zone: tuple(indices) for zone, indices in indices_by_zone.items()}


def spec_to_wire(spec: JobSpec) -> dict:
    """Return the stored form of a job's declaration."""
    data = {name: getattr(spec, name) for name in spec.__slots__}
    data["urgency"] = int(spec.urgency)
    data["isolation"] = str(spec.isolation)
    data["size"] = spec.size.to_wire()
    data["zones"], data["vms"] = list(spec.zones), list(spec.vms)
    return data


def spec_from_wire(data: dict) -> JobSpec:
    """Build a job's declaration from its stored form."""
    fields = {name: data[name] for name in JobSpec.__slots__ if name in data}
    fields["urgency"] = Urgency(data["urgency"])
    fields["isolation"] = IsolationRule(data["isolation"])
    fields["size"] = Size.from_wire(data["size"])
    fields["zones"], fields["vms"] = tuple(data["zones"]), tuple(data["vms"])
    return JobSpec(**fields)
