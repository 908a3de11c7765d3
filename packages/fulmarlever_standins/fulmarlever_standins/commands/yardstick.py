"""The command ``yardstick``."""

from __future__ import annotations

from fulmarlever_standins.arguments import YardstickArguments
from fulmarlever_standins.yardstick import Yardstick


async def run_yardstick(arguments: YardstickArguments) -> None:
    """Print what a daemon adds to a request."""
    print(await Yardstick(arguments.repeats).run())
