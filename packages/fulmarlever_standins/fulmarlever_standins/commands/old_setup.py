"""The command ``old-setup``."""

from __future__ import annotations

from fulmarlever_standins.arguments import OldSetupArguments
from fulmarlever_standins.http import split_address, start_app, wait_for_signal
from fulmarlever_standins.old_setup import OldSetup


async def serve_old_setup(arguments: OldSetupArguments) -> None:
    """Serve the simulated old setup until SIGTERM or SIGINT."""
    setup = OldSetup()
    callers = await start_app(
        setup.build_callers_app(), *split_address(arguments.listen)
    )
    control = await start_app(
        setup.build_control_app(), *split_address(arguments.control)
    )
    await wait_for_signal()
    await callers.cleanup()
    await control.cleanup()
