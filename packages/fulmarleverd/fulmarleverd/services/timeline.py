"""The service ``timeline``: the recent events of this daemon and of all daemons."""

from __future__ import annotations

import asyncio
from collections import deque

from fulmarlever.outcomes import failed
from fulmarlever.timeline import (
    Event,
    MergedTimeline,
    TimelineEvents,
    TimelineQuery,
)
from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.peers.metrics import TIMELINE_EVENTS

QUERY_TIMEOUT_S = 2.0
MAX_FIELD_CHARACTERS = 300


@SERVICES.register("timeline")
class Timeline(Service):
    """Keeps this daemon's recent events in a ring buffer and merges those of peers."""

    name = "timeline"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._ring: deque[Event] = deque(maxlen=self.settings.timeline_events)

    async def start(self) -> None:
        """Start to answer the queries of peers."""
        membership = self.kernel.find("membership")
        membership.handle(TimelineQuery, self._answer)

    def record(
        self,
        kind: str,
        *,
        task: str = "",
        request: str = "",
        worker: str = "",
        detail: str = "",
    ) -> None:
        """Record an event; the oldest one is dropped when the ring buffer is full.

        Fields are truncated to ``MAX_FIELD_CHARACTERS``.
        """
        stamp = self.kernel.find("membership").hybrid_clock.now()
        fields = (text[:MAX_FIELD_CHARACTERS] for text in (task, request, worker))
        self._ring.append(
            Event(
                stamp,
                self.settings.vm,
                self.settings.zone,
                kind,
                *fields,
                detail[:MAX_FIELD_CHARACTERS],
            )
        )
        TIMELINE_EVENTS.inc()

    def events(self, query: TimelineQuery | None = None) -> list[Event]:
        """Return this daemon's events that match the query, oldest first."""
        return (query or TimelineQuery()).select(self._ring)

    async def merged(
        self, query: TimelineQuery | None = None, timeout_s: float = QUERY_TIMEOUT_S
    ) -> MergedTimeline:
        """Return the matching events of all daemons.

        Peers that did not answer within ``timeout_s`` are named in the result with
        the reason.
        """
        query = query or TimelineQuery()
        membership = self.kernel.find("membership")
        vms = [peer.vm for peer in membership.peers()]
        calls = [membership.call(vm, query, timeout_s) for vm in vms]
        answers = dict(zip(vms, await asyncio.gather(*calls), strict=True))
        missing = {vm: a.reason for vm, a in answers.items() if failed(a)}
        peer_events = [a.events for a in answers.values() if not failed(a)]
        return MergedTimeline.merge([self.events(query), *peer_events], missing)

    async def _answer(self, query: TimelineQuery) -> TimelineEvents:
        return TimelineEvents(self.events(query))
