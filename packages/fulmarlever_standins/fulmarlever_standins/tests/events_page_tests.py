"""Each event that the scheduler logs is documented in the operators' page."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[4]
PACKAGE = ROOT / "packages/fulmarleverd/fulmarleverd"
EVENT = re.compile(r'(?:record(?:_run)?\(\s*|event=)"([a-z-]+)"')


class EventPageTests(unittest.TestCase):
    def test_each_event_of_the_scheduler_is_documented(self):
        page = (ROOT / "docs/OPERATIONS.md").read_text()
        found: set[str] = set()
        for folder in ("scheduling", "platform"):
            for path in (PACKAGE / folder).rglob("*.py"):
                found.update(EVENT.findall(path.read_text()))
        self.assertGreater(len(found), 30)
        missing = [name for name in sorted(found) if f"`{name}`" not in page]
        self.assertEqual(missing, [])
