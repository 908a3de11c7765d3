"""The command ``jobs``."""

from __future__ import annotations

from typing import Any

from fulmarlever.outcomes import failed
from fulmarlever_cli.arguments import Jobs
from fulmarlever_cli.context import Context
from fulmarlever_cli.display import format_table

HEADINGS = ("JOB", "TEAM", "SETUP", "STATE", "TASKS", "REASON")


async def jobs(args: Jobs, context: Context) -> int:
    """Show the batch jobs, sorted by name."""
    result = await context.client.get("/v1/jobs")
    if failed(result):
        return context.display.show_failure(result)
    rows = [
        (
            job["name"],
            job["team"],
            job["setup"],
            job["state"],
            _format_counts(job["tasks"]),
            job["reason"],
        )
        for job in sorted(result["jobs"], key=lambda job: job["name"])
    ]
    return context.display.show_result(result, format_table(HEADINGS, rows))


def _format_counts(tasks: dict[str, Any]) -> str:
    return ", ".join(f"{count} {state}" for state, count in sorted(tasks.items()))
