from __future__ import annotations

import io
import json
import threading

from loguru import logger as log

from fulmarlever.structured_logs import (
    EventRateLimiter,
    LineWriter,
    configure_structured_logs,
)
from fulmarlever.tests.base import TableTestCase


class BlockedStream(io.StringIO):
    """A stream whose ``write`` blocks until ``released`` is set."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait(10.0)
        return super().write(text)


class StructuredLogsTests(TableTestCase):
    def tearDown(self):
        log.remove()
        log.configure(extra={})

    def read(self, stream: io.StringIO) -> list[dict]:
        return [json.loads(line) for line in stream.getvalue().splitlines()]

    def test_line_has_the_fields_of_its_event(self):
        stream = io.StringIO()
        writer = configure_structured_logs(
            vm="v", zone="z", incarnation="x", stream=stream
        )
        log.bind(event="run-accepted", job="j", run=3).info("accepted")
        try:
            raise ValueError("broken")
        except ValueError:
            log.bind(event="bad").exception("it failed")
        writer.close()
        first, second = self.read(stream)
        expected = ("v", "z", "run-accepted", "j", "accepted")
        names = ("vm", "zone", "event", "job", "outcome")
        self.assertEqual(tuple(first[name] for name in names), expected)
        self.assertEqual(second["error"], "ValueError: broken")
        self.assertIn("structured_logs_tests.py:", second["where"])

    def test_lines_above_the_rate_limit_are_counted(self):
        limiter = EventRateLimiter(limit=2)
        allowed = [limiter.allows("a", 0.1) for _ in range(5)]
        self.assertEqual(allowed, [True, True, False, False, False])
        self.assertTrue(limiter.allows("b", 0.1))
        self.assertTrue(limiter.allows("a", 1.1))
        self.assertEqual(limiter.pop_suppressed("a"), 3)
        self.assertEqual(limiter.pop_suppressed("a"), 0)

    def test_blocked_stream_does_not_block_log_calls(self):
        stream = BlockedStream()
        writer = LineWriter(stream)
        for number in range(20_000):
            writer.write(str(number))
        self.assertGreater(writer.dropped, 10_000)
        stream.released.set()
        writer.close()
