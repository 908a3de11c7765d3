"""Calls to a worker that are not answered, or whose worker leaves the fleet before."""

from __future__ import annotations

import asyncio
from unittest import mock

from fulmarlever.outcomes import LocalShortage, OutcomeUnknown, Unavailable
from fulmarleverd.loop_delay import LoopDelay
from fulmarleverd.scheduling.ports import (
    REJECT_INCARNATION,
    Rejected,
    RunningTask,
    WorkerReport,
)
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers import worker_loop
from fulmarleverd.scheduling.workers.worker_loop import WorkerLoop
from fulmarleverd.tests.scheduling.base import OwnerTestCase


class OneAnswer:
    """Fake calls of which the first removes the worker before it is answered."""

    def __init__(self, owner: object, worker: object, answer: object):
        self._owner, self._worker, self._answer = owner, worker, answer

    async def extend_lease(self, *args: object) -> object:
        self._owner.fleet.remove(self._worker)
        return self._answer


class RemovedWorkerTests(OwnerTestCase):
    # Guards against runs that move to a worker that the fleet no longer has.
    def test_its_answer_changes_nothing(self):
        unknown = RunningTask("gone.0.0.0", 3, "", 50.0, 0.0)
        rows = (
            ("a report", WorkerReport(1000, "1", (unknown,))),
            ("another incarnation", WorkerReport(1000, "9", (unknown,))),
            ("a rejection", Rejected(REJECT_INCARNATION)),
            ("no answer", OutcomeUnknown("no answer")),
        )
        self.lease.may_extend = True
        self.lease.token = 1
        for number, (name, answer) in enumerate(self.each(rows)):
            other = self.add_worker(name, incarnation="2")
            run = self.start(self.add_job(f"j{number}", StepSpec()), other)
            worker = self.add_worker(name)
            calls = OneAnswer(self.owner, worker, answer)
            loop = WorkerLoop(self.owner, worker, calls, self.reports, LoopDelay())
            asyncio.run(loop.run())
            self.assertEqual(self.owner.fleet.incarnations_of(name), [other])
            self.assertIs(run.worker, other)
            self.assertEqual(self.commands.stops_of_unknown, [])


class SameAnswer:
    """Fake calls that all fail in the same way."""

    def __init__(self, answer: object) -> None:
        self._answer = answer

    async def extend_lease(self, *args: object) -> object:
        return self._answer


class FailedCallsTests(OwnerTestCase):
    # Guards against workers that get no runs, as the owner has no descriptors for them.
    def test_a_worker_is_blamed_only_for_its_own_silence(self):
        self.lease.may_extend = True
        rows = (
            ("no connection", Unavailable("refused"), True),
            ("no descriptor", LocalShortage("too many open files"), False),
        )
        for name, answer, is_blamed in self.each(rows):
            worker = self.add_worker(name)
            calls = SameAnswer(answer)
            loop = WorkerLoop(self.owner, worker, calls, self.reports, LoopDelay())
            with mock.patch.object(worker_loop, "RETRY_S", 0.0):
                asyncio.run(loop._call())
            self.assertEqual(worker.is_unresponsive, is_blamed)
