"""The command ``experiment``."""

from __future__ import annotations

import cappa

from fulmarlever_standins.arguments import ExperimentArguments
from fulmarlever_standins.experiment import ExperimentRunner
from fulmarlever_standins.experiment_file import Experiment


async def run_experiment(arguments: ExperimentArguments) -> None:
    """Run an experiment file, write its results and exit 1 on a broken promise."""
    file = await ExperimentRunner(Experiment.from_file(arguments.file)).run()
    file.write(arguments.results)
    print(file.table())
    print(f"results: {arguments.results}")
    violations = file.violations()
    for line in violations:
        print(f"broken promise: {line}")
    raise cappa.Exit(code=1 if violations else 0)
