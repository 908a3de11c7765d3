"""The command ``submit``."""

from __future__ import annotations

from fulmarlever.outcomes import failed
from fulmarlever_cli.arguments import Submit
from fulmarlever_cli.context import Context
from fulmarlever_cli.files import read_text


async def submit(args: Submit, context: Context) -> int:
    """Submit the batch jobs of a file."""
    text = read_text(args.file)
    if failed(text):
        return context.display.show_failure(text)
    result = await context.client.post("/v1/jobs", text=text, file=str(args.file))
    if failed(result):
        advice = "to find out: fulmarlever jobs; submitting again is safe"
        return context.display.show_failure(result, advice)
    return context.display.show_result(
        result, "submitted: " + ", ".join(result["jobs"])
    )
