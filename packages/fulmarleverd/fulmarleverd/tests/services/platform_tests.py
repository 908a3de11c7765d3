from __future__ import annotations

from fulmarlever.clock import Clock
from fulmarlever.structure.fleet import VM, VMState
from fulmarlever.tests.base import wait_until
from fulmarlever_standins.platform import Platform
from fulmarlever_standins.tests.base import ServerTestCase
from fulmarleverd.services.platform import PlatformService
from fulmarleverd.tests.base import make_kernel


class VMListTests(ServerTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.platform = Platform()
        address = await self.serve(self.platform.build_app())
        kernel = make_kernel(Clock(), platform=address, vm_list_poll_s=0.02)
        self.service = PlatformService(kernel)
        self.emitted = []
        self.service.vm_changes.subscribe(self.emitted.append)
        self.put(VMState.LIVE)
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)

    def put(self, state: VMState) -> None:
        vm = VM("w-1", "a", "worker", "127.0.0.1", 1, state)
        self.platform.vms.put(vm.to_wire())

    async def test_unchanged_list_stays_fresh_and_is_emitted_once(self):
        reads = self.platform.counts["list_reads"]
        await wait_until(lambda: self.platform.counts["list_reads"] > reads + 3)
        self.assertLess(self.service.vms_age_s(), 5.0)
        self.assertEqual(len(self.emitted), 1)

    async def test_changed_list_is_read_and_emitted(self):
        self.put(VMState.LEAVING)
        await wait_until(lambda: self.service.vms()["w-1"].state is VMState.LEAVING)
        self.assertEqual(len(self.emitted), 2)
