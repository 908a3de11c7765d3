"""The command ``services``."""

from __future__ import annotations

from fulmarlever.outcomes import failed
from fulmarlever_cli.arguments import Services
from fulmarlever_cli.context import Context
from fulmarlever_cli.display import format_table

HEADINGS = ("SERVICE", "TEAM", "URGENCY", "TARGET", "INSTANCES", "RUNNING", "NEW SHARE")


async def services(args: Services, context: Context) -> int:
    """Show the services of the current configuration."""
    result = await context.client.get("/v1/services")
    if failed(result):
        return context.display.show_failure(result)
    rows = [
        (
            service["name"],
            service["team"],
            service["urgency"],
            f"{service['target_s'] * 1000:g}ms",
            service["instances"],
            len(service["servers"]),
            f"{service['new_share']:.0%}",
        )
        for service in result["services"]
    ]
    return context.display.show_result(result, format_table(HEADINGS, rows))
