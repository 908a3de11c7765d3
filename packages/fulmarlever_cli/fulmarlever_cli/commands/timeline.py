"""The command ``timeline``."""

from __future__ import annotations

import time

from fulmarlever.config.units import parse_duration
from fulmarlever.outcomes import Refused, failed
from fulmarlever.timeline import MergedTimeline, render_timeline
from fulmarlever_cli.arguments import Timeline
from fulmarlever_cli.context import Context


async def timeline(args: Timeline, context: Context) -> int:
    """Show the merged events of all daemons, or write them as an HTML page."""
    try:
        since_s = time.time() - parse_duration(args.since) if args.since else 0.0
    except ValueError as exc:
        return context.display.show_failure(Refused(f"--since: {exc}"))
    names = ("kind", "task", "request", "worker")
    query = {name: getattr(args, name) for name in names}
    result = await context.client.get(
        "/v1/timeline", **query, since_s=str(since_s), limit=str(args.limit)
    )
    if failed(result):
        return context.display.show_failure(result)
    merged = MergedTimeline.from_wire(result)
    if args.html is None:
        return context.display.show_result(result, render_timeline(merged, "text"))
    args.html.write_text(render_timeline(merged, "html"), encoding="utf-8")
    message = f"{len(merged.events)} events written to {args.html}"
    return context.display.show_result({"file": str(args.html)}, message)
