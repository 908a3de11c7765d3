"""The state of every daemon, found through the ones that the operator named."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

from fulmarlever.outcomes import Failure, failed
from fulmarlever_cli.client import AdminClient

ENDED_STATE = "ended"
UNKNOWN_PORT = ":0"


async def fetch_daemon_statuses(
    client: AdminClient,
) -> tuple[list[dict[str, Any]], dict[str, str]]:
    """Return the status of each daemon, and why others gave none, by address.

    The named daemons are asked first, then the peers that they know. The address at
    which a daemon answered is added to its status as ``admin``.
    """
    found: dict[str, dict[str, Any]] = {}
    missing: dict[str, str] = {}
    asked: set[str] = set()
    waiting = set(client.addresses)
    while waiting:
        asked |= waiting
        addresses = sorted(waiting)
        answers = await asyncio.gather(
            *(client.get_from(address, "/v1/status") for address in addresses)
        )
        for address, answer in zip(addresses, answers, strict=True):
            _note(address, answer, found, missing)
        waiting = set(_peers(found)) - asked
    return [found[vm] for vm in sorted(found)], missing


def _note(
    address: str,
    answer: dict[str, Any] | Failure,
    found: dict[str, dict[str, Any]],
    missing: dict[str, str],
) -> None:
    if failed(answer):
        missing[address] = answer.reason
    else:
        found[answer["vm"]] = {**answer, "admin": address}


def _peers(found: dict[str, dict[str, Any]]) -> Iterator[str]:
    for daemon in found.values():
        for peer in daemon["peers"]:
            is_known = not peer["admin"].endswith(UNKNOWN_PORT)
            if is_known and peer["state"] != ENDED_STATE and peer["vm"] not in found:
                yield peer["admin"]
