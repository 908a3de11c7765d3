from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.clock import ManualClock
from fulmarlever.config.reader import MAX_TEXT_BYTES, configuration_digest
from fulmarlever.findings import Findings
from fulmarlever.outcomes import Conflict, Refused, Unavailable
from fulmarlever.tests.base import wait_until
from fulmarlever_standins.table import MemoryTable
from fulmarleverd.generations import store as store_module
from fulmarleverd.generations.accepted import AcceptedGeneration
from fulmarleverd.kernel import Kernel
from fulmarleverd.services.config import ConfigService
from fulmarleverd.tests.base import make_kernel
from fulmarleverd.tests.generations.fakes import FakeMembership


def text_of(team: str) -> str:
    return f"teams:\n  {team}: {{}}\n"


def make_daemon(
    table: MemoryTable, vm: str, network: dict[str, FakeMembership] | None = None
) -> Kernel:
    kernel = make_kernel(ManualClock(), vm=vm, config_poll_s=0.02)
    kernel.find("platform").table = table
    kernel.add(FakeMembership(kernel, network))
    kernel.add(ConfigService(kernel))
    return kernel


class UncheckedConfigService(ConfigService):
    """Puts every generation in force, including older ones."""

    async def activate(self, accepted):
        self._activate(accepted.to_configuration(), accepted)
        return True


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("apply"), st.integers(0, 2), st.integers(0, 5)),
        st.tuples(st.just("repeat"), st.integers(0, 2), st.integers(0, 5)),
        st.tuples(st.just("refresh"), st.integers(0, 2), st.just(0)),
        st.tuples(st.just("table"), st.integers(0, 2), st.integers(0, 1)),
        st.tuples(st.just("lose"), st.integers(0, 2), st.integers(1, 3)),
        st.tuples(st.just("offer"), st.integers(0, 2), st.integers(0, 2)),
    ),
    max_size=25,
)


class Fleet:
    """Three daemons that share a table and run the steps of a test, with faults."""

    def __init__(self, kind: type[ConfigService]) -> None:
        rows = MemoryTable(ManualClock())
        self.kernels = [make_daemon(rows, f"entry-{n}") for n in range(3)]
        self.configs = [kind(kernel) for kernel in self.kernels]
        self.seen = [0, 0, 0]
        self.digests: dict[int, str] = {}
        self.applied: dict[str, int] = {}

    async def run(self, steps: list[tuple]) -> None:
        for config in self.configs:
            await config.start()
        try:
            for number, (step_name, daemon_index, argument) in enumerate(steps):
                await getattr(self, step_name)(daemon_index, argument, number)
                self.check()
        finally:
            for config in self.configs:
                await config.stop()

    async def apply(self, daemon_index, argument, number):
        expected = None if argument == 0 else self.seen[argument % 3]
        await self.send(
            daemon_index, f"apply-{number}", text_of(f"t{number}"), expected
        )

    async def repeat(self, daemon_index, argument, number):
        for apply_id in list(self.applied)[argument : argument + 1]:
            text = text_of(f"t{apply_id.split('-')[1]}")
            await self.send(daemon_index, apply_id, text, None)

    async def send(self, daemon_index, apply_id, text, expected):
        result = await self.configs[daemon_index].apply(text, expected, apply_id)
        if isinstance(result, int):
            assert self.applied.setdefault(apply_id, result) == result

    async def refresh(self, daemon_index, argument, number):
        await self.configs[daemon_index].refresh()

    async def table(self, daemon_index, argument, number):
        self.kernels[daemon_index].find("platform").is_table_up = bool(argument)

    async def lose(self, daemon_index, argument, number):
        self.kernels[daemon_index].find("platform").lose_answers = argument

    async def offer(self, daemon_index, argument, number):
        accepted = self.configs[argument].accepted()
        if accepted:
            await self.configs[daemon_index].activate(accepted)

    def check(self) -> None:
        for index, config in enumerate(self.configs):
            cfg = config.current()
            assert cfg.generation >= self.seen[index], "went back"
            self.seen[index] = cfg.generation
            known = self.digests.setdefault(cfg.generation, cfg.digest)
            assert known == cfg.digest, "one generation with two texts"


class ConfigPropertyTests(unittest.TestCase):
    @given(STEPS)
    def test_generations_never_decrease(self, steps):
        asyncio.run(Fleet(ConfigService).run(steps))

    def test_generations_decrease_without_the_check(self):
        steps = [("apply", 0, 0), ("refresh", 1, 0), ("apply", 0, 0), ("offer", 0, 1)]
        asyncio.run(Fleet(ConfigService).run(steps))
        with self.assertRaisesRegex(AssertionError, "went back"):
            asyncio.run(Fleet(UncheckedConfigService).run(steps))


class ConfigTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.table = MemoryTable(ManualClock())
        self.parse_count = 0
        self.network = {}
        self.kernels = [
            make_daemon(self.table, f"entry-{n}", self.network) for n in range(2)
        ]
        for kernel in self.kernels:
            await kernel.start()
        self.configs = [kernel.find("config") for kernel in self.kernels]

    async def asyncTearDown(self):
        for kernel in self.kernels:
            await kernel.stop()

    async def test_other_daemon_loads_a_generation_by_polling(self):
        seen = []
        self.configs[1].in_force.subscribe(lambda cfg: seen.append(cfg.generation))
        self.assertEqual(await self.configs[0].apply(text_of("a"), 0, "id-1"), 1)
        await wait_until(lambda: self.configs[1].current().generation == 1)
        self.assertEqual(seen, [0, 1])
        self.assertIn("a", self.configs[1].current().teams)

    async def test_refusals(self):
        rows = [
            ("findings", "zoens: []", None, "id-1", Findings),
            ("too large", "#" * (MAX_TEXT_BYTES + 1), None, "id-2", Refused),
            ("no apply id", text_of("a"), None, "", Refused),
            ("other generation", text_of("a"), 3, "id-3", Conflict),
        ]
        for name, text, expected, apply_id, kind in rows:
            with self.subTest(name):
                result = await self.configs[0].apply(text, expected, apply_id)
                self.assertIsInstance(result, kind)
        self.assertEqual(self.configs[0].current().generation, 0)

    async def test_outage(self):
        platform = self.kernels[0].find("platform")
        platform.is_table_up = False
        result = await self.configs[0].apply(text_of("a"), 0, "id-1")
        self.assertIsInstance(result, Unavailable)
        platform.is_table_up = True
        platform.lose_answers = 1
        self.assertEqual(await self.configs[0].apply(text_of("a"), 0, "id-1"), 1)

    async def test_generation_comes_from_a_peer_while_the_table_is_unavailable(self):
        self.kernels[1].find("platform").is_table_up = False
        await self.configs[0].apply(text_of("a"), 0, "id-1")
        await wait_until(lambda: self.configs[1].current().generation == 1)
        self.assertIn("a", self.configs[1].current().teams)
        self.network.clear()
        await self.configs[0].apply(text_of("b"), 1, "id-2")
        await self.configs[1].refresh()
        self.assertEqual(self.configs[1].current().generation, 1)

    async def test_new_daemon_without_the_table_loads_from_a_peer(self):
        await self.configs[0].apply(text_of("a"), 0, "id-1")
        kernel = make_daemon(MemoryTable(ManualClock()), "entry-9", self.network)
        kernel.find("platform").is_table_up = False
        await kernel.start()
        self.assertEqual(kernel.find("config").current().generation, 1)
        self.assertTrue(kernel.find("config").is_loaded)
        await kernel.stop()

    async def test_generation_that_cannot_be_parsed_is_not_fetched_again_at_once(self):
        await self.configs[0].apply(text_of("a"), 0, "id-1")
        # Polls by the services would be counted, too.
        for config in self.configs:
            await config.stop()
        text = "option-of-a-later-version: 1"
        change = store_module._change(
            AcceptedGeneration(2, configuration_digest(text), text),
            await self.head(),
            "id-2",
        )
        self.table.write(change)
        clock = self.kernels[0].clock
        original = AcceptedGeneration.to_configuration
        for seconds, parse_count in ((0, 1), (0, 1), (31, 2), (0, 2)):
            clock.advance(seconds)
            with mock.patch.object(
                AcceptedGeneration,
                "to_configuration",
                autospec=True,
                side_effect=original,
            ) as read:
                await self.configs[0].refresh()
                self.parse_count += read.call_count
            self.assertEqual(self.parse_count, parse_count)
            self.assertEqual(self.configs[0].current().generation, 1)

    async def test_new_daemon_is_not_loaded_with_a_generation_that_cannot_be_parsed(
        self,
    ):
        text = "option-of-a-later-version: 1"
        accepted = AcceptedGeneration(1, configuration_digest(text), text)
        change = store_module._change(accepted, store_module.Head(), "id-1")
        self.table.write(change)
        kernel = make_daemon(self.table, "entry-9")
        await kernel.start()
        await kernel.find("config").refresh()
        self.assertFalse(kernel.find("config").is_loaded)
        await kernel.stop()

    async def head(self):
        rows = {row.key: row for row in self.table.read(["config/head"])}
        return store_module.Head.from_rows(rows)

    async def test_exception_of_a_subscriber_does_not_end_polling(self):
        def fail(cfg):
            if cfg.generation == 1:
                raise ValueError("fault of a subscriber")

        self.configs[1].in_force.subscribe(fail)
        await self.configs[0].apply(text_of("a"), 0, "id-1")
        await wait_until(lambda: self.configs[1].current().generation == 1)
        await self.configs[0].apply(text_of("b"), 1, "id-2")
        await wait_until(lambda: self.configs[1].current().generation == 2)

    async def test_damaged_text_is_not_put_in_force(self):
        await self.configs[0].apply(text_of("a"), 0, "id-1")
        accepted = self.configs[0].accepted()
        damaged = type(accepted)(2, accepted.digest, "teams: {}", {})
        self.assertFalse(await self.configs[1].activate(damaged))
