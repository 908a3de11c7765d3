from __future__ import annotations

from aiohttp import web

from fulmarlever_standins.caller import Caller, CallerRequest, Reply
from fulmarlever_standins.cluster import BackendTotals
from fulmarlever_standins.invariants import find_violations
from fulmarlever_standins.load import LoadSpec
from fulmarlever_standins.old_setup import OldSetup
from fulmarlever_standins.tests.base import ServerTestCase

NOT_RUN_PROBLEM = {
    "content_type": "application/problem+json",
    "headers": {"Retry-After": "1"},
    "text": '{"title": "Not run", "detail": "full", "outcome": "not-run"}',
}
UNKNOWN_PROBLEM = NOT_RUN_PROBLEM | {
    "text": NOT_RUN_PROBLEM["text"].replace("not-run", "unknown")
}


class CallerTestCase(ServerTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.setup = OldSetup()
        self.address = await self.serve(self.setup.build_callers_app())
        self.caller = await self.enterAsyncContext(Caller(timeout_s=1.0))

    async def send(self, address: str = "", **fields) -> Reply:
        request = CallerRequest("r-1", "filling", **fields)
        result = await self.caller.send(request, "entry", address or self.address)
        return result.reply


class CallerTests(CallerTestCase):
    async def test_classifies_answers_of_a_backend(self):
        rows = (
            ("plain", {}, Reply.SERVED),
            ("with body", {"method": "POST", "body": b"order"}, Reply.SERVED),
            ("large", {"answer_bytes": 100_000}, Reply.SERVED),
            ("truncated", {"fault": "truncate", "answer_bytes": 9_000}, Reply.LOST),
            ("closed", {"fault": "close"}, Reply.LOST),
            ("failed", {"fault": "error"}, Reply.FAULT),
        )
        for name, fields, expected in rows:
            with self.subTest(name):
                self.assertEqual(await self.send(**fields), expected)

    async def test_classifies_answers_that_no_backend_sent(self):
        rows = (
            ("not run", 503, NOT_RUN_PROBLEM, Reply.NOT_RUN),
            ("refused", 404, NOT_RUN_PROBLEM, Reply.REFUSED),
            ("unknown", 502, UNKNOWN_PROBLEM, Reply.UNKNOWN),
            ("no Retry-After", 503, NOT_RUN_PROBLEM | {"headers": {}}, Reply.WRONG),
            ("no problem details", 503, {"text": "full"}, Reply.WRONG),
            (
                "another request's answer",
                200,
                {"text": '{"request": "r-2"}'},
                Reply.WRONG,
            ),
        )
        for name, status, options, expected in rows:
            with self.subTest(name):
                address = await self.serve(make_app(status, options))
                self.assertEqual(await self.send(address), expected)


def make_app(status: int, options: dict) -> web.Application:
    async def answer(request: web.Request) -> web.Response:
        return web.Response(status=status, **options)

    app = web.Application()
    app.router.add_get("/{path:.*}", answer)
    return app


class InvariantTests(CallerTestCase):
    async def test_finds_each_violation(self):
        request = CallerRequest("r-1", "filling", method="POST", key="k")
        served = await self.caller.send(request, "entry", self.address)
        url = await self.serve(make_app(503, NOT_RUN_PROBLEM))
        get_request = CallerRequest("r-2", "filling")
        not_run = await self.caller.send(get_request, "entry", url)
        rows = (
            ("no violation", {"runs": {"r-1": 1}, "keys": {"k": 1}}, ""),
            ("ran twice", {"runs": {"r-1": 2}}, "ran 2 times"),
            ("key ran twice", {"runs": {"r-1": 1}, "keys": {"k": 2}}, "key k ran 2"),
            ("never ran", {"runs": {}}, "never ran"),
            (
                "ran despite not run",
                {"runs": {"r-1": 1, "r-2": 1}},
                "reported as not run",
            ),
            (
                "over slots",
                {"runs": {"r-1": 1}, "max_in_progress": 9},
                "in progress: 9",
            ),
        )
        for name, fields, expected in rows:
            with self.subTest(name):
                found = find_violations([served, not_run], BackendTotals(**fields))
                self.assertEqual(bool(found), bool(expected), found)
                self.assertIn(expected, " ".join(found))

    def test_equal_seeds_give_equal_requests(self):
        first, second = (
            [next(stream) for _ in range(50)]
            for stream in (LoadSpec("s", 10.0).requests(),) * 2
        )
        self.assertNotEqual(first, second)
        repeated = LoadSpec("s", 10.0).requests()
        self.assertEqual(first, [next(repeated) for _ in range(50)])
