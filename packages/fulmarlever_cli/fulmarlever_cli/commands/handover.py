"""The command ``handover``."""

from __future__ import annotations

from typing import Any

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
        return context.display.show_failure(result, advice)
    return context.display.show_result(result, _as_text(args.name, result))


def _as_text(name: str, result: dict[str, Any]) -> str:
    if "new_share" in result:
        share = f"{result['new_share']:.4g}"
        return f"{name}: new_share {share} in generation {result['generation']}"
    return f"{name}: setup {result['setup']}, {result['state']}"
