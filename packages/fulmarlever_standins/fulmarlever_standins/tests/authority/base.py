"""Test cases in virtual time against a whole deployment."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine

from loguru import logger as log

from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster
from fulmarlever_standins.authority.virtual_time import run_virtual


class SimulatedClusterTestCase(TableTestCase):
    """Plays a scenario and checks what workers have seen."""

    def setUp(self):
        log.remove()

    def run_scenario(
        self, scenario: Callable[[SimulatedCluster], Coroutine], seed: int = 0
    ) -> SimulatedCluster:
        """Run a scenario on a new site and check that no task ran twice.

        ``seed`` decides what daemons draw, such as the pauses between two looks.
        """
        random.seed(seed)

        async def run() -> SimulatedCluster:
            cluster = SimulatedCluster()
            await scenario(cluster)
            return cluster

        cluster = run_virtual(run())
        self.assertEqual(
            cluster.record.overlaps, [], "two runs of a task at the same time"
        )
        self.assertEqual(
            cluster.record.restarted_after_done, [], "started again after done"
        )
        return cluster
