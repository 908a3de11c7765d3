"""Tests of the HTTP server for callers and the readiness probe."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
import yarl
from loguru import logger as log

from fulmarlever.outcomes import NotRun, OutcomeUnknown, Refused, Unavailable
from fulmarlever.tests.base import TableTestCase
from fulmarlever.tests.ports import free_port
from fulmarleverd.platform.callers import CallerServer
from fulmarleverd.scheduling.admission.refusals import AdmissionRefusal
from fulmarleverd.scheduling.jobs.tasks import JobState
from fulmarleverd.scheduling.specs import QueueSpec
from fulmarleverd.scheduling.submission.api import QueueNotFound
from fulmarleverd.scheduling.submission.intake import JobStatus, UnknownJob

QUEUE = QueueSpec("r", "a.example", "/p/", "desk")
JOB_ID = "5c0e7a21d94b36f8"
JOB = {"spec": "s", "phases": [{"count": 1}]}
LIMIT = 300


class FakeCalls:
    """Returns ``result`` for every call and records the calls of interest."""

    def __init__(self):
        self.result: object = None
        self.queue: object = QUEUE
        self.ready = True
        self.seen: list[tuple] = []

    def is_ready(self) -> bool:
        return self.ready

    def max_body_bytes(self) -> int:
        return LIMIT

    def find_queue(self, host: str, path: str) -> object:
        self.seen.append((host, path))
        return self.queue

    def until_s(self, queue: QueueSpec, wait_s: float) -> float:
        return wait_s

    async def submit(self, job: object, queue: QueueSpec, until_s: float) -> object:
        self.seen.append((job.id, until_s))
        return self.result

    async def status(self, job_id: str) -> object:
        return self.result

    async def cancel(self, job_id: str, until_s: float) -> object:
        return self.result

    async def pending(self, queue: QueueSpec) -> object:
        return self.result


class CallerServerTests(TableTestCase, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        log.remove()
        self.calls = FakeCalls()
        self.server = CallerServer(self.calls, 1 << 20)
        port, ready = free_port(), free_port()
        await self.server.open(f"127.0.0.1:{port}", f"127.0.0.1:{ready}")
        self.base = f"http://127.0.0.1:{port}"
        self.ready = f"http://127.0.0.1:{ready}"
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        await self.server.close()

    async def ask(self, method: str, path: str, **options: object) -> tuple:
        headers = {"Host": "a.example:80", **options.pop("headers", {})}
        url = yarl.URL(self.base + path, encoded=True)
        async with self.session.request(
            method, url, headers=headers, **options
        ) as resp:
            return resp.status, await resp.json(), resp.headers

    async def test_results_become_responses(self):
        running = JobStatus(JobState.RUNNING)
        rows = (
            ("accepted", "POST", f"/p/{JOB_ID}", None, 200, {}),
            ("state", "GET", f"/p/{JOB_ID}", running, 200, {"state": "running"}),
            ("pending", "GET", "/p/", 3, 200, {"pending": 3}),
            ("cancelled", "DELETE", f"/p/{JOB_ID}", running, 200, {"state": "running"}),
        )
        for _, method, path, result, status, body in self.each(rows):
            self.calls.result = result
            found = await self.ask(method, path, json=JOB)
            self.assertEqual(found[:2], (status, body))

    # Guards against a caller's text that gets a 500, or that names another row.
    async def test_ids_that_are_none_name_no_job(self):
        self.calls.result = JobStatus(JobState.RUNNING)
        rows = (
            ("short", "5c0e7a21d94b36f"),
            ("long", JOB_ID + "0"),
            ("not hexadecimal", "5c0e7a21d94b36fg"),
            ("row of a cancellation", JOB_ID + "/cancel"),
            ("the same, escaped", JOB_ID + "%2Fcancel"),
            ("not UTF-8", "%ff%fe"),
            ("half of a surrogate pair", "%ed%b2%9a"),
            ("other digits", "%D9%A1" * 16),
            ("line end", JOB_ID[:-1] + "%0A"),
        )
        for _, text in self.each(rows):
            for method, expected in (("POST", 400), ("GET", 410), ("DELETE", 410)):
                found = await self.ask(method, f"/p/{text}", json=JOB)
                self.assertEqual(found[0], expected)

    async def test_unreadable_text_of_a_job_is_refused(self):
        half = "\udc9a"
        rows = (
            ("specification", {**JOB, "spec": half}),
            *(
                (name, {"spec": "s", "phases": [{"count": 1, name: half}]})
                for name in ("image", "constraints", "affinity")
            ),
        )
        for _, job in self.each(rows):
            found = await self.ask("POST", f"/p/{JOB_ID}", json=job)
            self.assertEqual(found[0], 400)

    async def test_failures_become_responses_with_their_reason(self):
        rows = (
            ("unknown", "GET", UnknownJob("no job"), 410, None),
            ("refused", "POST", Refused("bad"), 400, None),
            ("not run", "POST", NotRun("store unavailable", 0.4), 503, "1"),
            (
                "not run, retry elsewhere at once",
                "POST",
                NotRun("store unreachable", 0.0),
                503,
                "0",
            ),
            ("unknown outcome", "POST", OutcomeUnknown("lost"), 504, None),
            ("store unavailable", "GET", Unavailable("no answer"), 503, "1"),
        )
        for _, method, result, status, retry_after in self.each(rows):
            self.calls.result = result
            found = await self.ask(method, f"/p/{JOB_ID}", json=JOB)
            self.assertEqual(found[0], status)
            self.assertEqual(found[1], {"error": result.reason})
            self.assertEqual(found[2].get("Retry-After"), retry_after)

    async def test_each_refusal_is_logged_with_its_job(self):
        rows = (
            ("by the store", QUEUE, NotRun("store unavailable", 1.0)),
            ("before its queue is known", NotRun("no config", 1.0), None),
        )
        for _, queue, result in self.each(rows):
            self.calls.queue, self.calls.result = queue, result
            lines: list[dict] = []
            sink = log.add(lambda m, kept=lines: kept.append(m.record["extra"]))
            await self.ask("POST", "/p/0123456789abcdef", json=JOB)
            log.remove(sink)
            self.assertEqual(lines[0]["event"], "caller-refused")
            self.assertEqual(lines[0]["job"], "0123456789abcdef")

    async def test_a_refusal_by_the_forecast_is_logged_with_its_figures(self):
        # Without them, nobody can tell whether a refusal was right.
        self.calls.queue = QUEUE
        self.calls.result = AdmissionRefusal(7.0, 21.04, 9.0, 0.4)
        lines: list[dict] = []
        sink = log.add(lambda m: lines.append(m.record["extra"]))
        found = await self.ask("POST", "/p/0123456789abcdef", json=JOB)
        log.remove(sink)
        self.assertEqual((found[0], found[2]["Retry-After"]), (429, "7"))
        expected = {
            "event": "caller-refused",
            "forecast_s": 21.04,
            "limit_s": 9.0,
            "row_age_s": 0.4,
            "retry_after_s": 7.0,
        }
        self.assertLessEqual(expected.items(), lines[0].items())

    async def test_an_unknown_queue_is_not_found(self):
        self.calls.queue = QueueNotFound("none")
        found = await self.ask("GET", "/q/")
        self.assertEqual(found[0], 404)
        self.assertEqual(self.calls.seen, [("a.example", "/q/")])

    async def test_malformed_bodies_are_refused(self):
        rows = (
            ("no json", b"{"),
            ("too long", b" " * (LIMIT + 1)),
            ("no phases", b"{}"),
        )
        for _, body in self.each(rows):
            found = await self.ask("POST", f"/p/{JOB_ID}", data=body)
            self.assertEqual(found[0], 400)

    async def test_an_incomplete_request_does_not_affect_others(self):
        host, port = self.base[7:].split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /p/{JOB_ID} HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n"
        writer.write(head.encode() + b"{")
        await writer.drain()
        writer.close()
        self.assertEqual((await self.ask("POST", f"/p/{JOB_ID}", json=JOB))[0], 200)

    async def test_the_callers_deadline_is_passed_on(self):
        headers = {"X-Deadline-Ms": "1500"}
        await self.ask("POST", f"/p/{JOB_ID}", json=JOB, headers=headers)
        self.assertIn((JOB_ID, 1.5), self.calls.seen)

    async def test_readiness_follows_the_calls(self):
        for _, ready, status in self.each((("yes", True, 200), ("no", False, 503))):
            self.calls.ready = ready
            async with self.session.get(self.ready + "/readiness") as resp:
                self.assertEqual(resp.status, status)

    async def test_a_closing_server_closes_connections_after_responses(self):
        self.server.is_closing = True
        found = await self.ask("POST", f"/p/{JOB_ID}", json=JOB)
        self.assertEqual(found[2].get("Connection"), "close")
