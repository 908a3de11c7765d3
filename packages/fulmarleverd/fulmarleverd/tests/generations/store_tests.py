from __future__ import annotations

import asyncio
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.clock import ManualClock
from fulmarlever.outcomes import (
    Conflict,
    OutcomeUnknown,
    Refused,
    Unavailable,
    failed,
)
from fulmarlever.structure.table import Change
from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.table import MemoryTable
from fulmarleverd.generations import store as store_module
from fulmarleverd.generations.accepted import AcceptedGeneration
from fulmarleverd.generations.store import GenerationStore
from fulmarleverd.tests.base import FakePlatform, make_kernel

# The faults of one write: none, the answer is lost after the write, the request is lost
# before it, the write is delayed until the next call, or the table is down.
WRITE_FAULTS = ("none", "answer lost", "request lost", "delayed", "down")


class FaultyPlatform(FakePlatform):
    """A platform whose writes get the given faults and whose calls interleave."""

    def __init__(self, table: MemoryTable, faults: list[str] = ()) -> None:
        super().__init__(make_kernel(), table)
        self.faults = list(faults)
        self.delayed: list[Change] = []
        self.took_effect: list[int] = []

    async def read(self, keys, prefixes=()):
        await asyncio.sleep(0)
        return await super().read(keys, prefixes)

    async def write(self, change):
        await asyncio.sleep(0)
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "down":
            return Unavailable("the table is down")
        if fault == "delayed":
            self.delayed.append(change)
        elif fault != "request lost":
            result = await self.take_effect(change)
            if fault == "none":
                return result
        if fault != "delayed":
            await self.flush()
        return OutcomeUnknown("the answer was lost")

    async def take_effect(self, change):
        result = await super().write(change)
        if not failed(result):
            self.took_effect.append(change.writes["config/head"]["generation"])
        return result

    async def flush(self) -> None:
        while self.delayed:
            await self.take_effect(self.delayed.pop(0))


def apply(store: GenerationStore, text: str, expected: int | None, apply_id: str):
    return store.apply(text, [], expected, apply_id, 0)


async def race(
    faults: list[str], texts: list[str], expected: list[int | None]
) -> tuple:
    """Run applies concurrently on one table.

    Return their results, the generations that took effect and the newest generation.
    """
    platform = FaultyPlatform(MemoryTable(ManualClock()), faults)
    store = GenerationStore(platform, ManualClock(), retry_delay_s=0)
    calls = (
        apply(store, text, generation, f"id-{index}")
        for index, (text, generation) in enumerate(zip(texts, expected, strict=True))
    )
    results = await asyncio.gather(*calls)
    await platform.flush()
    head = (await store.poll(0)).newer
    return results, platform.took_effect, head


def without_condition(accepted, head, apply_id):
    change = ORIGINAL_CHANGE(accepted, head, apply_id)
    change.conditions.clear()
    return change


ORIGINAL_CHANGE = store_module._change


def check_race(results, took_effect, head) -> None:
    """Raise ``AssertionError`` unless every result agrees with the table."""
    assert took_effect == sorted(set(took_effect)), f"repeated: {took_effect}"
    won = [result for result in results if isinstance(result, AcceptedGeneration)]
    numbers = [result.generation for result in won]
    assert len(numbers) == len(set(numbers)), f"two applies won: {numbers}"
    assert set(numbers) <= set(took_effect), "reported as applied without effect"
    lost = sum(isinstance(r, Conflict | Unavailable) for r in results)
    assert len(took_effect) <= len(results) - lost, "reported as not applied, but was"
    if took_effect:
        assert head.generation == max(took_effect)


RACES = [
    ("both expect the same generation", [], [0, 0], 1),
    ("both expect no generation", [], [None, None], 1),
    ("lost answer", ["answer lost"], [0], 1),
    ("lost answer and a race", ["answer lost", "none"], [0, 0], 1),
    ("delayed write", ["delayed"], [0], 1),
    ("delayed write and a race", ["delayed", "none"], [0, 0], 1),
    ("lost request", ["request lost"], [0], 1),
    ("down", ["down"], [0], 0),
    ("three faults", ["answer lost", "delayed", "request lost"], [0, 0, 0], 1),
    ("wrong generation", [], [4], 0),
]


