"""The command ``soak``."""

from __future__ import annotations

import random

import cappa

from fulmarlever_standins.arguments import SoakArguments
from fulmarlever_standins.soak.runner import run_seed

MAX_SEED = 1 << 31


async def run_soak(arguments: SoakArguments) -> None:
    """Run seeds one after the other; exit 1 if one violates an invariant."""
    first = arguments.seed or random.randrange(1, MAX_SEED)
    broken = 0
    for seed in range(first, first + arguments.seeds):
        result = await run_seed(
            seed,
            arguments.seconds,
            arguments.daemons,
            arguments.workers,
            arguments.logs,
            starves=not arguments.no_starvation,
            evacuates=not arguments.no_evacuation,
            returns=not arguments.no_returns,
            strikes=not arguments.no_strikes,
        )
        print(result.summary(), flush=True)
        for line in result.violations:
            print(f"  {line}", flush=True)
        broken += bool(result.violations)
    raise cappa.Exit(code=1 if broken else 0)
