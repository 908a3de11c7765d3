"""The command ``relay``."""

from __future__ import annotations

from fulmarlever_standins.arguments import RelayArguments
from fulmarlever_standins.http import split_address, start_app, wait_for_signal
from fulmarlever_standins.relay import Link, Relay


async def serve_relay(arguments: RelayArguments) -> None:
    """Forward the links given as arguments until SIGTERM or SIGINT."""
    relay = Relay([Link.from_text(text) for text in arguments.link])
    for link in relay.links.values():
        await link.start()
    runner = await start_app(relay.build_app(), *split_address(arguments.control))
    await wait_for_signal()
    await runner.cleanup()
    for link in relay.links.values():
        await link.stop()
