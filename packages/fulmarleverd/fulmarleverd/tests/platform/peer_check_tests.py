"""Requests that are sent only to the process that they are meant for."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest import mock

from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarleverd.platform import http
from fulmarleverd.platform.http import HTTPClient, OtherPeer, PeerCheck, Response
from fulmarleverd.platform.workers import AuthorityWorkers
from fulmarleverd.scheduling.ports import Accepted, Command, OtherIncarnation
from fulmarleverd.scheduling.specs import WorkerEntry
from fulmarleverd.tests.platform.http_tests import (
    EMPTY_OK,
    LOOPBACK,
    ScriptedServer,
)

CHECK_PATH = "/who"


def answer(body: object, status: int = 200) -> bytes:
    """Return the bytes of a response with a JSON body."""
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} OK\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


class PeerCheckTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = HTTPClient("", 2)
        self.addCleanup(self.client.close)
        # No test here is about the time that a connection takes.
        patch = mock.patch.object(http, "CONNECT_TIMEOUT_S", 5.0)
        patch.start()
        self.addCleanup(patch.stop)

    async def serve(self, *scripts: bytes | None) -> str:
        """Start a server with the given scripts and return its address."""
        fields = {"scripts": list(scripts), "connections": 0, "open_now": 0}
        fields["requests"] = []
        self.server = type("Server", (ScriptedServer,), fields)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(self.server, LOOPBACK, 0)
        self.addCleanup(listener.close)
        return f"{LOOPBACK}:{listener.sockets[0].getsockname()[1]}"

    async def call(self, address: str, expected: str, timeout_s: float = 2.0) -> object:
        check = PeerCheck(expected, CHECK_PATH, {}, {}, lambda body: str(body["name"]))
        return await self.client.call(
            "POST", address, "/x", timeout_s, {"a": 1}, check=check
        )

    def paths(self) -> list[str]:
        """Return the paths of the requests that the server has received."""
        return [request.split()[1].decode() for request in self.server.requests]

    # Guards against a call that acts in another process than the one it is meant for:
    # a worker that has started again under its id and address (TWICE).
    async def test_a_request_follows_only_to_the_expected_process(self) -> None:
        malformed = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{"
        table = [
            ("expected", answer({"name": "b"}), Response(200, None), True),
            ("another", answer({"name": "c"}), OtherPeer, False),
            ("no name", answer({}), Unavailable, False),
            ("malformed", malformed, Unavailable, False),
            ("rejected", answer({}, 421), Response(421, {}), False),
            ("closed", b"", Unavailable, False),
        ]
        for name, script, expected, is_sent in table:
            with self.subTest(name):
                address = await self.serve(script, EMPTY_OK)
                result = await self.call(address, "b")
                if isinstance(expected, Response):
                    self.assertEqual(result, expected)
                else:
                    self.assertIsInstance(result, expected)
                sent = [CHECK_PATH, "/x"] if is_sent else [CHECK_PATH]
                self.assertEqual(self.paths(), sent)

    async def test_a_connection_is_checked_once(self) -> None:
        address = await self.serve(answer({"name": "b"}))
        for _ in range(3):
            self.assertEqual(await self.call(address, "b"), Response(200, None))
        self.assertEqual(self.paths(), [CHECK_PATH, "/x", "/x", "/x"])

    async def test_the_connection_to_a_former_process_is_not_used_for_the_next(
        self,
    ) -> None:
        address = await self.serve(
            answer({"name": "b"}), EMPTY_OK, answer({"name": "c"}), EMPTY_OK
        )
        await self.call(address, "b")
        self.assertEqual(await self.call(address, "c"), Response(200, None))
        self.assertEqual(self.server.connections, 2)
        self.assertEqual(self.paths(), [CHECK_PATH, "/x"] * 2)

    async def test_a_check_without_an_answer_sends_nothing(self) -> None:
        address = await self.serve(None)
        result = await self.call(address, "b", 0.2)
        self.assertIsInstance(result, Unavailable)
        self.assertEqual(self.paths(), [CHECK_PATH])

    async def test_a_request_without_an_answer_may_have_been_carried_out(self) -> None:
        address = await self.serve(answer({"name": "b"}), None)
        self.assertIsInstance(await self.call(address, "b", 0.2), OutcomeUnknown)


class WorkerCallsTests(unittest.IsolatedAsyncioTestCase):
    """Which calls to a worker need to know its incarnation."""

    async def test_only_a_report_that_changes_nothing_goes_to_any_incarnation(
        self,
    ) -> None:
        entry = WorkerEntry("w1", "7", "desk", "w1:1", "z", 32000, 128000)
        report = Response(200, {"clockMs": 5, "born": 7})
        client = mock.Mock(call=mock.AsyncMock(return_value=report))
        workers = AuthorityWorkers(client)
        command = Command("t", 1, 3)
        table = [
            ("start", lambda: workers.start(entry, command), True),
            ("stop", lambda: workers.stop(entry, command), True),
            ("limit", lambda: workers.set_speed_limit(entry, command, 0), True),
            ("lease", lambda: workers.extend_lease(entry, 3, 9000, 0, 0.0), True),
            ("ends", lambda: workers.extend_lease(entry, 3, 0, 4, 0.0), True),
            ("report", lambda: workers.extend_lease(entry, 3, 0, 0, 1.0), False),
        ]
        for name, call, is_checked in table:
            with self.subTest(name):
                await call()
                check = client.call.await_args.args[-1]
                self.assertEqual(check is not None, is_checked)
                if check is not None:
                    self.assertEqual(check.expected, "7")
                    self.assertEqual(check.body, {"fencingToken": 3, "lastSeen": 0})

    async def test_another_incarnation_is_named(self) -> None:
        entry = WorkerEntry("w1", "7", "desk", "w1:1", "z", 32000, 128000)
        client = mock.Mock(call=mock.AsyncMock(return_value=OtherPeer("8")))
        result = await AuthorityWorkers(client).start(entry, Command("t", 1, 3))
        self.assertIsInstance(result, OtherIncarnation)
        self.assertNotIsInstance(result, Accepted)
        self.assertEqual(result.incarnation, "8")
