"""Tests of time limits in a daemon that was paused."""

from __future__ import annotations

import asyncio
import time

from fulmarleverd.connections.limits import ConnectionLimits
from fulmarleverd.tests.connections.base import HEAD, LoopbackTestCase

PAUSE_S = 1.2
REST_AFTER_S = 0.1


class PauseTests(LoopbackTestCase):
    """Guards against refusals of ordinary callers as too slow.

    While a VM is paused for some seconds, its clock goes on, but bytes that callers
    sent reach it only after the pause.
    """

    limits = ConnectionLimits(head_s=0.5, idle_s=0.5)

    async def test_a_pause_does_not_count_as_time_of_the_caller(self):
        body = HEAD + b"Content-Length: 3\r\n\r\nabc"
        for _, data in self.each((("head", body[:20]), ("body", body[:-2]))):
            reader, writer = await self.connect()
            writer.write(data)
            await asyncio.sleep(REST_AFTER_S)
            time.sleep(PAUSE_S)
            await asyncio.sleep(REST_AFTER_S)
            writer.write(body[len(data) :])
            self.assertEqual(await self.read_status(reader), 200)

    async def test_a_slow_daemon_still_ends_slow_requests(self):
        reader, writer = await self.connect()
        writer.write(HEAD)
        found = asyncio.create_task(self.read_status(reader))
        for _ in range(20):
            await asyncio.sleep(0)
            time.sleep(0.3)
        self.assertEqual(await found, 408)
