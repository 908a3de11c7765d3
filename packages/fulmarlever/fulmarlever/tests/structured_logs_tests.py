from __future__ import annotations

import io
import json
import threading

from loguru import logger as log

from fulmarlever.structured_logs import (
    EventRate,
    LineWriter,
    configure_structured_logs,
)
from fulmarlever.tests.base import TableTestCase


class BlockedStream(io.StringIO):
    """A stream whose reader has stopped reading."""

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

    def test_a_line_holds_the_inputs_of_a_decision(self):
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

    def test_events_beyond_their_rate_are_counted(self):
        rate = EventRate(limit=2)
        allowed = [rate.allows("a", 0.1) for _ in range(5)]
        self.assertEqual(allowed, [True, True, False, False, False])
        self.assertTrue(rate.allows("b", 0.1))
        self.assertTrue(rate.allows("a", 1.1))
        self.assertEqual(rate.take_left_out("a"), 3)
        self.assertEqual(rate.take_left_out("a"), 0)

    def test_a_reader_that_stopped_never_blocks_a_log_call(self):
        stream = BlockedStream()
        writer = LineWriter(stream)
        for number in range(20_000):
            writer.write(str(number))
        self.assertGreater(writer.dropped, 10_000)
        stream.released.set()
        writer.close()
