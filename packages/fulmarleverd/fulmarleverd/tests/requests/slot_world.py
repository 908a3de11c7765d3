"""A model of a zone for tests of slot ownership: daemons, table, servers and time.

Nothing here runs by itself: each method is one step, and :meth:`SlotWorld.check`
says after each whether a backend server has more requests than slots.
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
LONGEST_FLAP_S = 20


class WorldPlatform(FakePlatform):
    """A platform whose next write has a chosen fate.

    ``lost`` takes effect without an answer, ``dropped`` has neither, ``late`` takes
    effect only when ``land`` is called, and ``held`` waits for ``release``.
    """

    fate = "ok"
    late = None
    gate = None

    async def commit(self, change, priority):
        fate, self.fate = self.fate, "ok"
        if fate == "held":
            self.gate = asyncio.get_running_loop().create_future()
            fate = await self.gate
        if fate == "dropped":
            return OutcomeUnknown("lost")
        if fate == "late":
            self.late = change
            return OutcomeUnknown("lost")
        result = await self.write(change)
        if fate == "lost" and not isinstance(result, Conflict | Unavailable):
            return OutcomeUnknown("lost")
        return result

    def land(self):
        change, self.late = self.late, None
        if change is not None:
            self.table.write(change)


class Daemon:
    """The slots service of one process."""

    def __init__(self, world, vm, incarnation):
        self.world = world
        self.vm = vm
        self.identity = f"{vm}#{incarnation}"
        self.is_frozen = False
        self.task = None
        kernel = make_kernel(world.clock, vm=vm)
        self.platform = WorldPlatform(kernel, world.table)
        self.platform.is_table_up = not world.is_table_down
        kernel.add(self.platform)
        self.config = FakeConfig(kernel)
        kernel.add(self.config)
        self.set_run_limit(10.0)
        kernel.add(FakeMembership(kernel, world.network, incarnation))
        self.slots = world.slots_class(kernel)
        self.slots.prepare()

    def set_run_limit(self, seconds):
        service = replace(spec(), max_run_s=seconds)
        self.config.configuration = Configuration(services={"filling": service})

    @property
    def is_running(self):
        return not self.is_frozen and self.task is None


@dataclass
class Run:
    """A request at a backend server, and the slot its daemon holds for it."""

    daemon: Daemon
    slot: object
    server: str
    ends_at: float
    is_held: bool = True


class SlotWorld:
    """One zone with three entry VMs and two backend servers."""

    slots_class = Slots

    def __init__(self):
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.network = FakeNetwork()
        self.loop = asyncio.new_event_loop()
        self.is_table_down = False
        self.flapping = {}
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

    def refresh(self, vm, fate="ok"):
        daemon = self.daemons.get(vm)
        if daemon is None or not daemon.is_running:
            return
        daemon.platform.fate = fate
        task = self.loop.create_task(daemon.slots.refresh())
        for _ in range(5):
            self.loop.run_until_complete(asyncio.sleep(0))
        if not task.done():
            daemon.task = task
            return
        daemon.platform.fate = "ok"
        task.result()

    def release(self, vm, fate):
        """Let a held write go on; a frozen daemon reads the answer when it wakes."""
        daemon = self.daemons.get(vm)
        if daemon is None or daemon.task is None or daemon.is_frozen:
            return
        daemon.platform.gate.set_result(fate)
        self.loop.run_until_complete(daemon.task)
        daemon.task = None

    def land(self, vm):
        if vm in self.daemons:
            self.daemons[vm].platform.land()

    def kill(self, vm):
        daemon = self.daemons.pop(vm, None)
        if daemon is None:
            return
        if daemon.task is not None:
            daemon.task.cancel()
        self.network.members.pop(vm)
        self.network.frozen.discard(vm)
        for run in self.runs:
            run.is_held = run.is_held and run.daemon is not daemon

    def prove_end(self, vm):
        """Let peers see refused connections, which only an ended process gives."""
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

    def thaw(self, vm):
        if vm in self.daemons:
            self.daemons[vm].is_frozen = False
        self.network.frozen.discard(vm)

    def drop_from_list(self, vm):
        """Let the VM list lose a VM that is there, for a while unless it is frozen."""
        daemon = self.daemons.get(vm)
        if daemon is None or not (daemon.is_frozen or daemon.platform.is_table_up):
            return
        self.network.ended.add(daemon.identity)
        self.flapping[vm] = self.clock.now + LONGEST_FLAP_S

    def return_to_list(self, vm):
        if vm in self.daemons:
            self.network.ended.discard(self.daemons[vm].identity)
        self.flapping.pop(vm, None)

    def cut(self, one, other):
        self.network.cuts.add(frozenset((one, other)))

    def heal(self):
        self.network.cuts.clear()

    def cut_table(self, vm):
        if vm in self.daemons and vm not in self.flapping:
            self.daemons[vm].platform.is_table_up = False

    def heal_table(self, vm):
        if vm in self.daemons:
            self.daemons[vm].platform.is_table_up = not self.is_table_down

    def set_table(self, is_up):
        self.is_table_down = not is_up
        for daemon in self.daemons.values():
            daemon.platform.is_table_up = is_up

    def set_run_limit(self, vm, seconds):
        if vm in self.daemons:
            self.daemons[vm].set_run_limit(seconds)

    def begin(self, vm, count=1):
        """Take slots and send a request on each."""
        daemon = self.daemons.get(vm)
        if daemon is None or daemon.is_frozen:
            return
        for _ in range(count):
            slot = daemon.slots.take("filling")
            if slot is None or not daemon.slots.pool.may_send(slot):
                continue
            self.hold(daemon, slot)

    def hold(self, daemon, slot):
        """Let a server begin the request of a slot."""
        slot.sent_at = self.clock.now
        ends_at = self.clock.now + slot.run_limit_s
        self.runs.append(Run(daemon, slot, slot.server.name, ends_at))

    def answer(self, index):
        """Let a server answer a request; its daemon frees the slot."""
        if not self.runs:
            return
        run = self.runs.pop(index % len(self.runs))
        if run.is_held:
            run.daemon.slots.give_back(run.slot)

    def abandon(self, index):
        """Let a daemon give a request up while the server goes on with it."""
        held = [run for run in self.runs if run.is_held and not run.daemon.is_frozen]
        if held:
            run = held[index % len(held)]
            run.is_held = False
            run.daemon.slots.give_back(run.slot, is_free=False)

    def advance(self, seconds):
        for _ in range(seconds):
            self.clock.advance(TICK_S)
            self._end_flaps()
            self._end_runs()
            for vm in list(self.daemons):
                self._tick(vm)

    def _tick(self, vm):
        daemon = self.daemons[vm]
        if daemon.is_frozen:
            return
        daemon.slots.pool.guard.beat(self.clock.now)
        daemon.slots.pool.free_expired()
        self.release(vm, "lost")
        self.refresh(vm)

    def _end_flaps(self):
        for vm, end in list(self.flapping.items()):
            daemon = self.daemons.get(vm)
            if daemon is None or (self.clock.now >= end and not daemon.is_frozen):
                self.return_to_list(vm)

    def _end_runs(self):
        over = [run for run in self.runs if run.ends_at <= self.clock.now]
        for run in over:
            self.runs.remove(run)
            if run.is_held and not run.daemon.is_frozen:
                run.daemon.slots.give_back(run.slot)

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
