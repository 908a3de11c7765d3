"""The command ``check``."""

from __future__ import annotations

import time

from fulmarlever.config.reader import check_configuration
from fulmarlever.findings import Findings
from fulmarlever.outcomes import failed
from fulmarlever_cli.arguments import Check
from fulmarlever_cli.context import Context
from fulmarlever_cli.files import read_text


async def check(args: Check, context: Context) -> int:
    """Check a configuration file locally, without a request to a daemon."""
    text = read_text(args.file)
    if failed(text):
        return context.display.show_failure(text)
    result = check_configuration(text, str(args.file), time.time())
    cfg = result.configuration
    if cfg is None:
        return context.display.show_failure(Findings(result.findings))
    counts = {
        "teams": len(cfg.teams),
        "services": len(cfg.services),
        "jobs": len(cfg.jobs),
    }
    data = {**counts, "findings": [item.to_wire() for item in result.findings]}
    summary = ", ".join(f"{count} {name}" for name, count in counts.items())
    lines = [*map(str, result.findings), f"{args.file}: no mistakes ({summary})"]
    return context.display.show_result(data, "\n".join(lines))
