"""Discovery of all daemons through the ones that the operator named."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

from fulmarlever.outcomes import Failure, failed
from fulmarlever_cli.client import AdminClient

ENDED_STATE = "ended"
UNKNOWN_PORT_SUFFIX = ":0"


async def fetch_daemon_statuses(
    client: AdminClient,
) -> tuple[list[dict[str, Any]], dict[str, str]]:
    """Return the statuses of all reachable daemons, and the failures of the others.

    The daemons that the operator named are queried first, then their peers, and so on.
    Statuses are sorted by VM, and each gets the address of its daemon as ``admin``.
    Failures map an address to the reason why it gave no status.
    """
    statuses: dict[str, dict[str, Any]] = {}
    unreachable: dict[str, str] = {}
    queried: set[str] = set()
    pending = set(client.addresses)
    while pending:
        queried |= pending
        addresses = sorted(pending)
        answers = await asyncio.gather(
            *(client.get_from(address, "/v1/status") for address in addresses)
        )
        for address, answer in zip(addresses, answers, strict=True):
            _record_answer(address, answer, statuses, unreachable)
        pending = set(_peer_addresses(statuses)) - queried
    return [statuses[vm] for vm in sorted(statuses)], unreachable


def _record_answer(
    address: str,
    answer: dict[str, Any] | Failure,
    statuses: dict[str, dict[str, Any]],
    unreachable: dict[str, str],
) -> None:
    if failed(answer):
        unreachable[address] = answer.reason
    else:
        statuses[answer["vm"]] = {**answer, "admin": address}


def _peer_addresses(statuses: dict[str, dict[str, Any]]) -> Iterator[str]:
    for daemon in statuses.values():
        for peer in daemon["peers"]:
            has_admin_port = not peer["admin"].endswith(UNKNOWN_PORT_SUFFIX)
            if (
                has_admin_port
                and peer["state"] != ENDED_STATE
                and peer["vm"] not in statuses
            ):
                yield peer["admin"]
