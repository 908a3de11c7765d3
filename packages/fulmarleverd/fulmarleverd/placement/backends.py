"""The row ``servers/{zone}``, which lists the backend servers of a zone."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from fulmarlever.structure.fleet import BackendServer
from fulmarlever.structure.table import Row
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.placement.orders import Started

LEAVING_NOTICE_S = 3.0
"""The minimum time that a server is listed as leaving before its instance stops."""


def server_name(task: Task) -> str:
    """Return the name of the backend server for the task's current attempt."""
    return f"{task.name}.{task.attempt}"


class Backends:
    """The zone's row of backend servers and the addresses of running instances.

    ``listed`` holds the servers in the row as last read or confirmed, by name, and
    ``addresses`` the address of each started instance, by server name.
    ``generation`` is the configuration generation stored in the row.
    ``needs_reread`` is set after a write that was not confirmed, until ``load``.
    """

    def __init__(self, zone: str) -> None:
        self.key = f"servers/{zone}"
        self.version = 0
        self.generation = 0
        self.needs_reread = False
        self.listed: dict[str, BackendServer] = {}
        self.addresses: dict[str, Started] = {}
        self._leaving_since_s: dict[str, float] = {}

    def load(self, row: Row | None) -> None:
        """Set the listed servers from the row, or none if there is no row."""
        self.needs_reread = False
        if row is None:
            self.version, self.listed = 0, {}
            return
        self.version = row.version
        self.generation = row.value.get("generation", 0)
        servers = row.value.get("servers", {})
        self.listed = {n: BackendServer.from_wire(s) for n, s in servers.items()}
        for name, server in self.listed.items():
            self.addresses.setdefault(name, Started(server.address, server.port))

    def desired_servers(
        self, tasks: Iterable[Task], is_leaving: Callable[[Task], bool]
    ) -> dict[str, BackendServer]:
        """Return the servers that the row should list, by name.

        A service instance is listed while it is running or stopping and its address is
        known.
        """
        servers = (self._server(task, is_leaving(task)) for task in tasks)
        return {server.name: server for server in servers if server is not None}

    def to_wire(self, servers: dict[str, BackendServer], generation: int) -> dict:
        """Return the stored form of the row; its generation never decreases."""
        wire = {name: server.to_wire() for name, server in servers.items()}
        return {"servers": wire, "generation": max(generation, self.generation)}

    def confirm(
        self, servers: dict[str, BackendServer], version: int, now_s: float
    ) -> None:
        """Record a confirmed write of the row at monotonic time ``now_s``."""
        self.version = version
        self.listed = servers
        leaving = {name for name, server in servers.items() if server.leaving}
        since = self._leaving_since_s
        self._leaving_since_s = {name: since.get(name, now_s) for name in leaving}
        self.addresses = {n: a for n, a in self.addresses.items() if n in servers}

    def may_stop(self, task: Task, now_s: float) -> bool:
        """Return whether an instance may be stopped at monotonic time ``now_s``.

        It may once it has been listed as leaving for ``LEAVING_NOTICE_S``, or if it is
        not listed and no address of it is known.
        """
        name = server_name(task)
        if name not in self.listed:
            return name not in self.addresses
        since_s = self._leaving_since_s.get(name)
        return since_s is not None and now_s - since_s >= LEAVING_NOTICE_S

    def _server(self, task: Task, is_leaving: bool) -> BackendServer | None:
        name = server_name(task)
        address = self.addresses.get(name)
        if address is None or task.state not in (TaskState.RUNNING, TaskState.STOPPING):
            return None
        server = BackendServer(
            name, task.owner, task.zone, task.worker, address.address, address.port
        )
        return replace(server, leaving=is_leaving)
