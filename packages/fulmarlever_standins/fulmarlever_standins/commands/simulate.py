"""The command ``simulate``."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import cappa
from loguru import logger as log

from fulmarlever.outcomes import failed
from fulmarlever_standins.arguments import SimulateArguments
from fulmarlever_standins.simulation.apart_faults import APART_FAULTS
from fulmarlever_standins.simulation.faults import FAULTS
from fulmarlever_standins.simulation.jobs import FEATURES
from fulmarlever_standins.simulation.plan import Plan
from fulmarlever_standins.simulation.runner import Result, play
from fulmarlever_standins.simulation.shrink import shrink

MAX_SEED = 1 << 31


def run_simulation(arguments: SimulateArguments) -> None:
    """Play plans in several processes; exit 1 if one violates an invariant."""
    plans = list(_plans(arguments))
    pairs: Counter[tuple[str, str]] = Counter()
    broken = 0
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for result in pool.map(_play_quietly, plans):
            pairs += result.pairs
            broken += bool(result.violations)
            _print_result(result)
            if result.violations and arguments.replay is None:
                smaller = pool.submit(_shrink, result.plan).result()
                print(f"  replay file: {_save(smaller, arguments.results)}", flush=True)
    _print_pairs(pairs)
    print(f"{broken} of {len(plans)} plays violated an invariant")
    raise cappa.Exit(code=1 if broken else 0)


def _plans(arguments: SimulateArguments) -> Iterator[Plan]:
    """Yield the plan of a replay file, or those of the seeds."""
    if arguments.replay is not None:
        plan = Plan.from_file(arguments.replay)
        if failed(plan):
            raise cappa.Exit(f"{arguments.replay}: {plan.reason}", code=2)
        yield plan
        return
    first = arguments.seed or random.randrange(1, MAX_SEED)
    for seed in range(first, first + arguments.seeds):
        yield Plan.draw(seed, arguments.workers, arguments.daemons, arguments.seconds)


def _play_quietly(plan: Plan) -> Result:
    log.remove()
    return play(plan)


def _shrink(plan: Plan) -> Plan:
    return shrink(plan, _is_broken)


def _is_broken(plan: Plan) -> bool:
    return bool(_play_quietly(plan).violations)


def _save(plan: Plan, directory: Path) -> Path:
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{plan.seed}.yaml"
    path.write_text(plan.to_yaml(), encoding="utf-8")
    return path


def _print_result(result: Result) -> None:
    kinds = sorted({fault.kind for fault in result.plan.faults})
    print(
        f"seed {result.plan.seed}: {result.tasks_done} tasks done, "
        f"{len(result.violations)} violations, trace {result.digest}; "
        f"{', '.join(kinds)}",
        flush=True,
    )
    for line in result.violations:
        print(f"  {line}", flush=True)


def _print_pairs(pairs: Counter[tuple[str, str]]) -> None:
    """Print how many plays each feature shared with each fault."""
    kinds = [*FAULTS, *APART_FAULTS]
    print("plays with both, by feature and fault:")
    for feature in FEATURES:
        counts = " ".join(f"{pairs[feature, kind]:4}" for kind in kinds)
        print(f"  {feature:16}{counts}")
    print(f"  in the order of: {', '.join(kinds)}")
