"""The contents of experiment files: cluster, variants, loads and faults."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from fulmarlever_standins.load import LoadSpec


@dataclass(slots=True, frozen=True)
class Variant:
    """One variant to compare, with the settings of its daemons."""

    name: str
    settings: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class TimedLoad:
    """A load that begins ``start_s`` seconds after the start of the run.

    It lasts ``duration_s`` seconds. If ``scaled``, its rate is multiplied by the level
    of the run. ``weights`` maps names of entry VMs to their relative share of requests.
    """

    spec: LoadSpec
    start_s: float
    duration_s: float
    scaled: bool = True
    weights: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class TimedFault:
    """One action on the cluster, ``at_s`` seconds after the start of the run."""

    at_s: float
    action: str
    arguments: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Experiment:
    """The contents of an experiment file.

    ``entries`` and ``workers`` are numbers per zone. ``levels`` are factors of the
    rates of scaled loads; each level is a run of its own. ``repeats`` is the number of
    repetitions. ``worker_faults`` are in force on every worker in all runs.
    """

    name: str
    zones: tuple[str, ...]
    entries: int
    workers: int
    configuration: dict[str, Any]
    variants: tuple[Variant, ...]
    loads: tuple[TimedLoad, ...]
    faults: tuple[TimedFault, ...] = ()
    levels: tuple[float, ...] = (1.0,)
    repeats: int = 3
    worker_faults: dict[str, Any] = field(default_factory=dict)

    @classmethod
    def from_file(cls, path: Path) -> Experiment:
        """Read an experiment file.

        Raise ``KeyError`` or ``TypeError`` for missing or unknown options and
        ``yaml.YAMLError`` for malformed YAML.
        """
        data = yaml.safe_load(path.read_text(encoding="utf-8"))
        cluster = data["cluster"]
        variants = data.get("variants") or {"default": {}}
        return cls(
            name=data["name"],
            zones=tuple(cluster["zones"]),
            entries=cluster["entries"],
            workers=cluster["workers"],
            configuration=data["configuration"],
            variants=tuple(
                Variant(name, {**cluster.get("settings", {}), **(settings or {})})
                for name, settings in variants.items()
            ),
            loads=tuple(_read_load(load) for load in data["loads"]),
            faults=tuple(_read_fault(fault) for fault in data.get("faults", ())),
            levels=tuple(data.get("levels", (1.0,))),
            repeats=data.get("repeats", 3),
            worker_faults=data.get("worker_faults", {}),
        )


def _read_load(data: dict[str, Any]) -> TimedLoad:
    options = dict(data)
    start_s = float(options.pop("start_s", 0.0))
    duration_s = float(options.pop("duration_s"))
    scaled = bool(options.pop("scaled", True))
    weights = options.pop("weights", {})
    return TimedLoad(LoadSpec(**options), start_s, duration_s, scaled, weights)


def _read_fault(data: dict[str, Any]) -> TimedFault:
    options = dict(data)
    return TimedFault(float(options.pop("at_s")), options.pop("action"), options)
