"""The command ``drain``."""

from __future__ import annotations

from fulmarlever.outcomes import failed
from fulmarlever_cli.arguments import Drain
from fulmarlever_cli.context import Context


async def drain(args: Drain, context: Context) -> int:
    """Drain a worker VM, or undo its drain."""
    result = await context.client.post(
        "/v1/drain", worker=args.worker, is_draining=not args.undo
    )
    if failed(result):
        advice = "to find out, repeat the command; that is safe"
        return context.display.show_failure(result, advice)
    verb = "takes work again" if args.undo else "is draining"
    return context.display.show_result(result, f"{args.worker} {verb}")
