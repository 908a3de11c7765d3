"""The command ``demo``."""

from __future__ import annotations

import cappa

from fulmarlever_standins.arguments import DemoArguments
from fulmarlever_standins.demo import Demo


async def run_demo(arguments: DemoArguments) -> None:
    """Run the demonstration; exit with 1 if a check failed, else with 0."""
    raise cappa.Exit(code=await Demo(arguments.file).run())
