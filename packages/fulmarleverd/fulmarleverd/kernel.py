"""The microkernel, which builds, starts, finds and stops the daemon's services."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import ClassVar, TypeVar

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.exceptions import KernelError
from fulmarlever.registry import Registry
from fulmarleverd.settings import Settings

SERVICES: Registry[type[Service]] = Registry("service")

Found = TypeVar("Found", bound="Service")


class Service:
    """A named component of the daemon that can be started, drained and stopped.

    Services are built and started in one order and stopped in the reverse order. They
    access each other only through ``kernel.find``, and only from ``start`` on.
    """

    name: ClassVar[str] = ""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.settings = kernel.settings
        self.clock = kernel.clock
        self._tasks: list[asyncio.Task] = []

    @classmethod
    def from_config(cls, kernel: Kernel) -> Service:
        """Build the service from the kernel's settings."""
        return cls(kernel)

    async def start(self) -> None:
        """Start the service; all earlier services have been started."""

    def reload(self) -> None:
        """Reload the settings that may change while the daemon runs."""

    async def drain(self) -> None:
        """Accept no new work and finish the work in progress, before the stop."""

    async def stop(self) -> None:
        """Stop the service, cancel its tasks and release its resources."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def spawn(self, coroutine: object, label: str) -> asyncio.Task:
        """Run a coroutine in a task until the service stops; log its exception."""
        task = asyncio.get_running_loop().create_task(coroutine, name=label)
        self._tasks.append(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        if task in self._tasks:
            self._tasks.remove(task)
        if not task.cancelled() and task.exception() is not None:
            log.opt(exception=task.exception()).error(
                "task {!r} failed", task.get_name()
            )


class Kernel:
    """The services of one daemon, by name."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or Clock()
        self.is_draining = False
        self._drain_until: float | None = None
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []

    @classmethod
    def from_settings(
        cls, settings: Settings, names: Iterable[str], clock: Clock | None = None
    ) -> Kernel:
        """Build a kernel with the named services in the given order."""
        kernel = cls(settings, clock)
        kernel.add_named(names)
        return kernel

    def add_named(self, names: Iterable[str]) -> None:
        """Build registered services by name and add them in the given order."""
        for name in names:
            self.add(SERVICES.find(name).from_config(self))

    def add(self, service: Service) -> None:
        """Add a service that is already built, replacing one of the same name."""
        self._services[service.name] = service

    def find(self, name: str) -> Service:
        """Return a service by name.

        Raise ``KernelError`` when the daemon has no service of that name.
        """
        if name not in self._services:
            raise KernelError(f"this daemon has no service {name!r}")
        return self._services[name]

    async def start(self) -> None:
        """Start all services in order; on failure, stop those already started."""
        try:
            for service in self._services.values():
                await service.start()
                self._started.append(service)
        except BaseException:
            await self._stop_started()
            raise

    async def stop(self) -> None:
        """Drain all services in reverse order, then stop them in reverse order."""
        self.is_draining = True
        for service in reversed(self._started):
            await self._log_exception(service.drain(), service, "drain")
        await self._stop_started()

    def reload(self) -> None:
        """Call ``reload`` of every started service."""
        for service in self._started:
            service.reload()

    def drain_left_s(self) -> float:
        """Return the remaining seconds for the drain of all services together.

        The time limit ``drain_limit_s`` starts with the first call.
        """
        now = self.clock.monotonic()
        if self._drain_until is None:
            self._drain_until = now + self.settings.drain_limit_s
        return max(0.0, self._drain_until - now)

    async def _stop_started(self) -> None:
        while self._started:
            service = self._started.pop()
            await self._log_exception(service.stop(), service, "stop")

    async def _log_exception(
        self, coroutine: object, service: Service, action: str
    ) -> None:
        try:
            await coroutine
        except Exception:
            log.exception("service {} failed to {}", service.name, action)
