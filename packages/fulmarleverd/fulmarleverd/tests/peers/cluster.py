"""A test case with several membership services in one process, on loopback."""

from __future__ import annotations

import itertools
import unittest
from dataclasses import dataclass

from fulmarlever.clock import Clock
from fulmarlever.structure.messages import message
from fulmarlever.tests.base import wait_until
from fulmarlever.tests.ports import free_port
from fulmarleverd.kernel import Kernel
from fulmarleverd.services.membership import Membership
from fulmarleverd.services.timeline import Timeline
from fulmarleverd.settings import PeerSettings
from fulmarleverd.tests.base import make_kernel

SECRET = "a secret for tests"


@message("test-echo")
@dataclass(slots=True)
class Echo:
    text: str
    delay_s: float = 0.0


class ClusterTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with daemons that have only the services membership and timeline.

    The first letter of a VM's name is its zone.
    """

    def setUp(self) -> None:
        self.kernels: dict[str, Kernel] = {}
        self.addresses: dict[str, PeerSettings] = {}
        self.numbers = itertools.count(1)

    async def asyncTearDown(self) -> None:
        for kernel in self.kernels.values():
            await kernel.stop()

    def assign_addresses(self, *vms: str) -> None:
        for vm in vms:
            self.addresses[vm] = PeerSettings(vm, vm[0], "127.0.0.1", free_port())

    async def start(self, vm: str, **changes: object) -> Membership:
        address = self.addresses[vm]
        fields = {
            "vm": vm,
            "zone": address.zone,
            "peer_port": address.port,
            "peers": tuple(p for p in self.addresses.values() if p.vm != vm),
            "peer_secret": SECRET,
            "heartbeat_s": 0.05,
            "suspect_after_s": 0.5,
        }
        kernel = make_kernel(Clock(), **{**fields, **changes})
        kernel.add(Membership(kernel))
        kernel.add(Timeline(kernel))
        await kernel.start()
        self.kernels[vm] = kernel
        return kernel.find("membership")

    async def stop(self, vm: str) -> None:
        await self.kernels.pop(vm).stop()

    async def start_all(self, *vms: str) -> list[Membership]:
        self.assign_addresses(*vms)
        services = [await self.start(vm) for vm in vms]
        await wait_until(lambda: all(len(s.live()) == len(vms) - 1 for s in services))
        return services
