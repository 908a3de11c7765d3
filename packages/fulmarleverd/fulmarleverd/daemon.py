"""The command line, start and stop of the daemon on an entry VM."""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import dataclass
from importlib import import_module
from typing import Annotated
from uuid import uuid4

import cappa
from loguru import logger as log

from fulmarlever.logs import configure_logs
from fulmarlever.outcomes import failed
from fulmarlever.structured_logs import configure_structured_logs
from fulmarleverd.kernel import Kernel
from fulmarleverd.services import SCHEDULING_ORDER, SERVICE_ORDER, load_services
from fulmarleverd.settings import Settings

EXIT_INVALID_SETTINGS = 1
# The module that registers each platform interface, by the interface's name.
INTERFACE_MODULES = {"authority": "fulmarleverd.platform.interface"}


@cappa.command(name="fulmarleverd", help="Run the scheduler's daemon on an entry VM.")
@dataclass
class Arguments:
    """The command-line arguments of the daemon."""

    settings: Annotated[str, cappa.Arg(long=True, help="The YAML settings file.")] = ""
    interface: Annotated[
        str, cappa.Arg(long=True, help="The platform to schedule on: authority.")
    ] = ""
    check: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings file and exit.")
    ] = False


async def run_daemon(kernel: Kernel) -> None:
    """Run the daemon until SIGTERM or SIGINT, then stop it gracefully."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, kernel.reload)
    await kernel.start()
    log.bind(event="started").info("started")
    await stopping.wait()
    log.bind(event="stopping").info("stopping")
    await kernel.stop()
    log.bind(event="stopped").info("stopped")


def fail(reason: str) -> None:
    """Print an error to standard error and exit with ``EXIT_INVALID_SETTINGS``."""
    print(reason, file=sys.stderr)
    sys.exit(EXIT_INVALID_SETTINGS)


def run_request_path(args: Arguments) -> None:
    """Run the daemon of the product's own platform, from a YAML settings file."""
    settings = Settings.from_file(args.settings)
    if failed(settings):
        fail(settings.reason)
    if args.check:
        return
    configure_logs(
        settings.log_level,
        settings.log_json,
        vm=settings.vm,
        zone=settings.zone,
        secrets=[settings.peer_secret, *settings.operator_tokens.values()],
    )
    load_services()
    asyncio.run(run_daemon(Kernel.from_settings(settings, SERVICE_ORDER)))


def run_scheduler(args: Arguments) -> None:
    """Run the job scheduler on the platform that an interface connects to.

    The interface gets its settings file from an environment variable.
    """
    from fulmarleverd.scheduling.ports import INTERFACES
    from fulmarleverd.services.interface import InterfaceService

    if args.interface not in INTERFACE_MODULES:
        fail(f"no interface {args.interface!r}; known: {', '.join(INTERFACE_MODULES)}")
    import_module(INTERFACE_MODULES[args.interface])
    interface = INTERFACES.find(args.interface).from_environment()
    if failed(interface):
        fail(interface.reason)
    if args.check:
        return
    settings = interface.settings
    writer = configure_structured_logs(
        vm=settings.vm, zone=settings.zone, incarnation=uuid4().hex[:8]
    )
    load_services(SCHEDULING_ORDER)
    kernel = Kernel(settings)
    kernel.add(InterfaceService(kernel, interface))
    kernel.add_named(SCHEDULING_ORDER)
    try:
        asyncio.run(run_daemon(kernel))
    finally:
        writer.close()


def main() -> None:
    """Parse the command line and run the daemon."""
    args = cappa.parse(Arguments)
    if args.interface:
        run_scheduler(args)
    elif args.settings:
        run_request_path(args)
    else:
        fail("either --settings or --interface is needed")
