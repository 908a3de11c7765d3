"""The actions on a cluster that experiment files can name, by their names."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from fulmarlever.registry import Registry
from fulmarlever_standins.cluster import Cluster

Action = Callable[..., Awaitable[None]]
FAULT_ACTIONS: Registry[Action] = Registry("fault action")


@FAULT_ACTIONS.register("kill")
async def kill(cluster: Cluster, vm: str) -> None:
    """Kill the process of a VM with SIGKILL."""
    await cluster.kill(vm)


@FAULT_ACTIONS.register("start")
async def start(cluster: Cluster, vm: str) -> None:
    """Restart the daemon of an entry VM and wait until it is ready."""
    await cluster.start_daemon(vm)


@FAULT_ACTIONS.register("stop")
async def stop(cluster: Cluster, vm: str) -> None:
    """Stop the process of a VM gracefully."""
    await cluster.stop(vm)


@FAULT_ACTIONS.register("freeze")
async def freeze(cluster: Cluster, vm: str) -> None:
    """Suspend the process of a VM."""
    cluster.freeze(vm)


@FAULT_ACTIONS.register("thaw")
async def thaw(cluster: Cluster, vm: str) -> None:
    """Resume the process of a VM."""
    cluster.thaw(vm)


@FAULT_ACTIONS.register("cut")
async def cut(cluster: Cluster, zones: list[str]) -> None:
    """Block the peer connections between two zones, as a network partition does."""
    await cluster.cut(*zones)


@FAULT_ACTIONS.register("heal")
async def heal(cluster: Cluster, zones: list[str]) -> None:
    """End the partition between two zones."""
    await cluster.heal(*zones)


@FAULT_ACTIONS.register("platform")
async def change_platform(cluster: Cluster, **faults: Any) -> None:
    """Change the given faults of the platform."""
    await cluster.set_platform_faults(**faults)


@FAULT_ACTIONS.register("worker")
async def change_worker(cluster: Cluster, vm: str, **faults: Any) -> None:
    """Change the given faults of one worker."""
    await cluster.set_worker_faults(vm, **faults)


@FAULT_ACTIONS.register("list")
async def change_list(cluster: Cluster, vm: str, state: str) -> None:
    """Change the state of a VM in the platform's VM list."""
    await cluster.put_vm(vm, state)
