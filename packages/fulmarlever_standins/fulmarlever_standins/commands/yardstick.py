"""The command ``yardstick``."""

from __future__ import annotations

from fulmarlever_standins.arguments import YardstickArguments
from fulmarlever_standins.overhead import OverheadBenchmark


async def run_yardstick(arguments: YardstickArguments) -> None:
    """Print the overhead of a daemon on a request, as Markdown tables."""
    print(await OverheadBenchmark(arguments.repeats).run())
