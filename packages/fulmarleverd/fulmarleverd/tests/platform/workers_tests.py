"""Decoding of the reports of workers."""

from __future__ import annotations

import asyncio

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.outcomes import OutcomeUnknown
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.platform.http import Response
from fulmarleverd.platform.workers import AuthorityWorkers
from fulmarleverd.scheduling.ports import Accepted, Command, Rejected, WorkerReport
from fulmarleverd.scheduling.specs import WorkerEntry

ENTRY = WorkerEntry("w1", "1", "desk", "w1:1", "z", 32000, 128000)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(), max_size=3)
    | st.just("\udc9a"),
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(
            st.sampled_from(("clockMs", "born", "running", "finished", "reason")),
            inner,
        )
    ),
    max_leaves=15,
)


class OneAnswer:
    """A fake HTTP client that gives the same answer to each call."""

    def __init__(self, body: object, status: int = 200):
        self._answer = Response(status, body)

    async def call(self, *args: object) -> Response:
        return self._answer


class ReportTests(TableTestCase):
    def test_a_full_page_of_ends_is_followed_by_others(self):
        for count, has_more_ends in self.each(((0, False), (499, False), (500, True))):
            ends = [[number, "j.0.0.1", number, "done", ""] for number in range(count)]
            body = {"clockMs": 5, "born": 1, "running": [], "finished": ends}
            workers = AuthorityWorkers(OneAnswer(body))
            report = asyncio.run(workers.extend_lease(ENTRY, 1, 0, 0, 0.0))
            self.assertEqual(len(report.ended), count)
            self.assertEqual(report.has_more_ends, has_more_ends)


class AnyAnswerTests(TableTestCase):
    @given(JSON_VALUES, st.sampled_from((200, 400, 409, 421, 429, 500, 503)))
    def test_any_answer_is_a_typed_result_that_can_be_stored(self, body, status):
        workers = AuthorityWorkers(OneAnswer(body, status))
        started = asyncio.run(workers.start(ENTRY, Command("t", 1, 1)))
        self.assertIsInstance(started, Accepted | Rejected)
        report = asyncio.run(workers.extend_lease(ENTRY, 1, 0, 0, 0.0))
        self.assertIsInstance(report, WorkerReport | Rejected | OutcomeUnknown)
        if isinstance(report, WorkerReport):
            self.check_report(report)
        elif isinstance(report, Rejected):
            report.reason.encode()

    def check_report(self, report: WorkerReport) -> None:
        """Check that nothing in a report can fail to be stored, compared or summed."""
        for run in report.running:
            msgpack.packb([run.task, run.run, run.checkpoint])
            self.assertGreaterEqual(run.progress_percent, 0.0)
            self.assertGreaterEqual(run.latency_ms_or_cpu_m, 0.0)
        for ended in report.ended:
            msgpack.packb([ended.task, ended.run, ended.outcome, ended.checkpoint])
            self.assertGreaterEqual(ended.number, 0)
