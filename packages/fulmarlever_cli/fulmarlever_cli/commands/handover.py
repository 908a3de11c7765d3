"""The command ``handover``."""

from __future__ import annotations

from fulmarlever.outcomes import failed
from fulmarlever_cli.arguments import Handover
from fulmarlever_cli.context import Context


async def handover(args: Handover, context: Context) -> int:
    """Move a job, or a share of a service, between the old setup and the new one."""
    result = await context.client.post(
        "/v1/handover", name=args.name, to=args.to, share=args.share
    )
    if failed(result):
        advice = "to find out, repeat the command; that is safe"
        return context.display.fail(result, advice)
    return context.display.show(result, f"{args.name} moves to the {args.to} setup")
