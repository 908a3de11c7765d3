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

POLL_INTERVAL_S = 0.1
HEADINGS = ("VM", "ZONE", "GENERATION", "TABLE", "PLACER", "STATE")


async def status(args: Status, context: Context) -> int:
    """Show every daemon, and first wait for a generation if one is given.

    Fail at once if no daemon is reachable. With ``args.wait_generation``, also fail if
    any daemon is unreachable or has an older generation after ``args.wait_limit``
    seconds.
    """
    deadline = time.monotonic() + args.wait_limit
    while True:
        daemons, unreachable = await fetch_daemon_statuses(context.client)
        if not daemons:
            reason = next(iter(unreachable.values()), "no admin address is given")
            return context.display.show_failure(Unavailable(reason))
        lagging = _lagging_daemons(args.wait_generation, daemons, unreachable)
        if not lagging:
            break
        if time.monotonic() >= deadline:
            reason = f"generation {args.wait_generation} is not in force on: "
            return context.display.show_failure(Refused(reason + ", ".join(lagging)))
        await asyncio.sleep(POLL_INTERVAL_S)
    data = {"daemons": daemons, "unreachable": unreachable}
    return context.display.show_result(data, _as_text(daemons, unreachable))


def _lagging_daemons(
    generation: int | None, daemons: list[dict[str, Any]], unreachable: dict[str, str]
) -> list[str]:
    if generation is None:
        return []
    outdated = [d["vm"] for d in daemons if d["generation"] < generation]
    return [*outdated, *unreachable]


def _as_text(daemons: list[dict[str, Any]], unreachable: dict[str, str]) -> str:
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
    lines += [
        f"not reached: {address}: {reason}" for address, reason in unreachable.items()
    ]
    return "\n".join(lines)
