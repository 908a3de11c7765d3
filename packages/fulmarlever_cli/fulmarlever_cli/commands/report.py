"""The command ``report``."""

from __future__ import annotations

from fulmarlever.outcomes import failed
from fulmarlever_cli.arguments import Report
from fulmarlever_cli.context import Context


async def report(args: Report, context: Context) -> int:
    """Show tail latency, batch throughput, evictions and shares."""
    result = await context.client.get("/v1/report")
    if failed(result):
        return context.display.fail(result)
    return context.display.show(result, str(result))
