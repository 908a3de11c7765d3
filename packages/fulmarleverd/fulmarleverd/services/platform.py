"""The service ``platform``: the table, the object store and the VM list."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from urllib.parse import quote

from loguru import logger as log
from reactivex.subject import Subject

from fulmarlever.outcomes import Unavailable, failed
from fulmarlever.structure.fleet import VM
from fulmarlever.structure.table import Change, Row, WritePriority
from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.storage.commits import GroupCommitQueue, WriteRateLimiter
from fulmarleverd.storage.http import PlatformHTTP
from fulmarleverd.storage.table import Table, WriteResult

FLUSH_TIMEOUT_S = 2.0


@SERVICES.register("platform")
class PlatformService(Service):
    """The daemon's only client of the platform.

    ``vm_changes`` emits the whole VM list, by name, each time that it has changed.
    """

    name = "platform"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        cfg = self.settings
        self._http = PlatformHTTP(
            cfg.platform, cfg.vm, cfg.zone, cfg.address, cfg.table_timeout_s
        )
        self._table = Table(self._http)
        self._commits: GroupCommitQueue | None = None
        self._vms: dict[str, VM] = {}
        self._vms_read_at: float | None = None
        self._vms_etag = ""
        self.vm_changes: Subject[dict[str, VM]] = Subject()

    @property
    def is_table_up(self) -> bool:
        """Return whether the last call to the table was answered."""
        return self._table.is_up

    async def start(self) -> None:
        """Open the session, start the group commits and start to poll the VM list."""
        await self._http.open()
        limiter = WriteRateLimiter(self.settings.table_writes_per_s, self.clock)
        self._commits = GroupCommitQueue(
            self._table.write, limiter, self.settings.group_commit_s
        )
        self.spawn(self._commits.run(), "group commits")
        await self._read_vms()
        self.spawn(self._poll_vms(), "VM list")

    async def stop(self) -> None:
        """Send the queued writes, for at most ``FLUSH_TIMEOUT_S``, and close."""
        try:
            await asyncio.wait_for(self._commits.flush(), FLUSH_TIMEOUT_S)
        except TimeoutError:
            log.warning(
                "{} queued writes were not sent before stop", len(self._commits)
            )
        await super().stop()
        await self._http.close()

    async def read(
        self, keys: Iterable[str], prefixes: Iterable[str] = ()
    ) -> dict[str, Row] | Unavailable:
        """Return the existing rows with one of the keys or prefixes, by key."""
        return await self._table.read(keys, prefixes)

    async def write(self, change: Change) -> WriteResult:
        """Apply a change immediately, in its own transaction."""
        return await self._table.write(change)

    async def commit(self, change: Change, priority: WritePriority) -> WriteResult:
        """Queue a change and apply it in a transaction shared with other changes."""
        return await self._commits.commit(change, priority)

    async def put_object(self, name: str, data: bytes) -> bool | Unavailable:
        """Store an object, replacing any object of the same name."""
        reply = await self._http.send("PUT", _object_path(name), data=data)
        if failed(reply):
            return Unavailable(reply.reason)
        return reply.status < 300 or Unavailable(f"status {reply.status}")

    async def get_object(self, name: str) -> bytes | None | Unavailable:
        """Return an object, or ``None`` if none has that name."""
        reply = await self._http.send("GET", _object_path(name))
        if failed(reply):
            return Unavailable(reply.reason)
        if reply.status == 404:
            return None
        return reply.body

    async def delete_object(self, name: str) -> bool | Unavailable:
        """Delete an object; deleting a missing one succeeds."""
        reply = await self._http.send("DELETE", _object_path(name))
        return Unavailable(reply.reason) if failed(reply) else True

    def vms(self) -> dict[str, VM]:
        """Return the VMs by name as last read; empty before the first read."""
        return self._vms

    def vms_age_s(self) -> float:
        """Return the seconds since the VM list was last read, or infinity if never."""
        if self._vms_read_at is None:
            return float("inf")
        return self.clock.monotonic() - self._vms_read_at

    async def _poll_vms(self) -> None:
        while True:
            await asyncio.sleep(self.settings.vm_list_poll_s)
            await self._read_vms()

    async def _read_vms(self) -> None:
        requested_at = self.clock.monotonic()
        reply = await self._http.send("GET", "/v1/vms", known_etag=self._vms_etag)
        if failed(reply) or reply.status not in (200, 304):
            return
        if reply.status == 304:
            self._vms_read_at = requested_at
            return
        self._vms_etag = reply.etag
        vms = [VM.from_wire(data) for data in json.loads(reply.body)["vms"]]
        self._vms_read_at = requested_at
        vms_by_name = {vm.name: vm for vm in vms}
        if vms_by_name != self._vms:
            self._vms = vms_by_name
            self.vm_changes.on_next(vms_by_name)


def _object_path(name: str) -> str:
    return f"/v1/objects/{quote(name, safe='')}"
