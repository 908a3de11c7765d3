"""Functions that wait until a cluster serves its configuration."""

from __future__ import annotations

from collections.abc import Iterable

from fulmarlever_standins.caller import Caller, CallerRequest, Reply
from fulmarlever_standins.client import wait_for
from fulmarlever_standins.cluster import Cluster
from fulmarlever_standins.topology import EntryVM

START_LIMIT_S = 40.0


async def wait_for_servers(cluster: Cluster, count: int) -> None:
    """Wait until at least ``count`` backend servers have been started.

    Raise ``ProcessError`` after ``START_LIMIT_S`` seconds.
    """

    async def are_started() -> bool:
        records = await cluster.worker_records()
        return sum(len(r["services"]) for r in records.values()) >= count

    await wait_for(are_started, f"{count} backend servers", START_LIMIT_S)


async def wait_for_answers(
    caller: Caller,
    entries: Iterable[EntryVM],
    services: Iterable[str],
    probes: int = 1,
) -> None:
    """Wait until every service serves requests through every entry VM.

    Each pair must serve ``probes`` consecutive requests. Raise ``ProcessError`` when
    a pair takes longer than ``START_LIMIT_S`` seconds.
    """
    names = list(services)
    for vm in entries:
        for service in names:
            await wait_for(
                lambda vm=vm, service=service: _is_served(caller, vm, service, probes),
                f"{service} through {vm.name}",
                START_LIMIT_S,
            )


async def _is_served(caller: Caller, vm: EntryVM, service: str, probes: int) -> bool:
    for number in range(probes):
        request = CallerRequest(f"probe-{vm.name}-{number}", service)
        result = await caller.send(request, vm.name, vm.caller_address)
        if result.reply is not Reply.SERVED:
            return False
    return True
