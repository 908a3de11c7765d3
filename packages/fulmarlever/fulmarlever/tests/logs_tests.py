from __future__ import annotations

import io
import json
import sys

from loguru import logger as log

from fulmarlever.logs import configure_logs
from fulmarlever.tests.base import TableTestCase


class LogTests(TableTestCase):
    def tearDown(self):
        log.remove()
        log.configure(extra={})
        log.add(sys.stderr)

    def write(self, is_json: bool, level: str = "INFO") -> list[str]:
        stream = io.StringIO()
        configure_logs(
            level,
            is_json,
            vm="a1",
            zone="a",
            secrets=["hunter2", "hunter2-long", ""],
            stream=stream,
        )
        log.bind(request="r7", unknown="x").info("first\nsecond {}", "hunter2-long")
        log.debug("detail")
        try:
            raise ValueError("token hunter2")
        except ValueError:
            log.exception("failed")
        return stream.getvalue().splitlines()

    def test_records_are_single_lines_without_secrets(self):
        for name, is_json in self.each([("line", False), ("json", True)]):
            lines = self.write(is_json)
            self.assertEqual(len(lines), 2, name)
            self.assertNotIn("hunter2", "".join(lines))
            self.assertNotIn("-long", "".join(lines))
            self.assertNotIn("unknown", "".join(lines))
            self.assertIn("ValueError", lines[1])

    def test_json_records_have_their_ids(self):
        record = json.loads(self.write(True)[0])
        ids = [record[name] for name in ("vm", "zone", "request", "level")]
        self.assertEqual(ids, ["a1", "a", "r7", "INFO"])

    def test_records_below_the_level_are_dropped(self):
        self.assertEqual(len(self.write(False, "debug")), 3)
        self.assertEqual(len(self.write(False, "ERROR")), 1)
