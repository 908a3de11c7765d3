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

FLUSH_LIMIT_S = 2.0


@SERVICES.register("platform")
class PlatformService(Service):
    """The only way from the daemon to the platform.

    ``vm_changes`` emits the whole VM list each time that it differs from the last.
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
        """Return whether the last call to the table got an answer."""
        return self._table.is_up

    async def start(self) -> None:
        """Open the session and start the writer and the reader of the VM list."""
        await self._http.open()
        limiter = WriteRateLimiter(self.settings.table_writes_per_s, self.clock)
        self._commits = GroupCommitQueue(
            self._table.write, limiter, self.settings.group_commit_s
        )
        self.spawn(self._commits.run(), "group commits")
        await self._read_vms()
        self.spawn(self._poll_vms(), "VM list")

    async def stop(self) -> None:
        """Send the last writes and close the session."""
        try:
            await asyncio.wait_for(self._commits.flush(), FLUSH_LIMIT_S)
        except TimeoutError:
            log.warning("{} writes were not sent before the stop", len(self._commits))
        await super().stop()
        await self._http.close()

    async def read(
        self, keys: Iterable[str], prefixes: Iterable[str] = ()
    ) -> dict[str, Row] | Unavailable:
        """Return the existing rows of the keys and below the prefixes, by key."""
        return await self._table.read(keys, prefixes)

    async def write(self, change: Change) -> WriteResult:
        """Apply a change in a transaction of its own, at once."""
        return await self._table.write(change)

    async def commit(self, change: Change, priority: WritePriority) -> WriteResult:
        """Apply a change in a transaction shared with other queued changes."""
        return await self._commits.commit(change, priority)

    async def put_object(self, name: str, data: bytes) -> bool | Unavailable:
        """Store an object; the same name may be written again."""
        reply = await self._http.send("PUT", _object_path(name), data=data)
        if failed(reply):
            return Unavailable(reply.reason)
        return reply.status < 300 or Unavailable(f"status {reply.status}")

    async def get_object(self, name: str) -> bytes | None | Unavailable:
        """Return an object, or ``None`` when there is none of that name."""
        reply = await self._http.send("GET", _object_path(name))
        if failed(reply):
            return Unavailable(reply.reason)
        if reply.status == 404:
            return None
        return reply.body

    async def delete_object(self, name: str) -> bool | Unavailable:
        """Remove an object; removing a missing one succeeds."""
        reply = await self._http.send("DELETE", _object_path(name))
        return Unavailable(reply.reason) if failed(reply) else True

    def vms(self) -> dict[str, VM]:
        """Return the last VM list read, by name; empty before the first."""
        return self._vms

    def vms_age_s(self) -> float:
        """Return the seconds since the VM list was read, or infinity."""
        if self._vms_read_at is None:
            return float("inf")
        return self.clock.monotonic() - self._vms_read_at

    async def _poll_vms(self) -> None:
        while True:
            await asyncio.sleep(self.settings.vm_list_poll_s)
            await self._read_vms()

    async def _read_vms(self) -> None:
        asked_at = self.clock.monotonic()
        reply = await self._http.send("GET", "/v1/vms", known_etag=self._vms_etag)
        if failed(reply) or reply.status not in (200, 304):
            return
        if reply.status == 304:
            self._vms_read_at = asked_at
            return
        self._vms_etag = reply.etag
        vms = [VM.from_wire(data) for data in json.loads(reply.body)["vms"]]
        self._vms_read_at = asked_at
        changed = {vm.name: vm for vm in vms}
        if changed != self._vms:
            self._vms = changed
            self.vm_changes.on_next(changed)


def _object_path(name: str) -> str:
    return f"/v1/objects/{quote(name, safe='')}"
