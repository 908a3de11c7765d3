"""Each violation of an invariant is found in the records of callers and workers."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.authority.record import RunRecord
from fulmarlever_standins.authority.worker import WorkerCore
from fulmarlever_standins.soak.callers import CallerJob, Outcome
from fulmarlever_standins.soak.invariants import find_job_violations

TASKS = ("j.0.0.0", "j.0.1.0")


def record_events(record: RunRecord, *events: tuple[str, str]) -> None:
    """Record events on a new worker: ``(task, "start")`` or ``(task, outcome)``."""
    worker = WorkerCore("w", "w:1", "z")
    record.attach(worker)
    for task, event in events:
        if event == "start":
            worker.on_start(worker, (task, 1))
        else:
            worker.last_end_number += 1
            worker.ends.append([worker.last_end_number, task, 1, event, ""])
            worker.on_end(worker, (task, 1), event)


LOGS = (
    '{"time":"2026-01-01T00:00:00+00:00","vm":"vm1","event":"caller-refused",'
    '"job":"j","method":"POST","status":503,"outcome":"no answer of the store"}',
)
WHOLE_RUN = tuple((task, event) for task in TASKS for event in ("start", "done"))


class JobViolationTests(TableTestCase, unittest.IsolatedAsyncioTestCase):
    ROWS = (
        ("completed", Outcome.ACCEPTED, "completed", WHOLE_RUN, 0),
        ("refused and unknown", Outcome.REFUSED, "unknown", (), 0),
        ("unknown to its caller", Outcome.UNKNOWN, "unknown", (), 0),
        ("not finished", Outcome.ACCEPTED, "running", WHOLE_RUN[:3], 1),
        ("forgotten", Outcome.ACCEPTED, "unknown", (), 1),
        ("completed too early", Outcome.ACCEPTED, "completed", WHOLE_RUN[:2], 1),
        ("refused, but known", Outcome.REFUSED, "queued", (), 1),
        ("refused, but run", Outcome.REFUSED, "unknown", WHOLE_RUN, 2),
        ("run, but unknown", Outcome.UNKNOWN, "unknown", WHOLE_RUN, 1),
        ("cancelled, and queued", Outcome.CANCELLED, "queued", (), 1),
        ("cancelled, and runs", Outcome.CANCELLED, "cancelled", WHOLE_RUN[:1], 1),
    )

    async def test_each_violation_of_a_job_is_found(self):
        for _, outcome, state, events, expected in self.each(self.ROWS):
            record = RunRecord()
            record_events(record, *events)
            job = CallerJob("j", "labels", (1, 1), outcome)
            deployment = SimpleNamespace(record=record, log_lines=lambda: LOGS)
            found = list(find_job_violations(job, state, deployment))
            self.assertEqual(len(found), expected, found)

    async def test_a_refusal_without_a_cause_in_the_logs_is_found(self):
        job = CallerJob("j", "labels", (1, 1), Outcome.REFUSED)
        rows = (("explained", LOGS, 0), ("not explained", (), 1))
        for _, logs, expected in self.each(rows):
            found = SimpleNamespace(
                record=RunRecord(), log_lines=lambda logs=logs: logs
            )
            lines = list(find_job_violations(job, "unknown", found))
            self.assertEqual(len(lines), expected, lines)

    async def test_a_restart_is_found_if_the_end_was_known(self):
        record = RunRecord()
        record_events(record, (TASKS[0], "start"), (TASKS[0], "done"))
        first = record._ends[TASKS[0]][0][0]
        record_events(record, (TASKS[0], "start"))
        self.assertEqual(record.restarted_after_known_end(), [])
        first.known_ends.add(1)
        self.assertEqual(record.restarted_after_known_end(), [TASKS[0]])
        self.assertEqual(record.restarted_after_done, [TASKS[0]])

    async def test_two_runs_at_the_same_time_are_found(self):
        record = RunRecord()
        record_events(record, (TASKS[0], "start"), (TASKS[0], "start"))
        self.assertEqual(record.overlaps, [TASKS[0]])
