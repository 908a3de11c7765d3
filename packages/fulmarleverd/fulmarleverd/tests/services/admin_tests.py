from __future__ import annotations

import unittest

import aiohttp

from fulmarlever.clock import ManualClock
from fulmarleverd.api.access_control import MAX_SOURCES, Operators, RateLimit
from fulmarleverd.services.admin import AdminService
from fulmarleverd.services.config import ConfigService
from fulmarleverd.tests.base import make_kernel
from fulmarleverd.tests.generations.fakes import FakeMembership

TOKEN = "token-of-olafur-0123"
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
TEXT = "teams: {a: {}}\n"
LIMIT_BYTES = 4096

# name, method, path, headers, body, status, words of the answer
REQUESTS = [
    ("no token", "GET", "/v1/status", {}, None, 401, "token"),
    ("wrong token", "GET", "/v1/status", {"Authorization": "Bearer x"}, None, 401, ""),
    ("other scheme", "GET", "/v1/status", {"Authorization": TOKEN}, None, 401, ""),
    ("unknown path, no token", "GET", "/v1/x", {}, None, 401, ""),
    ("unknown path", "GET", "/v1/x", HEADERS, None, 404, "Not Found"),
    ("wrong method", "DELETE", "/v1/apply", HEADERS, None, 405, "Not Allowed"),
    ("health", "GET", "/healthz", {}, None, 200, "alive"),
    ("ready", "GET", "/readyz", {}, None, 200, "ready"),
    ("metrics", "GET", "/metrics", {}, None, 200, "fulmarlever_admin_requests"),
    ("status", "GET", "/v1/status", HEADERS, None, 200, '"generation": 0'),
    ("not JSON", "POST", "/v1/apply", HEADERS, b"{", 400, "not JSON"),
    ("list", "POST", "/v1/apply", HEADERS, b"[]", 400, "not a JSON object"),
    ("no text", "POST", "/v1/apply", HEADERS, b"{}", 400, "'text' is missing"),
    (
        "unknown option",
        "POST",
        "/v1/check",
        HEADERS,
        b'{"text": "", "x": 1}',
        400,
        "unknown option 'x'",
    ),
    (
        "half a surrogate pair",
        "POST",
        "/v1/check",
        HEADERS,
        b'{"text": "\\ud800"}',
        400,
        "'text' is missing or of a wrong type",
    ),
    ("deep JSON", "POST", "/v1/check", HEADERS, b"[" * 4000, 400, "not JSON"),
    (
        "deep YAML",
        "POST",
        "/v1/check",
        HEADERS,
        b'{"text": "' + b"[" * 4000 + b'"}',
        422,
        "nesting",
    ),
    (
        "bytes in the token",
        "GET",
        "/v1/status",
        {"Authorization": "Bearer \udcff\udcfe"},
        None,
        401,
        "",
    ),
    ("findings", "POST", "/v1/check", HEADERS, b'{"text": "x: 1"}', 422, "unknown sec"),
    ("oversized", "POST", "/v1/check", HEADERS, b"x" * LIMIT_BYTES * 2, 413, "large"),
    ("no such service", "GET", "/v1/jobs", HEADERS, None, 501, "no service 'jobs'"),
]


class AdminTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.kernel = make_kernel(
            self.clock,
            admin_port=0,
            admin_max_body_bytes=LIMIT_BYTES,
            operator_tokens={"olafur": TOKEN, "gunnar": "token-of-gunnar-0123"},
        )
        self.kernel.add(FakeMembership(self.kernel))
        self.kernel.add(ConfigService(self.kernel))
        self.kernel.add(AdminService(self.kernel))
        await self.kernel.start()
        port = self.kernel.find("admin").port
        self.session = aiohttp.ClientSession(f"http://127.0.0.1:{port}")

    async def asyncTearDown(self):
        await self.session.close()
        await self.kernel.stop()

    async def send(self, method, path, headers=HEADERS, **options):
        async with self.session.request(
            method, path, headers=headers, **options
        ) as reply:
            return reply.status, await reply.text(), reply.headers

    async def apply(self, text, apply_id, if_generation=None):
        body = {"text": text, "apply_id": apply_id, "if_generation": if_generation}
        return await self.send("POST", "/v1/apply", json=body)

    async def test_requests(self):
        for name, method, path, headers, body, status, words in REQUESTS:
            with self.subTest(name):
                self.clock.advance(60)
                got, text, answered = await self.send(method, path, headers, data=body)
                self.assertEqual(got, status, text)
                self.assertIn(words, text)
                if status >= 400:
                    kind = answered["Content-Type"]
                    self.assertTrue(kind.startswith("application/problem+json"))
                self.assertNotIn(TOKEN, text)

    async def test_apply(self):
        rows = [
            ("first", TEXT, "id-1", 0, 200, '"generation": 1'),
            ("repeat", TEXT, "id-1", 0, 200, '"generation": 1'),
            ("race", "teams: {b: {}}", "id-2", 0, 409, "generation 1 is in force"),
            ("id of another", "teams: {c: {}}", "id-1", 1, 403, "another file"),
            ("findings", "teams: []", "id-3", 1, 422, '"line": 1'),
        ]
        for name, text, apply_id, expected, status, words in rows:
            with self.subTest(name):
                got, answer, _ = await self.apply(text, apply_id, expected)
                self.assertEqual(got, status)
                self.assertIn(words, answer)
        _, answer, _ = await self.send("GET", "/v1/configuration")
        self.assertIn("teams: {a", answer)

    async def test_outage_is_not_run_and_sets_retry_after(self):
        self.kernel.find("platform").is_table_up = False
        status, text, headers = await self.apply(TEXT, "id-1")
        self.assertEqual(status, 503)
        self.assertIn("not-run", text)
        self.assertEqual(headers["Retry-After"], "1")

    async def test_rate_limit(self):
        statuses = [(await self.send("GET", "/healthz"))[0] for _ in range(101)]
        self.assertEqual(statuses, [200] * 100 + [429])
        self.clock.advance(1)
        self.assertEqual((await self.send("GET", "/healthz"))[0], 200)

    async def test_requests_with_wrong_tokens_are_rate_limited(self):
        wrong = {"Authorization": "Bearer guess"}
        statuses = [(await self.send("GET", "/v1/status", wrong))[0] for _ in range(12)]
        self.assertEqual(statuses[0], 401)
        self.assertEqual(statuses[-1], 429)

    async def test_draining_daemon_is_not_ready(self):
        self.kernel.is_draining = True
        status, text, _ = await self.send("GET", "/readyz")
        self.assertEqual(status, 503)
        self.assertIn("draining", text)


class AccessControlTests(unittest.TestCase):
    def test_operator_of_a_token(self):
        operators = Operators({"a": "t" * 16, "b": "u" * 16})
        self.assertEqual(operators.find(f"Bearer {'u' * 16}"), "b")
        self.assertEqual(operators.find(f"bearer {'t' * 16}"), "a")
        self.assertEqual(operators.find(f"Basic {'t' * 16}"), "")
        self.assertEqual(operators.find(""), "")

    def test_no_tokens_means_no_operator(self):
        self.assertEqual(Operators({}).find("Bearer "), "")

    def test_sources_are_bounded(self):
        limit = RateLimit(1.0, ManualClock())
        for number in range(MAX_SOURCES * 2):
            limit.take(str(number))
        self.assertEqual(len(limit._buckets), MAX_SOURCES)
