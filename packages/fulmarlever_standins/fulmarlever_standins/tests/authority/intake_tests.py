"""Submissions of jobs to a daemon that the store does not answer."""

from __future__ import annotations

import asyncio

from loguru import logger as log

from fulmarlever.outcomes import NotRun, OutcomeUnknown, Unavailable
from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.authority.simulated_cluster import LABELS_QUEUE, job
from fulmarlever_standins.authority.virtual_time import VirtualClock, run_virtual
from fulmarleverd.scheduling.ports import (
    CommitResult,
    Transaction,
)
from fulmarleverd.scheduling.submission.intake import Intake

SUBMIT_TIMEOUT_S = 2.9
CONNECTION_LOST = OutcomeUnknown("connection lost before the answer")


class FaultyStore:
    """A store that answers transactions with scripted results.

    After ``None``, or at the end of the script, a transaction times out.
    """

    def __init__(self, *script: CommitResult | None) -> None:
        self.script = list(script)

    async def read(self, *args: object) -> Unavailable:
        return Unavailable("no answer")

    async def transact(self, tx: Transaction, timeout_s: float) -> CommitResult:
        result = self.script.pop(0) if self.script else None
        if result is None:
            await asyncio.sleep(timeout_s)
            return OutcomeUnknown("no answer")
        return result


class UnresponsiveStoreTests(TableTestCase):
    ROWS = (
        ("answered recently", (), 0.5, OutcomeUnknown, 2.8, 3.0),
        ("unanswered for long", (), 1.4, OutcomeUnknown, 0.5, 0.8),
        ("reset at once", (CONNECTION_LOST,) * 99, 1.4, OutcomeUnknown, 0.6, 0.8),
        ("refused", (Unavailable("503"),), 1.4, NotRun, 0.0, 0.1),
        (
            "unanswered, then refused",
            (None, Unavailable("503")),
            0.5,
            OutcomeUnknown,
            0.5,
            0.8,
        ),
    )

    def setUp(self):
        log.remove()

    def test_a_submission_returns_when_waiting_longer_is_useless(self):
        for _, script, silence_s, outcome, min_s, max_s in self.each(self.ROWS):

            async def scenario(script=script, silence_s=silence_s):
                clock = VirtualClock()
                intake = Intake(FaultyStore(*script), clock, lambda: silence_s)
                result = await intake.submit(job("j"), LABELS_QUEUE, SUBMIT_TIMEOUT_S)
                return result, clock.monotonic()

            result, took_s = run_virtual(scenario())
            self.assertIsInstance(result, outcome)
            self.assertTrue(min_s <= took_s <= max_s, took_s)
