"""Test cases in virtual time against a whole deployment."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine

from loguru import logger as log

from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.authority.site import Site
from fulmarlever_standins.authority.virtual_time import run_virtual


class SiteTestCase(TableTestCase):
    """Plays a scenario and checks what workers have seen."""

    def setUp(self):
        log.remove()

    def play(self, scenario: Callable[[Site], Coroutine], seed: int = 0) -> Site:
        """Run a scenario on a new site and check that no task ran twice.

        ``seed`` decides what daemons draw, such as the pauses between two looks.
        """
        random.seed(seed)

        async def run() -> Site:
            site = Site()
            await scenario(site)
            return site

        site = run_virtual(run())
        self.assertEqual(
            site.record.overlaps, [], "two runs of a task at the same time"
        )
        self.assertEqual(
            site.record.restarted_after_done, [], "started again after done"
        )
        return site
