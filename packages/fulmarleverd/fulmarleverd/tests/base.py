"""Fakes of the daemon's services."""

from __future__ import annotations

from collections.abc import Iterable

from fulmarlever.clock import Clock, ManualClock
from fulmarlever.outcomes import Conflict, OutcomeUnknown, Unavailable
from fulmarlever.structure.fleet import VM
from fulmarlever.structure.table import Applied, Change, Row, WritePriority
from fulmarlever_standins.table import MemoryTable
from fulmarleverd.kernel import Kernel, Service
from fulmarleverd.settings import Settings


class FakePlatform(Service):
    """A fake of the service ``platform`` with a table in memory and optional faults.

    Set ``is_table_up`` to false to make every call to the table fail. The next
    ``lose_answers`` writes take effect but return an unknown outcome.
    """

    name = "platform"

    def __init__(self, kernel: Kernel, table: MemoryTable | None = None) -> None:
        super().__init__(kernel)
        self.table = MemoryTable(kernel.clock) if table is None else table
        self.objects: dict[str, bytes] = {}
        self.vm_list: dict[str, VM] = {}
        self.is_table_up = True
        self.lose_answers = 0

    async def read(
        self, keys: Iterable[str], prefixes: Iterable[str] = ()
    ) -> dict[str, Row] | Unavailable:
        """Return rows by key."""
        if not self.is_table_up:
            return Unavailable("the table is down")
        return {row.key: row for row in self.table.read(keys, prefixes)}

    async def write(
        self, change: Change
    ) -> Applied | Conflict | Unavailable | OutcomeUnknown:
        """Apply one change."""
        if not self.is_table_up:
            return Unavailable("the table is down")
        result = self.table.write(change)
        if isinstance(result, list):
            return Conflict("condition does not hold", tuple(result))
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return OutcomeUnknown("the answer was lost")
        return result

    async def commit(
        self, change: Change, priority: WritePriority
    ) -> Applied | Conflict | Unavailable | OutcomeUnknown:
        """Apply one change without grouping."""
        return await self.write(change)

    async def put_object(self, name: str, data: bytes) -> bool | Unavailable:
        """Store an object."""
        self.objects[name] = data
        return True

    async def get_object(self, name: str) -> bytes | None | Unavailable:
        """Return an object, or ``None`` if it does not exist."""
        return self.objects.get(name)

    async def delete_object(self, name: str) -> bool | Unavailable:
        """Remove an object."""
        return self.objects.pop(name, None) is not None

    def vms(self) -> dict[str, VM]:
        """Return the VM list."""
        return self.vm_list

    def vms_age_s(self) -> float:
        """Return the age of the VM list in seconds."""
        return 0.0


class FakeTimeline(Service):
    """A fake of the service ``timeline`` that keeps the kinds of events in a list."""

    name = "timeline"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.kinds: list[str] = []

    def record(self, kind: str, **details: str) -> None:
        """Add the kind of an event to ``kinds``."""
        self.kinds.append(kind)


def make_kernel(clock: Clock | None = None, **changes: object) -> Kernel:
    """Return a kernel with only the fake services ``platform`` and ``timeline``."""
    fields = {
        "vm": "entry-a-1",
        "zone": "a",
        "address": "127.0.0.1",
        "platform": "127.0.0.1:1",
    }
    kernel = Kernel(Settings(**{**fields, **changes}), clock or ManualClock())
    kernel.add(FakePlatform(kernel))
    kernel.add(FakeTimeline(kernel))
    return kernel
