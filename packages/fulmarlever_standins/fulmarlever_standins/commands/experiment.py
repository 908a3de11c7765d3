"""The command ``experiment``."""

from __future__ import annotations

import cappa

from fulmarlever_standins.arguments import ExperimentArguments
from fulmarlever_standins.experiment import ExperimentRunner
from fulmarlever_standins.experiment_file import Experiment


async def run_experiment(arguments: ExperimentArguments) -> None:
    """Run an experiment file and write its results; exit 1 on a violated invariant."""
    results_file = await ExperimentRunner(Experiment.from_file(arguments.file)).run()
    results_file.write(arguments.results)
    print(results_file.table())
    print(f"results: {arguments.results}")
    violations = results_file.violations()
    for line in violations:
        print(f"violated invariant: {line}")
    raise cappa.Exit(code=1 if violations else 0)
