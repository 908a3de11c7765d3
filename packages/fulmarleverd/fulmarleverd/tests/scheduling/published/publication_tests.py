"""What a reader learns of the origin and the age of a published value."""

from __future__ import annotations

import math

from fulmarlever.clock import ManualClock
from fulmarlever.outcomes import failed
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.persistence.rows import pack
from fulmarleverd.scheduling.persistence.store_clock import StoreClock
from fulmarleverd.scheduling.ports import RowSet, StoredRow
from fulmarleverd.scheduling.published.publication import FORMAT, Publication


class PublicationTests(TableTestCase):
    AGES = (
        ("recent", 99.5, 100.0, 0.5),
        ("old", 10.0, 100.0, 90.0),
        ("the writer did not know the time", None, 100.0, math.inf),
        ("the store does not tell the time", 99.5, None, math.inf),
        ("the store's clock went back", 100.5, 100.0, math.inf),
    )
    UNREADABLE = (
        ("empty", b""),
        ("not msgpack", b"\xc1"),
        ("of an earlier version", pack({"plans": 3})),
        ("another list", pack([2])),
        ("another name", pack(["other", "vm-1", 7, 1.0, b""])),
        ("the value of another type", pack([FORMAT, "vm-1", 7, 1.0, 3])),
        ("the term of another type", pack([FORMAT, "vm-1", [], 1.0, b""])),
        ("the time of another type", pack([FORMAT, "vm-1", 7, "x", b""])),
        ("fields missing", pack([FORMAT, "vm-1"])),
    )

    def test_the_age_counts_on_the_clock_of_the_store(self):
        for _, as_of_s, store_time_s, expected in self.each(self.AGES):
            published = Publication("vm-1", 7, as_of_s, b"x")
            read = RowSet((), 1, False, store_time_s)
            self.assertEqual(published.age_s(read), expected)

    def test_a_row_says_who_wrote_it(self):
        published = Publication("vm-1", 7, 1.5, b"x")
        self.assertEqual(Publication.from_row(published.to_row("key")), published)

    def test_other_rows_are_not_decoded(self):
        for _, value in self.each(self.UNREADABLE):
            row = StoredRow("summary", "key", value)
            self.assertTrue(failed(Publication.from_row(row)))


class StoreClockTests(TableTestCase):
    def test_the_time_goes_on_between_answers(self):
        clock = ManualClock()
        store_clock = StoreClock(clock)
        self.assertIsNone(store_clock.now_s())
        store_clock.record(100.0)
        clock.advance(2.5)
        store_clock.record(None)
        self.assertEqual(store_clock.now_s(), 102.5)
