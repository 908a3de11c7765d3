"""The command ``apply``."""

from __future__ import annotations

from uuid import uuid4

from fulmarlever.config.reader import parse_configuration
from fulmarlever.findings import Findings
from fulmarlever.outcomes import failed
from fulmarlever_cli.arguments import Apply
from fulmarlever_cli.context import Context
from fulmarlever_cli.files import read_text


async def apply(args: Apply, context: Context) -> int:
    """Check a file, then make it the configuration in force."""
    text = read_text(args.file)
    if failed(text):
        return context.display.fail(text)
    checked = parse_configuration(text, str(args.file))
    if isinstance(checked, Findings):
        return context.display.fail(checked)
    apply_id = args.apply_id or uuid4().hex
    result = await context.client.post(
        "/v1/apply", text=text, apply_id=apply_id, if_generation=args.if_generation
    )
    if failed(result):
        advice = (
            "to find out, repeat it as the same apply: "
            f"fulmarlever apply {args.file} --apply-id {apply_id}"
        )
        return context.display.fail(result, advice)
    data = {**result, "apply_id": apply_id}
    return context.display.show(data, f"generation {result['generation']} accepted")
