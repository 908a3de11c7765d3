from __future__ import annotations

import unittest

from fulmarlever.exceptions import KernelError
from fulmarleverd.kernel import Kernel, Service
from fulmarleverd.settings import Settings

SETTINGS = Settings(vm="vm-1", zone="a", address="127.0.0.1", platform="127.0.0.1:1")


def make_service(name: str, journal: list[str], fails: str = "") -> type[Service]:
    class Recorder(Service):
        async def start(self) -> None:
            if fails == "start":
                raise OSError("port in use")
            journal.append(f"start {name}")

        async def drain(self) -> None:
            if fails == "drain":
                raise OSError("gone")
            journal.append(f"drain {name}")

        async def stop(self) -> None:
            journal.append(f"stop {name}")

    Recorder.name = name
    return Recorder


class KernelTests(unittest.IsolatedAsyncioTestCase):
    def build(self, *rows: tuple[str, str]) -> tuple[Kernel, list[str]]:
        journal: list[str] = []
        kernel = Kernel(SETTINGS)
        for name, fails in rows:
            kernel.add(make_service(name, journal, fails)(kernel))
        return kernel, journal

    async def test_stops_in_reverse_order_after_draining_all(self):
        kernel, journal = self.build(("a", ""), ("b", ""))
        await kernel.start()
        await kernel.stop()
        self.assertEqual(
            journal,
            ["start a", "start b", "drain b", "drain a", "stop b", "stop a"],
        )

    async def test_failed_start_stops_what_was_started(self):
        kernel, journal = self.build(("a", ""), ("b", "start"))
        with self.assertRaises(OSError):
            await kernel.start()
        self.assertEqual(journal, ["start a", "stop a"])

    async def test_failed_drain_does_not_keep_others_from_stopping(self):
        kernel, journal = self.build(("a", ""), ("b", "drain"))
        await kernel.start()
        await kernel.stop()
        self.assertEqual(journal[2:], ["drain a", "stop b", "stop a"])

    async def test_unknown_service_is_named(self):
        kernel, _ = self.build()
        with self.assertRaisesRegex(KernelError, "router"):
            kernel.find("router")
