"""The command ``platform``."""

from __future__ import annotations

from fulmarlever_standins.arguments import PlatformArguments
from fulmarlever_standins.http import split_address, start_app, wait_for_signal
from fulmarlever_standins.platform import Platform


async def serve_platform(arguments: PlatformArguments) -> None:
    """Serve the simulated platform until SIGTERM or SIGINT."""
    runner = await start_app(Platform().build_app(), *split_address(arguments.listen))
    await wait_for_signal()
    await runner.cleanup()
