from __future__ import annotations

import json
from html.parser import HTMLParser

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.hybrid_clock import COUNTER_BITS
from fulmarlever.tests.base import TableTestCase
from fulmarlever.timeline import (
    TIMELINE_FORMATS,
    Event,
    MergedTimeline,
    TimelineEvents,
    TimelineQuery,
    render_timeline,
)


def make_event(second: int, vm: str = "a1", kind: str = "task.start", **fields):
    return Event(second * 1000 << COUNTER_BITS, vm, vm[0], kind, **fields)


EVENTS = [
    make_event(1, task="label/1", worker="w1"),
    make_event(2, vm="b1", kind="task.done", task="label/1"),
    make_event(3, kind="request.late", request="r7", detail="<b> & more"),
]
STAMPS = st.lists(st.integers(1, 50), unique=True, max_size=20)


class Cells(HTMLParser):
    """Counts the cells of each table row and collects links to other resources."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: list[int] = []
        self.links: list[str] = []

    def handle_starttag(self, tag, attrs):
        if tag == "tr":
            self.rows.append(0)
        if tag in ("td", "th"):
            self.rows[-1] += 1
        self.links += [value for name, value in attrs if name in ("src", "href")]


class QueryTests(TableTestCase):
    def test_filters(self):
        rows = [
            ("all", TimelineQuery(), [0, 1, 2]),
            ("task", TimelineQuery(task="label/1"), [0, 1]),
            ("request", TimelineQuery(request="r7"), [2]),
            ("worker", TimelineQuery(worker="w1"), [0]),
            ("kind", TimelineQuery(kind="task.done"), [1]),
            ("kinds", TimelineQuery(kind="task."), [0, 1]),
            ("since", TimelineQuery(since_s=2.0), [1, 2]),
            ("until", TimelineQuery(until_s=2.0), [0, 1]),
            ("newest", TimelineQuery(limit=1), [2]),
            ("none", TimelineQuery(limit=0), []),
            ("negative", TimelineQuery(limit=-5), []),
        ]
        for _, query, expected in self.each(rows):
            self.assertEqual(query.select(EVENTS), [EVENTS[i] for i in expected])

    @given(STAMPS, STAMPS)
    def test_merge_sorts_the_events_and_loses_none(self, first, second):
        event_lists = [
            [make_event(s, "a1") for s in sorted(first)],
            [make_event(s, "b1") for s in sorted(second)],
        ]
        merged = MergedTimeline.merge([*event_lists, event_lists[0]], {})
        self.assertEqual(len(merged.events), len(first) + len(second))
        self.assertEqual(merged.events, sorted(merged.events, key=lambda e: e.order))


class FormatTests(TableTestCase):
    def setUp(self):
        self.timeline = MergedTimeline(EVENTS, {"c1": "no answer in time"})

    def test_every_format_has_the_events_and_the_unreachable_vms(self):
        for name in TIMELINE_FORMATS:
            text = render_timeline(self.timeline, name)
            for word in ("task.start", "label/1", "r7", "c1"):
                with self.subTest(format=name, word=word):
                    self.assertIn(word, text)

    def test_json_and_wire_forms_round_trip(self):
        data = json.loads(render_timeline(self.timeline, "json"))
        self.assertEqual(MergedTimeline.from_wire(data), self.timeline)
        wire = TimelineEvents(EVENTS).to_wire()
        self.assertEqual(TimelineEvents.from_wire(wire).events, EVENTS)

    def test_page_has_a_column_per_process_and_no_external_resources(self):
        page = render_timeline(self.timeline, "html")
        cells = Cells()
        cells.feed(page)
        self.assertEqual(cells.rows, [3] * (len(EVENTS) + 1))
        self.assertEqual(cells.links, [])
        self.assertIn("&lt;b&gt; &amp; more", page)
