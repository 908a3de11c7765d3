from __future__ import annotations

import asyncio
import unittest
from typing import Any

from fulmarlever.outcomes import Conflict, OutcomeUnknown, Unavailable, failed
from fulmarlever_cli.client import AdminClient
from fulmarlever_cli.daemons import fetch_daemon_statuses
from fulmarlever_standins.client import wait_for
from fulmarlever_standins.cluster import Cluster

IN_FORCE_LIMIT_S = 9.0
SETTINGS = {"table_timeout_s": 0.5}


class ConfigFailureTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = Cluster.from_zones(("a", "b"), 2, 1, SETTINGS)
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.entries = self.cluster.topology.entries
        self.highest: dict[str, int] = {}

    async def apply(
        self, team: str, expected: int | None = None, entry: int = 0
    ) -> Any:
        """Apply a file under an id of its own, through one daemon."""
        admin = self.entries[entry].admin
        async with AdminClient([admin], self.cluster.operator_token) as client:
            return await client.post(
                "/v1/apply",
                text=f"zones: [a, b]\nteams: {{{team}: {{}}}}\n",
                apply_id=f"apply-{team}",
                if_generation=expected,
            )

    async def generations(self) -> dict[str, int]:
        """Return the generation of each daemon, and check that none went back."""
        admins = [vm.admin for vm in self.entries]
        async with AdminClient(admins, self.cluster.operator_token) as client:
            daemons, _ = await fetch_daemon_statuses(client)
        found = {daemon["vm"]: daemon["generation"] for daemon in daemons}
        for vm, generation in found.items():
            self.assertGreaterEqual(generation, self.highest.get(vm, 0))
        self.highest.update(found)
        return found

    async def wait_everywhere(self, generation: int) -> None:
        async def is_everywhere() -> bool:
            found = await self.generations()
            return len(found) == len(self.entries) and set(found.values()) == {
                generation
            }

        await wait_for(is_everywhere, f"generation {generation}", IN_FORCE_LIMIT_S)

    async def test_accepted_generations_stay_in_force(self):
        await self.race()
        await self.lose_answers()
        await self.take_the_table_away()
        await self.cut_a_zone()

    async def race(self) -> None:
        results = await asyncio.gather(
            *(self.apply(f"t{n}", 0, n) for n in range(len(self.entries)))
        )
        lost = [result for result in results if failed(result)]
        self.assertEqual(len(lost), len(self.entries) - 1, results)
        for result in lost:
            self.assertIsInstance(result, Conflict)
            self.assertIn("generation 1 is in force", result.reason)
        await self.wait_everywhere(1)

    async def lose_answers(self) -> None:
        await self.cluster.faults(lose_answers=1.0)
        tried = await self.apply("lost")
        if failed(tried):
            self.assertIsInstance(tried, OutcomeUnknown)
        await self.cluster.faults(lose_answers=0.0)
        self.assertEqual(await self.apply("lost"), {"generation": 2})
        self.assertEqual(await self.apply("lost", entry=3), {"generation": 2})
        await self.wait_everywhere(2)

    async def take_the_table_away(self) -> None:
        await self.cluster.faults(table="down")
        self.assertIsInstance(await self.apply("refused"), Unavailable)
        name = self.entries[0].name
        await self.cluster.kill(name)
        self.highest.pop(name)
        await self.cluster.start_vm(name)
        await self.wait_everywhere(2)
        await self.cluster.faults(table="ok")

    async def cut_a_zone(self) -> None:
        await self.cluster.faults(cut=["b"])
        self.assertEqual(await self.apply("cut"), {"generation": 3})
        await self.wait_everywhere(3)
        refused = await self.apply("far", entry=3)
        self.assertIsInstance(refused, Unavailable | OutcomeUnknown)
        await self.cluster.faults(cut=[])
        await self.wait_everywhere(3)
