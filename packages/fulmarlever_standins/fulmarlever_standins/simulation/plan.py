"""The plan of a play: which jobs come and which faults strike when, from one seed.

Each part of a plan has a seed of its own, so that parts can be left out without a
change of the others. A plan is stored as YAML.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, replace
from pathlib import Path
from random import Random

import yaml

from fulmarlever.outcomes import Failure

# These register their faults.
from fulmarlever_standins.simulation import (  # noqa: F401
    incarnation_faults,
    owner_faults,
)
from fulmarlever_standins.simulation.apart_faults import APART_FAULTS, EVACUATION
from fulmarlever_standins.simulation.disruptions import POWER_LOSS
from fulmarlever_standins.simulation.faults import FAULTS
from fulmarlever_standins.simulation.jobs import FEATURES, draw_features
from fulmarlever_standins.simulation.plan_parts import (
    MAX_SEED,
    PlannedFault,
    PlannedJob,
)

JOBS_PER_S = 2.0
MIN_FAULTS = 2
# How likely each kind of fault drawn apart is part of a plan.
APART_SHARE = 0.3


class BadPlan(Failure):
    """A stored plan cannot be read; the reason names the line or the field."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class Plan:
    """A play: its size, for how long jobs come, and its parts in order of time."""

    seed: int
    workers: int
    daemons: int
    seconds: float
    jobs: tuple[PlannedJob, ...]
    faults: tuple[PlannedFault, ...]

    @classmethod
    def draw(cls, seed: int, workers: int, daemons: int, seconds: float) -> Plan:
        """Draw a plan; faults come in series, and several may overlap."""
        rng = Random(seed)
        jobs = [
            PlannedJob(
                round(rng.uniform(0.0, seconds), 3),
                rng.randrange(MAX_SEED),
                draw_features(rng),
            )
            for _ in range(int(JOBS_PER_S * seconds))
        ]
        kinds = rng.sample(list(FAULTS), rng.randint(1, 4))
        faults = [
            PlannedFault(
                round(rng.uniform(1.0, seconds), 3),
                rng.choice(kinds),
                rng.randrange(MAX_SEED),
            )
            for _ in range(rng.randint(MIN_FAULTS, max(MIN_FAULTS, int(seconds / 3))))
        ]
        faults += _draw_apart(seed, seconds)
        return cls(
            seed,
            workers,
            daemons,
            seconds,
            tuple(sorted(jobs, key=lambda job: job.at_s)),
            tuple(sorted(faults, key=lambda fault: fault.at_s)),
        )

    @classmethod
    def from_file(cls, path: Path) -> Plan | BadPlan:
        """Read a plan from a file."""
        try:
            return cls.from_yaml(path.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as exc:
            return BadPlan(f"cannot be read: {exc}")

    @classmethod
    def from_yaml(cls, text: str) -> Plan | BadPlan:
        """Read a stored plan."""
        try:
            fields = yaml.safe_load(text)
            jobs = tuple(_read_job(job) for job in fields.pop("jobs"))
            faults = tuple(PlannedFault(**fault) for fault in fields.pop("faults"))
            plan = cls(**fields, jobs=jobs, faults=faults)
        except yaml.YAMLError as exc:
            return BadPlan(f"not YAML: {exc}")
        except (TypeError, KeyError, AttributeError) as exc:
            return BadPlan(f"a field is missing or unknown: {exc}")
        return plan.find_unknown() or plan

    def find_unknown(self) -> BadPlan | None:
        """Return the first fault or feature that is not registered, if any."""
        names = [
            (APART_FAULTS if fault.kind in list(APART_FAULTS) else FAULTS, fault.kind)
            for fault in self.faults
        ]
        names += [(FEATURES, name) for job in self.jobs for name in job.features]
        for registry, name in names:
            if name not in list(registry):
                known = ", ".join(registry)
                return BadPlan(f"no {registry.kind} {name!r}; known: {known}")
        return None

    def to_yaml(self) -> str:
        """Return the plan as YAML."""
        fields = {
            **asdict(self),
            "jobs": [asdict(job) for job in self.jobs],
            "faults": [asdict(fault) for fault in self.faults],
        }
        return yaml.safe_dump(fields, sort_keys=False, default_flow_style=None)

    def without_jobs(self, first: int, count: int) -> Plan:
        """Return the plan without some of its jobs."""
        return replace(self, jobs=self.jobs[:first] + self.jobs[first + count :])

    def without_faults(self, first: int, count: int) -> Plan:
        """Return the plan without some of its faults."""
        return replace(self, faults=self.faults[:first] + self.faults[first + count :])


def _draw_apart(seed: int, seconds: float) -> list[PlannedFault]:
    """Draw the faults that generators of their own decide on."""
    faults = _draw_evacuations(Random(f"{seed} apart"), seconds)
    for kind in APART_FAULTS:
        rng = Random(f"{seed} {kind}")
        if kind != EVACUATION and rng.random() < APART_SHARE:
            at_s = round(rng.uniform(0.0, seconds), 3)
            at_s = seconds if kind == POWER_LOSS else at_s
            faults.append(PlannedFault(at_s, kind, rng.randrange(MAX_SEED)))
    return faults


def _draw_evacuations(rng: Random, seconds: float) -> list[PlannedFault]:
    """Draw evacuations of zones; some begin before the first job comes."""
    return [
        PlannedFault(
            round(rng.choice((0.0, rng.uniform(0.0, seconds))), 3),
            rng.choice((EVACUATION,)),
            rng.randrange(MAX_SEED),
        )
        for _ in range(rng.choice((0, 0, 1, 2, 3)))
    ]


def _read_job(fields: dict) -> PlannedJob:
    features = tuple(fields.pop("features", ()))
    return PlannedJob(**fields, features=features)
