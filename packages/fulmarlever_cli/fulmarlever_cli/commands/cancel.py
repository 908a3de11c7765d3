"""The command ``cancel``."""

from __future__ import annotations

from urllib.parse import quote

from fulmarlever.outcomes import failed
from fulmarlever_cli.arguments import Cancel
from fulmarlever_cli.context import Context
from fulmarlever_cli.display import EXIT_SUCCESS


async def cancel(args: Cancel, context: Context) -> int:
    """Cancel batch jobs and return the highest exit code."""
    code = EXIT_SUCCESS
    for name in args.jobs:
        result = await context.client.post(f"/v1/jobs/{quote(name, safe='')}/cancel")
        if failed(result):
            advice = f"to find out: fulmarlever jobs; cancelling {name} again is safe"
            code = max(code, context.display.show_failure(result, advice))
        else:
            context.display.show_result(result, f"{name}: {result['state']}")
    return code
