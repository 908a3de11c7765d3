"""Decoding of the reports of workers."""

from __future__ import annotations

import asyncio

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.platform.http import Response
from fulmarleverd.platform.workers import AuthorityWorkers
from fulmarleverd.scheduling.specs import WorkerEntry

ENTRY = WorkerEntry("w1", "1", "desk", "w1:1", "z", 32000, 128000)


class OneAnswer:
    """A fake HTTP client that gives the same answer to each call."""

    def __init__(self, body: dict):
        self._answer = Response(200, body)

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
