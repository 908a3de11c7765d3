"""Starts that get no answer, and starts that this process could not send."""

from __future__ import annotations

import asyncio
from unittest import mock

from fulmarlever.outcomes import Failure, LocalShortage, OutcomeUnknown, Unavailable
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers import worker_commands
from fulmarleverd.scheduling.workers.worker_commands import WorkerCommands
from fulmarleverd.tests.scheduling.base import OwnerTestCase


class SameAnswer:
    """Fake calls to workers, of which each start has the same result."""

    def __init__(self, answer: Failure) -> None:
        self._answer = answer

    async def start(self, *args: object) -> Failure:
        return self._answer


class FailedStartsTests(OwnerTestCase):
    # Regression (LOST): workers that the owner had no descriptors for were taken for
    # workers without an answer, and got no starts for a while.
    def test_a_worker_is_blamed_only_for_its_own_silence(self):
        rows = (
            ("no connection", Unavailable("refused"), True),
            ("no answer", OutcomeUnknown("no answer"), True),
            ("no descriptor", LocalShortage("too many open files"), False),
        )
        for name, answer, is_blamed in self.each(rows):
            self.setUp()
            commands = WorkerCommands(self.owner, SameAnswer(answer))
            self.owner.commands = commands
            job = self.add_job(name, StepSpec())
            worker = self.workers[0]
            run = self.owner.assign(job.occurrences[0][0].tasks[0], worker)

            async def start(commands=commands, run=run):
                commands.send_start(run)
                await asyncio.gather(*commands._tasks)

            with mock.patch.object(worker_commands, "RETRY_S", 0.0):
                asyncio.run(start())
            is_paused = worker.holds.is_held_at(self.owner.now_s())
            self.assertEqual((is_paused, not worker.is_reachable), (is_blamed,) * 2)
            self.assertFalse(run.is_active and run.state == "sent")
