"""The row of a zone's backend servers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from fulmarlever.structure.fleet import BackendServer
from fulmarlever.structure.table import Row
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.placement.orders import Started

LEAVING_NOTICE_S = 3.0
"""How long a server is listed as leaving before its instance is stopped."""


def server_name(task: Task) -> str:
    """Return the name of the backend server that one attempt of an instance is."""
    return f"{task.name}.{task.attempt}"


class Backends:
    """The backend servers of a zone, as they are and as they are in the table."""

    def __init__(self, zone: str) -> None:
        self.key = f"servers/{zone}"
        self.version = 0
        self.generation = 0
        self.needs_reread = False
        self.listed: dict[str, BackendServer] = {}
        self.addresses: dict[str, Started] = {}
        self._leaving_since_s: dict[str, float] = {}

    def load(self, row: Row | None) -> None:
        """Take over what the table holds."""
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
        """Return the servers that shall be listed, from the tasks that hold room."""
        servers = (self._server(task, is_leaving(task)) for task in tasks)
        return {server.name: server for server in servers if server is not None}

    def to_wire(self, servers: dict[str, BackendServer], generation: int) -> dict:
        """Return the stored form of the row."""
        wire = {name: server.to_wire() for name, server in servers.items()}
        return {"servers": wire, "generation": max(generation, self.generation)}

    def confirm(
        self, servers: dict[str, BackendServer], version: int, now_s: float
    ) -> None:
        """Take note of what the table confirmed."""
        self.version = version
        self.listed = servers
        leaving = {name for name, server in servers.items() if server.leaving}
        since = self._leaving_since_s
        self._leaving_since_s = {name: since.get(name, now_s) for name in leaving}
        self.addresses = {n: a for n, a in self.addresses.items() if n in servers}

    def may_stop(self, task: Task, now_s: float) -> bool:
        """Return whether an instance's leaving was listed for long enough."""
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
