"""The command ``status``."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from fulmarlever.outcomes import Refused, Unavailable
from fulmarlever_cli.arguments import Status
from fulmarlever_cli.context import Context
from fulmarlever_cli.daemons import fetch_daemon_statuses
from fulmarlever_cli.display import format_table

POLL_S = 0.1
HEADINGS = ("VM", "ZONE", "GENERATION", "TABLE", "PLACER", "STATE")


async def status(args: Status, context: Context) -> int:
    """Show every daemon, or wait until all have a generation in force."""
    end = time.monotonic() + args.wait_limit
    while True:
        daemons, missing = await fetch_daemon_statuses(context.client)
        if not daemons:
            reason = next(iter(missing.values()), "no admin address is given")
            return context.display.show_failure(Unavailable(reason))
        behind = _behind(args.wait_generation, daemons, missing)
        if not behind:
            break
        if time.monotonic() >= end:
            reason = f"generation {args.wait_generation} is not in force on: "
            return context.display.show_failure(Refused(reason + ", ".join(behind)))
        await asyncio.sleep(POLL_S)
    data = {"daemons": daemons, "unreachable": missing}
    return context.display.show_result(data, _as_text(daemons, missing))


def _behind(
    generation: int | None, daemons: list[dict[str, Any]], missing: dict[str, str]
) -> list[str]:
    if generation is None:
        return []
    late = [d["vm"] for d in daemons if d["generation"] < generation]
    return [*late, *missing]


def _as_text(daemons: list[dict[str, Any]], missing: dict[str, str]) -> str:
    rows = [
        (
            daemon["vm"],
            daemon["zone"],
            daemon["generation"],
            "up" if daemon["is_table_up"] else "away",
            "yes" if daemon["is_placer"] else "",
            "draining" if daemon["is_draining"] else "serving",
        )
        for daemon in daemons
    ]
    lines = [format_table(HEADINGS, rows)]
    lines += [f"not reached: {address}: {why}" for address, why in missing.items()]
    return "\n".join(lines)
