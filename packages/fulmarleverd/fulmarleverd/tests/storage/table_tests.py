from __future__ import annotations

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.outcomes import Conflict, OutcomeUnknown, Unavailable
from fulmarlever.structure.table import ABSENT, Applied, Change
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.storage.table import UNKNOWN_VERSION, Table
from fulmarleverd.tests.storage.base import FakeHTTP, Fault

INSERT = Change(conditions={"k": ABSENT}, writes={"k": "mine"})

ANSWER_LOST = Fault.ANSWER_LOST
REQUEST_LOST = Fault.REQUEST_LOST
DELAYED = Fault.REQUEST_DELAYED


class LostAnswerTests(TableTestCase):
    def test_outcome_is_determined(self):
        rows = (
            ("no fault", [], Applied, True),
            ("down", [Fault.DOWN], Unavailable, False),
            ("answer lost", [ANSWER_LOST], Applied, True),
            ("request lost", [REQUEST_LOST], Unavailable, False),
            ("delayed request is voided", [DELAYED], Unavailable, False),
            ("void answer lost too", [REQUEST_LOST, ANSWER_LOST], Unavailable, False),
            ("both lost", [ANSWER_LOST, REQUEST_LOST, REQUEST_LOST], Applied, True),
            ("down after the loss", [ANSWER_LOST, Fault.DOWN], OutcomeUnknown, True),
            ("nothing answers", [REQUEST_LOST] * 4, OutcomeUnknown, False),
        )
        for _, faults, expected, is_written in self.each(rows):
            http = FakeHTTP(faults)
            result = asyncio.run(Table(http).write(INSERT))
            http.deliver_delayed()
            self.assertIsInstance(result, expected)
            self.assertEqual(bool(http.table.read(["k"])), is_written)

    @given(st.lists(st.sampled_from(Fault), max_size=8))
    def test_known_outcome_stays_true_after_delayed_requests(self, faults):
        http = FakeHTTP(faults)
        result = asyncio.run(Table(http).write(INSERT))
        http.deliver_delayed()
        is_written = bool(http.table.read(["k"]))
        if isinstance(result, Applied):
            self.assertTrue(is_written)
        elif isinstance(result, Unavailable | Conflict):
            self.assertFalse(is_written)


class ReadBackVersionTests(unittest.TestCase):
    def test_version_of_a_later_write_is_not_returned(self):
        http = FakeHTTP([ANSWER_LOST])
        table = Table(http)
        original = http.table.write

        def write_then_overwrite(change):
            result = original(change)
            if "k" in change.writes:
                original(Change(writes={"k": "other"}))
            return result

        http.table.write = write_then_overwrite
        result = asyncio.run(table.write(INSERT))
        self.assertEqual(result.versions, {"k": UNKNOWN_VERSION})
