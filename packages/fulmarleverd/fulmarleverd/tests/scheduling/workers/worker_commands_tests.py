"""Commands that end unexpectedly, or after their run has moved."""

from __future__ import annotations

import asyncio

from fulmarlever.outcomes import OutcomeUnknown
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.ports import Accepted, Command
from fulmarleverd.scheduling.specs import StepSpec, WorkerEntry
from fulmarleverd.scheduling.workers.worker_commands import (
    MAX_START_ATTEMPTS,
    WorkerCommands,
)
from fulmarleverd.tests.scheduling.base import OwnerTestCase


class FaultyCalls:
    """Calls of which the first start or the first stop raises an error."""

    def __init__(self, faulty: str) -> None:
        self._faulty = faulty
        self.stops: list[Command] = []

    async def start(self, entry: WorkerEntry, command: Command) -> Accepted:
        if self._faulty == "start":
            raise ValueError("start")
        return Accepted(1000)

    async def stop(self, entry: WorkerEntry, command: Command) -> Accepted:
        self.stops.append(command)
        if self._faulty == "stop" and len(self.stops) == 1:
            raise ValueError("stop")
        return Accepted(1000)


class SilentCalls:
    """Calls without an answer; ``on_last_start`` is called during the last start."""

    def __init__(self, on_last_start: object) -> None:
        self._on_last_start = on_last_start
        self._starts = 0

    async def start(self, entry: WorkerEntry, command: Command) -> OutcomeUnknown:
        self._starts += 1
        if self._starts == MAX_START_ATTEMPTS:
            self._on_last_start()
        return OutcomeUnknown("no answer")

    async def stop(self, entry: WorkerEntry, command: Command) -> Accepted:
        return Accepted(1000)


class WorkerCommandsTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.lease.may_extend = True

    def assign(self, name: str) -> Run:
        worker = self.add_worker(name)
        self.report(worker)
        job = self.add_job(f"j{name}", StepSpec(cpu_m=1000))
        return self.owner.assign(job.occurrences[0][0].tasks[0], worker)

    async def send(self, run: Run, calls: object) -> None:
        """Send a start, and a stop if it is accepted, until nothing is left to send."""
        self.owner.commands = commands = WorkerCommands(self.owner, calls)
        commands.send_start(run)
        await self.finish(commands)
        if run.state is RunState.RUNNING:
            self.owner.stop_run(run, "test")
            await self.finish(commands)

    async def finish(self, commands: WorkerCommands) -> None:
        while commands._tasks:
            await asyncio.gather(*commands._tasks, return_exceptions=True)

    # Guards against a run that stays uncertain for as long as its worker answers, as
    # nothing sends its start or its stop any more.
    def test_a_run_whose_command_fails_unexpectedly_is_planned_again(self):
        for (faulty,) in self.each((("start",), ("stop",))):
            run = self.assign(faulty)
            calls = FaultyCalls(faulty)
            asyncio.run(self.send(run, calls))
            self.assertEqual(run.state, RunState.STOPPING)
            self.assertLessEqual(run.confirmed_at_s, self.clock.now)
            self.clock.advance(1.0)
            self.report(run.worker)
            self.assertTrue(run.task.is_waiting)

    # Guards against a pause of the next incarnation for the silence of the one before.
    def test_unanswered_starts_do_not_concern_the_worker_that_a_run_moved_to(self):
        run = self.assign("w3")
        moved_to = []

        def restart():
            moved_to.append(self.add_worker("w3", incarnation="2"))
            self.report(moved_to[0])

        asyncio.run(self.send(run, SilentCalls(restart)))
        self.assertIs(run.worker, moved_to[0])
        self.assertTrue(moved_to[0].is_reachable)
        self.assertTrue(moved_to[0].accepts_runs(self.clock.now))
