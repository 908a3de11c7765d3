"""Events of all processes, merged by time stamp and written as text, JSON or HTML."""

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
    "time line format"
)


@dataclass(slots=True, frozen=True)
class Event:
    """Something that happened in one process.

    ``stamp`` is a stamp of the hybrid logical clock. Empty strings mean absent.
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
        """Return the time in UTC with milliseconds."""
        moment = datetime.fromtimestamp(stamp_wall_s(self.stamp), UTC)
        return (
            moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{moment.microsecond // 1000:03}Z"
        )

    def to_wire(self) -> list:
        """Return the wire form."""
        return [getattr(self, name) for name in self.__slots__]


@message("timeline-query")
@dataclass(slots=True)
class TimelineQuery:
    """Which events are wanted; empty fields match all.

    ``since_s`` and ``until_s`` are Unix times; 0 means no bound. ``kind`` may be the
    beginning of a kind that ends with a dot. ``limit`` keeps the newest events.
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
    """The events of one process that match a query."""

    events: list[Event] = field(default_factory=list)

    @classmethod
    def from_wire(cls, data: Any) -> TimelineEvents:
        """Build from the wire form."""
        return cls([Event(*item) for item in data])

    def to_wire(self) -> list:
        """Return the wire form."""
        return [event.to_wire() for event in self.events]


@dataclass(slots=True)
class MergedTimeline:
    """The events of several processes, and the VMs that gave none with the reason."""

    events: list[Event] = field(default_factory=list)
    unreachable: dict[str, str] = field(default_factory=dict)

    @classmethod
    def from_wire(cls, data: dict) -> MergedTimeline:
        """Build from the JSON form of the administration API."""
        events = [Event(**item) for item in data["events"]]
        return cls(events, dict(data["unreachable"]))

    @classmethod
    def merge(
        cls, parts: Iterable[Iterable[Event]], unreachable: dict[str, str]
    ) -> MergedTimeline:
        """Sort the events of several processes; a repeated event stays once."""
        events = {event for part in parts for event in part}
        return cls(sorted(events, key=lambda event: event.order), unreachable)

    def to_wire(self) -> dict:
        """Return the JSON form of the administration API."""
        events = [asdict(event) for event in self.events]
        return {"events": events, "unreachable": self.unreachable}


def render_timeline(timeline: MergedTimeline, name: str = "text") -> str:
    """Write a time line in a registered format: ``text``, ``json`` or ``html``."""
    return TIMELINE_FORMATS.find(name)(timeline)


@TIMELINE_FORMATS.register("json")
def to_json(timeline: MergedTimeline) -> str:
    """Write the JSON form."""
    return json.dumps(timeline.to_wire(), indent=2)


@TIMELINE_FORMATS.register("text")
def to_text(timeline: MergedTimeline) -> str:
    """Write one line for each event and for each VM that was not reached."""
    width = max((len(event.vm) for event in timeline.events), default=0)
    lines = [
        f"{event.time}  {event.vm:<{width}}  {event.kind:<20}  {describe(event)}"
        for event in timeline.events
    ]
    lines += [f"not reached: {vm}: {why}" for vm, why in timeline.unreachable.items()]
    return "\n".join(line.rstrip() for line in lines)


def describe(event: Event) -> str:
    """Return the optional fields of an event as one phrase."""
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
    """Write one self-contained page with a lane for each process."""
    lanes = sorted({(event.zone, event.vm) for event in timeline.events})
    heads = "".join(f"<th>{html.escape(vm)} ({html.escape(z)})</th>" for z, vm in lanes)
    rows = "\n".join(_html_rows(timeline.events, [vm for _, vm in lanes]))
    missing = "".join(
        f'<p class="missing">not reached: {html.escape(vm)}: {html.escape(why)}</p>'
        for vm, why in timeline.unreachable.items()
    )
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>Time line</title><style>{HTML_STYLE}</style></head><body>\n"
        f"<h1>Time line</h1>{missing}\n<table>\n"
        f"<tr><th>time (UTC)</th>{heads}</tr>\n{rows}\n</table></body></html>\n"
    )


def _html_rows(events: Iterable[Event], lanes: list[str]) -> Iterator[str]:
    for event in events:
        cell = (
            f'<td><span class="kind">{html.escape(event.kind)}</span> '
            f"{html.escape(describe(event))}</td>"
        )
        lane = lanes.index(event.vm)
        cells = "<td></td>" * lane + cell + "<td></td>" * (len(lanes) - lane - 1)
        yield f"<tr><td>{event.time}</td>{cells}</tr>"
