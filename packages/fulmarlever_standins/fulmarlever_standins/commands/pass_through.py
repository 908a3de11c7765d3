"""The command ``pass-through``."""

from __future__ import annotations

from fulmarlever_standins.arguments import PassThroughArguments
from fulmarlever_standins.http import split_address, start_app, wait_for_signal
from fulmarlever_standins.pass_through import PassThrough


async def serve_pass_through(arguments: PassThroughArguments) -> None:
    """Forward requests to one target until SIGTERM or SIGINT."""
    app = PassThrough(arguments.target).build_app()
    runner = await start_app(app, *split_address(arguments.listen))
    await wait_for_signal()
    await runner.cleanup()
