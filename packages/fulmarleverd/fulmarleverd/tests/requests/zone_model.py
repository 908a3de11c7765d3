"""A model of a zone for tests of slot ownership: daemons, table, servers and clock.

Nothing runs in the background: each method is one step, and :meth:`ZoneModel.check`
fails when a backend server has more requests than slots.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from fulmarlever.clock import ManualClock
from fulmarlever.outcomes import Conflict, OutcomeUnknown, Unavailable
from fulmarlever.structure.configuration import Configuration
from fulmarlever.structure.table import Change
from fulmarlever_standins.table import MemoryTable
from fulmarleverd.services.slots import Slots
from fulmarleverd.tests.base import FakePlatform, make_kernel
from fulmarleverd.tests.requests.fakes import (
    FakeConfig,
    FakeMembership,
    FakeNetwork,
    server_row,
    spec,
)

SLOTS = 8
SERVERS = 2
VMS = ("entry-a-1", "entry-a-2", "entry-a-3")
TICK_S = 1.0
MAX_MISSING_S = 20


class FaultyPlatform(FakePlatform):
    """A platform whose next write fails as ``write_fault`` says.

    ``ok`` is no fault. A ``lost`` write takes effect, but its answer is lost. A
    ``dropped`` write has no effect and no answer. A ``late`` write has no answer and
    takes effect when :meth:`apply_late_write` is called. A ``held`` write waits until
    the future ``held_write`` is set to another fault.
    """

    write_fault = "ok"
    late_write = None
    held_write = None

    async def commit(self, change, priority):
        write_fault, self.write_fault = self.write_fault, "ok"
        if write_fault == "held":
            self.held_write = asyncio.get_running_loop().create_future()
            write_fault = await self.held_write
        if write_fault == "dropped":
            return OutcomeUnknown("lost")
        if write_fault == "late":
            self.late_write = change
            return OutcomeUnknown("lost")
        result = await self.write(change)
        if write_fault == "lost" and not isinstance(result, Conflict | Unavailable):
            return OutcomeUnknown("lost")
        return result

    def apply_late_write(self):
        change, self.late_write = self.late_write, None
        if change is not None:
            self.table.write(change)


class Daemon:
    """One process of a daemon, with its slots service."""

    def __init__(self, model, vm, incarnation):
        self.model = model
        self.vm = vm
        self.identity = f"{vm}#{incarnation}"
        self.is_frozen = False
        self.task = None
        kernel = make_kernel(model.clock, vm=vm)
        self.platform = FaultyPlatform(kernel, model.table)
        self.platform.is_table_up = not model.is_table_down
        kernel.add(self.platform)
        self.config = FakeConfig(kernel)
        kernel.add(self.config)
        self.set_run_limit(10.0)
        kernel.add(FakeMembership(kernel, model.network, incarnation))
        self.slots = model.slots_class(kernel)
        self.slots.prepare()

    def set_run_limit(self, seconds):
        service = replace(spec(), max_run_s=seconds)
        self.config.configuration = Configuration(services={"filling": service})

    @property
    def is_running(self):
        return not self.is_frozen and self.task is None


@dataclass
class ServerRun:
    """A request that runs at a backend server.

    ``has_slot`` is false once the daemon has ended or has abandoned the request.
    """

    daemon: Daemon
    slot: object
    server: str
    ends_at: float
    has_slot: bool = True


class ZoneModel:
    """A zone with three entry VMs and two backend servers.

    ``missing_until`` maps a VM that is missing from the VM list, although its daemon
    runs, to the time when it is listed again.
    """

    slots_class = Slots

    def __init__(self):
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.network = FakeNetwork()
        self.loop = asyncio.new_event_loop()
        self.is_table_down = False
        self.missing_until = {}
        self.runs = []
        self.incarnations = dict.fromkeys(VMS, 0)
        self.set_servers(SERVERS)
        self.daemons = {}
        for vm in VMS:
            self.restart(vm)

    def close(self):
        for daemon in self.daemons.values():
            if daemon.task is not None:
                daemon.task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def set_servers(self, count):
        row = server_row([None] * count)
        self.table.write(Change(writes={"servers/a": row}))

    def refresh(self, vm, write_fault="ok"):
        daemon = self.daemons.get(vm)
        if daemon is None or not daemon.is_running:
            return
        daemon.platform.write_fault = write_fault
        task = self.loop.create_task(daemon.slots.refresh())
        for _ in range(5):
            self.loop.run_until_complete(asyncio.sleep(0))
        if not task.done():
            daemon.task = task
            return
        daemon.platform.write_fault = "ok"
        task.result()

    def finish_held_write(self, vm, write_fault):
        """Finish a held write with a fault, unless the daemon is frozen."""
        daemon = self.daemons.get(vm)
        if daemon is None or daemon.task is None or daemon.is_frozen:
            return
        daemon.platform.held_write.set_result(write_fault)
        self.loop.run_until_complete(daemon.task)
        daemon.task = None

    def apply_late_write(self, vm):
        if vm in self.daemons:
            self.daemons[vm].platform.apply_late_write()

    def kill(self, vm):
        daemon = self.daemons.pop(vm, None)
        if daemon is None:
            return
        if daemon.task is not None:
            daemon.task.cancel()
        self.network.members.pop(vm)
        self.network.frozen.discard(vm)
        for run in self.runs:
            run.has_slot = run.has_slot and run.daemon is not daemon

    def prove_end(self, vm):
        """Let peers get refused connections, which prove that the process has ended."""
        if vm not in self.daemons:
            self.network.ended.add(f"{vm}#{self.incarnations[vm]}")

    def restart(self, vm):
        if vm in self.daemons:
            return
        self.network.ended.add(f"{vm}#{self.incarnations[vm]}")
        self.incarnations[vm] += 1
        self.daemons[vm] = Daemon(self, vm, self.incarnations[vm])

    def freeze(self, vm):
        if vm in self.daemons:
            self.daemons[vm].is_frozen = True
            self.network.frozen.add(vm)

    def resume(self, vm):
        if vm in self.daemons:
            self.daemons[vm].is_frozen = False
        self.network.frozen.discard(vm)

    def drop_from_list(self, vm):
        """Remove a VM from the VM list although its daemon runs.

        It is listed again after ``MAX_MISSING_S`` unless its daemon is frozen.
        """
        daemon = self.daemons.get(vm)
        if daemon is None or not (daemon.is_frozen or daemon.platform.is_table_up):
            return
        self.network.ended.add(daemon.identity)
        self.missing_until[vm] = self.clock.now + MAX_MISSING_S

    def return_to_list(self, vm):
        if vm in self.daemons:
            self.network.ended.discard(self.daemons[vm].identity)
        self.missing_until.pop(vm, None)

    def disconnect(self, one, other):
        self.network.disconnected.add(frozenset((one, other)))

    def reconnect(self):
        self.network.disconnected.clear()

    def disconnect_table(self, vm):
        if vm in self.daemons and vm not in self.missing_until:
            self.daemons[vm].platform.is_table_up = False

    def restore_table(self, vm):
        if vm in self.daemons:
            self.daemons[vm].platform.is_table_up = not self.is_table_down

    def set_table(self, is_up):
        self.is_table_down = not is_up
        for daemon in self.daemons.values():
            daemon.platform.is_table_up = is_up

    def set_run_limit(self, vm, seconds):
        if vm in self.daemons:
            self.daemons[vm].set_run_limit(seconds)

    def send_requests(self, vm, count=1):
        """Take slots and send a request on each."""
        daemon = self.daemons.get(vm)
        if daemon is None or daemon.is_frozen:
            return
        for _ in range(count):
            slot = daemon.slots.take("filling")
            if slot is None or not daemon.slots.pool.may_send(slot):
                continue
            self.start_run(daemon, slot)

    def start_run(self, daemon, slot):
        """Start the request of a slot at its server."""
        slot.sent_at = self.clock.now
        ends_at = self.clock.now + slot.run_limit_s
        self.runs.append(ServerRun(daemon, slot, slot.server.name, ends_at))

    def answer(self, index):
        """Answer a request, so that its daemon frees the slot."""
        if not self.runs:
            return
        run = self.runs.pop(index % len(self.runs))
        if run.has_slot:
            run.daemon.slots.return_to_pool(run.slot)

    def abandon(self, index):
        """Abandon a request at its daemon, while the server continues to run it."""
        with_slot = [
            run for run in self.runs if run.has_slot and not run.daemon.is_frozen
        ]
        if with_slot:
            run = with_slot[index % len(with_slot)]
            run.has_slot = False
            run.daemon.slots.return_to_pool(run.slot, has_ended=False)

    def advance(self, seconds):
        for _ in range(seconds):
            self.clock.advance(TICK_S)
            self._return_missing()
            self._end_runs()
            for vm in list(self.daemons):
                self._advance_daemon(vm)

    def _advance_daemon(self, vm):
        daemon = self.daemons[vm]
        if daemon.is_frozen:
            return
        daemon.slots.pool.pause_detector.observe(self.clock.now)
        daemon.slots.pool.free_expired()
        self.finish_held_write(vm, "lost")
        self.refresh(vm)

    def _return_missing(self):
        for vm, end in list(self.missing_until.items()):
            daemon = self.daemons.get(vm)
            if daemon is None or (self.clock.now >= end and not daemon.is_frozen):
                self.return_to_list(vm)

    def _end_runs(self):
        over = [run for run in self.runs if run.ends_at <= self.clock.now]
        for run in over:
            self.runs.remove(run)
            if run.has_slot and not run.daemon.is_frozen:
                run.daemon.slots.return_to_pool(run.slot)

    def check(self):
        """Raise ``AssertionError`` if a server has more requests than slots."""
        in_progress = {}
        for run in self.runs:
            in_progress[run.server] = in_progress.get(run.server, 0) + 1
        over = {name: n for name, n in in_progress.items() if n > SLOTS}
        if over:
            raise AssertionError(f"overrun: {over}")

    def owned(self, vm):
        daemon = self.daemons[vm]
        return daemon.slots.pool.capacity("filling")
