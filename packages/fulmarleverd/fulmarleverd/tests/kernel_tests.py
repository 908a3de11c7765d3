from __future__ import annotations

import unittest

from fulmarlever.exceptions import KernelError
from fulmarleverd.kernel import Kernel, Service
from fulmarleverd.settings import Settings

SETTINGS = Settings(vm="vm-1", zone="a", address="127.0.0.1", platform="127.0.0.1:1")


def make_service(name: str, calls: list[str], fails: str = "") -> type[Service]:
    class Recorder(Service):
        async def start(self) -> None:
            if fails == "start":
                raise OSError("port in use")
            calls.append(f"start {name}")

        async def drain(self) -> None:
            if fails == "drain":
                raise OSError("gone")
            calls.append(f"drain {name}")

        async def stop(self) -> None:
            calls.append(f"stop {name}")

    Recorder.name = name
    return Recorder


class KernelTests(unittest.IsolatedAsyncioTestCase):
    def build(self, *rows: tuple[str, str]) -> tuple[Kernel, list[str]]:
        calls: list[str] = []
        kernel = Kernel(SETTINGS)
        for name, fails in rows:
            kernel.add(make_service(name, calls, fails)(kernel))
        return kernel, calls

    async def test_services_stop_in_reverse_order_after_all_have_drained(self):
        kernel, calls = self.build(("a", ""), ("b", ""))
        await kernel.start()
        await kernel.stop()
        self.assertEqual(
            calls,
            ["start a", "start b", "drain b", "drain a", "stop b", "stop a"],
        )

    async def test_failed_start_stops_the_services_already_started(self):
        kernel, calls = self.build(("a", ""), ("b", "start"))
        with self.assertRaises(OSError):
            await kernel.start()
        self.assertEqual(calls, ["start a", "stop a"])

    async def test_failed_drain_does_not_prevent_the_stop_of_other_services(self):
        kernel, calls = self.build(("a", ""), ("b", "drain"))
        await kernel.start()
        await kernel.stop()
        self.assertEqual(calls[2:], ["drain a", "stop b", "stop a"])

    async def test_unknown_service_raises_an_error_with_its_name(self):
        kernel, _ = self.build()
        with self.assertRaisesRegex(KernelError, "router"):
            kernel.find("router")
