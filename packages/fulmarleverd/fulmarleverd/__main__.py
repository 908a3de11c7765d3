"""The binary ``fulmarleverd``: the daemon of one entry VM."""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa
from loguru import logger as log

from fulmarlever.logs import configure_logs
from fulmarlever.outcomes import failed
from fulmarleverd.kernel import Kernel
from fulmarleverd.services import SERVICE_ORDER, load_services
from fulmarleverd.settings import Settings

EXIT_FINDINGS = 1


@cappa.command(name="fulmarleverd", help="Run the scheduler's daemon on an entry VM.")
@dataclass
class Arguments:
    """The command line of the daemon."""

    settings: Annotated[str, cappa.Arg(long=True, help="The YAML settings file.")]
    check: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings file and exit.")
    ] = False


async def run_daemon(settings: Settings) -> None:
    """Run the daemon until SIGTERM or SIGINT, then stop it gracefully."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopping.set)
    load_services()
    kernel = Kernel.from_settings(settings, SERVICE_ORDER)
    await kernel.start()
    log.info("started")
    await stopping.wait()
    log.info("stopping")
    await kernel.stop()
    log.info("stopped")


def main() -> None:
    """Read the command line and run the daemon."""
    args = cappa.parse(Arguments)
    settings = Settings.from_file(args.settings)
    if failed(settings):
        print(settings.reason, file=sys.stderr)
        sys.exit(EXIT_FINDINGS)
    if args.check:
        return
    configure_logs(
        settings.log_level,
        settings.log_json,
        vm=settings.vm,
        zone=settings.zone,
        secrets=[settings.peer_secret, *settings.operator_tokens.values()],
    )
    asyncio.run(run_daemon(settings))


if __name__ == "__main__":
    main()
