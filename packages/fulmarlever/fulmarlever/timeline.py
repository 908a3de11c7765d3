"""Timelines: events of several processes, merged by timestamp and rendered.

The registry ``TIMELINE_FORMATS`` has the formats text, JSON and HTML.
"""

from __future__ import annotations

import html
import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import asdict, dataclass, field
from datetime import UTC, datetime
from typing import Any

from fulmarlever.hybrid_clock import stamp_wall_s
from fulmarlever.registry import Registry
from fulmarlever.structure.messages import message

MAX_EVENTS_PER_ANSWER = 5000

TIMELINE_FORMATS: Registry[Callable[[MergedTimeline], str]] = Registry(
    "timeline format"
)


@dataclass(slots=True, frozen=True)
class Event:
    """An event in one process.

    ``stamp`` is a stamp of the hybrid logical clock. Text fields that do not apply are
    empty.
    """

    stamp: int
    vm: str
    zone: str
    kind: str
    task: str = ""
    request: str = ""
    worker: str = ""
    detail: str = ""

    @property
    def order(self) -> tuple[int, str]:
        """Return the key of the total order of events over all processes."""
        return (self.stamp, self.vm)

    @property
    def time(self) -> str:
        """Return the UTC time in ISO 8601 format with milliseconds."""
        moment = datetime.fromtimestamp(stamp_wall_s(self.stamp), UTC)
        return (
            moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{moment.microsecond // 1000:03}Z"
        )

    def to_wire(self) -> list:
        """Return the wire form, a list of the fields in order."""
        return [getattr(self, name) for name in self.__slots__]


@message("timeline-query")
@dataclass(slots=True)
class TimelineQuery:
    """A filter of events; empty fields match every event.

    ``since_s`` and ``until_s`` are Unix times in seconds, both inclusive; 0 means no
    bound. A ``kind`` that ends with a dot matches all kinds with that prefix. At most
    ``limit`` events are returned, the newest ones.
    """

    kind: str = ""
    task: str = ""
    request: str = ""
    worker: str = ""
    since_s: float = 0.0
    until_s: float = 0.0
    limit: int = MAX_EVENTS_PER_ANSWER

    def select(self, events: Iterable[Event]) -> list[Event]:
        """Return the newest matching events, oldest first."""
        found = [event for event in events if self._matches(event)]
        limit = max(0, min(self.limit, MAX_EVENTS_PER_ANSWER))
        return found[len(found) - min(limit, len(found)) :]

    def _matches(self, event: Event) -> bool:
        texts = (
            (self.task, event.task),
            (self.request, event.request),
            (self.worker, event.worker),
        )
        if any(wanted and wanted != value for wanted, value in texts):
            return False
        return self._matches_kind(event.kind) and self._matches_time(event)

    def _matches_kind(self, kind: str) -> bool:
        if self.kind.endswith("."):
            return kind.startswith(self.kind)
        return self.kind in ("", kind)

    def _matches_time(self, event: Event) -> bool:
        wall_s = stamp_wall_s(event.stamp)
        return wall_s >= self.since_s and (not self.until_s or wall_s <= self.until_s)


@message("timeline-events")
@dataclass(slots=True)
class TimelineEvents:
    """The events of one process that match a query, oldest first."""

    events: list[Event] = field(default_factory=list)

    @classmethod
    def from_wire(cls, data: Any) -> TimelineEvents:
        """Build the message from its wire form."""
        return cls([Event(*item) for item in data])

    def to_wire(self) -> list:
        """Return the wire form, a list of events in their wire form."""
        return [event.to_wire() for event in self.events]


@dataclass(slots=True)
class MergedTimeline:
    """The events of several processes in order.

    ``unreachable`` maps the VMs whose events are missing to the reasons.
    """

    events: list[Event] = field(default_factory=list)
    unreachable: dict[str, str] = field(default_factory=dict)

    @classmethod
    def from_wire(cls, data: dict) -> MergedTimeline:
        """Build the timeline from the JSON form of the administration API."""
        events = [Event(**item) for item in data["events"]]
        return cls(events, dict(data["unreachable"]))

    @classmethod
    def merge(
        cls, event_lists: Iterable[Iterable[Event]], unreachable: dict[str, str]
    ) -> MergedTimeline:
        """Merge the events of several processes and remove duplicates."""
        events = {event for event_list in event_lists for event in event_list}
        return cls(sorted(events, key=lambda event: event.order), unreachable)

    def to_wire(self) -> dict:
        """Return the JSON form of the administration API."""
        events = [asdict(event) for event in self.events]
        return {"events": events, "unreachable": self.unreachable}


def render_timeline(timeline: MergedTimeline, name: str = "text") -> str:
    """Render a timeline in a registered format: ``text``, ``json`` or ``html``.

    Raise ``KernelError`` for an unknown format.
    """
    return TIMELINE_FORMATS.find(name)(timeline)


@TIMELINE_FORMATS.register("json")
def to_json(timeline: MergedTimeline) -> str:
    """Render a timeline as JSON, in the form of the administration API."""
    return json.dumps(timeline.to_wire(), indent=2)


@TIMELINE_FORMATS.register("text")
def to_text(timeline: MergedTimeline) -> str:
    """Render a timeline as text, one line per event and per unreachable VM."""
    width = max((len(event.vm) for event in timeline.events), default=0)
    lines = [
        f"{event.time}  {event.vm:<{width}}  {event.kind:<20}  {describe(event)}"
        for event in timeline.events
    ]
    lines += [f"not reached: {vm}: {why}" for vm, why in timeline.unreachable.items()]
    return "\n".join(line.rstrip() for line in lines)


def describe(event: Event) -> str:
    """Return the optional fields of an event as text."""
    names = ("task", "request", "worker")
    parts = [f"{name}={getattr(event, name)}" for name in names if getattr(event, name)]
    return " ".join([*parts, event.detail]).strip()


HTML_STYLE = """
body { font: 13px sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #eee; text-align: left; }
th, td { border: 1px solid #ccc; padding: 2px 6px; vertical-align: top; }
tr:hover { background: #f6f6e8; }
.kind { font-weight: bold; }
.missing { color: #a00; }
"""


@TIMELINE_FORMATS.register("html")
def to_html(timeline: MergedTimeline) -> str:
    """Render a timeline as a self-contained HTML page with a column per process."""
    columns = sorted({(event.zone, event.vm) for event in timeline.events})
    headers = "".join(
        f"<th>{html.escape(vm)} ({html.escape(z)})</th>" for z, vm in columns
    )
    rows = "\n".join(_html_rows(timeline.events, [vm for _, vm in columns]))
    missing = "".join(
        f'<p class="missing">not reached: {html.escape(vm)}: {html.escape(why)}</p>'
        for vm, why in timeline.unreachable.items()
    )
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>Timeline</title><style>{HTML_STYLE}</style></head><body>\n"
        f"<h1>Timeline</h1>{missing}\n<table>\n"
        f"<tr><th>time (UTC)</th>{headers}</tr>\n{rows}\n</table></body></html>\n"
    )


def _html_rows(events: Iterable[Event], columns: list[str]) -> Iterator[str]:
    for event in events:
        cell = (
            f'<td><span class="kind">{html.escape(event.kind)}</span> '
            f"{html.escape(describe(event))}</td>"
        )
        column = columns.index(event.vm)
        cells = "<td></td>" * column + cell + "<td></td>" * (len(columns) - column - 1)
        yield f"<tr><td>{event.time}</td>{cells}</tr>"
