"""The command ``apply``."""

from __future__ import annotations

from typing import Any
from uuid import uuid4

from fulmarlever.config.plan import PlanStep
from fulmarlever.config.reader import parse_configuration
from fulmarlever.findings import Finding, Findings
from fulmarlever.outcomes import failed
from fulmarlever_cli.arguments import Apply
from fulmarlever_cli.context import Context
from fulmarlever_cli.files import read_text


async def apply(args: Apply, context: Context) -> int:
    """Show the plan for a configuration file, then apply the file."""
    text = read_text(args.file)
    parsed = text if failed(text) else parse_configuration(text, str(args.file))
    if isinstance(parsed, Findings):
        return context.display.show_failure(parsed)
    plan = await context.client.post("/v1/check", text=text, file=str(args.file))
    if failed(plan):
        return context.display.show_failure(plan)
    context.display.show_note(_format_plan(plan))
    if args.dry_run:
        return context.display.show_result(plan, "nothing was changed")
    return await _apply_plan(args, context, text, plan)


async def _apply_plan(
    args: Apply, context: Context, text: str, plan: dict[str, Any]
) -> int:
    apply_id = args.apply_id or uuid4().hex
    expected = args.if_generation
    # The plan is only valid against the generation it was made for, so the daemon
    # must refuse the change if another generation is in force by now.
    result = await context.client.post(
        "/v1/apply",
        text=text,
        apply_id=apply_id,
        if_generation=plan["generation"] if expected is None else expected,
    )
    if failed(result):
        advice = (
            "to find out, repeat it as the same apply: "
            f"fulmarlever apply {args.file} --apply-id {apply_id}"
        )
        return context.display.show_failure(result, advice)
    data = {**plan, **result, "apply_id": apply_id}
    return context.display.show_result(
        data, f"generation {result['generation']} accepted"
    )


def _format_plan(plan: dict[str, Any]) -> str:
    findings = [str(Finding.from_wire(data)) for data in plan["findings"]]
    steps = [f"  {PlanStep.from_wire(data)}" for data in plan["plan"]]
    heading = f"against generation {plan['generation']}:"
    return "\n".join([*findings, heading, *(steps or ["  no difference"])])
