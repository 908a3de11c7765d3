from __future__ import annotations

import asyncio
import json
from dataclasses import replace

from fulmarlever.tests.base import wait_until
from fulmarleverd.requests.metrics import BAD_REQUESTS
from fulmarleverd.tests.requests.fakes import spec
from fulmarleverd.tests.requests.path_base import PathTestCase

HOST = b"Host: x\r\n"

BAD_INPUT = (
    ("no request", b"\x16\x03\x01 hello\r\n\r\n", 400, "malformed request"),
    ("bad header", b"GET /filling/ HTTP/1.1\r\nno colon\r\n\r\n", 400, "malformed"),
    (
        "long line",
        b"GET /filling/" + b"x" * 20000 + b" HTTP/1.1\r\n\r\n",
        400,
        "malformed request",
    ),
    (
        "two lengths",
        b"POST /filling/ HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        400,
        "malformed request",
    ),
    (
        "length and chunks",
        b"POST /filling/ HTTP/1.1\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
        "malformed request",
    ),
    ("unknown", b"GET /weaving/x HTTP/1.1\r\n" + HOST, 404, "unknown service"),
    ("root", b"GET / HTTP/1.1\r\n" + HOST, 404, "unknown service"),
    ("star", b"OPTIONS * HTTP/1.1\r\n" + HOST, 404, "unknown service"),
    (
        "deadline word",
        b"GET /filling/ HTTP/1.1\r\nX-Deadline-Ms: soon\r\n" + HOST,
        400,
        "bad deadline",
    ),
    (
        "deadline negative",
        b"GET /filling/ HTTP/1.1\r\nX-Deadline-Ms: -1\r\n" + HOST,
        400,
        "bad deadline",
    ),
    (
        "deadline huge",
        b"GET /filling/ HTTP/1.1\r\nX-Deadline-Ms: 99999999999999999999\r\n" + HOST,
        400,
        "bad deadline",
    ),
    (
        "deadline zero",
        b"GET /filling/ HTTP/1.1\r\nX-Deadline-Ms: 0\r\n" + HOST,
        400,
        "bad deadline",
    ),
    (
        "long key",
        b"POST /filling/ HTTP/1.1\r\nIdempotency-Key: " + b"k" * 300 + b"\r\n" + HOST,
        400,
        "bad key",
    ),
    (
        "oversized body",
        b"POST /filling/ HTTP/1.1\r\nContent-Length: 1001\r\n" + HOST,
        413,
        "body too large",
    ),
    (
        "oversized chunks",
        b"POST /filling/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
        + HOST
        + b"\r\n3e9\r\n"
        + b"x" * 1001
        + b"\r\n0\r\n",
        413,
        "body too large",
    ),
    (
        "bad chunk",
        b"POST /filling/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
        + HOST
        + b"\r\nzz\r\n",
        400,
        "malformed request",
    ),
)


class CallersTests(PathTestCase):
    specs = (replace(spec(), max_request_bytes=1000),)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        (self.server,) = await self.serve()
        self.kernel = await self.daemon()
        await self.wait_for_slots(self.kernel)
        self.port = self.kernel.find("callers").port

    async def send(self, data):
        """Send raw bytes; return the status and the JSON document of the answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(data)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            body = await asyncio.wait_for(reader.readexactly(length), 10)
            return int(head.split()[1]), json.loads(body)
        finally:
            writer.close()

    def count(self, fault):
        return BAD_REQUESTS.labels(fault)._value.get()

    async def test_bad_input_gets_a_problem_answer_and_is_counted(self):
        for name, data, status, fault in BAD_INPUT:
            with self.subTest(name):
                fault = "malformed request" if fault == "malformed" else fault
                before = self.count(fault)
                got, document = await self.send(data + b"\r\n")
                self.assertEqual((got, document["outcome"]), (status, "not-run"))
                self.assertEqual(document["title"], fault)
                self.assertEqual(self.count(fault), before + 1)
        self.assertEqual(sum(self.server.runs.values()), 0)
        status, _, _ = await self.ask(self.kernel)
        self.assertEqual(status, 200)

    async def test_truncated_body_never_reaches_a_server(self):
        before = self.count("body truncated")
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = b"POST /filling/ HTTP/1.1\r\nContent-Length: 9\r\n" + HOST + b"\r\nhalf"
        writer.write(head)
        await wait_until(lambda: self.kernel.find("callers").in_progress)
        writer.close()
        await wait_until(lambda: self.count("body truncated") == before + 1)
        self.assertEqual(sum(self.server.runs.values()), 0)
        self.assertEqual(self.kernel.find("admission").bodies.total, 0)

    async def test_expected_continue_is_sent(self):
        headers = {"X-Request-Id": "c"}
        status, _, body = await self.ask(
            self.kernel, method="POST", data=b"hello", headers=headers, expect100=True
        )
        self.assertEqual((status, body), (200, b"c:hello"))

    async def test_drain_closes_the_port_and_idle_connections(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET /filling/ HTTP/1.1\r\n" + HOST + b"\r\n")
        await reader.readuntil(b"\r\n\r\n")
        await self.kernel.find("callers").drain()
        with self.assertRaises(OSError):
            await asyncio.open_connection("127.0.0.1", self.port)
        rest = await asyncio.wait_for(reader.read(), 10)
        self.assertTrue(rest.endswith(b":"))
        writer.close()