class StoreTests(TableTestCase):
    def test_one_of_several_concurrent_applies_wins(self):
        for _, faults, expected, winners in self.each(RACES):
            texts = [f"text {index}" for index in range(len(expected))]
            results, effects, head = asyncio.run(race(faults, texts, expected))
            check_race(results, effects, head)
            won = [r for r in results if isinstance(r, AcceptedGeneration)]
            self.assertEqual(len(won), winners, results)

    @given(
        st.lists(st.sampled_from(WRITE_FAULTS), max_size=8),
        st.lists(st.sampled_from([None, 0]), min_size=1, max_size=4),
    )
    def test_results_agree_with_the_table_under_faults(self, faults, expected):
        texts = [f"text {index}" for index in range(len(expected))]
        check_race(*asyncio.run(race(faults, texts, expected)))

    def test_check_fails_without_compare_and_swap(self):
        with (
            mock.patch.object(store_module, "_change", without_condition),
            self.assertRaisesRegex(AssertionError, "repeated"),
        ):
            check_race(*asyncio.run(race([], ["a", "b"], [0, 0])))

    def test_conflict_reports_the_generation_in_force(self):
        results, _, _ = asyncio.run(race([], ["a", "b"], [0, 0]))
        (lost,) = (r for r in results if isinstance(r, Conflict))
        self.assertEqual(lost.reason, "generation 1 is in force")

    def test_repeated_applies(self):
        asyncio.run(self.check_repeated_applies())

    async def check_repeated_applies(self):
        platform = FaultyPlatform(MemoryTable(ManualClock()))
        store = GenerationStore(platform, ManualClock(), retry_delay_s=0)
        first = await apply(store, "a", 0, "id-1")
        second = await apply(store, "b", 1, "id-2")
        rows = [
            ("same id after a newer one", "a", 0, "id-1", first.generation),
            ("same id and text", "b", 1, "id-2", second.generation),
            ("same text, new id", "b", 0, "id-3", second.generation),
        ]
        for _, text, expected, apply_id, generation in self.each(rows):
            result = await apply(store, text, expected, apply_id)
            self.assertEqual(result.generation, generation)
        refused = await apply(store, "c", 2, "id-1")
        self.assertIsInstance(refused, Refused)
        self.assertEqual(platform.took_effect, [1, 2])

    def test_outcome_is_unknown_while_the_table_is_down(self):
        results, effects, _ = asyncio.run(
            race(["answer lost"] + ["down"] * 9, ["a"], [0])
        )
        self.assertIsInstance(results[0], AcceptedGeneration)
        self.assertEqual(effects, [1])
        result = asyncio.run(self.apply_while_table_goes_down())
        self.assertIsInstance(result, OutcomeUnknown)
        self.assertIn("same apply id", result.reason)

    async def apply_while_table_goes_down(self):
        platform = FaultyPlatform(MemoryTable(ManualClock()), ["answer lost"] * 9)
        store = GenerationStore(platform, ManualClock(), retry_delay_s=0)
        original = platform.take_effect

        async def take_effect_and_go_down(change):
            await original(change)
            platform.is_table_up = False

        platform.take_effect = take_effect_and_go_down
        return await apply(store, "a", 0, "id-1")

    def test_jobs_keep_their_submission_time(self):
        asyncio.run(self.check_submissions())

    async def check_submissions(self):
        clock = ManualClock(100.0)
        store = GenerationStore(FaultyPlatform(MemoryTable(clock)), clock, 0)
        await store.apply("a", ["one"], 0, "id-1", 0)
        clock.advance(50)
        second = await store.apply("b", ["one", "two"], 1, "id-2", 0)
        self.assertEqual(second.submissions, {"one": 100.0, "two": 150.0})

    def test_generation_exceeds_a_known_one_that_the_table_lost(self):
        store = GenerationStore(FaultyPlatform(MemoryTable()), ManualClock(), 0)
        result = asyncio.run(store.apply("a", [], 7, "id-1", known=7))
        self.assertEqual(result.generation, 8)
