"""The command ``worker``."""

from __future__ import annotations

import asyncio

from aiohttp import ClientSession

from fulmarlever.structure.size import Size
from fulmarlever_standins.arguments import WorkerArguments
from fulmarlever_standins.checkpoints import CheckpointStore
from fulmarlever_standins.http import split_address, start_app, wait_for_signal
from fulmarlever_standins.worker import Worker
from fulmarlever_standins.worker_api import WorkerApi

SHUTDOWN_DRAIN_LIMIT_S = 10.0


async def serve_worker(arguments: WorkerArguments) -> None:
    """Serve one simulated worker until SIGTERM or SIGINT."""
    address, port = split_address(arguments.listen)
    size = Size(arguments.cores, arguments.memory_mib, arguments.accelerators)
    async with ClientSession() as session:
        store = CheckpointStore(session, arguments.platform, arguments.zone)
        worker = Worker(arguments.name, address, size, store)
        runner = await start_app(WorkerApi(worker).build_app(), address, port)
        watcher = asyncio.create_task(worker.watch())
        await wait_for_signal()
        await worker.close(SHUTDOWN_DRAIN_LIMIT_S)
        watcher.cancel()
        await runner.cleanup()
