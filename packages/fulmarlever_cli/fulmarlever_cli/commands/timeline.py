"""The command ``timeline``."""

from __future__ import annotations

from fulmarlever.outcomes import Refused
from fulmarlever_cli.arguments import Timeline
from fulmarlever_cli.context import Context


async def timeline(args: Timeline, context: Context) -> int:
    """Show the merged events of all daemons."""
    return context.display.fail(Refused("not available yet"))
